package ingress

import (
	"net/http"

	"tamarackreach/internal/director"
)

// This file holds the rule which send's result may reach the caller.
//
// Invariant: the caller receives the result of the last send that may have run the
// request, with the sends whose stream that send resumes, or a response of the router.
// The result of an earlier send is withdrawn, since a later run may have had another
// one.

// decision is what becomes of a whole response that is not a stream.
type decision uint8

const (
	// deliver writes the response to the caller.
	deliver decision = iota + 1
	// keep delivers it if no later send may have run the request.
	keep
	// discard counts it as a failed send.
	discard
)

// offer decides what becomes of the whole response to a send. repeatable is true when
// the request may be sent again.
func (r *response) offer(b *bufferedResponse, repeatable bool) decision {
	switch {
	case r.started:
		return discard // no other response can follow one that has started
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
