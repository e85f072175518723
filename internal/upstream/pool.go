// Package upstream sends requests to targets over pooled persistent connections.
// It never retries a request by itself.
package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"tamarackreach/internal/model"
	"tamarackreach/internal/relay"
	"tamarackreach/internal/tcpstate"
)

const (
	// dialTimeout limits the time to connect: targets accept within milliseconds, and
	// TCP retransmits a lost SYN only after one second.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection is closed, and the time limit for writing a request.
	unackedTimeout = 3 * time.Second
	// defaultIdleLimit is how long an idle connection is kept when the target states
	// no limit; it is below the shortest limit that targets use.
	defaultIdleLimit = 2 * time.Second
	// idleMargin is subtracted from the limit that a target states, to cover the
	// network latency of a request.
	idleMargin = 500 * time.Millisecond
	// maxRequests limits how many requests a connection carries, and so the memory for
	// their ids.
	maxRequests = 256
	// readBufferBytes holds several stream events.
	readBufferBytes = 4096
	// maxHeadBytes limits the head of a response, informational ones included: a target may
	// send bytes that are no response without end.
	maxHeadBytes = 256 << 10
)

// ErrHeadTooLong means that a target sent more than maxHeadBytes without the end of a
// response's head.
var ErrHeadTooLong = errors.New("head of the response exceeds 256 KiB; connection closed")

// errAborted means that the exchange was aborted while its response was read.
var errAborted = errors.New("exchange aborted: its deadline passed or its caller left")

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Dial opens a TCP connection within dialTimeout. It fails soon when the remote host becomes
// unreachable.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUserTimeout}
	return d.DialContext(ctx, "tcp", address)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Wrap(errors.CombineErrors(err, failed), "cannot set TCP_USER_TIMEOUT")
}

// connection is a persistent connection to a target. Its reads call onSilence after
// each silenceInterval without data; an error of onSilence ends the read.
type connection struct {
	net.Conn
	reader          *bufio.Reader
	silenceInterval time.Duration
	onSilence       func() error
	// onTrickle is called each silenceInterval while data arrives, last at trickleAt.
	onTrickle func() error
	trickleAt time.Time
	// expiresAt is when the idle connection is no longer reused, because the target
	// may close it.
	expiresAt time.Time
	// headLeft is the number of bytes that may still be read of a response's head; negative
	// while a body is read.
	headLeft int
	// head is what the memory was charged for the head that is read.
	head headMemory
	// headError is why the reading of the head ended before the head did; nil without a reason.
	headError error
	// reused is true from the second request on.
	reused bool
	// requests holds the ids of the requests that the connection has carried.
	requests []model.RequestID
}

// Read implements io.Reader for the buffered reader.
func (c *connection) Read(p []byte) (int, error) {
	if c.headError != nil {
		return 0, c.headError
	}
	for {
		err := c.SetReadDeadline(time.Now().Add(c.silenceInterval))
		if errors.Is(err, net.ErrClosed) {
			return 0, errAborted
		}
		if err != nil {
			return 0, errors.Wrap(err, "cannot set the read deadline")
		}
		n, err := c.Conn.Read(p)
		c.countHead(p[:n])
		var timeout net.Error
		if errors.Is(err, io.EOF) && c.wasReset() {
			return n, errReset
		}
		if n > 0 || err == nil || !errors.As(err, &timeout) || !timeout.Timeout() {
			if trickleErr := c.trickled(n); trickleErr != nil {
				return n, trickleErr
			}
			return n, err
		}
		if err := c.onSilence(); err != nil {
			return 0, err
		}
	}
}

// countHead counts bytes against the limits of a response's head while it is read.
func (c *connection) countHead(part []byte) {
	if c.headLeft < 0 {
		return
	}
	c.headLeft = max(c.headLeft-len(part), 0)
	switch {
	case c.headLeft == 0:
		c.headError = ErrHeadTooLong
	case !c.head.read(part):
		c.headError = ErrMemoryFull
	}
}

// trickled calls onTrickle after a read of n bytes, if it is due.
func (c *connection) trickled(n int) error {
	if n == 0 || c.onTrickle == nil || time.Since(c.trickleAt) < c.silenceInterval {
		return nil
	}
	c.trickleAt = time.Now()
	return c.onTrickle()
}

// errReset means that the target reset the connection.
var errReset = errors.New("connection reset by the target")

