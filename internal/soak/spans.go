package soak

import (
	"sync"
	"time"

	"tamarackreach/platform/platformtest"
)

// span is the time of a fault. Its subject is the name of a VM, restartOf a VM, the
// id of a target, storeSubject or configSubject.
type span struct {
	subject  string
	from, to time.Time
}

const storeSubject = "store"

// restartOf returns the subject of spans in which a VM's process ends and restarts.
func restartOf(vm string) string { return vm + " restart" }

// spanLog records when each subject had faults.
type spanLog struct {
	mu    sync.Mutex
	spans []span
}

// begin records the start of a fault, with one time for all its subjects, and returns the function
// that records its end.
func (l *spanLog) begin(subjects ...string) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first, from := len(l.spans), time.Now()
	for _, subject := range subjects {
		l.spans = append(l.spans, span{subject: subject, from: from})
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for i := range subjects {
			l.spans[first+i].to = time.Now()
		}
	}
}

func (l *spanLog) all() []span {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]span(nil), l.spans...)
}

// calm reports whether a subject had no fault between two times.
func (r *records) calm(subject string, from, to time.Time) bool {
	for _, s := range r.spans {
		if s.subject == subject && s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return false
		}
	}
	return true
}

// inTouch reports whether the limits bind a VM at a time: neither it nor the store
// had a fault within the stability window before.
func (r *records) inTouch(vm string, at time.Time) bool {
	from := at.Add(-platformtest.StabilityWindow)
	return r.calm(vm, from, at) && r.calm(storeSubject, from, at)
}
