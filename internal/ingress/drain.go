package ingress

import "tamarackreach/internal/director"

// InFlight returns the number of requests in flight.
func (h *RequestHandler) InFlight() int {
	n := 0
	h.reducer.Read(func(s *director.State) { n = s.InFlight() })
	return n
}

// Drained ends the drain if no request is in flight, and reports whether it has ended. A request
// that arrives later is refused as not run.
func (h *RequestHandler) Drained() (drained bool) {
	h.reducer.Step(director.DrainPolled{})
	h.reducer.Read(func(s *director.State) { drained = s.Drained() })
	return drained
}

// Stop gives up the sends in flight: each request whose response has not begun is answered, and
// the others are broken off. The process ends shortly after.
func (h *RequestHandler) Stop() {
	h.reducer.Step(director.DrainExpired{})
	h.stop()
}
