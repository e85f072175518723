package targetclient

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/model"
	"tamarackreach/internal/rpc"
)

var (
	errTooLate   = errors.New("the deadline passed before the call was sent")
	errGivenUp   = errors.New("the call was given up before it was sent")
	errRedialled = errors.New("a call that may not be repeated gets one connection")
)

// sendGate decides whether the bytes of a call may leave, and knows whether any
// did. Once closed without bytes having left, none ever leave: so the call can be
// said not to have run, although the HTTP transport writes from a goroutine of
// its own that may be late.
type sendGate struct {
	now      func() model.Instant
	deadline model.Instant

	mu      sync.Mutex
	dialled bool
	left    bool
	closed  bool
}

// dial lets one connection through.
func (g *sendGate) dial() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dialled {
		return errRedialled
	}
	g.dialled = true
	return nil
}

// pass lets bytes leave, unless the deadline passed or the call was given up.
func (g *sendGate) pass() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return errGivenUp
	}
	if g.now() >= g.deadline {
		return errTooLate
	}
	g.left = true
	return nil
}

// close lets nothing more leave and tells whether anything did.
func (g *sendGate) close() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return g.left
}

// guardedConn asks the gate immediately before bytes leave, so that a process
// that was paused past the deadline sends nothing when it goes on.
type guardedConn struct {
	net.Conn
	gate *sendGate
}

// Write implements net.Conn.
func (c *guardedConn) Write(data []byte) (int, error) {
	if err := c.gate.pass(); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// newOnceClient returns a client for one request over one HTTP/1 connection, and
// a function that closes it. It follows no redirect, because that would send the
// call again.
func newOnceClient(gate *sendGate) (*http.Client, func()) {
	transport := rpc.NewTransport()
	transport.Protocols = new(http.Protocols)
	transport.Protocols.SetHTTP1(true)
	transport.DisableKeepAlives = true
	dialContext := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := gate.dial(); err != nil {
			return nil, err
		}
		conn, err := dialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn, gate: gate}, nil
	}
	client := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return client, transport.CloseIdleConnections
}
