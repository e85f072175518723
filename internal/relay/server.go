package relay

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"tamarackreach/internal/model"
	"tamarackreach/internal/tcpstate"
)

const (
	// handshakeTimeout bounds the time until the first line of a connection.
	handshakeTimeout = time.Second
	// maxConnections bounds the connections that are relayed at once.
	maxConnections = 512
	secretBytes    = 16
)

// NewSecret returns a random secret for the relay of a process.
func NewSecret() string {
	b := make([]byte, secretBytes)
	_, _ = rand.Read(b) // it never fails: the process ends if there is no randomness
	return hex.EncodeToString(b)
}

// Server relays connections of other VMs to targets.
type Server struct {
	// Secret authorises connections.
	Secret string
	// Resolve returns the address of a registered target.
	Resolve func(model.TargetID) (address string, ok bool)
	// Dial connects to an address.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Opened is called with the result of each connection to a target, and Closed when one
	// that was opened has ended.
	Opened func(target model.TargetID, connected bool)
	Closed func()

	mu    sync.Mutex
	count int
	open  map[*relayed]struct{}
}

// relayed is a connection between a sender and a target.
type relayed struct {
	server         *Server
	sender, target net.Conn
	// lastByteAt is when the connection last carried a byte, and awaitsTarget whether that was
	// one of the sender: a request without a response. The server's lock guards both.
	lastByteAt   time.Time
	awaitsTarget bool
}

// carried records that a connection has carried a byte of the sender or of the target.
func (c *relayed) carried(bySender bool) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	c.lastByteAt, c.awaitsTarget = time.Now(), bySender
}

// Active returns the number of connections that hold a request: those whose target has not
// responded to the last bytes of the sender, however long it works, and those that carried a byte
// within a time. Connections that senders keep for later requests are not counted.
func (s *Server) Active(within time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	active := 0
	for c := range s.open {
		if c.awaitsTarget || time.Since(c.lastByteAt) <= within {
			active++
		}
	}
	return active
}

// Serve accepts connections until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() }) // ends Accept
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			logrus.WithError(err).Warn("cannot accept a relay connection")
			time.Sleep(handshakeTimeout) // such as too many open files
			continue
		}
		go s.serve(ctx, conn)
	}
}

func (s *Server) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count >= maxConnections {
		return false
	}
	s.count++
	return true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count--
}

// serve relays one connection.
func (s *Server) serve(ctx context.Context, sender net.Conn) {
	defer func() { _ = sender.Close() }() // a no-op after reset or an orderly end
	if !s.acquire() {
		s.refuse(sender, "", statusFull)
		return
	}
	defer s.release()
	id, address, ok := s.authorize(sender)
	if !ok {
		s.refuse(sender, id, statusRefused)
		return
	}
	target, err := s.Dial(ctx, address)
	s.Opened(id, err == nil)
	if err != nil {
		s.refuse(sender, id, statusUnreachable)
		return
	}
	defer s.Closed()
	defer func() { _ = target.Close() }() // both directions have ended
	if _, err := io.WriteString(sender, statusConnected+"\n"); err != nil {
		return
	}
	logrus.WithFields(logrus.Fields{"target": id, "sender": sender.RemoteAddr().String()}).Debug("relay connection opened")
	s.opened(sender, target).relay()
}

// opened records an open connection.
func (s *Server) opened(sender, target net.Conn) *relayed {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*relayed]struct{}{}
	}
	c := &relayed{server: s, sender: sender, target: target, lastByteAt: time.Now()}
	s.open[c] = struct{}{}
	return c
}

// authorize reads the sender's line and returns the target that it names and its address.
func (s *Server) authorize(sender net.Conn) (id model.TargetID, address string, ok bool) {
	if err := sender.SetReadDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", "", false
	}
	line, err := readLine(sender)
	if err != nil {
		return "", "", false
	}
	if err := sender.SetReadDeadline(time.Time{}); err != nil {
		return "", "", false
	}
	fields := strings.Fields(line)
	if len(fields) != 3 || fields[0] != preamble || subtle.ConstantTimeCompare([]byte(fields[1]), []byte(s.Secret)) != 1 {
		return "", "", false
	}
	id = model.TargetID(fields[2])
	address, ok = s.Resolve(id)
	return id, address, ok
}

func (s *Server) refuse(sender net.Conn, id model.TargetID, status string) {
	logrus.WithFields(logrus.Fields{"target": id, "sender": sender.RemoteAddr().String(), "reason": status}).Info("relay connection refused")
	if _, err := io.WriteString(sender, status+"\n"); err != nil {
		logrus.WithError(err).Debug("cannot write the refusal of a relay connection")
	}
}

// relay copies both directions until the target's bytes end or either side fails.
func (c *relayed) relay() {
	go func() {
		// The sender ends its direction only by closing the connection; that of the target
		// is reset, so that the target stops its work and gets no byte of it later.
		_ = c.copyRequests()
		reset(c.target)
	}()
	if err := c.copyFramed(); err != nil {
		reset(c.sender)
	}
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	delete(c.server.open, c)
}

// copyRequests passes on what the sender sends, as it is.
func (c *relayed) copyRequests() error {
	buffer := make([]byte, maxFrameBytes)
	for {
		n, err := c.sender.Read(buffer)
		if n > 0 {
			c.carried(true)
			if _, err := c.target.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if err != nil {
			return err
		}
	}
}

// copyFramed passes on what the target sends, as frames. It returns an error unless the
// target's bytes have ended in order and the end was passed on.
func (c *relayed) copyFramed() error {
	buffer := make([]byte, 2+maxFrameBytes)
	sender, target := c.sender, c.target
	for {
		n, err := target.Read(buffer[2:])
		if n > 0 {
			c.carried(false)
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if _, err := sender.Write(buffer[:2+n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) && tcpstate.WasReset(target) {
			return errTargetReset
		}
		if errors.Is(err, io.EOF) {
			_, err = sender.Write([]byte{0, 0})
			return err
		}
		if err != nil {
			return err
		}
	}
}

// reset closes a connection so that its other end reads an error, and gets no byte that it has
// not acknowledged.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the close is orderly; a sender finds the missing end frame
	}
	_ = conn.Close()
}
