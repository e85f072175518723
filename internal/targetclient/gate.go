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
	errDeadlinePassed = errors.New("the deadline passed before the call was sent")
	errAbandoned      = errors.New("the call was given up before it was sent")
	errSecondDial     = errors.New("a call that may not be repeated gets one connection")
	errNoLength       = errors.New("the response has no length, so a cut-off one would look complete")
)

// sendGate decides whether bytes of a call may be written to its connection and
// records whether any were. Once it is closed, no more bytes are written, so a
// call without written bytes is known not to have run, even though the HTTP
// transport writes from a separate goroutine that may lag behind.
type sendGate struct {
	now      func() model.Instant
	deadline model.Instant

	mu      sync.Mutex
	dialled bool
	sent    bool
	closed  bool
}

// allowDial permits a single dial.
func (g *sendGate) allowDial() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dialled {
		return errSecondDial
	}
	g.dialled = true
	return nil
}

// allowWrite permits a write unless the deadline passed or the gate is closed.
func (g *sendGate) allowWrite() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return errAbandoned
	}
	if g.now() >= g.deadline {
		return errDeadlinePassed
	}
	g.sent = true
	return nil
}

// close blocks further writes and reports whether any were permitted before.
func (g *sendGate) close() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	return g.sent
}

// gatedConn checks the gate immediately before each write, so that a process
// that was paused past the deadline sends nothing when it resumes.
type gatedConn struct {
	net.Conn
	gate *sendGate
}

// Write implements net.Conn.
func (c *gatedConn) Write(data []byte) (int, error) {
	if err := c.gate.allowWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// lengthChecker rejects successful responses of which only the end of the connection
// marks the end.
type lengthChecker struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (l lengthChecker) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := l.next.RoundTrip(request)
	if err != nil || response.StatusCode != http.StatusOK {
		return response, err
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !response.Uncompressed {
		_ = response.Body.Close()
		return nil, errNoLength
	}
	return response, nil
}

// newOnceClient returns a client for one request over one HTTP/1 connection, and
// a function that closes it. It does not follow redirects, because following one
// would send the call again.
func newOnceClient(gate *sendGate) (*http.Client, func()) {
	transport := rpc.NewTransport()
	transport.Protocols = new(http.Protocols)
	transport.Protocols.SetHTTP1(true)
	transport.DisableKeepAlives = true
	dialContext := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := gate.allowDial(); err != nil {
			return nil, err
		}
		conn, err := dialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: conn, gate: gate}, nil
	}
	client := &http.Client{
		Transport:     lengthChecker{next: transport},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return client, transport.CloseIdleConnections
}
