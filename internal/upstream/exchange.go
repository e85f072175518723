package upstream

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/model"
	"tamarackreach/platform"
)

// Exchange is one send of a request and its answer.
type Exchange struct {
	pool    *Pool
	address string
	conn    *connection
	stop    func() bool
	closed  atomic.Bool
	// Sent is true once a byte may have left for the target.
	Sent bool
	// Response is the answer; its body must be read to the end or closed.
	Response *http.Response
	Head     platform.AnswerHead
}

// Call is what is sent.
type Call struct {
	ID      model.RequestID
	Address string
	Method  string
	URI     string
	Host    string
	Header  http.Header
	Body    []byte
	// Pause is the silence after which Idle is called.
	Pause time.Duration
	// Idle may end the exchange by returning an error.
	Idle func() error
}

// ErrForeignAnswer means that the answer belongs to another request.
var ErrForeignAnswer = errors.New("the answer carries the id of another request; its connection is closed")

// Do sends a call and reads the head of its answer. Done must be called on the
// exchange, also after an error. The context ends the exchange at any time.
func (p *Pool) Do(ctx context.Context, call *Call) (*Exchange, error) {
	x := &Exchange{pool: p, address: call.Address}
	conn, err := p.get(ctx, call.Address)
	if err != nil {
		return x, err
	}
	x.conn = conn
	conn.pause, conn.idle = call.Pause, call.Idle
	x.stop = context.AfterFunc(ctx, x.abort)
	if err := conn.SetWriteDeadline(time.Now().Add(unackedTimeout)); err != nil {
		return x, errors.Wrap(err, "cannot bound a write")
	}
	x.Sent = true
	written := make(chan error, 1)
	if len(call.Body) <= inlineBodyBytes {
		written <- platform.WriteRequest(conn, call.Method, call.URI, call.Host, call.Header, call.Body)
	} else {
		// A target may answer before it has read a long body.
		go func() {
			written <- platform.WriteRequest(conn, call.Method, call.URI, call.Host, call.Header, call.Body)
		}()
	}
	//nolint:bodyclose // the caller reads the body and calls Done, which closes the connection
	resp, err := http.ReadResponse(conn.reader, &http.Request{Method: call.Method})
	if err != nil {
		return x, errors.Wrap(err, "no answer came")
	}
	x.Response, x.Head = resp, platform.DecodeAnswerHead(resp)
	select {
	case err := <-written:
		if err != nil {
			resp.Close = true
		}
	default:
		resp.Close = true // the rest of the body is still on its way
	}
	if x.Head.RequestID != "" && x.Head.RequestID != call.ID {
		return x, ErrForeignAnswer
	}
	return x, nil
}

// inlineBodyBytes is what a connection takes without the target reading.
const inlineBodyBytes = 16 << 10

func (x *Exchange) abort() {
	if x.closed.CompareAndSwap(false, true) {
		_ = x.conn.Close() // the exchange is given up; its reader sees the error
	}
}

// Done ends the exchange. The connection is kept when complete is true: the
// answer was read to its end.
func (x *Exchange) Done(complete bool) {
	if x.conn == nil {
		return
	}
	aborted := x.stop != nil && !x.stop()
	if !complete || aborted || x.Response == nil || x.Response.Close {
		x.abort()
		return
	}
	if x.closed.CompareAndSwap(false, true) {
		x.pool.put(x.address, x.conn, x.Head.IdleLimit)
	}
}
