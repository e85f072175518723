package upstream

import (
	"bytes"
	"net/http"
	"regexp"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/model"
	"tamarackreach/platform"
)

// Targets may send responses that no request is waiting for, at any time. A response
// is attributed to the request in flight only if it echoes the request's id, and no
// connection carries the same id twice. A failure without an id is also accepted from
// a connection that has carried no other request: the target may have failed to parse
// the request.

// ErrResponseMismatch means that the response carries the id of another request.
var ErrResponseMismatch = errors.New("response carries the id of another request; connection closed")

// ErrResponseUnidentified means that the response carries no id and is a success or
// may belong to another request.
var ErrResponseUnidentified = errors.New("response carries no request id; connection closed")

// ErrResponseMerged means that the head of the next response follows inside a partial
// response, or inside one without a length.
var ErrResponseMerged = errors.New("response contains the head of another one; connection closed")

// ErrResponseMalformed means that the name of a field in the response's head contains a
// space, so that the field, which may be its length, counts as unknown.
var ErrResponseMalformed = errors.New("response has a field name with a space; connection closed")

// statusLine matches the status line of a response that follows a partial one.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]`)

// merged reports whether a response head contains a second status line. Bytes that
// end inside a line run on into the response that follows, whose id the head then
// has.
func merged(resp *http.Response) bool {
	if statusLine.MatchString(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// headCheck finds the head of a second response in the lines of a stream's event.
type headCheck struct {
	// statusSeen is true when a line of the event contains a status line.
	statusSeen bool
}

// merged reports whether line, the next of the event, shows that a second response has
// begun. Data and comments may mention a status line; no other line does, and none but
// the fields of events follow.
func (h *headCheck) merged(line []byte) bool {
	status := statusLine.Match(line)
	found := false
	switch name, _, _ := bytes.Cut(line, []byte(":")); string(name) {
	case "", "data":
	case "id", "event", "retry":
		found = status
	default: // a field that clients ignore, or a line of a head
		found = status || h.statusSeen
	}
	h.statusSeen = h.statusSeen || status
	return found
}

// attribute returns an error unless the response read from c answers request id.
func (c *connection) attribute(resp *http.Response, head *platform.ResponseHead, id model.RequestID) error {
	if merged(resp) || head.SignedTwice {
		return ErrResponseMerged
	}
	for name := range resp.Header {
		if strings.ContainsAny(name, " \t") {
			return ErrResponseMalformed
		}
	}
	switch head.RequestID {
	case id:
		return nil
	case "":
		if c.reused || resp.StatusCode < http.StatusBadRequest {
			return ErrResponseUnidentified
		}
		return nil
	default:
		return ErrResponseMismatch
	}
}

// maxHeadBytes limits the head of a second response that is looked for in a body.
const maxHeadBytes = 8 << 10

// statusLineBytes is the length of what statusLine matches.
const statusLineBytes = len("HTTP/1.1 200")

// bodyCheck finds the head of a second response in a body. A body may hold any bytes,
// also a response as text, so a head counts only if it echoes the id of a request that
// the connection has carried.
type bodyCheck struct {
	requests []model.RequestID
	// window holds the last bytes of the body, from where a head may have begun.
	window []byte
}

// merged reports whether part, the next of the body, shows that a second response has
// begun; last is true at the end of the body.
func (b *bodyCheck) merged(part []byte, last bool) bool {
	for len(part) > readBufferBytes {
		if b.scan(part[:readBufferBytes], false) {
			return true
		}
		part = part[readBufferBytes:]
	}
	return b.scan(part, last)
}

// scan is merged for a part that is not longer than readBufferBytes, which bounds the
// window.
func (b *bodyCheck) scan(part []byte, last bool) bool {
	b.window = append(b.window, part...)
	rest := b.window
	for {
		at := statusLine.FindIndex(rest)
		if at == nil {
			rest = rest[max(0, len(rest)-statusLineBytes+1):]
			break
		}
		echoes, ended := b.checkHead(rest[at[0]:], last)
		if echoes {
			return true
		}
		if !ended {
			rest = rest[at[0]:]
			break
		}
		rest = rest[at[1]:]
	}
	b.window = append(b.window[:0], rest...)
	return false
}

// checkHead reports whether text, which begins with a status line, is a head that echoes
// a request of the connection, and whether the head ends in text.
func (b *bodyCheck) checkHead(text []byte, last bool) (echoes, ended bool) {
	for first := true; ; first = false {
		line, rest, whole := bytes.Cut(text, []byte("\n"))
		if !whole && !last {
			return false, len(b.window) > maxHeadBytes
		}
		line = bytes.TrimRight(line, "\r")
		name, _, field := bytes.Cut(line, []byte(":"))
		switch {
		case first:
		case !field || len(name) == 0 || bytes.ContainsAny(name, " \t"):
			return false, true
		case slices.Contains(b.requests, platform.EchoedID(line)):
			return true, true
		}
		if !whole {
			return false, true
		}
		text = rest
	}
}
