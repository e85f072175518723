package upstream

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/model"
	"tamarackreach/platform"
)

// Targets may send responses that no request is waiting for, at any time. A response
// is attributed to the request in flight only if it echoes the request's id. A
// failure without an id is also accepted from a connection that has carried no other
// request: the target may have failed to parse the request.

// ErrResponseMismatch means that the response carries the id of another request.
var ErrResponseMismatch = errors.New("response carries the id of another request; connection closed")

// ErrResponseUnidentified means that the response carries no id although the
// target must have read one, or that it may belong to another request.
var ErrResponseUnidentified = errors.New("response carries no request id; connection closed")

// attribute returns an error unless the response read from c answers request id.
func (c *connection) attribute(resp *http.Response, head *platform.ResponseHead, id model.RequestID) error {
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
