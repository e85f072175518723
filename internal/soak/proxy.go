package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy passes loopback connections on and harms them.
type proxy struct {
	listener net.Listener
	to       string
	// delay holds up each piece of bytes, in nanoseconds.
	delay atomic.Int64
	// muteUp and muteDown silence one way: bytes are read and never passed on.
	muteUp, muteDown atomic.Bool
	mu               sync.Mutex
	conns            map[net.Conn]bool
}

// newProxy listens on a free loopback port for connections to an address.
func newProxy(to string) (*proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, to: to, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(conn)
	}
}

func (p *proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp4", p.to)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var wait sync.WaitGroup
	wait.Add(2)
	go func() { defer wait.Done(); p.pass(server, client, &p.muteUp) }()
	go func() { defer wait.Done(); p.pass(client, server, &p.muteDown) }()
	wait.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
	_ = client.Close() // both ways have ended
	_ = server.Close()
}

// pass copies one way until either end closes, and then closes the other.
func (p *proxy) pass(to, from net.Conn, mute *atomic.Bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !mute.Load() {
			time.Sleep(time.Duration(p.delay.Load()))
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // the other way goes on
			}
			return
		}
	}
}

// resetAll resets every open connection; new ones work.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		reset(conn)
	}
}

func (p *proxy) heal() {
	p.delay.Store(0)
	p.muteUp.Store(false)
	p.muteDown.Store(false)
	// Connections that were silenced have lost bytes and are of no more use.
	p.resetAll()
}

func (p *proxy) close() {
	_ = p.listener.Close() // its accept loop ends
	p.resetAll()
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // close sends a reset
	}
	_ = conn.Close()
}
