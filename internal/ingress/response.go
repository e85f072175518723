package ingress

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"tamarackreach/internal/director"
	"tamarackreach/internal/model"
	"tamarackreach/internal/upstream"
	"tamarackreach/platform"
)

// response is the response to one caller. Nothing of a target's response is written
// to it before that response is chosen for delivery.
//
// Invariant: every byte and every header field that the caller receives comes from
// one response of a target and its resumptions, or all of them from the router.
type response struct {
	w http.ResponseWriter
	// started is true once the head has been chosen; it cannot change afterwards.
	started bool
	// kept is a target's failure that is delivered if no later send may have run the
	// request; nil if there is none.
	kept *bufferedResponse
	// endsWith is the caller's connection if a response without a length ends with it, as
	// in HTTP/1.0; else nil.
	endsWith lingerer
	// unflushed is true while events are buffered.
	unflushed bool
	// resets is true while endsWith is set to be reset when it closes.
	resets bool
}

// lingerer is a TCP connection; see net.TCPConn.
type lingerer interface{ SetLinger(seconds int) error }

const (
	// resetOnClose and finOnClose are arguments of SetLinger.
	resetOnClose = 0
	finOnClose   = -1
)

type connKey struct{}

// ConnContext stores a caller's connection in the context of its requests. The
// http.Server of a RequestHandler needs it, to break off responses to callers of
// HTTP/1.0.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// newResponse returns the response to r, which is written to w.
func newResponse(w http.ResponseWriter, r *http.Request) response {
	out := response{w: w}
	if !r.ProtoAtLeast(1, 1) {
		out.endsWith, _ = r.Context().Value(connKey{}).(lingerer)
	}
	return out
}

// source identifies the send that a response comes from.
type source struct {
	// target is the first target of the send's path.
	target model.TargetID
	// send is the number of the send, from 1.
	send    int
	framing upstream.Framing
}

func sourceOf(e *director.Send, x *upstream.Exchange) source {
	return source{target: e.Hops[0].Target, send: e.Number, framing: x.Framing()}
}

// fields returns the log fields for the response that a caller received.
func (s source) fields() logrus.Fields {
	return logrus.Fields{"answered_by": s.target, "answered_send": s.send, "framing": s.framing}
}

// bufferedResponse is a complete non-streaming response of a target.
type bufferedResponse struct {
	source
	status int
	header http.Header
	body   []byte
}

// writeWhole writes a target's complete response. It must not be called after the
// response has started.
func (r *response) writeWhole(b *bufferedResponse) error {
	r.started = true
	platform.CopyResponseHeader(r.w.Header(), b.header)
	if len(b.body) > 0 {
		// A caller of HTTP/1.0 can tell a part of the body from the whole only by its length.
		r.w.Header().Set("Content-Length", strconv.Itoa(len(b.body)))
	}
	r.w.WriteHeader(b.status)
	_, err := r.w.Write(b.body)
	return err
}

// startStream starts the response with the head of a target's stream. It must be
// called with the first event of that stream, or at its end when it has none.
func (r *response) startStream(head *http.Response) {
	r.started = true
	platform.CopyResponseHeader(r.w.Header(), head.Header)
	// The length of a stream that is resumed elsewhere is not that of its first part.
	r.w.Header().Del("Content-Length")
	if r.endsWith != nil {
		// Until the response is complete, also the end of this process must reset it.
		_ = r.endsWith.SetLinger(resetOnClose) // an error is harmless: the connection is closed
		r.resets = true
	}
	r.w.WriteHeader(head.StatusCode)
}

// complete ends a response that was written to its end.
func (r *response) complete() {
	if r.resets && r.flush() == nil {
		_ = r.endsWith.SetLinger(finOnClose) // an error is harmless: the connection is closed
	}
}

// writeEvent writes a whole event of a started stream.
func (r *response) writeEvent(event []byte) error {
	r.unflushed = true
	_, err := r.w.Write(event)
	return err
}

// setWriteDeadline bounds the time for writing to the caller, until the server reads
// the next request on the connection.
func (r *response) setWriteDeadline(t time.Time) error {
	return http.NewResponseController(r.w).SetWriteDeadline(t)
}

// flushEvents sends the events that are buffered, if any, to the caller.
func (r *response) flushEvents() error {
	if !r.unflushed {
		return nil
	}
	r.unflushed = false
	return r.flush()
}

// flush sends what has been written to the caller.
func (r *response) flush() error { return http.NewResponseController(r.w).Flush() }

// writeLocal writes a response that the router generates itself; a retryAfter of 0
// is omitted. It must not be called after the response has started.
func (r *response) writeLocal(id model.RequestID, status int, retryAfter time.Duration, reason string) {
	r.started = true
	h := r.w.Header()
	platform.SetLocalResponseHeader(h, id, retryAfter)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("X-Content-Type-Options", "nosniff")
	// With a length the response is complete once it is flushed, while the rest of the
	// request's body is discarded.
	h.Set("Content-Length", strconv.Itoa(len(reason)+1))
	r.w.WriteHeader(status)
	_, _ = io.WriteString(r.w, reason+"\n") // an error means that the caller is gone
}
