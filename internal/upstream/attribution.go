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
// begun. Data and comments may mention a status line; no other line does. Behind them, a
// name with a capital letter is that of a response's field: the names in events are lower
// case.
func (h *headCheck) merged(line []byte) bool {
	status := statusLine.Match(line)
	found := false
	switch name, _, _ := bytes.Cut(line, []byte(":")); string(name) {
	case "", "data":
	case "id", "event", "retry":
		found = status
	default: // a field that clients ignore, or a line of a head
		found = status || h.statusSeen && 'A' <= name[0] && name[0] <= 'Z'
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

// maxFieldBytes limits the lines of a body that are looked at as fields of a head.
const maxFieldBytes = 8 << 10

// statusLineBytes is the length of what statusLine matches.
const statusLineBytes = len("HTTP/1.1 200")

// bodyCheck finds the head of a second response in a body. A body may hold any bytes,
// also a response as text, so a head counts only if it echoes the id of a request that
// the connection has carried.
type bodyCheck struct {
	requests []model.RequestID
	// line holds the current line; of one over maxFieldBytes, its last bytes.
	line []byte
	// long is true when the current line exceeds maxFieldBytes; statusSeen when a status
	// line was found in the part of it that is not held any more.
	long, statusSeen bool
	// inHead is true while all lines since a status line are fields.
	inHead bool
}

// merged reports whether part, the next of the body, shows that a second response has
// begun; last is true at the end of the body.
func (b *bodyCheck) merged(part []byte, last bool) bool {
	for {
		text, rest, ended := bytes.Cut(part, []byte("\n"))
		b.extend(text)
		if !ended {
			return last && b.endLine()
		}
		if b.endLine() {
			return true
		}
		part = rest
	}
}

func (b *bodyCheck) extend(text []byte) {
	for len(text) > 0 {
		n := min(len(text), maxFieldBytes)
		b.line = append(b.line, text[:n]...)
		text = text[n:]
		if len(b.line) > maxFieldBytes {
			b.long, b.statusSeen = true, b.statusSeen || statusLine.Match(b.line)
			b.line = append(b.line[:0], b.line[len(b.line)-statusLineBytes+1:]...)
		}
	}
}

// endLine reports whether the current line, which is whole, echoes a request in the head
// of a second response. A status line may follow the rest of another line.
func (b *bodyCheck) endLine() bool {
	name, _, isField := bytes.Cut(b.line, []byte(":"))
	isField = isField && !b.long && len(name) > 0 && !bytes.ContainsAny(name, " \t")
	echoes := b.inHead && isField && slices.Contains(b.requests, platform.EchoedID(bytes.TrimRight(b.line, "\r")))
	b.inHead = b.inHead && isField || b.statusSeen || statusLine.Match(b.line)
	b.line, b.long, b.statusSeen = b.line[:0], false, false
	return echoes
}
