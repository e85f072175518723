// Package upstream sends requests to targets over kept connections. It never
// repeats a request by itself.
package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the time to connect; targets accept within milliseconds,
	// and a lost opening packet is sent again only after a second.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout closes a connection whose bytes are not acknowledged.
	unackedTimeout = 3 * time.Second
	// idleLimit is how long a connection is kept when the target names no limit;
	// below the shortest that targets use.
	idleLimit = 2 * time.Second
	// idleMargin is kept from the limit that a target names, for the way there.
	idleMargin = 500 * time.Millisecond
	// readBufferBytes holds several stream events.
	readBufferBytes = 4096
)

// Dialer opens connections that do not hang on silent machines.
type Dialer struct{}

// Dial connects to an address within dialTimeout.
func (Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: boundUnacked}
	return d.DialContext(ctx, "tcp", address)
}

func boundUnacked(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Wrap(errors.CombineErrors(err, failed), "cannot bound unacknowledged bytes")
}

// connection is a kept connection to a target. Its reads call idle whenever
// nothing came for pause; an error of idle ends the read.
type connection struct {
	net.Conn
	reader *bufio.Reader
	pause  time.Duration
	idle   func() error
	// until is when the target may close the connection.
	until time.Time
	// reused is true after the first request.
	reused bool
}

// Read implements io.Reader under the buffer.
func (c *connection) Read(p []byte) (int, error) {
	for {
		if err := c.SetReadDeadline(time.Now().Add(c.pause)); err != nil {
			return 0, errors.Wrap(err, "cannot bound a read")
		}
		n, err := c.Conn.Read(p)
		var timeout net.Error
		if n > 0 || err == nil || !errors.As(err, &timeout) || !timeout.Timeout() {
			return n, err
		}
		if err := c.idle(); err != nil {
			return 0, err
		}
	}
}

// clean reports whether the connection is open and has no unread bytes: bytes
// that come between requests belong to none.
func (c *connection) clean() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = raw.Control(func(fd uintptr) {
		_, _, peeked = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(peeked, unix.EAGAIN)
}

// Pool keeps idle connections by address.
type Pool struct {
	dialer Dialer
	mu     sync.Mutex
	idle   map[string][]*connection
	opened int
	reused int
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: map[string][]*connection{}} }

// get returns a kept connection, the most recently used first, or opens one.
func (p *Pool) get(ctx context.Context, address string) (*connection, error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if time.Now().Before(c.until) && c.clean() {
			c.reused = true
			return c, nil
		}
		_ = c.Close() // nothing is lost: no request is on it
	}
	conn, err := p.dialer.Dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "cannot connect to target %s", address)
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	c := &connection{Conn: conn}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

func (p *Pool) take(address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	p.reused++
	return c
}

// put keeps a connection whose answer was read to its end.
func (p *Pool) put(address string, c *connection, limit time.Duration) {
	keep := idleLimit
	if limit > 0 {
		keep = limit - idleMargin
	}
	if keep <= 0 || c.reader.Buffered() > 0 {
		_ = c.Close() // nothing is lost: the answer is complete
		return
	}
	c.until = time.Now().Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
}

// Sweep closes the connections whose limit has passed.
func (p *Pool) Sweep() {
	p.mu.Lock()
	var old []*connection
	now := time.Now()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close() // idle: nothing is lost
	}
}

// Counts returns how many connections were opened and how often one was used
// again.
func (p *Pool) Counts() (opened, reused int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened, p.reused
}