// wasReset reports whether the connection was reset, after a read that returned io.EOF.
func (c *connection) wasReset() bool {
	if framed, ok := c.Conn.(interface{ Ended() bool }); ok && framed.Ended() {
		return false // the relay states that the target ended in order
	}
	return tcpstate.WasReset(c.Conn)
}

// checkIdle reports whether the idle connection is open and has no unread bytes, and
// whether it has such bytes: bytes that arrive between requests belong to no response.
func (c *connection) checkIdle() (reusable, unread bool) {
	if c.reader.Buffered() > 0 {
		return false, true
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false, false
	}
	var n int
	var peeked error
	err = raw.Control(func(fd uintptr) {
		n, _, peeked = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(peeked, unix.EAGAIN), err == nil && peeked == nil && n > 0
}

// Pool holds idle connections by target address, and by relay.
type Pool struct {
	dial   DialFunc
	mu     sync.Mutex
	idle   map[string][]*connection
	opened int
	reused int
	// unsolicited counts the connections closed for bytes of no request in flight.
	unsolicited int
}

// NewPool returns an empty pool.
func NewPool() *Pool { return NewPoolOver(Dial) }

// NewPoolOver returns an empty pool that opens connections by dial.
func NewPoolOver(dial DialFunc) *Pool { return &Pool{dial: dial, idle: map[string][]*connection{}} }

// get returns a reusable idle connection that has not carried the request id, the
// most recently used first, or opens a new one.
func (p *Pool) get(ctx context.Context, call *Call) (*connection, error) {
	id := call.ID
	for {
		c := p.take(call.route(), id)
		if c == nil {
			break
		}
		reusable, unread := c.checkIdle()
		if reusable && time.Now().Before(c.expiresAt) {
			c.reused = true
			c.requests = append(c.requests, id)
			return c, nil
		}
		if unread {
			p.countUnsolicited()
		}
		_ = c.Close() // a close error is harmless: no request is in flight on it
	}
	conn, err := p.connect(ctx, call)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	c := &connection{Conn: conn, headLeft: -1, requests: []model.RequestID{id}}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

func (p *Pool) connect(ctx context.Context, call *Call) (net.Conn, error) {
	if call.Relay != nil {
		return relay.Dial(ctx, p.dial, *call.Relay, call.Target)
	}
	conn, err := p.dial(ctx, call.Address)
	return conn, errors.Wrapf(err, "cannot connect to target %s", call.Address)
}

// route names the way to the target, by which idle connections are kept.
func (call *Call) route() string {
	if call.Relay != nil {
		return string(call.Relay.VM) + " " + call.Address
	}
	return call.Address
}

// take removes the most recently used idle connection that has not carried the
// request id: a late response to an earlier send of the same request could not be
// told from the response to the next one.
func (p *Pool) take(address string, id model.RequestID) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if slices.Contains(c.requests, id) {
			continue
		}
		p.idle[address] = slices.Delete(list, i, i+1)
		p.reused++
		return c
	}
	return nil
}

// put returns a connection whose response was read to its end to the pool. limit is
// the target's idle limit; 0 selects defaultIdleLimit.
func (p *Pool) put(address string, c *connection, limit time.Duration) {
	keep := defaultIdleLimit
	if limit > 0 {
		keep = limit - idleMargin
	}
	unread := c.reader.Buffered() > 0
	if unread {
		p.countUnsolicited()
	}
	if keep <= 0 || unread || len(c.requests) >= maxRequests {
		_ = c.Close() // a close error is harmless: the response is complete
		return
	}
	c.expiresAt = time.Now().Add(keep)
	c.onSilence, c.onTrickle = nil, nil // they refer to the request, and so to its body
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[address] = append(p.idle[address], c)
}

// Sweep closes the idle connections whose limit has expired.
func (p *Pool) Sweep() {
	p.mu.Lock()
	var expired []*connection
	now := time.Now()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expiresAt) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close() // a close error is harmless: no request is in flight on it
	}
}

// Counts returns how many connections were opened and how many idle ones were taken
// for reuse, including those that then proved unusable.
func (p *Pool) Counts() (opened, reused int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened, p.reused
}

// Unsolicited returns how many connections were closed because bytes arrived on them
// that could not be attributed to a request in flight.
func (p *Pool) Unsolicited() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unsolicited
}

func (p *Pool) countUnsolicited() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unsolicited++
}
