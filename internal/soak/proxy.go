package soak

import (
	"io"
	"net"
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
	mu               sync.Mutex
	conns            map[net.Conn]bool
}

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
	go func() { defer wait.Done(); p.copyOneWay(client, server, &p.dropDown) }()
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
		if n > 0 && !drop.Load() {
			time.Sleep(time.Duration(p.delay.Load()))
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil && !errors.Is(err, io.EOF) {
			reset(to)
			return
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // the other direction stays open
			}
			return
		}
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
