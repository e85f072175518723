// Package decision holds the context of the reducer's event handlers: the current
// instant, the timers, the seeded random generator and the effects so far.
package decision

import (
	"math/rand/v2"
	"time"

	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/timer"
)

// Context is passed to a handler with each event. It is valid only during the
// call.
type Context struct {
	// Now is the monotonic instant of the event.
	Now model.Instant
	// UnixMs is the wall clock of the event in milliseconds, for records that
	// people read; no decision depends on it.
	UnixMs int64
	// Timers holds the pending timers of all handlers.
	Timers *timer.Set
	// Rand is the seeded random generator of the reducer.
	Rand *rand.Rand
	// Effects are the effects emitted for this event so far.
	Effects []event.Effect
}

// Emit adds an effect.
func (c *Context) Emit(effect event.Effect) { c.Effects = append(c.Effects, effect) }

// After sets a timer d from now.
func (c *Context) After(kind timer.Kind, id string, d time.Duration) {
	c.Timers.Put(timer.Key{Kind: kind, ID: id}, c.Now.Add(d))
}

// Stop removes a timer.
func (c *Context) Stop(kind timer.Kind, id string) {
	c.Timers.Remove(timer.Key{Kind: kind, ID: id})
}

// Jitter returns a duration between d and 1.5 d.
func (c *Context) Jitter(d time.Duration) time.Duration {
	return d + time.Duration(c.Rand.Int64N(int64(d)/2+1))
}
