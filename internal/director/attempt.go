package director

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

const (
	// quietBeforeReport is how long a stream is silent before its first target is
	// asked what it waits for: several times the usual pause between events.
	quietBeforeReport = 300 * time.Millisecond
	// reportInterval bounds how often one target is asked.
	reportInterval = 250 * time.Millisecond
	// deadFor is how long a target that paths wait for is left out at least: the
	// time a path itself waits for a dead target.
	deadFor = 2500 * time.Millisecond
	// pathWait is how long a stream that has begun waits before a path is looked for
	// again, and maxWaits how often: two seconds, in which its caller stays.
	pathWait = 200 * time.Millisecond
	maxWaits = 10
)

func (s *State) finished(now model.Instant, e Finished) []Effect {
	r := s.requests[e.ID]
	if r == nil {
		return nil
	}
	if e.Delivered {
		s.completed(r)
		for _, hop := range r.hops {
			if t := s.targets[hop.Target]; t != nil {
				t.served(now, r.sentAt)
			}
		}
	}
	s.account(r, -1)
	delete(s.requests, e.ID)
	return nil
}

func (s *State) sendEnded(now model.Instant, e SendEnded) []Effect {
	r := s.requests[e.ID]
	if r == nil {
		return nil
	}
	effects := s.blame(now, r, e)
	if e.Outcome != NotSent && e.Outcome != Rejected {
		s.noteRun(r)
		s.noteLoss(now, r, e.Outcome)
	}
	s.account(r, -1)
	r.random = e.Random
	next := s.after(now, r, e)
	if _, refused := next.(*Refuse); refused {
		delete(s.requests, e.ID)
	}
	return append(effects, next)
}

// blame marks the target that a failed send points to.
func (s *State) blame(now model.Instant, r *request, e SendEnded) []Effect {
	if e.Outcome == TimedOut || e.Outcome == Diverted || len(r.hops) == 0 {
		return nil
	}
	t := s.targets[r.hops[0].Target]
	named := false
	if at := s.byAddress[e.FaultAt]; at != nil {
		t, named = at, true
	}
	if t == nil || e.Outcome == Failed {
		return nil
	}
	least := time.Duration(0)
	if named && e.Took >= s.settings.Stall/2 {
		least = deadFor
	}
	return effect(s.suspect(now, t, fault{
		why: e.Outcome.String() + " after " + e.Took.String(), least: least, refuses: e.Outcome == Rejected && least == 0,
	}))
}

// after decides what follows a failed send.
//
// Invariant: a request that may not be repeated is sent again only when every
// send before it was not sent or rejected.
func (s *State) after(now model.Instant, r *request, e SendEnded) Effect {
	mayHaveRun := len(r.ran) > 0
	left := r.ends.Sub(now)
	switch {
	case e.Outcome == TimedOut || left < leastTime:
		return s.giveUp(r, e, http.StatusGatewayTimeout, "the time of the request is over")
	case mayHaveRun && !r.route.Repeatable():
		return s.giveUp(r, e, http.StatusBadGateway, "the request may have run and may not be repeated")
	case s.refusedFor(now, r) > 0:
		return s.giveUp(r, e, http.StatusBadGateway, whyCrashes)
	case r.sends >= maxSends && !r.mayWait(now) || s.targetsSpent(r) && r.service.Engine == nil:
		return s.giveUp(r, e, http.StatusBadGateway, "the request was sent as often as its route allows")
	case r.sends >= maxSends:
		return r.wait("the targets rejected it")
	}
	return s.resend(now, r, e)
}

// mayWait is true for a stream that its caller has begun to read, which must not
// break off for what may be over soon, within bounds.
func (r *request) mayWait(now model.Instant) bool {
	return r.begun && r.waits < maxWaits && r.ends.Sub(now) > pathWait+leastTime
}

func (r *request) wait(why string) Effect {
	r.waits++
	return &Wait{For: pathWait, Reason: why}
}

// resend sends a request again, when the retry budget pays. A stream that its caller has begun to read waits a
// while for a path: layers that are missing are placed anew within seconds.
func (s *State) resend(now model.Instant, r *request, e SendEnded) Effect {
	why := "the retry budget is spent"
	if r.prepaid || s.budget.Take(now, r.service.ID) {
		r.prepaid = true
		var send *Send
		if send, why = s.send(now, r); send != nil {
			r.prepaid = false
			return send
		}
	}
	if r.mayWait(now) {
		return r.wait(why)
	}
	return s.giveUp(r, e, http.StatusBadGateway, why)
}

// waited goes on with a request that waited for a path.
func (s *State) waited(now model.Instant, e Waited) []Effect {
	r := s.requests[e.ID]
	if r == nil {
		return nil
	}
	r.random = e.Random
	next := s.resend(now, r, SendEnded{ID: e.ID, Random: e.Random})
	if _, refused := next.(*Refuse); refused {
		delete(s.requests, e.ID)
	}
	return []Effect{next}
}

// noteRun remembers that the first target of the request's path may have run it.
func (s *State) noteRun(r *request) {
	if len(r.hops) == 0 || r.mayHaveRunOn(r.hops[0].Target) {
		return
	}
	one := run{target: r.hops[0].Target}
	if t := s.targets[one.target]; t != nil {
		one.born = t.Born
	}
	r.ran = append(r.ran, one)
}

