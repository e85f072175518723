package director

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tamarackreach/internal/model"
)

const (
	// maxRests bounds the rests that are kept.
	maxRests = 4096
	// restGrace is the time within which a request that is under way may still reach a target
	// that asked for rest: a shorter rest needs no message to other VMs.
	restGrace = 500 * time.Millisecond
	// minRestRetryAfter is the shortest Retry-After while targets rest.
	minRestRetryAfter = 100 * time.Millisecond
)

// restKey names a VM and a target. A target asks the VM from which a request reached it: the
// relay, where there was one.
type restKey struct {
	vm     model.NodeID
	target model.TargetID
}

// rest is a time in which a target wants no requests from a VM.
type rest struct {
	startedMs int64
	until     model.Instant
	// own is true when this VM read it from an answer. Only such rests are sent on: each
	// message adds its time on the way, and rests passed on in turn would not end.
	own bool
}

// Rest is a rest that a target asked a VM for, for other VMs: the VM itself, if this one used
// it as a relay, and those that may use it as one.
type Rest struct {
	VM     model.NodeID
	Target model.TargetID
	// Born is the start time of the target's process, Unix milliseconds.
	Born      int64
	Remaining time.Duration
}

// restRequested records that the target of a request's send asked for rest.
//
// Invariant: nothing but a later incarnation of the target ends a rest: an answer, a report
// or a plan may be older, or not speak for its queue.
func (s *State) restRequested(now model.Instant, e RestRequested) Effect {
	r := s.requests[e.ID]
	if r == nil || r.sentTo.target == "" || e.For <= 0 {
		return nil
	}
	if e.For > restGrace {
		s.learned++
	}
	return s.keepRest(now, restKey{s.senderOf(r), r.sentTo.target}, rest{startedMs: r.sentTo.startedMs, until: now.Add(e.For), own: true}, "read from its answer")
}

// senderOf returns the VM from which the send in flight of a request reaches its target.
func (s *State) senderOf(r *request) model.NodeID { return cmp.Or(r.via, s.settings.VM) }

// replacesSuspicion reports whether the target of a rejected send said for how long it wants
// no requests, at least for the time of a suspicion.
func (s *State) replacesSuspicion(now model.Instant, r *request, e SendEnded) bool {
	t := s.targets[r.hops[0].Target]
	return e.Outcome == Rejected && t != nil && s.restLeft(now, s.senderOf(r), t) >= initialSuspicion
}

// keepRest keeps the later end of two rests.
func (s *State) keepRest(now model.Instant, key restKey, asked rest, detail string) Effect {
	known, found := s.rests[key]
	if found && known.startedMs == asked.startedMs && known.until >= asked.until {
		return nil
	}
	if !found && len(s.rests) >= maxRests {
		s.forgetRest(now)
	}
	s.rests[key] = asked
	if found && known.until > now {
		return nil // longer than it was
	}
	return &StateChanged{What: "target rests", Subject: string(key.target), Detail: "from " + string(key.vm) + " for " + asked.until.Sub(now).String() + "; " + detail}
}

// forgetRest removes the rests that are over, or the one that ends first.
func (s *State) forgetRest(now model.Instant) {
	maps.DeleteFunc(s.rests, func(_ restKey, r rest) bool { return r.until <= now })
	if len(s.rests) < maxRests {
		return
	}
	first := slices.MinFunc(slices.Collect(maps.Keys(s.rests)), func(a, b restKey) int {
		return cmp.Or(cmp.Compare(s.rests[a].until, s.rests[b].until), cmp.Compare(a.vm, b.vm), cmp.Compare(a.target, b.target))
	})
	delete(s.rests, first)
}

// restLeft returns how long a target still wants no request from a VM.
func (s *State) restLeft(now model.Instant, vm model.NodeID, t *target) time.Duration {
	r, found := s.rests[restKey{vm, t.ID}]
	if !found || r.startedMs != t.StartedMs {
		return 0
	}
	return max(r.until.Sub(now), 0)
}

// restWait returns the time until a target of a service that rests takes a request of this
// VM; 0 without such a target.
func (s *State) restWait(now model.Instant, service model.ServiceID) time.Duration {
	wait := time.Duration(0)
	for _, t := range s.byService[service] {
		if left := s.restLeft(now, s.settings.VM, t); left > 0 && t.serving(now) && (wait == 0 || left < wait) {
			wait = left
		}
	}
	return wait
}

// applyRests applies the rests that another VM knows.
func (s *State) applyRests(now model.Instant, e PeerState) []Effect {
	var effects []Effect
	for _, asked := range e.Rests {
		key := restKey{asked.VM, asked.Target}
		change := s.keepRest(now, key, rest{startedMs: asked.Born, until: now.Add(asked.Remaining)}, "reported by "+string(e.VM))
		effects = append(effects, effectList(change)...)
	}
	return effects
}

// sentRests returns the rests to send to other VMs.
func (s *State) sentRests(now model.Instant) []Rest {
	var out []Rest
	for key, r := range s.rests {
		if left := r.until.Sub(now); r.own && left > 0 {
			out = append(out, Rest{VM: key.vm, Target: key.target, Born: r.startedMs, Remaining: left})
		}
	}
	slices.SortFunc(out, func(a, b Rest) int {
		return cmp.Or(cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.VM, b.VM), cmp.Compare(a.Target, b.Target))
	})
	return out[:min(len(out), maxSentCrashes)]
}
