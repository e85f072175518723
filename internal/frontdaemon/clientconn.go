package frontdaemon

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/clientlimit"
	"tamarackreach/internal/model"
)

const (
	// receiveBufferBytes and sendBufferBytes bound what the kernel holds for a connection of a
	// client; it doubles them. Without a bound it would buffer several megabytes of a body or
	// of a response that is not read.
	receiveBufferBytes = 64 << 10
	sendBufferBytes    = 64 << 10
	// fullWait is how long Accept waits before it looks again for a connection to close.
	fullWait = 10 * time.Millisecond
	// closedAtOnce divides the bound of connections: so many are closed at once, so that the
	// search for them is rare.
	closedAtOnce = 64
	// lingerTime is how long a connection that was refused in its head stays open, so that the
	// client reads the refusal.
	lingerTime = 500 * time.Millisecond
)

// headRefusal answers a head that does not fit into memory. Its request was not read.
const headRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.50\r\nConnection: close\r\n" +
	"Content-Type: text/plain; charset=utf-8\r\nContent-Length: 40\r\n\r\nthe VM has no memory for the fields now\n"

// errHeadRefused ends the reading of a head that was refused. The server writes no response of
// its own after an error of this type.
var errHeadRefused = &net.OpError{Op: "read", Err: errors.New("the head does not fit into memory")}

// clientListener accepts connections of clients up to a bound. At the bound it closes those
// that stall or are idle in favour of new ones.
type clientListener struct {
	*net.TCPListener
	account *clientlimit.Account
	bound   int
	closed  *atomic.Uint64
	ended   chan struct{}
	endOnce sync.Once

	mu    sync.Mutex
	conns map[*clientConn]struct{}
}

// listenForClients listens on address for at most bound connections.
func listenForClients(ctx context.Context, address string, account *clientlimit.Account, bound int, closed *atomic.Uint64) (*clientListener, error) {
	listener, err := (&net.ListenConfig{Control: setBufferSizes}).Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "cannot listen on %s; free the address or correct the settings", address)
	}
	return &clientListener{
		TCPListener: listener.(*net.TCPListener), account: account, bound: bound, closed: closed,
		ended: make(chan struct{}), conns: map[*clientConn]struct{}{},
	}, nil
}

// setBufferSizes sets the sizes that accepted connections inherit.
func setBufferSizes(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = errors.CombineErrors(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes))
	})
	return errors.Wrap(errors.CombineErrors(err, failed), "cannot set the sizes of socket buffers")
}

// Accept implements net.Listener. At the bound it waits until one of the other connections is
// closed; further new ones stay in the kernel's queue meanwhile.
func (l *clientListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	c := &clientConn{TCPConn: conn, listener: l}
	if address, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		c.address = address.IP.String()
	}
	for !l.hasRoom() {
		select {
		case <-l.ended:
			_ = conn.Close() // no request was read from it
			return nil, net.ErrClosed
		case <-time.After(fullWait):
		}
	}
	c.enter(clientlimit.Idle)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// Close implements net.Listener.
func (l *clientListener) Close() error {
	l.endOnce.Do(func() { close(l.ended) })
	return l.TCPListener.Close()
}

// hasRoom reports whether a connection may be accepted. At the bound it closes some.
func (l *clientListener) hasRoom() bool {
	l.mu.Lock()
	if len(l.conns) < l.bound {
		l.mu.Unlock()
		return true
	}
	conns := make([]*clientConn, 0, len(l.conns))
	described := make([]clientlimit.Connection, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
		described = append(described, c.describe())
	}
	l.mu.Unlock()
	for _, i := range clientlimit.Choose(bootclock.Now(), described, max(l.bound/closedAtOnce, 1)) {
		if conns[i].evict(described[i].Phase) {
			l.closed.Add(1)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) < l.bound
}

// count returns the number of open connections.
func (l *clientListener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// clientConn is a connection of a client. It charges the heads that are read from it, and
// knows what it is used for.
type clientConn struct {
	*net.TCPConn
	listener *clientListener
	address  string
	phase    atomic.Uint32
	since    atomic.Int64
	used     atomic.Bool
	// pipelined is true once a request was read together with the one before, and retired once
	// the connection is to be closed after the present response.
	pipelined, retired atomic.Bool
	removed            sync.Once
	// headBytes and headLines count what was read of the present head, and charged is its
	// reservation; only the server's goroutine of the connection uses them.
	headBytes, headLines int
	charged              int64
	refused              bool
}

// enter begins a phase.
func (c *clientConn) enter(p clientlimit.Phase) {
	c.since.Store(int64(bootclock.Now()))
	c.phase.Store(uint32(p))
}

// change begins a phase in which the connection is used, unless it was chosen to be closed.
func (c *clientConn) change(from, to clientlimit.Phase) bool {
	return c.phase.CompareAndSwap(uint32(from), uint32(to))
}

func (c *clientConn) describe() clientlimit.Connection {
	return clientlimit.Connection{
		Phase: clientlimit.Phase(c.phase.Load()), Since: model.Instant(c.since.Load()), Used: c.used.Load(), Pipelined: c.pipelined.Load() && !c.retired.Load(), Address: c.address,
	}
}

// evict closes the connection if it is still in a phase, and idle if it was. The reader of a
// body gets an error instead, and answers; a connection with a request is closed after its
// response.
func (c *clientConn) evict(p clientlimit.Phase) bool {
	if p == clientlimit.Serving || p == clientlimit.Forwarded {
		return c.retired.CompareAndSwap(false, true)
	}
	if p == clientlimit.Idle && c.unread() || !c.change(p, clientlimit.Closing) {
		return false
	}
	if p == clientlimit.ReadingBody {
		_ = c.SetReadDeadline(time.Now()) // an error means that it is closed already
		return true
	}
	_ = c.TCPConn.Close() // its reader gets the error
	return true
}

// unread reports whether bytes have arrived that were not read yet.
func (c *clientConn) unread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return err == nil && n > 0
}

// Read implements net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return n, err
	}
	switch clientlimit.Phase(c.phase.Load()) {
	case clientlimit.Idle:
		c.since.Store(int64(bootclock.Now()))
		c.change(clientlimit.Idle, clientlimit.ReadingHead)
	case clientlimit.ReadingHead:
	default:
		return n, err
	}
	if !c.chargeHead(p[:n]) {
		return 0, errHeadRefused
	}
	return n, err
}

