package upstream

import "tamarackreach/internal/model"

// ContinuesWithResponse reports whether a body, received in parts, continues with the
// response to request id.
func ContinuesWithResponse(id model.RequestID, parts ...[]byte) bool {
	check := bodyCheck{requests: []model.RequestID{id}}
	for _, part := range parts {
		if check.secondResponse(part, false) {
			return true
		}
	}
	return check.secondResponse(nil, true)
}
