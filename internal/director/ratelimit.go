package director

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"tamarackreach/internal/model"
	"tamarackreach/internal/targetlimit"
)

// TargetLimit is what a VM knows of the rate that a target named, for other VMs.
type TargetLimit struct {
	targetlimit.Shared
	// Born is the start time of the target's process, Unix milliseconds.
	Born int64
}

// rateLimitRead applies the rate that an answer named.
func (s *State) rateLimitRead(now model.Instant, e RateLimitRead) Effect {
	r := s.requests[e.ID]
	if r == nil || len(r.hops) == 0 {
		return nil
	}
	t := s.targets[r.sentTo.target]
	if t == nil || t.StartedMs != r.sentTo.startedMs {
		return nil
	}
	change := s.limits.Observe(now, now, t.ID, e.PerSecond)
	if change != targetlimit.Unchanged {
		s.learned++
	}
	return limitChanged(t.ID, change, e.PerSecond, "read from its answer")
}

// applyLimits applies what another VM knows of the limits of targets.
func (s *State) applyLimits(now model.Instant, e PeerState) []Effect {
	var effects []Effect
	for _, id := range slices.Sorted(maps.Keys(e.Limits)) {
		limit := e.Limits[id]
		if t := s.targets[id]; t == nil || t.StartedMs != limit.Born {
			continue
		}
		change := s.limits.ObservePeer(now, e.VM, id, limit.Shared)
		effects = append(effects, effectList(limitChanged(id, change, limit.PerSecond, string(e.VM)+" reported it "+limit.Age.String()+" after the answer"))...)
	}
	return effects
}

// sentLimits returns the limits to send to other VMs.
func (s *State) sentLimits(now model.Instant) map[model.TargetID]TargetLimit {
	var out map[model.TargetID]TargetLimit
	for id, shared := range s.limits.Share(now) {
		if t := s.targets[id]; t != nil {
			if out == nil {
				out = map[model.TargetID]TargetLimit{}
			}
			out[id] = TargetLimit{Shared: shared, Born: t.StartedMs}
		}
	}
	return out
}

func limitChanged(id model.TargetID, change targetlimit.Change, perSecond float64, detail string) Effect {
	switch change {
	case targetlimit.Named:
		return &StateChanged{What: "target limit named", Subject: string(id), Detail: strconv.FormatFloat(perSecond, 'g', 4, 64) + " requests a second; " + detail}
	case targetlimit.Ended:
		return &StateChanged{What: "target limit ended", Subject: string(id), Detail: detail}
	}
	return nil
}

// mayStartOn reports whether a target takes a request of this VM now, by the rate that it
// named and the backoff that it requested. A target that requested a backoff of a relay is left out by
// relayTo.
func (s *State) mayStartOn(now model.Instant, t *target) bool {
	direct := s.reaches(t) || !s.runsUnreached(now, t)
	if direct && s.backoffLeft(now, s.settings.VM, t) > 0 {
		return false
	}
	return !s.limits.Limited(t.ID) || s.limits.Allow(now, t.ID, s.limitVMs(now))
}

// limitVMsInterval is how long the VMs among which limits are divided are used: each
// request asks for them for many targets.
const limitVMsInterval = 100 * time.Millisecond

// limitVMs returns the VMs among which the limits are divided, at most limitVMsInterval
// old. A VM that was silent for a while still counts, since it may only be cut off from
// this one.
func (s *State) limitVMs(now model.Instant) targetlimit.VMs {
	if s.limitVMsAt != 0 && now.Sub(s.limitVMsAt) < limitVMsInterval {
		return s.lastLimitVMs
	}
	vms := targetlimit.VMs{Self: s.settings.VM, Count: max(s.listedVMs, len(s.peers)+1)}
	for _, vm := range slices.Sorted(maps.Keys(s.peers)) {
		if now.Sub(s.peers[vm].receivedAt) < trialOrderWindow {
			vms.Heard = append(vms.Heard, vm)
		}
	}
	s.lastLimitVMs, s.limitVMsAt = vms, now
	return vms
}

// limitWait returns the time until a target of a service that names a limit takes a
// request of this VM; 0 without such a target.
func (s *State) limitWait(now model.Instant, service model.ServiceID) time.Duration {
	wait := time.Duration(0)
	vms := s.limitVMs(now)
	for _, t := range s.byService[service] {
		if t.serving(now) && s.limits.Limited(t.ID) {
			if w := s.limits.Wait(now, t.ID, vms); wait == 0 || w < wait {
				wait = w
			}
		}
	}
	return wait
}
