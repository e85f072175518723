package relay

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/model"
)

// dialTimeout bounds the time until a connection through a relay is open or has failed: the
// relay's own attempt and the way to it.
const dialTimeout = 600 * time.Millisecond

// Endpoint is the relay of a VM.
type Endpoint struct {
	VM      model.NodeID
	Address string
	Secret  string
}

// Dial connects to a target through a relay. The error is marked ErrRelay when the relay
// failed or refused, and ErrTargetUnreachable when the target did not accept; no byte has
// been sent to the target in either case. open opens the connection to the relay.
func Dial(ctx context.Context, open func(context.Context, string) (net.Conn, error), e Endpoint, target model.TargetID) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := open(ctx, e.Address)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "cannot connect to relay %s", e.VM), ErrRelay)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	status, err := handshake(conn, e.Secret, target)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	switch {
	case err != nil:
		_ = conn.Close() // nothing was sent to the target
		return nil, errors.Mark(errors.Wrapf(err, "relay %s did not answer", e.VM), ErrRelay)
	case status == statusConnected:
		return &framedConn{Conn: conn}, nil
	}
	_ = conn.Close() // as above
	if status == statusUnreachable {
		return nil, errors.Mark(errors.Newf("relay %s cannot connect to target %s", e.VM, target), ErrTargetUnreachable)
	}
	return nil, errors.Mark(errors.Newf("relay %s refused: %s", e.VM, status), ErrRelay)
}

func handshake(conn net.Conn, secret string, target model.TargetID) (status string, err error) {
	if _, err := io.WriteString(conn, preamble+" "+secret+" "+string(target)+"\n"); err != nil {
		return "", err
	}
	return readLine(conn)
}

// readLine reads a line byte by byte, so that what follows it stays unread.
func readLine(r io.Reader) (string, error) {
	var line strings.Builder
	var b [1]byte
	for line.Len() < maxLineBytes {
		if _, err := io.ReadFull(r, b[:]); err != nil {
			return "", err
		}
		if b[0] == '\n' {
			return line.String(), nil
		}
		line.WriteByte(b[0])
	}
	return "", errors.Newf("line exceeds %d bytes", maxLineBytes)
}

// framedConn removes the frames from what the relay passes on.
type framedConn struct {
	net.Conn
	// header holds the bytes of the next frame's length that were read so far.
	header     [2]byte
	headerRead int
	// left is the number of bytes of the current frame that are not read yet.
	left  int
	ended bool
}

// Read implements io.Reader. A read may time out between the bytes of a frame and go on.
func (c *framedConn) Read(p []byte) (int, error) {
	if c.ended {
		return 0, io.EOF
	}
	for c.left == 0 {
		n, err := c.Conn.Read(c.header[c.headerRead:])
		if c.headerRead += n; c.headerRead == len(c.header) {
			c.headerRead, c.left = 0, int(binary.BigEndian.Uint16(c.header[:]))
			if c.left == 0 {
				c.ended = true
				return 0, io.EOF
			}
			break
		}
		if err != nil {
			return 0, unexpectedEnd(err)
		}
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	if err != nil {
		err = unexpectedEnd(err)
	}
	return n, err
}

// SyscallConn implements syscall.Conn, for the state of the connection to the relay.
func (c *framedConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection to the relay has no file descriptor")
	}
	return conn.SyscallConn()
}

// SetLinger implements the method of net.TCPConn for the connection to the relay.
func (c *framedConn) SetLinger(seconds int) error {
	conn, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.New("the connection to the relay is no TCP connection")
	}
	return conn.SetLinger(seconds)
}

// Ended reports whether the orderly end was read.
func (c *framedConn) Ended() bool { return c.ended }

// unexpectedEnd replaces an end without the frame that announces it.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return errBroken
	}
	return err
}
