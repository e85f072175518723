package control

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// SilentListener is a TCP listener that can permanently blackhole its open
// connections, as a middlebox does that loses their state. New connections are
// not affected.
type SilentListener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*silentConn]struct{}
}

// Listen listens on a TCP address.
func Listen(address string) (*SilentListener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return &SilentListener{Listener: listener, conns: make(map[*silentConn]struct{})}, nil
}

// Accept waits for the next connection.
func (l *SilentListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &silentConn{Conn: conn, listener: l, silent: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[wrapped] = struct{}{}
	return wrapped, nil
}

// Silence blackholes every open connection.
func (l *SilentListener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		conn.silence.Do(func() { close(conn.silent) })
	}
}

type silentConn struct {
	net.Conn
	listener *SilentListener
	silence  sync.Once
	silent   chan struct{}
	closing  sync.Once
	closed   chan struct{}
}

func (c *silentConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read blocks on a silent connection until it is closed.
func (c *silentConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write discards the bytes if the connection is silent.
func (c *silentConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes this end. The socket of a silent connection stays open, so that
// the peer receives neither FIN nor RST.
func (c *silentConn) Close() error {
	c.closing.Do(func() { close(c.closed) })
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	if c.isSilent() {
		return nil
	}
	return c.Conn.Close()
}
