package upstream

import (
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

// ErrResponseMerged means that parts of two responses form one: the head of the next
// response follows inside a partial response, or inside one without a length, or a head
// has two signatures.
var ErrResponseMerged = errors.New("response contains the head of another one; connection closed")

// ErrResponseMalformed means that the name of a field in the response's head contains a
// space, so that the field, which may be its length, counts as unknown.
var ErrResponseMalformed = errors.New("response has a field name with a space; connection closed")

// statusLine matches the status line of a response that follows another one.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9][0-9]`)

// mergedHeads reports whether a response head contains a second status line. Bytes that
// end inside a line run on into the response that follows, whose id the head then
// has.
func mergedHeads(resp *http.Response) bool {
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

// attribute returns an error unless the response read from c answers request id.
func (c *connection) attribute(resp *http.Response, head *platform.ResponseHead, id model.RequestID) error {
	if mergedHeads(resp) || head.SignedTwice {
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