// targetsSpent is true when a request that may have run was given to as many
// targets as its route allows. A target whose life has ended does not count; one
// whose registration was removed does, since it may serve on for a while.
func (s *State) targetsSpent(r *request) bool {
	alive := 0
	for _, one := range r.ran {
		if t := s.targets[one.target]; t == nil || !t.dead() && (t.Born == one.born || one.born == 0) {
			alive++
		}
	}
	return alive >= r.route.MaxTargets
}

// lastTarget is true when the target of the send under way is the last one that
// the route allows.
func (s *State) lastTarget(r *request) bool {
	others := 0
	for _, one := range r.ran {
		if one.target != r.hops[0].Target {
			others++
		}
	}
	return others+1 >= r.route.MaxTargets
}

// giveUp answers a request that is not sent again. Unless it may have run, the
// caller is told to come back.
func (s *State) giveUp(r *request, e SendEnded, status int, why string) *Refuse {
	if len(r.ran) > 0 {
		return &Refuse{Status: status, Reason: why}
	}
	return &Refuse{Status: http.StatusServiceUnavailable, RetryAfter: spread(s.returnTime(why), e.Random), Reason: why}
}

// quiet handles a stream that has had no event for a while: its first target is
// asked what it waits for, and the send is given up once a hop is suspected.
func (s *State) quiet(now model.Instant, e Quiet) []Effect {
	r := s.requests[e.ID]
	if r == nil || r.diverted || len(r.hops) == 0 || e.For < quietBeforeReport {
		return nil
	}
	for _, hop := range r.hops {
		t := s.targets[hop.Target]
		if t == nil || now < t.suspectUntil && t.strikes > 0 || !t.runs(hop) {
			return s.divert(now, r, hop)
		}
	}
	head := s.targets[r.hops[0].Target]
	if r.service.Engine == nil || now.Sub(head.reportAsked) < reportInterval && head.reportAsked != 0 {
		return nil
	}
	head.reportAsked = now
	return []Effect{&AskReport{Target: head.ID, Address: head.Address}}
}

// divert gives up a send that still runs, when another is possible and paid for.
//
// Invariant: what may not be sent again is never given up for a target's silence.
func (s *State) divert(now model.Instant, r *request, hop fleet.Hop) []Effect {
	if !r.route.Repeatable() || r.ends.Sub(now) < leastTime || r.sends >= maxSends {
		return nil
	}
	if r.service.Engine == nil && s.lastTarget(r) || s.refusedFor(now, r) > 0 {
		return nil
	}
	// The next send is chosen as if this one had ended, and must be paid for.
	before := r.ran
	s.noteRun(r)
	hops, _ := s.choose(now, r)
	if hops == nil || slices.Equal(hops, r.hops) || !s.budget.Take(now, r.service.ID) {
		r.ran = before
		return nil // nowhere else to go: the targets may recover
	}
	r.diverted, r.prepaid = true, true
	return []Effect{&Divert{Reason: "target " + string(hop.Target) + " on its path is at fault"}}
}

func (s *State) reportRead(now model.Instant, e ReportRead) []Effect {
	t := s.targets[e.Target]
	if t == nil {
		return nil
	}
	if e.Report == nil {
		t.silent++
		if t.silent == silentWhenDead {
			dead := &Changed{What: "target dead", Subject: string(t.ID), Detail: "it does not answer for its report"}
			return append(s.confirmLosses(now), dead)
		}
		return effect(s.suspect(now, t, fault{why: "it did not answer with its report"}))
	}
	if e.Report.Born != 0 && e.Report.Born != t.Born {
		return s.lifeEnded(t, e.Report.Born)
	}
	var effects []Effect
	if t.dead() {
		effects = append(effects, &Changed{What: "target answers again", Subject: string(t.ID)})
	}
	if (e.Report.Pace >= slowPace) != (t.slowness(now) > 1) {
		effects = append(effects, &Changed{
			What: "target pace", Subject: string(t.ID), Detail: strconv.FormatFloat(e.Report.Pace, 'f', 1, 64),
		})
	}
	t.ended = false
	t.silent, t.pace, t.paced, t.answeredAt = 0, e.Report.Pace, now, now
	for _, address := range e.Report.Stalled {
		if at := s.byAddress[address]; at != nil && !at.justMoved(now) {
			effects = append(effects, effect(s.suspect(now, at, fault{
				why: "paths of " + string(t.ID) + " wait for it", least: deadFor, hearsay: true,
			}))...)
		}
	}
	return effects
}

// lifeEnded notes that another life answered at a target's address. A report of
// a life before the registered one is late and says nothing.
func (s *State) lifeEnded(t *target, answered int64) []Effect {
	if t.ended || answered < t.Born {
		return nil
	}
	t.ended = true
	return []Effect{&Changed{
		What: "target dead", Subject: string(t.ID), Detail: "a life born " + strconv.FormatInt(answered, 10) + " answers at its address",
	}}
}

func effect(e Effect) []Effect {
	if e == nil {
		return nil
	}
	return []Effect{e}
}
