package load

import (
	"sync"
	"time"

	"tamarackreach/internal/load/audit"
)

// observed collects what the simulated callers and operators observed.
type observed struct {
	mu         sync.Mutex
	start      time.Time
	answers    []audit.Answer
	calls      []audit.Call
	violations []audit.Violation
	changes    []time.Duration
}

func (o *observed) now() time.Duration { return time.Since(o.start) }

func (o *observed) addAnswer(a audit.Answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answers = append(o.answers, a)
}

func (o *observed) addCall(c audit.Call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls = append(o.calls, c)
}

func (o *observed) addChange(inForce time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changes = append(o.changes, inForce)
}

func (o *observed) addViolation(promise audit.Promise, detail string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, audit.Violation{Promise: promise, Detail: detail})
}
