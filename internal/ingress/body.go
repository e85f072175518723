package ingress

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/clientlimit"
	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

const (
	// firstPieceBytes is the first reservation for a body without a declared length.
	firstPieceBytes = clientlimit.SmallBodyBytes
	// freeingWait bounds the wait for the bytes of cancelled bodies, in steps of freeingStep.
	// Their readers return as soon as they are scheduled.
	freeingWait = 100 * time.Millisecond
	freeingStep = 2 * time.Millisecond
	// lingerTime is how long the rest of a refused body is discarded, so that the refusal
	// reaches a client that reads only after it has written.
	lingerTime = time.Second
	// localWriteTime bounds the writing of a response of the router's own.
	localWriteTime = 2 * time.Second
	// fullRetryAfter is the Retry-After of a body that does not fit into memory: about the
	// time of a request with a large body.
	fullRetryAfter = 500 * time.Millisecond
)

// Reasons of refusals of bodies.
const (
	reasonNoMemory  = "the VM has no memory for the body"
	reasonStalled   = "the body made no progress while the VM was short of memory or connections"
	reasonBodyLate  = "the time of the request ended before its body was read"
	reasonUnread    = "the body cannot be read: "
	reasonAbandoned = "the connection was closed before the request was sent"
)

// clientConnection is the view that the handler has of a caller's connection; see
// frontdaemon. Connections of other servers do not implement it.
type clientConnection interface {
	// BodyBegins and BodyProgressed record the reading of a body. BodyEnds reports whether
	// the connection was not chosen to be closed meanwhile.
	BodyBegins()
	BodyProgressed()
	BodyEnds() bool
	// Refused records that a refusal was written and that the connection will be closed.
	Refused()
	// Forwarding reports whether the request may be sent to a target: the connection is not
	// closed in favour of another one afterwards.
	Forwarding() bool
}

// noConnection stands for a connection that is not counted.
type noConnection struct{}

func (noConnection) BodyBegins()      {}
func (noConnection) BodyProgressed()  {}
func (noConnection) BodyEnds() bool   { return true }
func (noConnection) Refused()         {}
func (noConnection) Forwarding() bool { return true }

func connectionOf(r *http.Request) clientConnection {
	if c, ok := r.Context().Value(connKey{}).(clientConnection); ok {
		return c
	}
	return noConnection{}
}

// errNoMemory means that a body does not fit into the account.
var errNoMemory = errors.New(reasonNoMemory)

// errStalled means that the reading of a body was cancelled in favour of others.
var errStalled = errors.New(reasonStalled)

// bodyReader reads the body of one request within the account.
type bodyReader struct {
	account *clientlimit.Account
	conn    clientConnection
	// large is the reservation of a large body, nil for others, and small that of a small one.
	large *clientlimit.Body
	small int64
	// marked is the number of bytes read at the last progress.
	marked int
}

// release returns what was reserved.
func (b *bodyReader) release() {
	if b.large != nil {
		b.large.Close()
	}
	b.account.Release(b.small)
	b.small = 0
}

// read reads a body of a declared length, -1 if there is none. The length of a small body is
// reserved at once; a large one is open to cancellation by cancel.
func (b *bodyReader) read(body io.Reader, length int64, workspace model.WorkspaceID, cancel func()) ([]byte, error) {
	if 0 <= length && length <= clientlimit.SmallBodyBytes {
		if !b.account.Reserve(clientlimit.SmallBody, length) {
			return nil, errNoMemory
		}
		b.small = length
	} else {
		b.large = b.account.OpenBody(bootclock.Now(), workspace, cancel)
	}
	content, err := b.readPieces(body, length)
	if b.large != nil && !b.large.Complete() {
		return nil, errStalled
	}
	return content, err
}

