package ingress

import (
	"sync"

	"github.com/sirupsen/logrus"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
)

// Reducer serialises the application of events to the state.
type Reducer struct {
	mu                      sync.Mutex
	state                   *director.State
	learned, contentChanged changes
}

// changes signals that a counter of the state has changed.
type changes struct {
	last   uint64
	signal chan struct{}
}

func newChanges() changes { return changes{signal: make(chan struct{}, 1)} }

func (c *changes) update(count uint64) {
	if count == c.last {
		return
	}
	c.last = count
	select {
	case c.signal <- struct{}{}:
	default: // the receiver reads the newest state
	}
}

// NewReducer returns a reducer that guards s with a lock.
func NewReducer(s *director.State) *Reducer {
	return &Reducer{state: s, learned: newChanges(), contentChanged: newChanges()}
}

// Learned returns a channel that has an element after the VM has learned of content that
// crashes targets.
func (r *Reducer) Learned() <-chan struct{} { return r.learned.signal }

// ContentChanged returns a channel that has an element after the content to store has
// changed.
func (r *Reducer) ContentChanged() <-chan struct{} { return r.contentChanged.signal }

// Step applies an event, logs the director.StateChanged effects and returns the others.
func (r *Reducer) Step(e director.Event) []director.Effect {
	effects := r.step(e)
	var out []director.Effect
	for _, effect := range effects {
		if c, ok := effect.(*director.StateChanged); ok {
			logrus.WithFields(logrus.Fields{"subject": c.Subject, "detail": c.Detail}).Info(c.What)
			continue
		}
		out = append(out, effect)
	}
	return out
}

// step releases the lock by defer, so that a panic in the reducer fails only the
// request that triggered it and leaves the lock free for the others.
func (r *Reducer) step(e director.Event) []director.Effect {
	r.mu.Lock()
	defer r.mu.Unlock()
	effects := r.state.Step(bootclock.Now(), e)
	r.learned.update(r.state.Learned())
	r.contentChanged.update(r.state.ContentChanged())
	return effects
}

// Read calls f with the state while the lock is held.
func (r *Reducer) Read(f func(*director.State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.state)
}
