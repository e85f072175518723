package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// attempt is a client attempt on a connection of its own.
type attempt struct {
	id, path string
	vm       *vm
	deadline time.Duration
	// parts are the parts of the prompt, empty for none.
	parts   string
	sentAt  time.Time
	endedAt time.Time
	// status is 0 where the connection ended without a response; whole is true once the whole
	// response was read.
	status int
	whole  bool
	err    error
}

func newAttempt(v *vm, path string, deadline time.Duration) *attempt {
	return &attempt{id: fmt.Sprintf("%016x", attempts.Add(1)), path: path, vm: v, deadline: deadline}
}

// send sends the request and reads the response.
func (a *attempt) send() {
	a.sentAt = time.Now()
	defer func() { a.endedAt = time.Now() }()
	conn, err := net.DialTimeout("tcp4", a.vm.front, time.Second)
	if err != nil {
		a.err = fmt.Errorf("not connected: %w", err)
		return
	}
	defer func() { _ = conn.Close() }()
	a.sentAt = time.Now()
	_ = conn.SetDeadline(a.sentAt.Add(a.deadline))
	body, extra := "{\"amount\":1}", ""
	if a.parts != "" {
		extra = "Tamarackreach-Prompt-Prefix: " + a.parts + "\r\n"
	}
	_, a.err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: ficu95.example\r\nTamarackreach-Attempt-Id: %s\r\nTamarackreach-Deadline-Ms: %d\r\nContent-Length: %d\r\n%s\r\n%s",
		a.path, a.id, a.deadline.Milliseconds(), len(body), extra, body)
	if a.err != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.status = resp.StatusCode
	_, err = io.Copy(&bytes.Buffer{}, resp.Body)
	a.whole, a.err = err == nil, err
}
