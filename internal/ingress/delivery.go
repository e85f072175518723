package ingress

import (
	"net/http"
	"slices"

	"tamarackreach/internal/director"
)

// This file holds the rule which send's result may reach the caller.
//
// Invariant: the caller receives the result of the last send that may have run the
// request, with the sends whose stream that send resumes, or a response of the router.
// The result of an earlier send is withdrawn, since a later run may have had another
// one. A status that callers read as the promise that the request has not run, and never
// will, is the router's own: a target that did not run a request states so, and its
// response counts as a rejection.

// promises are the statuses that callers read as that promise.
var promises = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// decision is what becomes of a whole response that is not a stream.
type decision uint8

const (
	// deliver writes the response to the caller.
	deliver decision = iota + 1
	// keep delivers it if no later send may have run the request.
	keep
	// discard counts it as a failed send.
	discard
	// discardPromise does so because its status would be read as a promise.
	discardPromise
)

// accept decides what becomes of the whole response to a send that may have run the
// request, and stores one to keep. repeatable is true when
// the request may be sent again.
func (r *response) accept(b *bufferedResponse, repeatable bool) decision {
	switch {
	case r.started:
		return discard // no other response can follow one that has started
	case slices.Contains(promises, b.status):
		return discardPromise
	case b.status >= http.StatusInternalServerError && repeatable:
		r.kept = b
		return keep
	}
	return deliver
}

// sendEnded applies the end of a send whose result was not delivered. sent is true when
// a byte may have been sent to its target. It returns the failure that it withdraws, nil
// if there is none.
func (r *response) sendEnded(send int, outcome director.Outcome, sent bool) *bufferedResponse {
	notRun := !sent || outcome == director.NotSent || outcome == director.Rejected
	if r.kept == nil || r.kept.send >= send || notRun {
		return nil
	}
	withdrawn := r.kept
	r.kept = nil
	return withdrawn
}
