package ingress

import (
	"net/http"
	"time"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
)

// readyBodyTime bounds the reading of a body that is sent with a readiness check.
const readyBodyTime = 10 * time.Millisecond

// Ready returns a handler that answers 200 while the VM accepts new connections and
// 503 otherwise.
func (h *RequestHandler) Ready() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ready := false
		h.reducer.Read(func(s *director.State) { ready = s.Ready(bootclock.Now()) })
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
			w.Header().Set("Content-Length", "0")
		}
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		if r.ContentLength != 0 {
			closeSoon(w)
		}
	})
}

// closeSoon sends the response and closes the connection of a readiness check with a body. The
// server would wait for the rest of the body, and then for the client to read, while other
// checks need the connection. Errors mean that the connection is closed already.
func closeSoon(w http.ResponseWriter) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(readyBodyTime))
	_ = control.Flush()
	panic(http.ErrAbortHandler)
}