// chargeHead reserves the memory of a piece of a head. Where it does not fit, it refuses the
// request.
func (c *clientConn) chargeHead(piece []byte) bool {
	c.headBytes += len(piece)
	c.headLines += bytes.Count(piece, []byte{'\n'})
	more := clientlimit.HeadCost(c.headBytes, c.headLines) - c.charged
	if more <= 0 {
		return true
	}
	if c.listener.account.Reserve(clientlimit.Head, more) {
		c.charged += more
		return true
	}
	c.refused = true
	_ = c.SetWriteDeadline(time.Now().Add(lingerTime)) // an error is that of the write
	if _, err := c.Write([]byte(headRefusal)); err != nil {
		logrus.WithError(err).Debug("cannot write the refusal of a head")
	}
	return false
}

// releaseHead returns the reservation of a head.
func (c *clientConn) releaseHead() {
	c.listener.account.Release(c.charged)
	c.headBytes, c.headLines, c.charged = 0, 0, 0
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	if c.refused {
		_ = c.CloseWrite() // an error means that it is closed already
		time.AfterFunc(lingerTime, c.remove)
		return nil
	}
	c.remove()
	return nil
}

// remove closes the connection and no longer counts it.
func (c *clientConn) remove() {
	c.removed.Do(func() {
		_ = c.TCPConn.Close() // nothing is to be written any more
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		delete(c.listener.conns, c)
	})
}

// BodyBegins records that a body is read.
func (c *clientConn) BodyBegins() {
	c.since.Store(int64(bootclock.Now()))
	c.change(clientlimit.Serving, clientlimit.ReadingBody)
}

// BodyProgressed records that a part of a body has arrived.
func (c *clientConn) BodyProgressed() { c.since.Store(int64(bootclock.Now())) }

// BodyEnds reports whether the connection was not chosen to be closed.
func (c *clientConn) BodyEnds() bool {
	return c.change(clientlimit.ReadingBody, clientlimit.Serving)
}

// Refused records that a refusal was written and that the connection will be closed.
func (c *clientConn) Refused() {
	c.since.Store(int64(bootclock.Now()))
	c.change(clientlimit.Serving, clientlimit.Refused)
}

// Forwarding reports whether the request may be sent to a target.
func (c *clientConn) Forwarding() bool {
	return c.change(clientlimit.Serving, clientlimit.Forwarded) || clientlimit.Phase(c.phase.Load()) == clientlimit.Forwarded
}

// trackConnection is the ConnState hook of servers of clients.
func trackConnection(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive: // the head has been read
		if !c.change(clientlimit.ReadingHead, clientlimit.Serving) {
			c.change(clientlimit.Idle, clientlimit.Serving)
			// The request was read together with the one before: the client does not wait
			// for responses, and must not keep the processor from the others.
			c.pipelined.Store(true)
			runtime.Gosched()
		}
	case http.StateIdle:
		c.releaseHead()
		c.used.Store(true)
		if c.retired.Load() {
			_ = c.TCPConn.Close() // the next read gets the error
			return
		}
		if clientlimit.Phase(c.phase.Load()) != clientlimit.Closing {
			c.enter(clientlimit.Idle)
		}
	case http.StateClosed:
		c.releaseHead()
	}
}
