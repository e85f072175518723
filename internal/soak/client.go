package soak

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// client is a caller's persistent connection, to one VM at a time. Unlike
// http.Client it never repeats a request, and it reports bytes that belong to no
// response.
type client struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

const (
	connectTimeout = time.Second
	// idleRead bounds the read that detects unsolicited bytes.
	idleRead = 200 * time.Microsecond
)

// do makes the request of a call and records the response in it.
func (c *client) do(address string, req *http.Request, result *call) {
	result.stray = c.unsolicited()
	if result.stray != "" || address != c.address {
		c.close()
	}
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", address, connectTimeout)
		if err != nil {
			result.loss = err.Error()
			return
		}
		c.address, c.conn, c.reader = address, conn, bufio.NewReader(conn)
	}
	if err := c.exchange(req, result); err != nil {
		result.loss = err.Error()
		c.close()
	}
}

// exchange sends the request and reads the response. An error means that the
// response is missing or incomplete.
func (c *client) exchange(req *http.Request, result *call) error {
	if err := c.conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return err
	}
	if err := req.Write(c.conn); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, req)
	if err != nil {
		result.malformed = !isLoss(err)
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	result.status, result.header = resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	result.body = string(body)
	if err != nil {
		return err
	}
	result.complete = true
	if resp.Close {
		c.close()
	}
	return nil
}

// isLoss reports whether an error means that the connection ended or timed out, not
// that the bytes received are no response.
func isLoss(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network)
}

// unsolicited returns the bytes that arrived without a request. It closes the
// connection if the VM has closed it.
func (c *client) unsolicited() string {
	if c.conn == nil {
		return ""
	}
	if c.reader.Buffered() == 0 {
		if err := c.conn.SetReadDeadline(time.Now().Add(idleRead)); err != nil {
			c.close()
			return ""
		}
		if _, err := c.reader.Peek(1); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				c.close()
			}
			return ""
		}
	}
	text, _ := c.reader.Peek(c.reader.Buffered())
	return string(text)
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close() // its response was read or is lost
		c.conn = nil
	}
}
