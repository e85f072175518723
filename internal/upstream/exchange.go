package upstream

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/model"
	"tamarackreach/internal/relay"
	"tamarackreach/platform"
)

// Exchange is one send of a request to a target and its response.
type Exchange struct {
	pool      *Pool
	route     string
	conn      *connection
	stopAbort func() bool
	released  atomic.Bool
	body      *responseBody
	// Sent is true once a byte may have been sent to the target.
	Sent bool
	// Unconnected is true when no connection could be opened although there was time for
	// it, and RelayFailed when the reason is the relay.
	Unconnected, RelayFailed bool
	// Reused is true when the connection had carried another request before.
	Reused bool
	// Response is the target's response to this send, nil if there is none; its body
	// must be read to the end or closed.
	Response *http.Response
	Head     platform.ResponseHead
}

// Call describes the request to send.
type Call struct {
	ID      model.RequestID
	Target  model.TargetID
	Address string
	// Relay is the VM through which the target is reached, nil for a direct connection.
	Relay  *relay.Endpoint
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// ExpiresAt is the deadline of the request; 0 when it has none.
	ExpiresAt model.Instant
	// Memory is charged for the head of the response, which may outlive the exchange; nil is no
	// bound.
	Memory Memory
	// SilenceInterval is the time without received bytes after which OnSilence is
	// called; while no byte arrives, it is called again at that interval.
	SilenceInterval time.Duration
	// OnSilence may abort the exchange by returning an error.
	OnSilence func() error
	// OnTrickle is called at that interval while bytes arrive, and may abort the exchange as
	// well: single bytes show no progress. It may be nil.
	OnTrickle func() error
}

// Do sends a request and reads the head of its response. Done must be called on the
// returned exchange, also after an error. Cancelling the context aborts the
// exchange at any time.
func (p *Pool) Do(ctx context.Context, call *Call) (*Exchange, error) {
	x := &Exchange{pool: p, route: call.route()}
	conn, err := p.get(ctx, call)
	if err != nil {
		x.Unconnected, x.RelayFailed = !expired(ctx), errors.Is(err, relay.ErrRelay)
		return x, err
	}
	x.conn, x.Reused = conn, conn.reused
	conn.silenceInterval, conn.onSilence, conn.onTrickle, conn.trickleAt = call.SilenceInterval, call.OnSilence, call.OnTrickle, time.Now()
	x.stopAbort = context.AfterFunc(ctx, x.abort)
	if call.ExpiresAt != 0 {
		// The time left is stated as of the send: connecting takes a part of it.
		left := call.ExpiresAt.Sub(bootclock.Now())
		if left <= 0 {
			return x, errDeadlinePassed
		}
		platform.SetTimeLeft(call.Header, left)
	}
	if err := conn.SetWriteDeadline(time.Now().Add(unackedTimeout)); err != nil {
		return x, errors.Wrap(err, "cannot set the write deadline")
	}
	x.Sent = true
	written := make(chan error, 1)
	if len(call.Body) <= inlineBodyBytes {
		written <- platform.WriteRequest(conn, call.Method, call.URI, call.Host, call.Header, call.Body)
	} else {
		// A target may respond before it has read a long body.
		go func() {
			written <- platform.WriteRequest(conn, call.Method, call.URI, call.Host, call.Header, call.Body)
		}()
	}
	conn.headLeft, conn.head = maxHeadBytes, headMemory{memory: call.Memory}
	//nolint:bodyclose // the caller reads the body and calls Done, which closes the connection
	resp, err := readResponse(conn.reader, call.Method)
	if err != nil && conn.headError != nil {
		err = errors.CombineErrors(conn.headError, err)
	}
	conn.headLeft, conn.headError, conn.head = -1, nil, headMemory{}
	if err != nil {
		return x, errors.Wrap(err, "cannot read a response")
	}
	head := platform.DecodeResponseHead(resp)
	if err := conn.attribute(resp, &head, call.ID); err != nil {
		p.countUnsolicited()
		return x, err
	}
	x.body = &responseBody{
		ReadCloser: resp.Body, ended: resp.Body == http.NoBody, check: bodyCheck{requests: conn.requests}, onMerged: p.countUnsolicited,
	}
	resp.Body = x.body
	x.Response, x.Head = resp, head
	select {
	case err := <-written:
		if err != nil {
			resp.Close = true
		}
	default:
		resp.Close = true // the request body is not fully written yet
	}
	return x, nil
}

