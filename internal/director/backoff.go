package director

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tamarackreach/internal/model"
)

const (
	// maxBackoffs bounds the backoffs that are kept.
	maxBackoffs = 4096
	// backoffGrace is the time within which a request in flight may still reach a target that
	// requested a backoff: a shorter backoff needs no message to other VMs.
	backoffGrace = 500 * time.Millisecond
	// minBackoffRetryAfter is the shortest Retry-After while targets request a backoff.
	minBackoffRetryAfter = 100 * time.Millisecond
)

// backoffKey names a VM and a target. The VM is the one from which the target received the
// request: the relay, where there was one.
type backoffKey struct {
	vm     model.NodeID
	target model.TargetID
}

// backoff is a time in which a target wants no requests from a VM.
type backoff struct {
	startedMs int64
	until     model.Instant
	// own is true when this VM read it from an answer. Only such backoffs are sent on: each
	// message adds its time on the way, and backoffs passed on in turn would not end.
	own bool
}

// Backoff is a backoff that a target requested of a VM, for other VMs: that VM, if this one
// used it as a relay, and those that may use it as one.
type Backoff struct {
	VM     model.NodeID
	Target model.TargetID
	// Born is the start time of the target's process, Unix milliseconds.
	Born      int64
	Remaining time.Duration
}

// backoffRequested records that the target of a request's send requested a backoff.
//
// Invariant: nothing but a later incarnation of the target ends a backoff: an answer, a report
// or a plan may be older, or not speak for its queue.
func (s *State) backoffRequested(now model.Instant, e BackoffRequested) Effect {
	r := s.requests[e.ID]
	if r == nil || r.sentTo.target == "" || e.For <= 0 {
		return nil
	}
	if e.For > backoffGrace {
		s.learned++
	}
	return s.keepBackoff(now, backoffKey{s.senderOf(r), r.sentTo.target}, backoff{startedMs: r.sentTo.startedMs, until: now.Add(e.For), own: true}, "read from its answer")
}

// senderOf returns the VM from which the send in flight of a request reaches its target.
func (s *State) senderOf(r *request) model.NodeID { return cmp.Or(r.via, s.settings.VM) }

// replacesSuspicion reports whether the target of a rejected send said for how long it wants
// no requests, at least for the time of a suspicion.
func (s *State) replacesSuspicion(now model.Instant, r *request, e SendEnded) bool {
	t := s.targets[r.hops[0].Target]
	return e.Outcome == Rejected && t != nil && s.backoffLeft(now, s.senderOf(r), t) >= initialSuspicion
}

// keepBackoff keeps the later end of two backoffs.
func (s *State) keepBackoff(now model.Instant, key backoffKey, requested backoff, detail string) Effect {
	known, found := s.backoffs[key]
	if found && known.startedMs == requested.startedMs && known.until >= requested.until {
		return nil
	}
	if !found && len(s.backoffs) >= maxBackoffs {
		s.forgetBackoff(now)
	}
	s.backoffs[key] = requested
	if found && known.until > now {
		return nil // longer than it was
	}
	return &StateChanged{What: "target backoff", Subject: string(key.target), Detail: "from " + string(key.vm) + " for " + requested.until.Sub(now).String() + "; " + detail}
}

// forgetBackoff removes the backoffs that are over, or the one that ends first.
func (s *State) forgetBackoff(now model.Instant) {
	maps.DeleteFunc(s.backoffs, func(_ backoffKey, r backoff) bool { return r.until <= now })
	if len(s.backoffs) < maxBackoffs {
		return
	}
	first := slices.MinFunc(slices.Collect(maps.Keys(s.backoffs)), func(a, b backoffKey) int {
		return cmp.Or(cmp.Compare(s.backoffs[a].until, s.backoffs[b].until), cmp.Compare(a.vm, b.vm), cmp.Compare(a.target, b.target))
	})
	delete(s.backoffs, first)
}

// backoffLeft returns how long a target still wants no request from a VM.
func (s *State) backoffLeft(now model.Instant, vm model.NodeID, t *target) time.Duration {
	r, found := s.backoffs[backoffKey{vm, t.ID}]
	if !found || r.startedMs != t.StartedMs {
		return 0
	}
	return max(r.until.Sub(now), 0)
}

// backoffWait returns the time until a target of a service that requested a backoff takes a request of this
// VM; 0 without such a target.
func (s *State) backoffWait(now model.Instant, service model.ServiceID) time.Duration {
	wait := time.Duration(0)
	for _, t := range s.byService[service] {
		if left := s.backoffLeft(now, s.settings.VM, t); left > 0 && t.serving(now) && (wait == 0 || left < wait) {
			wait = left
		}
	}
	return wait
}

// applyBackoffs applies the backoffs that another VM knows.
func (s *State) applyBackoffs(now model.Instant, e PeerState) []Effect {
	var effects []Effect
	for _, requested := range e.Backoffs {
		key := backoffKey{requested.VM, requested.Target}
		change := s.keepBackoff(now, key, backoff{startedMs: requested.Born, until: now.Add(requested.Remaining)}, "reported by "+string(e.VM))
		effects = append(effects, effectList(change)...)
	}
	return effects
}

// sentBackoffs returns the backoffs to send to other VMs.
func (s *State) sentBackoffs(now model.Instant) []Backoff {
	var out []Backoff
	for key, r := range s.backoffs {
		if left := r.until.Sub(now); r.own && left > 0 {
			out = append(out, Backoff{VM: key.vm, Target: key.target, Born: r.startedMs, Remaining: left})
		}
	}
	slices.SortFunc(out, func(a, b Backoff) int {
		return cmp.Or(cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.VM, b.VM), cmp.Compare(a.Target, b.Target))
	})
	return out[:min(len(out), maxSentCrashes)]
}
