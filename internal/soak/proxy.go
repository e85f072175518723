package soak

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// proxy forwards loopback connections to a server and injects network faults.
type proxy struct {
	listener net.Listener
	upstream string
	// delay is added before each write, in nanoseconds.
	delay atomic.Int64
	// dropUp and dropDown discard all bytes to the server or to the client.
	dropUp, dropDown atomic.Bool
	// segments is how half of the connections forward responses.
	segments atomic.Int32
	mu       sync.Mutex
	conns    map[net.Conn]bool
}

// The ways of forwarding responses.
const (
	// asReceived forwards bytes as they arrive.
	asReceived int32 = iota
	// singleBytes writes each byte by itself.
	singleBytes
	// merged holds bytes back for mergeDelay and writes them with those that follow.
	merged
	// halfClosing ends the direction to the client behind some bytes and discards the
	// rest; requests still reach the server.
	halfClosing
	// resetsAsEnds forwards a reset as an orderly end.
	resetsAsEnds
)

const (
	mergeDelay = 3 * time.Millisecond
	// halfCloseShare is the share of reads after which halfClosing ends the direction.
	halfCloseShare = 0.1
)

// newProxy listens on a free loopback port and forwards to the upstream address.
func newProxy(upstream string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, upstream: upstream, conns: map[net.Conn]bool{}}
	go p.acceptLoop()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) acceptLoop() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp4", p.upstream)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var wait sync.WaitGroup
	wait.Add(2)
	go func() { defer wait.Done(); p.copyOneWay(server, client, &p.dropUp) }()
	go func() { defer wait.Done(); p.copyResponses(client, server) }()
	wait.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
	_ = client.Close() // both directions have ended
	_ = server.Close()
}

// copyOneWay copies one direction until either end closes. At the end of the
// input it closes the write side of to; a reset of one side resets the other.
func (p *proxy) copyOneWay(to, from net.Conn, drop *atomic.Bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if !p.write(to, from, drop, buffer[:n]) {
			return
		}
		if err != nil {
			end(to, errors.Is(err, io.EOF))
			return
		}
	}
}

// copyResponses is copyOneWay in the direction to the client, with the proxy's way of
// forwarding. It injects an end that the server did not send only where the length of
// the response shows that it is incomplete.
func (p *proxy) copyResponses(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	affected, framed, halfClosed := rand.IntN(2) == 0, false, false
	for {
		n, err := from.Read(buffer)
		way := asReceived
		if affected {
			way = p.segments.Load()
		}
		if way == merged && err == nil {
			var more int
			more, err = readMore(from, buffer[n:])
			n += more
		}
		text := buffer[:n]
		if i := bytes.LastIndex(text, []byte("HTTP/1.1 ")); i >= 0 {
			framed = hasLength(text[i:])
		}
		if !halfClosed && !p.forward(to, from, text, way) {
			return
		}
		if err != nil {
			end(to, errors.Is(err, io.EOF) || way == resetsAsEnds && framed)
			return
		}
		if way == halfClosing && framed && !halfClosed && rand.Float64() < halfCloseShare {
			halfClosed = true
			end(to, true)
		}
	}
}

// forward writes a part of the responses in the given way. It returns false when to
// takes no bytes any more.
func (p *proxy) forward(to, from net.Conn, text []byte, way int32) bool {
	if way != singleBytes {
		return p.write(to, from, &p.dropDown, text)
	}
	for i := range text {
		if !p.write(to, from, &p.dropDown, text[i:i+1]) {
			return false
		}
	}
	return true
}

// readMore reads what arrives within mergeDelay.
func readMore(from net.Conn, buffer []byte) (int, error) {
	_ = from.SetReadDeadline(time.Now().Add(mergeDelay)) // the read reports a closed connection
	defer func() { _ = from.SetReadDeadline(time.Time{}) }()
	n, err := io.ReadFull(from, buffer)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = nil
	case errors.Is(err, io.ErrUnexpectedEOF):
		err = io.EOF
	}
	return n, err
}

// hasLength reports whether a response begins with a whole head that states how its
// body ends.
func hasLength(response []byte) bool {
	head, _, whole := bytes.Cut(response, []byte("\r\n\r\n"))
	return whole && (bytes.Contains(head, []byte("\r\nContent-Length: ")) || bytes.Contains(head, []byte("\r\nTransfer-Encoding: chunked")))
}

// write forwards bytes unless they are dropped. It resets from and returns false when
// to takes none any more.
func (p *proxy) write(to, from net.Conn, drop *atomic.Bool, text []byte) bool {
	if len(text) == 0 || drop.Load() {
		return true
	}
	time.Sleep(time.Duration(p.delay.Load()))
	if _, err := to.Write(text); err != nil {
		reset(from)
		return false
	}
	return true
}

// end closes the write side of a connection, the other direction stays open; unless
// orderly, it resets the connection.
func end(conn net.Conn, orderly bool) {
	tcp, ok := conn.(*net.TCPConn)
	switch {
	case !orderly:
		reset(conn)
	case ok:
		_ = tcp.CloseWrite() // fails if the connection is closed
	}
}

// resetAll resets every open connection; new connections are accepted.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

// clear ends all network faults of the proxy.
func (p *proxy) clear() {
	p.delay.Store(0)
	p.dropUp.Store(false)
	p.dropDown.Store(false)
	p.segments.Store(asReceived)
	// Open connections may have lost bytes, so they cannot continue.
	p.resetAll()
}

func (p *proxy) close() {
	_ = p.listener.Close() // ends acceptLoop
	p.resetAll()
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // close sends a reset
	}
	_ = conn.Close()
}
