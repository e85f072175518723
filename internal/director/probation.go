package director

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tamarackreach/internal/model"
)

const (
	// trialSlot is the time in which one VM may send a cause that is on probation; the
	// VMs take turns. None does in the last trialGuard of a slot, so that the next VM has
	// received the trial: messages to other zones are sent each 600 ms.
	trialSlot  = 2 * time.Second
	trialGuard = 800 * time.Millisecond
	// trialOrderWindow is how long after its last message a VM takes part in the turns,
	// and maxTrialSlots bounds their number; further VMs share slots.
	trialOrderWindow = 10 * time.Second
	maxTrialSlots    = 16
	// trialRetryAfter is the Retry-After while another request with the cause runs on
	// probation.
	trialRetryAfter = 2 * time.Second
)

// mayResend reports whether a request may be sent again as far as its causes go.
// Under quarantine or on probation it may not, unless it has progressed, or is the
// trial and has not run.
func (s *State) mayResend(now model.Instant, r *request) bool {
	return len(s.quarantinedCauses(r)) == 0 || r.progressed || s.onTrial(now, r) && len(r.possibleRuns) == 0
}

// mayDivert reports whether a send may be cancelled for another one as far as the
// request's causes go.
func (s *State) mayDivert(r *request) bool {
	return len(s.quarantinedCauses(r)) == 0 || r.progressed
}

// trialWait returns the time until this VM's next turn to send a cause that is
// quarantined, 0 during its turn. The turns begin with the end of the quarantine, on
// which the VMs agree, and follow the order of the VMs' names.
func (s *State) trialWait(now model.Instant, c *crashRecord) time.Duration {
	vms, before := 1, 0
	for vm, p := range s.peers {
		if now.Sub(p.receivedAt) >= trialOrderWindow {
			continue
		}
		vms++
		if vm < s.settings.VM {
			before++
		}
	}
	turn := time.Duration(before%maxTrialSlots) * trialSlot
	cycle := time.Duration(min(vms, maxTrialSlots)) * trialSlot
	since := now.Sub(c.quarantinedUntil)
	if since > 0 {
		since %= cycle
	}
	switch sinceTurn := since - turn; {
	case sinceTurn < 0:
		return -sinceTurn
	case sinceTurn < trialSlot-trialGuard:
		return 0
	default:
		return cycle - sinceTurn
	}
}

// tried returns the quarantined causes of a request that its trial tries: the likeliest
// ones, and of its contents the narrow ones. The others stay as they are.
func (s *State) tried(now model.Instant, r *request) []Cause {
	quarantined := s.quarantinedCauses(r)
	if len(quarantined) > 1 {
		contents := r.contentCauses()
		narrow, widest := contents[:len(contents)-1], contents[len(contents)-1]
		if slices.ContainsFunc(narrow, func(cause Cause) bool { return quarantined[cause] != nil }) {
			delete(quarantined, widest)
		}
	}
	causes := slices.Collect(maps.Keys(quarantined))
	slices.SortFunc(causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(s.rank(now, a), s.rank(now, b)), cmp.Compare(a, b))
	})
	return slices.DeleteFunc(causes, func(cause Cause) bool { return s.rank(now, cause) > s.rank(now, causes[0]) })
}

// startTrial records that a request is sent whose quarantined causes are on probation.
func (s *State) startTrial(now model.Instant, r *request) []Effect {
	var effects []Effect
	for _, cause := range s.tried(now, r) {
		s.crashRecords[cause].trial = r.ID
		s.learned++
		effects = append(effects, &StateChanged{What: cause.describe() + " on probation", Subject: subject(cause), Detail: "request " + string(r.ID) + " is sent"})
	}
	return effects
}

// failTrial quarantines causes again whose trial was lost, without waiting for the crash
// to be confirmed: the next trial may come before.
func (s *State) failTrial(now model.Instant, r *request) []Effect {
	var effects []Effect
	for _, cause := range s.tried(now, r) {
		c := s.crashRecords[cause]
		if !slices.Contains(c.crashed, r.sentTo) {
			c.crashed = append(c.crashed, r.sentTo)
		}
		c.quarantine(now)
		s.learned++
		s.markOwn(cause)
		effects = append(effects, causeRefused(cause, c, "its trial was lost on "+string(r.sentTo.target)))
	}
	return effects
}

func (s *State) trialInFlight(c *crashRecord) bool {
	return c.trial != "" && s.requests[c.trial] != nil
}

// onTrial reports whether a request is the one that the probation of its quarantined
// causes allows.
func (s *State) onTrial(now model.Instant, r *request) bool {
	tried := s.tried(now, r)
	return len(tried) > 0 && !slices.ContainsFunc(tried, func(cause Cause) bool { return s.crashRecords[cause].trial != r.ID })
}
