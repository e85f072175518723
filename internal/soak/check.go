package soak

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"tamarackreach/platform/platformtest"
)

// records holds what the callers and the targets of a run recorded, and when faults
// were injected. The checks use nothing else.
type records struct {
	started  time.Time
	calls    []call
	arrivals []platformtest.Arrival
	// ends lists when incarnations of targets ended, by target id.
	ends map[string][]time.Time
	// removed is the time at which the store acknowledged the removal of a key.
	removed map[string]time.Time
	spans   []span
	// vms are the names of the VMs.
	vms []string
	// drained is when the drain of a target was acknowledged, by its id.
	drained map[string]time.Time
	// restoresOnly is true when the store's restores were the only faults.
	restoresOnly bool
	// earlierBuild is true when an earlier build of the program ran on some VMs.
	earlierBuild bool
	// served is when every VM first served every kind of request.
	served time.Time

	byID      map[string]*call
	byRequest map[string][]*platformtest.Arrival
	byRun     map[int]*platformtest.Arrival
	// peakRetries is the largest share of the retry budget that a window used.
	peakRetries float64
	// unframed counts streams without a length that their target ended early.
	unframed   int
	histories  map[string]int
	violations []string
}

// check returns the violated guarantees, each with the history of a request.
func (r *records) check() []string {
	r.index()
	for i := range r.calls {
		c := &r.calls[i]
		r.checkResponse(c)
		r.checkRuns(c)
	}
	r.checkArrivals()
	r.checkRetryBudget()
	r.checkTargetsPerCall()
	r.checkDeadlines()
	r.checkCrashes()
	r.checkDrains()
	r.checkStops()
	if r.restoresOnly {
		r.checkUnaffected()
	}
	return r.violations
}

func (r *records) index() {
	r.histories = map[string]int{}
	r.byID, r.byRequest, r.byRun = map[string]*call{}, map[string][]*platformtest.Arrival{}, map[int]*platformtest.Arrival{}
	for i := range r.calls {
		r.byID[r.calls[i].id] = &r.calls[i]
	}
	for i := range r.arrivals {
		a := &r.arrivals[i]
		r.byRequest[a.Request] = append(r.byRequest[a.Request], a)
		if a.Run != 0 {
			r.byRun[a.Run] = a
		}
	}
}

// maxHistories bounds the violations that are reported with a history, by the rule
// that they begin with.
const maxHistories = 5

// violation records a violated guarantee and the history of a request.
func (r *records) violation(id, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	rule, _, _ := strings.Cut(format, ":")
	if r.histories[rule]++; r.histories[rule] <= maxHistories {
		text += "\n" + r.history(id)
	}
	r.violations = append(r.violations, text)
}

// checkResponse checks that a response is one of this request: that its signature,
// status and body are of one run, and that a response of the router has no header
// of a target.
func (r *records) checkResponse(c *call) {
	if c.stray != "" {
		r.violation(c.id, "mixed: bytes before the request %s on its connection: %q", c.id, c.stray)
	}
	if c.malformed {
		r.violation(c.id, "mixed: the answer to %s is not a response: %s", c.id, c.loss)
	}
	if c.status == 0 {
		return
	}
	if id := platformtest.RequestIDOf(c.header); id != "" && id != c.id {
		r.violation(c.id, "mixed: the answer to %s has the id %s", c.id, id)
	}
	if signature := platformtest.SealOf(c.header); signature != "" {
		r.checkSigned(c, signature)
		return
	}
	if c.status/100 == 2 {
		r.violation(c.id, "mixed: the success of %s has no signature", c.id)
	} else if names := platformtest.TargetHeaders(c.header); len(names) > 0 {
		r.violation(c.id, "mixed: the router's answer %d to %s has a target's %s", c.status, c.id, strings.Join(names, ", "))
	}
}

// checkSigned checks a response with a signature.
func (r *records) checkSigned(c *call, signature string) {
	run := r.signer(c.id, signature)
	switch {
	case run == nil:
		r.violation(c.id, "mixed: the signature of the answer to %s is of none of its runs: %s", c.id, signature)
	case run.Status != c.status:
		r.violation(c.id, "mixed: %s was answered %d with the signature of a run with status %d", c.id, c.status, run.Status)
	case c.status >= http.StatusBadRequest && r.ranBetween(c.id, run.At, c.ended):
		r.violation(c.id, "mixed: %s was answered with the failure of run %d, after which another run had begun", c.id, run.Run)
	case c.kind == "s" && c.status/100 == 2:
		r.checkStream(c, run)
	case c.body != run.Body && (c.complete || !strings.HasPrefix(run.Body, c.body)):
		r.violation(c.id, "mixed: the answer to %s is not the whole body of run %d: %q", c.id, run.Run, c.body)
	}
}

// ranBetween reports whether a run of a request began between two times.
func (r *records) ranBetween(id string, from, to time.Time) bool {
	return slices.ContainsFunc(r.byRequest[id], func(a *platformtest.Arrival) bool {
		return a.Run != 0 && a.At.After(from) && a.At.Before(to)
	})
}

// signer returns the run of a request that made a signature, nil if there is none.
func (r *records) signer(id, signature string) *platformtest.Arrival {
	for _, a := range r.byRequest[id] {
		if a.Seal == signature {
			return a
		}
	}
	return nil
}

