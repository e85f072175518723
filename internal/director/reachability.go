package director

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tamarackreach/internal/model"
)

// This file separates two facts: whether this VM reaches a target, and whether the target
// runs. A failed exchange shows only the first; other VMs have signs of life for the second.

const (
	// signExpiry is how long a sign of life of a target counts.
	signExpiry = 2 * time.Second
	// refuteWindow is how long after a failed exchange another VM's sign of life may arrive
	// before the target counts as down: a message, a report and a message back.
	refuteWindow = 600 * time.Millisecond
	// pauseTolerance is how long after its first exchange without an answer a target that is
	// silent counts as paused: it may go on after a second or so.
	pauseTolerance = 1100 * time.Millisecond
	// reconnectInterval is the interval at which a target that is not reached is probed, and
	// one that another VM does not reach.
	reconnectInterval = 500 * time.Millisecond
	// isolatedProbeInterval is the interval at which an isolated VM probes the targets that
	// it presumes not to reach.
	isolatedProbeInterval = time.Second
	// minIsolatedTargets is the number of running targets that are not reached, and
	// isolatedRatio their number for each that is, from which the VM is isolated.
	minIsolatedTargets, isolatedRatio = 3, 3
	// maxSentUnreachable bounds the targets that a message lists as not reached, and those
	// with signs of life.
	maxSentUnreachable = 256
)

// reachability is this VM's connection to a target.
type reachability struct {
	// failedAt is when the first exchange after the last contact failed; 0 while the target
	// is reached.
	failedAt model.Instant
	// contactAt is when the target last answered this VM directly.
	contactAt model.Instant
	// peerSignAt is when the target last gave a sign of life to another VM.
	peerSignAt model.Instant
	// missed counts the failed reports and refused connections in a row while this VM
	// reached other targets.
	missed int
	// missedAt is when the last of them ended, and silent true when it was not refused.
	missedAt model.Instant
	silent   bool
	// pushedAt is when a sign of life was last sent without delay.
	pushedAt model.Instant
}

// Sign is a VM's last sign of life of a target, for VMs that do not reach it.
type Sign struct {
	// Born is the start time of the target's process, Unix milliseconds.
	Born int64
	Age  time.Duration
	// Report is true when the sign was the target's report, which names the incarnation. An
	// answer may be that of a later incarnation whose registration was not read yet.
	Report bool
}

// links is what this VM's connections to all targets show together.
type links struct {
	// contactAt is when any target last answered this VM directly.
	contactAt model.Instant
	// isolatedSince is when the VM lost most targets, 0 while it is not isolated.
	isolatedSince model.Instant
}

// contact records that a target answered this VM directly.
func (s *State) contact(now model.Instant, t *target) {
	s.links.contactAt = now
	t.reach.failedAt, t.reach.contactAt, t.reach.missed, t.reach.missedAt = 0, now, 0, 0
	if s.unreachedByPeer(now, t) && now.Sub(t.reach.pushedAt) >= reconnectInterval {
		t.reach.pushedAt = now
		s.learned++
	}
}

// exchangeFailed records that this VM could not exchange bytes with a target.
func (s *State) exchangeFailed(now model.Instant, t *target) {
	if t.reach.failedAt == 0 {
		t.reach.failedAt = now
		s.learned++
	}
}

// missed records a failed report or a refused connection that began at startedAt. It shows
// something about the target only if this VM has reached another one since then, or since
// the failure before.
func (s *State) missed(now model.Instant, t *target, startedAt model.Instant, refused bool) {
	since := startedAt
	if t.reach.missedAt != 0 {
		since = t.reach.missedAt
	}
	s.exchangeFailed(now, t)
	t.reach.missedAt, t.reach.silent = now, !refused
	if s.links.contactAt > since {
		t.reach.missed++
	}
}

// reaches reports whether this VM is expected to reach a target directly.
func (s *State) reaches(t *target) bool {
	return t.reach.failedAt == 0 && (s.links.isolatedSince == 0 || t.reach.contactAt > s.links.isolatedSince)
}

// Isolated reports whether this VM lost most targets while they run.
func (s *State) Isolated() bool { return s.links.isolatedSince != 0 }

// Reaches returns the number of targets that this VM is expected to reach, and of all.
func (s *State) Reaches() (reached, all int) {
	for _, t := range s.targets {
		if s.reaches(t) {
			reached++
		}
	}
	return reached, len(s.targets)
}

// runs reports whether a target that this VM fails to reach has given a sign of life since:
// to another VM, or by an answer over another path.
func (t *target) runs(now model.Instant) bool {
	sign := max(t.reach.peerSignAt, t.lastAnswerAt)
	return t.reach.failedAt != 0 && sign.Sub(t.reach.failedAt) > answerTransit && now.Sub(sign) <= signExpiry
}

// runsUnreached reports whether a target is known to run, or presumed to, and is not reached
// by this VM.
func (s *State) runsUnreached(now model.Instant, t *target) bool {
	return t.runs(now) || t.reach.failedAt == 0 && !s.reaches(t)
}

