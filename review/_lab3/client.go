package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answerTo is what a client got for one attempt.
type answerTo struct {
	ID, URI, Method, VM string
	SentAt, EndedAt     time.Time
	// Status is 0 when the connection ended without a whole answer.
	Status int
	Sealed bool
	Err    string
}

var lastAttempt atomic.Int64

func newAttemptID() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, lastAttempt.Add(1))
}

// clients are clients of one tenant.
type clients struct {
	key     string
	host    string
	mu      sync.Mutex
	answers []answerTo
}

// attempt sends a request on a new connection to a VM and waits for its answer.
func (c *clients) attempt(v *vm, method, uri, body string, deadline time.Duration) answerTo {
	a := answerTo{ID: newAttemptID(), URI: uri, Method: method, VM: v.name, SentAt: time.Now()}
	status, sealed, err := c.exchange(v, &a, body, deadline)
	a.Status, a.Sealed, a.EndedAt = status, sealed, time.Now()
	if err != nil {
		a.Err = err.Error()
	}
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
	return a
}

func (c *clients) exchange(v *vm, a *answerTo, body string, deadline time.Duration) (status int, sealed bool, err error) {
	conn, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", v.host, frontPort), time.Second)
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = conn.Close() }() // the answer was read
	if err := conn.SetDeadline(time.Now().Add(deadline)); err != nil {
		return 0, false, err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nTamarackreach-Attempt-Id: %s\r\nTamarackreach-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n", a.Method, a.URI, c.host, a.ID, deadline.Milliseconds(), c.key)
	if a.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		return 0, false, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: a.Method})
	if err != nil {
		return 0, false, err
	}
	defer func() { _ = resp.Body.Close() }() // its errors are those of the read
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, false, err
	}
	return resp.StatusCode, resp.Header.Get("Tamarackreach-Server-Seal") != "", nil
}

// snapshot returns the answers so far.
func (c *clients) snapshot() []answerTo {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]answerTo(nil), c.answers...)
}

// streamOnce sends a streaming request and reads its events to the end. The client leaves after
// two seconds without an event.
func (c *clients) streamOnce(v *vm, uri, body, prefix string, deadline time.Duration) answerTo {
	a := answerTo{ID: newAttemptID(), URI: uri, Method: http.MethodPost, VM: v.name, SentAt: time.Now()}
	err := c.readStream(v, &a, body, prefix, deadline)
	a.EndedAt = time.Now()
	if err != nil {
		a.Err = err.Error()
	}
	c.mu.Lock()
	c.answers = append(c.answers, a)
	c.mu.Unlock()
	return a
}

// patience is how long a client of a stream waits for an event: four times the objective.
const patience = 2 * time.Second

func (c *clients) readStream(v *vm, a *answerTo, body, prefix string, deadline time.Duration) error {
	conn, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", v.host, frontPort), time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // the answer was read, or the client leaves
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nTamarackreach-Attempt-Id: %s\r\nTamarackreach-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n"+
		"Tamarackreach-Model: m0\r\nTamarackreach-Token-Count: 200,40\r\nTamarackreach-Prompt-Prefix: %s\r\nContent-Length: %d\r\n\r\n%s",
		a.URI, c.host, a.ID, deadline.Milliseconds(), c.key, prefix, len(body), body)
	if _, err := io.WriteString(conn, head); err != nil {
		return err
	}
	until := time.Now().Add(deadline)
	wait := func() error { return conn.SetReadDeadline(earlier(until, time.Now().Add(patience))) }
	if err := wait(); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	status, sealed := resp.StatusCode, resp.Header.Get("Tamarackreach-Server-Seal") != ""
	buffer := make([]byte, 4096)
	for {
		if err := wait(); err != nil {
			return err
		}
		_, err := resp.Body.Read(buffer)
		if err == io.EOF {
			a.Status, a.Sealed = status, sealed
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