// checkStream checks that a stream has every event once and in order, from the run
// that signed the response and from runs that resumed it.
func (r *records) checkStream(c *call, signer *platformtest.Arrival) {
	rest, previous, current, last := c.body, 0, signer.Run, 0
	for {
		event, after, whole := strings.Cut(rest, "\n\n")
		if !whole {
			break
		}
		rest = after
		number, run, total, ok := platformtest.ParseStreamEvent(event + "\n\n")
		source := r.byRun[run]
		switch {
		case !ok || source == nil || source.Request != c.id:
			r.violation(c.id, "mixed: %s received an event of none of its runs: %q", c.id, event)
			return
		case previous == 0 && run != signer.Run:
			r.violation(c.id, "mixed: the signature of %s is of run %d, its events of run %d", c.id, signer.Run, run)
			return
		case number != previous+1 || run < current || number <= source.ResumeAfter:
			r.violation(c.id, "order: event %d of run %d follows event %d of run %d in %s", number, run, previous, current, c.id)
			return
		}
		previous, current, last = number, run, total
	}
	if c.complete && (rest != "" || last == 0 || previous != last) {
		r.checkEarlyEnd(c, r.byRun[current], previous, rest)
	}
}

// checkEarlyEnd checks a stream that ended in source's run after an event, with the
// rest of another, and looks complete.
func (r *records) checkEarlyEnd(c *call, source *platformtest.Arrival, event int, rest string) {
	if source.Fault == platformtest.UnframedEnded && event == source.Events && rest == "" {
		r.unframed++ // the protocol has nothing to tell it by
		return
	}
	r.violation(c.id, "order: the answer to %s ended after event %d and looked complete", c.id, event)
}

// notExecuted lists the statuses that promise that a request has not run.
var notExecuted = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusUnauthorized}

// checkRuns checks how often the targets ran a request: a non-idempotent request
// runs at most once, a request that was refused never, and none runs that was sent
// more than RevokeBound after its key was removed.
func (r *records) checkRuns(c *call) {
	runs := 0
	for _, a := range r.byRequest[c.id] {
		if a.Run != 0 {
			runs++
		}
	}
	if c.kind == "p" && runs > 1 {
		r.violation(c.id, "twice: %s ran %d times", c.id, runs)
	}
	if runs > 0 && slices.Contains(notExecuted, c.status) {
		r.violation(c.id, "refused: %s was answered %d and ran", c.id, c.status)
	}
	if removed, ok := r.removed[c.key]; ok && runs > 0 && c.sent.Sub(removed) > platformtest.RevokeBound && !r.forgotten(removed, c.sent) {
		r.violation(c.id, "revoked: %s ran, sent %s after its key was removed", c.id, c.sent.Sub(removed))
	}
}

// checkArrivals checks that targets receive only what callers sent, unchanged.
func (r *records) checkArrivals() {
	for _, id := range slices.Sorted(maps.Keys(r.byRequest)) {
		c := r.byID[id]
		for _, a := range r.byRequest[id] {
			if c == nil || a.Path != c.path || a.Method != c.method() || a.Workspace != workspace {
				r.violation(id, "unasked: %s received %s %s of workspace %q with id %q", a.Target, a.Method, a.Path, a.Workspace, id)
				break
			}
		}
	}
}

// history returns what callers and targets recorded of a request, in order of time,
// and for content that crashes targets of all requests with it.
func (r *records) history(id string) string {
	lines := r.historyOf(id)
	if c := r.byID[id]; c != nil && isCrashing(c.path) {
		lines = nil
		for i := range r.calls {
			if r.calls[i].path == c.path {
				lines = append(lines, r.historyOf(r.calls[i].id)...)
			}
		}
	}
	slices.SortStableFunc(lines, func(a, b historyLine) int { return a.at.Compare(b.at) })
	var b strings.Builder
	for _, l := range lines {
		fmt.Fprintf(&b, "    %8.3f s  %s\n", l.at.Sub(r.started).Seconds(), l.text)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

type historyLine struct {
	at   time.Time
	text string
}

func (r *records) historyOf(id string) []historyLine {
	var lines []historyLine
	if c := r.byID[id]; c != nil {
		lines = append(lines, historyLine{c.sent, fmt.Sprintf("caller sends %s as %s %s to %s", c.id, c.method(), c.path, c.vm)})
		end := fmt.Sprintf("caller of %s receives status %d, %d bytes, complete %t", c.id, c.status, len(c.body), c.complete)
		if s := platformtest.SealOf(c.header); s != "" {
			end += ", signature " + s
		}
		if c.loss != "" {
			end += ", " + c.loss
		}
		lines = append(lines, historyLine{c.ended, end})
	}
	for _, a := range r.byRequest[id] {
		text := fmt.Sprintf("%s reaches %s, run %d, fault %s, status %d, event %d", a.Request, a.Target, a.Run, a.Fault, a.Status, a.Events)
		if a.ResumeAfter > 0 {
			text += fmt.Sprintf(", resumed after %d", a.ResumeAfter)
		}
		if a.Deadline > 0 {
			text += ", time left " + a.Deadline.String()
		}
		lines = append(lines, historyLine{a.At, text})
		if !a.CrashedAt.IsZero() {
			lines = append(lines, historyLine{a.CrashedAt, "crashes " + a.Target})
		}
	}
	return lines
}