// down reports whether a target has stopped, as far as all VMs know.
//
// Invariant: the failures of one VM alone do not show that a target is down, unless this VM
// reaches other targets and no VM has had a sign of life within refuteWindow.
func (s *State) down(now model.Instant, t *target) bool {
	if t.superseded {
		return true
	}
	if t.reach.failedAt == 0 || t.reach.missed < deadAfterMissedReports || t.runs(now) || s.Isolated() {
		return false
	}
	wait := time.Duration(0)
	if len(s.peers) > 0 {
		wait = refuteWindow
	}
	if t.reach.silent {
		wait = pauseTolerance
	}
	return now.Sub(t.reach.failedAt) >= wait
}

// applySigns applies the signs of life that another VM has had.
func (s *State) applySigns(now model.Instant, e PeerState) []Effect {
	if len(e.Signs) == 0 {
		return nil
	}
	for _, id := range slices.Sorted(maps.Keys(e.Signs)) {
		t, sign := s.targets[id], e.Signs[id]
		if t == nil || t.StartedMs != sign.Born {
			continue
		}
		at := now.Add(-sign.Age)
		if at <= t.reach.peerSignAt {
			continue
		}
		t.reach.peerSignAt = at
		if !t.runs(now) {
			continue
		}
		if t.connectionFault && t.faultSeenAt < at {
			t.suspectedUntil, t.consecutiveFaults, t.connectionFault = 0, 0, false
		}
		if sign.Report {
			s.refuteCrash(t.incarnation(), at)
		}
	}
	return s.updateIsolation(now)
}

// refuteCrash applies the report of an incarnation: answers that were lost before were not
// lost in its crash.
func (s *State) refuteCrash(ran incarnation, reportedAt model.Instant) {
	s.lostAnswers = slices.DeleteFunc(s.lostAnswers, func(l lostAnswer) bool {
		return l.ran == ran && reportedAt.Sub(l.at) > answerTransit
	})
	for _, c := range s.crashRecords {
		if i := slices.Index(c.crashed, ran); i >= c.cleared && !c.quarantined() {
			c.crashed = slices.Delete(c.crashed, i, i+1)
		}
	}
}

// updateIsolation decides whether this VM is isolated: of the targets with an exchange since
// the first failure, it reaches few and most of the others run.
func (s *State) updateIsolation(now model.Instant) []Effect {
	lost, since := 0, now
	for _, t := range s.targets {
		if t.runs(now) {
			lost++
			since = min(since, t.reach.failedAt)
		}
	}
	reached := 0
	for _, t := range s.targets {
		if t.reach.failedAt == 0 && t.reach.contactAt > since && now.Sub(t.reach.contactAt) <= signExpiry {
			reached++
		}
	}
	detail := fmt.Sprintf("%d targets that run are not reached, %d are", lost, reached)
	switch {
	case s.links.isolatedSince == 0 && lost >= minIsolatedTargets && lost >= isolatedRatio*reached:
		s.links.isolatedSince = since
		s.learned++
		return []Effect{&StateChanged{What: "targets unreachable", Detail: detail + "; since " + now.Sub(since).String()}}
	case s.links.isolatedSince != 0 && lost <= reached:
		s.links.isolatedSince = 0
		s.learned++
		return []Effect{&StateChanged{What: "targets reachable again", Detail: detail}}
	}
	return nil
}

// unreachedByPeer reports whether another VM lists a target as not reached.
func (s *State) unreachedByPeer(now model.Instant, t *target) bool {
	if s.unreachedByPeers == 0 {
		return false
	}
	for _, p := range s.peers {
		if p.unreachable[t.ID] && now.Sub(p.receivedAt) <= peerExpiry {
			return true
		}
	}
	return false
}

// monitors reports whether this VM reads the reports of a target for the others: the first
// VM of the target's zone that may reach it, or where there is none the first of all. lead
// is true on the first VM of the own zone that is not isolated.
func (s *State) monitors(now model.Instant, t *target, lead bool) bool {
	if s.Isolated() {
		return false
	}
	own := t.Zone == s.settings.Zone
	if own && lead {
		return true
	}
	for vm, p := range s.peers {
		if p.isolated || p.unreachable[t.ID] || now.Sub(p.receivedAt) > peerExpiry {
			continue
		}
		inZone, before := p.zone == t.Zone, vm < s.settings.VM
		if own && inZone && before || !own && (inZone || before) {
			return false
		}
	}
	return true
}

// sentUnreachable returns the targets that this VM fails to reach, for other VMs.
func (s *State) sentUnreachable() []model.TargetID {
	var out []model.TargetID
	for id, t := range s.targets {
		if t.reach.failedAt != 0 {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out[:min(len(out), maxSentUnreachable)]
}

// sentSigns returns the signs of life of the targets that other VMs do not reach.
func (s *State) sentSigns(now model.Instant) map[model.TargetID]Sign {
	var out map[model.TargetID]Sign
	for _, p := range s.peers {
		if now.Sub(p.receivedAt) > peerExpiry {
			continue
		}
		for id := range p.unreachable {
			t := s.targets[id]
			if t == nil || len(out) >= maxSentUnreachable {
				continue
			}
			last := max(t.lastAnswerAt, t.lastReportAt, t.reach.contactAt)
			if now.Sub(last) <= signExpiry {
				if out == nil {
					out = map[model.TargetID]Sign{}
				}
				out[id] = Sign{Born: t.StartedMs, Age: now.Sub(last), Report: last == t.lastReportAt}
			}
		}
	}
	return out
}