// readPieces reads a body into a buffer of its declared length, or into one that grows.
func (b *bodyReader) readPieces(body io.Reader, length int64) ([]byte, error) {
	capacity := length
	if length < 0 {
		capacity = firstPieceBytes
	}
	if err := b.reserveLarge(capacity); err != nil {
		return nil, err
	}
	content := make([]byte, 0, capacity)
	for {
		if len(content) == cap(content) {
			if length >= 0 {
				return content, nil
			}
			grown := int64(2 * cap(content))
			if err := b.reserveLarge(grown); err != nil {
				return nil, err
			}
			replaced := int64(cap(content))
			content = append(make([]byte, 0, grown), content...)
			b.large.Shrink(replaced)
		}
		n, err := body.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		b.progressed(len(content))
		if errors.Is(err, io.EOF) {
			return content, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

func (b *bodyReader) progressed(read int) {
	if read-b.marked < clientlimit.ProgressBytes {
		return
	}
	b.marked = read
	b.conn.BodyProgressed()
	if b.large != nil {
		b.large.Progressed(bootclock.Now())
	}
}

// reserveLarge reserves bytes of a large body, and waits shortly while cancelled bodies
// release theirs.
func (b *bodyReader) reserveLarge(n int64) error {
	if b.large == nil {
		return nil
	}
	for waitUntil := time.Now().Add(freeingWait); ; time.Sleep(freeingStep) {
		switch b.large.Reserve(bootclock.Now(), n) {
		case clientlimit.Reserved:
			return nil
		case clientlimit.Freeing:
			if time.Now().Before(waitUntil) {
				continue
			}
		}
		b.large.CountRefusal()
		return errNoMemory
	}
}

// receive decides on the head of the request and reads its body. It reports whether the
// request is to be served; otherwise it has been refused.
func (a *activeRequest) receive(e *director.RequestArrived) bool {
	if a.r.ContentLength == 0 {
		return true // the full decision follows at once
	}
	var head director.HeadDecision
	a.handler.reducer.Read(func(s *director.State) { head = s.DecideHead(bootclock.Now(), *e) })
	limit := head.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if head.Refusal != nil {
		a.refuseUnread(head.Refusal, limit, "")
		return false
	}
	if a.r.ContentLength > limit {
		err := &http.MaxBytesError{Limit: limit}
		a.refuseUnread(&director.Refuse{Status: http.StatusRequestEntityTooLarge, Reason: reasonUnread + err.Error()}, limit, "")
		return false
	}
	return a.readBody(&head, limit, e.Random)
}

// readBody reads the body within the time of the request.
func (a *activeRequest) readBody(head *director.HeadDecision, limit int64, random float64) bool {
	a.conn.BodyBegins()
	a.setReadDeadline(time.Now().Add(head.TimeLeft))
	content, err := a.body.read(http.MaxBytesReader(a.response.w, a.r.Body, limit), a.r.ContentLength, head.Workspace, func() {
		a.setReadDeadline(time.Now())
	})
	if !a.conn.BodyEnds() {
		err = errStalled
	}
	if err != nil {
		a.refuseBody(err, limit, random)
		return false
	}
	// The server reads on while the request is served, and would take the deadline for the
	// end of the connection.
	a.setReadDeadline(time.Time{})
	a.request.Body = content
	return true
}

// refuseBody answers a request whose body could not be read.
func (a *activeRequest) refuseBody(err error, limit int64, random float64) {
	var tooLong *http.MaxBytesError
	refusal := &director.Refuse{Status: http.StatusBadRequest, Reason: reasonUnread + err.Error()}
	retryAfter := time.Duration(float64(fullRetryAfter) * (0.5 + random))
	switch {
	case errors.As(err, &tooLong):
		refusal.Status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errNoMemory), errors.Is(err, errStalled):
		refusal = &director.Refuse{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter, Reason: err.Error()}
	case errors.Is(err, os.ErrDeadlineExceeded):
		refusal = &director.Refuse{Status: http.StatusRequestTimeout, Reason: reasonBodyLate}
	}
	a.body.release()
	a.refuseUnread(refusal, limit, err.Error())
}

// refuseUnread refuses a request whose body was not read to its end. A small body is then
// read by the server, so that the connection can be used again; otherwise the connection is
// closed, after the rest of a body of legal size was discarded for a limited time.
func (a *activeRequest) refuseUnread(e *director.Refuse, limit int64, detail string) {
	if e.Detail == "" {
		e.Detail = detail
	}
	a.setReadDeadline(time.Now().Add(lingerTime))
	if length := a.r.ContentLength; detail == "" && 0 < length && length <= clientlimit.SmallBodyBytes {
		a.refuse(e)
		return
	}
	a.response.w.Header().Set("Connection", "close")
	a.refuse(e)
	err := a.response.flush()
	a.conn.Refused()
	if err != nil || a.r.Header.Get("Expect") != "" || detail == reasonStalled {
		return // the caller is gone, waits for the answer before it sends the body, or sends nothing
	}
	if a.r.ContentLength <= limit {
		// An error ends the discarding; the connection is closed in any case.
		_, _ = io.Copy(io.Discard, io.LimitReader(a.r.Body, limit))
	}
}

func (a *activeRequest) setReadDeadline(t time.Time) {
	// An error means that the connection is closed, which the next read reports.
	_ = http.NewResponseController(a.response.w).SetReadDeadline(t)
}

// refuseHead answers a request whose head cannot be decoded.
func (h *RequestHandler) refuseHead(w http.ResponseWriter, r *http.Request, err error) {
	a := &activeRequest{handler: h, response: newResponse(w, r), r: r, request: &fleet.Request{}}
	a.setReadDeadline(time.Now().Add(lingerTime))
	a.setLocalWriteDeadline()
	http.Error(w, err.Error(), http.StatusBadRequest)
}

func (a *activeRequest) setLocalWriteDeadline() {
	// An error means that the connection is closed, which the write reports.
	_ = a.response.setWriteDeadline(time.Now().Add(localWriteTime))
}
