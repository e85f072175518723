package director

import (
	"tamarackreach/internal/drain"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

// stepDrain applies an event of the process's end.
func (s *State) stepDrain(now model.Instant, e Event) {
	switch e.(type) {
	case Terminating:
		s.drain = drain.Start(now, s.settings.Grace)
	case DrainPolled:
		if len(s.requests) == 0 {
			s.drain.Expire()
		}
	case DrainExpired:
		s.drain.Expire()
	}
}

// Drained reports whether the drain has ended: no request is accepted or sent any more.
func (s *State) Drained() bool { return s.drain.Expired() }

// drainRequest returns what the drain of the process uses of a request.
func drainRequest(route *fleet.Route, expiresAt model.Instant) drain.Request {
	return drain.Request{ExpiresAt: expiresAt, Stream: route.Kind == fleet.Stream, Repeatable: route.Repeatable()}
}