// expired reports whether a context has ended. A dial with its deadline may fail shortly
// before its error is set.
func expired(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

// errDeadlinePassed means that the deadline passed before the request was sent.
var errDeadlinePassed = errors.New("the deadline passed while the connection was opened; not sent")

// inlineBodyBytes is the largest body that is written without a goroutine: it fits
// into the socket buffers, so the write does not wait for the target to read.
const inlineBodyBytes = 16 << 10

// maxInformational is the number of informational responses accepted before a final
// one.
const maxInformational = 5

// maxStatus is the highest status that a response may have.
const maxStatus = 599

// readResponse reads the head of the final response; informational ones are dropped. A status
// outside the range of HTTP is an error: what has it is no response that a caller can use.
func readResponse(r *bufio.Reader, method string) (*http.Response, error) {
	for range maxInformational + 1 {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		switch {
		case err != nil:
			return nil, err
		case resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus || resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.Newf("response has the invalid status %d", resp.StatusCode)
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		}
	}
	return nil, errors.Newf("more than %d informational responses", maxInformational)
}

// Framing is how the end of a response is found.
type Framing string

// The framings of a response. The end of one framed by its connection's end can't be
// told from an orderly close before its end.
const (
	NoResponse      Framing = "none"
	FramedByLength  Framing = "length"
	FramedByChunks  Framing = "chunks"
	FramedByClosing Framing = "close"
)

// Framing returns how the end of the exchange's response is found.
func (x *Exchange) Framing() Framing {
	switch {
	case x.Response == nil:
		return NoResponse
	case x.Response.ContentLength >= 0, x.body.ReadCloser == http.NoBody:
		return FramedByLength
	case len(x.Response.TransferEncoding) > 0:
		return FramedByChunks
	}
	return FramedByClosing
}

// abort closes the connection with a reset, which discards the bytes that the target has not
// acknowledged: after an orderly close the kernel would deliver them when a partition ends, and
// the target would run a request that was given up long before.
func (x *Exchange) abort() {
	if !x.released.CompareAndSwap(false, true) {
		return
	}
	if conn, ok := x.conn.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = conn.SetLinger(0) // without it the close is orderly
	}
	_ = x.conn.Close() // the exchange is aborted; its reader gets the error
}

// responseBody records whether a body was read to its end, and fails where a second
// response begins in it.
type responseBody struct {
	io.ReadCloser
	ended    bool
	check    bodyCheck
	merged   bool
	onMerged func()
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.merged {
		return 0, ErrResponseMerged
	}
	n, err := b.ReadCloser.Read(p)
	if b.check.secondResponse(p[:n], err != nil) {
		b.merged = true
		b.onMerged()
		return n, ErrResponseMerged
	}
	b.ended = b.ended || errors.Is(err, io.EOF)
	return n, err
}

// Done releases the exchange's connection. It returns to the pool only if complete
// is true and the response was read to its end: the rest of it would otherwise precede
// the next response.
func (x *Exchange) Done(complete bool) {
	if x.conn == nil {
		return
	}
	aborted := x.stopAbort != nil && !x.stopAbort()
	if !complete || aborted || x.Response == nil || x.Response.Close || !x.body.ended {
		x.abort()
		return
	}
	if x.released.CompareAndSwap(false, true) {
		x.pool.put(x.route, x.conn, x.Head.IdleLimit)
	}
}
