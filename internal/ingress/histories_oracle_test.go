package ingress_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// isPromise reports whether a status states that a request has not run and never will.
func isPromise(status int) bool {
	return slices.Contains([]int{408, 421, 429, 503}, status)
}

// violations lists what the caller received in breach of the rules. It is a function
// of the history alone.
func (h *history) violations() []string {
	var out []string
	for i, a := range h.answers {
		q := h.requests[i]
		var runs []*run
		ran := 0
		for _, r := range h.runs {
			if r.request == q.id {
				runs = append(runs, r)
			}
			if r.request == q.id && r.ran {
				ran++
			}
		}
		v := &verdict{request: q, answer: a, runs: runs}
		v.require(q.repeatable() || ran <= 1, "a request that may not be repeated ran %d times", ran)
		v.require(a.behind == "", "%q follows the response", a.behind)
		v.require(!errors.Is(a.err, os.ErrDeadlineExceeded), "no end of the response")
		if a.begun {
			v.require(!isPromise(a.status) || ran == 0, "status %d for a request that ran %d times", a.status, ran)
			v.checkResponse()
		}
		out = append(out, v.out...)
	}
	if h.inFlight != 0 {
		out = append(out, fmt.Sprintf("%d requests in flight at the end", h.inFlight))
	}
	return out
}

// verdict collects the violations of one request.
type verdict struct {
	request *plannedRequest
	answer  *answer
	runs    []*run
	out     []string
}

func (v *verdict) require(ok bool, format string, args ...any) {
	if !ok {
		v.out = append(v.out, v.request.id+": "+fmt.Sprintf(format, args...))
	}
}

// checkResponse checks that the response is that of one run, or one of the router
// alone.
func (v *verdict) checkResponse() {
	a := v.answer
	named, sealed := a.header.Values("X-Run"), a.header.Values(signature)
	if id := a.header.Get("Tamarackreach-Attempt-Id"); id != "" {
		v.require(id == v.request.id, "the response carries the id %s", id)
	}
	if len(named) == 0 {
		v.checkLocal()
		return
	}
	i := slices.IndexFunc(v.runs, func(r *run) bool { return named[0] == strconv.Itoa(r.number) })
	if i < 0 || len(named) > 1 {
		v.require(false, "the response has the header of no run of the request, or of several: %v", a.header)
		return
	}
	r := v.runs[i]
	want := []string{r.signature()}
	if !r.signed {
		want = nil
	}
	v.require(slices.Equal(sealed, want), "run %d: the response has the signature %q, want %q", r.number, sealed, want)
	v.require(a.status == r.status, "run %d: the response has status %d, want %d", r.number, a.status, r.status)
	v.require(r.echo == v.request.id || r.echo == "" && a.status >= 400, "run %d: its response carried the id %q", r.number, r.echo)
	if a.status/100 == 2 {
		v.require(r.signed, "run %d: a success without a signature", r.number)
	} else {
		later := slices.IndexFunc(v.runs[i+1:], func(r *run) bool { return r.ran && !r.crossed })
		v.require(later < 0, "run %d: its failure was delivered, and a later run may have executed the request", r.number)
	}
	if r.stream {
		v.checkStream(i)
		return
	}
	v.require(strings.HasPrefix(r.body(), a.body), "run %d: the response has the body %q, want %q", r.number, a.body, r.body())
	v.require(!a.whole || r.complete() && a.body == r.body(), "run %d: a partial response looks complete", r.number)
}

// checkLocal checks that nothing of a target is in a response of the router.
func (v *verdict) checkLocal() {
	a := v.answer
	for _, name := range []string{signature, "Cache-Control"} {
		v.require(a.header.Get(name) == "", "a response of the router has the header of a target: %v", a.header)
	}
	v.require(a.status >= 400, "a response of the router has status %d", a.status)
	v.require(!strings.Contains(a.body, "xxxx"), "a response of the router has the body %q", a.body)
}

// checkStream checks that the events are those of the run at index first, and those of
// the runs that resumed it.
func (v *verdict) checkStream(first int) {
	var last int64
	resumable := true
	rest := v.answer.body
	for i, r := range v.runs[first:] {
		want := deliverable(r, last, i > 0)
		got := 0
		for ; got < len(want) && strings.HasPrefix(rest, want[got].text); got++ {
			rest = rest[len(want[got].text):]
		}
		if got > 0 && i > 0 {
			v.require(r.resumedBehind() == last, "run %d: resumed behind %d, and the caller had received %d", r.number, r.resumedBehind(), last)
			v.require(resumable, "run %d: resumed a stream behind an event without an id", r.number)
			v.require(r.signed && r.echo == v.request.id, "run %d: its events were delivered", r.number)
		}
		for _, p := range want[:got] {
			last = max(last, p.id)
			resumable = p.id > 0 || resumable && !p.data
		}
		if rest == "" && got == len(want) && r.stream && r.complete() && r.resumedBehind() <= last {
			return
		}
	}
	v.require(!v.answer.whole, "a stream looks complete, and no run completed it; unexplained: %q", rest)
	// The last event may be cut where the connection was closed.
	v.require(!strings.Contains(rest, "\n\n"), "events that no run sent here: %q", rest)
}

// deliverable returns the events of a run that a caller should receive who has all up
// to the id last. Events without an id among those that it has are skipped too.
func deliverable(r *run, last int64, resumed bool) []piece {
	var out []piece
	begins := slices.IndexFunc(r.pieces, func(p piece) bool { return p.id > 0 })
	behind := resumed && last > 0 && begins >= 0 && r.pieces[begins].id <= last
	for i, p := range r.pieces {
		switch {
		case i >= r.whole || !r.stream:
			return out
		case p.id == 0 && behind:
			continue
		case p.id > 0 && p.id <= last && (resumed || len(out) > 0):
			behind = p.id < last
			continue
		case p.id > 0:
			last, behind = p.id, false
		}
		out = append(out, p)
	}
	return out
}
