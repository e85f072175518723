package director

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/loadview"
	"tamarackreach/internal/model"
)

// target is this VM's view of a target.
type target struct {
	*fleet.Target
	rowVersion fleet.StoreVersion
	// refused is why the registration names no target to use, empty for one that does.
	refused string
	// missingSince is when a read first lacked the registration; 0 while it is
	// registered.
	missingSince model.Instant
	// listed is when the latest read of the store began that contained the registration, and
	// listedIn the era of that read.
	listed   model.Instant
	listedIn fleet.StoreEra
	// suspectedUntil is when the suspicion ends.
	suspectedUntil model.Instant
	// faultSeenAt is when the fault behind the suspicion was last observed.
	faultSeenAt model.Instant
	// indirect is true when the fault was reported by another VM, or by a target
	// whose paths are stalled on this one.
	indirect bool
	// rejectsRequests is true when the fault was a rejection: the target is reachable and
	// accepts no request.
	rejectsRequests bool
	// connectionFault is true when the fault was that this VM could not connect, or read a
	// report: another VM's sign of life refutes it.
	connectionFault bool
	reach           reachability
	// leaves is true when the registered incarnation stated that it leaves.
	leaves bool
	// lastAnswerAt is when this VM last received an answer through the target, and
	// lastReportAt when it last received the target's report.
	lastAnswerAt, lastReportAt model.Instant
	// layersChangedAt is when the held layers last changed.
	layersChangedAt model.Instant
	// neededAt is when a path was last missing while this target was under
	// suspicion.
	neededAt model.Instant
	// consecutiveFaults counts faults in a row; each doubles the next suspicion.
	consecutiveFaults int
	// ownLoad is the load that this VM puts on the target, and others that of the other VMs.
	ownLoad Load
	others  *loadview.Sum
	// group is the targets that could serve the same.
	group *loadGroup
	// joinedAt is when the incarnation was first listed; 0 for one of the first read.
	joinedAt model.Instant
	// reportRequestedAt is when the target's report was last requested.
	reportRequestedAt model.Instant
	// superseded is true when another incarnation answered at the target's address:
	// the registered one has ended.
	superseded bool
	// missedReports counts unanswered report requests in a row.
	missedReports int
	// refusedConnections counts refused connection probes in a row, the last of which
	// was sent at connectionProbedAt.
	refusedConnections int
	connectionProbedAt model.Instant
	// slowdown is the slowdown factor last received; 1 is normal.
	slowdown float64
	// slowdownAt is when slowdown was received, from the target or another VM, and
	// slowdownReadAt when this VM last read it from the target.
	slowdownAt, slowdownReadAt model.Instant
}

// Load is the work in flight on a target.
type Load = loadview.Load

// peer is the last state received from another VM.
type peer struct {
	receivedAt  model.Instant
	zone        model.AvailabilityZone
	isolated    bool
	unreachable map[model.TargetID]bool
	relay       Relay
	inFlight    int
	// relayFailedAt is when it last failed as a relay, and relayedFromHere counts the
	// requests that this VM sends through it.
	relayFailedAt   model.Instant
	relayedFromHere int
	// demand is the demand for each service there, in requests per second; nil when unknown.
	demand map[model.ServiceID]float64
}

// updatePeer replaces what is known of another VM by its last message.
func (s *State) updatePeer(now model.Instant, e PeerState) {
	p := s.peers[e.VM]
	if p == nil {
		p = &peer{}
		s.peers[e.VM] = p
	}
	p.receivedAt, p.zone, p.isolated, p.relay, p.inFlight = now.Add(-e.Age), e.Zone, e.Isolated, e.Relay, e.InFlight
	p.relay.VM, p.demand = e.VM, e.Demand
	s.unreachedByPeers -= len(p.unreachable)
	p.unreachable = make(map[model.TargetID]bool, len(e.Unreachable))
	for _, id := range e.Unreachable {
		p.unreachable[id] = true
	}
	s.unreachedByPeers += len(p.unreachable)
}

const (
	// neededWindow is how long a suspected target is probed after a path was missing.
	neededWindow = time.Second
	// peerExpiry is how long the last message of a VM counts.
	peerExpiry = loadview.Expiry
)

func (s *State) updateTargets(now model.Instant, e TargetsRead) []Effect {
	if e.ConfirmedAt == 0 {
		e.ConfirmedAt = now
	}
	effects := s.storeSucceeded(now, e.ConfirmedAt)
	if s.restore.precedes(e.Newest) {
		return effects
	}
	s.storeEra = e.Newest.Era
	s.restore.begin(e.Newest)
	known := s.targetsRead
	s.targetsRead = true
	listed := make(map[model.TargetID]bool, len(e.Targets))
	for _, t := range e.Targets {
		listed[t.ID] = true
		if change := s.targetListed(now, t, &e, known); change != nil {
			effects = append(effects, change)
		}
	}
	newest := s.newestIncarnations(e.Targets)
	for id, t := range s.targets {
		if listed[id] {
			continue
		}
		first := t.missingSince == 0
		if first {
			t.missingSince = now
		}
		// Registrations expire while the store is away and return soon after. One that was
		// listed after the store's recovery and is missing now was removed, and so was one
		// whose address belongs to a newer incarnation.
		expired := s.store.expired(now, t.listed, s.minOutage()) || t.listedIn != e.Newest.Era && s.restore.pending(now)
		if expired && newest[t.Address] <= t.StartedMs {
			if first {
				effects = append(effects, &StateChanged{
					What: "registration missing; target kept", Subject: string(id),
					Detail: "listed " + now.Sub(t.listed).String() + " ago, latest read " + now.Sub(e.ConfirmedAt).String() + " ago, store recovered " + now.Sub(s.store.recoveredAt).String() + " ago",
				})
			}
			continue
		}
		delete(s.targets, id)
		s.limits.Forget(id)
		s.loads.Forget(id)
		effects = append(effects, &StateChanged{What: "target gone", Subject: string(id), Detail: t.Address})
	}
	effects = append(effects, s.checkRegistrations()...)
	s.rebuildIndexes()
	return append(effects, s.confirmCrashes(now)...)
}

// targetListed applies a registration of a read. known is false for the first read.
func (s *State) targetListed(now model.Instant, t *fleet.Target, e *TargetsRead, known bool) Effect {
	var change Effect
	old, row := s.targets[t.ID], e.Rows[t.ID]
	started := int64(0)
	if old != nil {
		started = old.StartedMs
	}
	if known && s.restore.outdated(now, row) && !old.drainsBy(t) {
		// The row is from the older copy: what was known before is newer.
		if old == nil {
			return nil
		}
		old.missingSince = 0
	} else {
		change = s.updateTarget(now, t, row)
	}
	current := s.targets[t.ID]
	if known && (old == nil || started != current.StartedMs) {
		current.joinedAt = now
	}
	current.listed, current.listedIn = e.ConfirmedAt, e.Newest.Era
	return change
}

// newestIncarnations returns the StartedMs of the newest registration of each address.
func (s *State) newestIncarnations(read []*fleet.Target) map[string]int64 {
	newest := make(map[string]int64, len(read))
	for _, t := range read {
		newest[t.Address] = max(newest[t.Address], t.StartedMs)
	}
	return newest
}

func (s *State) updateTarget(now model.Instant, t *fleet.Target, rowVersion fleet.StoreVersion) Effect {
	known := s.targets[t.ID]
	if known == nil {
		s.targets[t.ID] = &target{Target: t, rowVersion: rowVersion, slowdown: 1}
		s.restoreLoad(s.targets[t.ID])
		s.updateLeaving(s.targets[t.ID])
		return &StateChanged{What: "target found", Subject: string(t.ID), Detail: describe(t)}
	}
	known.missingSince = 0
	if known.rowVersion == rowVersion {
		return nil
	}
	if known.Held != t.Held {
		// The target is alive, and its faults concern layers that it no longer holds.
		known.suspectedUntil, known.consecutiveFaults, known.layersChangedAt = 0, 0, now
	}
	if known.StartedMs != t.StartedMs {
		known.superseded, known.refusedConnections = false, 0
		s.limits.Forget(t.ID)
		known.consecutiveFaults, known.suspectedUntil, known.faultSeenAt, known.slowdown, known.missedReports = 0, 0, 0, 1, 0
		known.reach, known.connectionFault = reachability{}, false
	}
	before := describe(known.Target)
	known.Target, known.rowVersion = t, rowVersion
	s.updateLeaving(known)
	if after := describe(t); after != before {
		return &StateChanged{What: "target changed", Subject: string(t.ID), Detail: before + " -> " + after}
	}
	return nil
}

func describe(t *fleet.Target) string {
	state := "ready"
	if t.State == fleet.TargetDraining {
		state = "draining"
	}
	return t.Address + " " + string(t.Zone) + " " + string(t.Kind) + " " + t.Held.String() + " " + state +
		" born " + strconv.FormatInt(t.StartedMs, 10)
}

// rebuildIndexes rebuilds the indexes by service and address; targets of a service
// are sorted by id.
func (s *State) rebuildIndexes() {
	s.byService = map[model.ServiceID][]*target{}
	s.byAddress = map[string]*target{}
	for _, t := range s.targets {
		if t.refused != "" {
			continue
		}
		s.byService[t.Service] = append(s.byService[t.Service], t)
		if other := s.byAddress[t.Address]; other == nil || t.registeredAfter(other) {
			s.byAddress[t.Address] = t
		}
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	}
	s.trackOutliers()
	s.regroup()
}

// drainsBy reports whether a row of any age states that the known incarnation drains.
// An incarnation that drains does not become ready again.
func (t *target) drainsBy(row *fleet.Target) bool {
	return t != nil && row.State == fleet.TargetDraining && row.StartedMs == t.StartedMs
}

// registeredAfter reports whether t is the newer of two registrations at one address.
func (t *target) registeredAfter(other *target) bool {
	if t.StartedMs != other.StartedMs {
		return t.StartedMs > other.StartedMs
	}
	return t.rowVersion.After(other.rowVersion)
}

// serving reports whether the target is ready and not dead.
func (t *target) serving(now model.Instant) bool {
	return !t.draining() && !t.dead(now)
}

// usable reports whether the target is serving and not under suspicion.
func (t *target) usable(now model.Instant) bool { return t.serving(now) && now >= t.suspectedUntil }

// holds reports whether the target holds the layers of a hop.
func (t *target) holds(hop fleet.Hop) bool {
	return t.Held.First <= hop.Layers.First && hop.Layers.End <= t.Held.End
}

// deadAfterMissedReports is the number of unanswered report requests in a row after
// which a target's layers are placed elsewhere.
const deadAfterMissedReports = 2

const (
	// slowdownReadInterval is how often the lead VM of a zone reads the slowdown of its
	// targets.
	slowdownReadInterval = time.Second
	// slowThreshold is the slowdown from which a target counts as slow.
	slowThreshold = 1.3
	// maxSlowdown bounds a slowdown that is stated: predictions with it stay finite.
	maxSlowdown = 1000
	// slowdownExpiry is how long a slowdown counts without being received again.
	slowdownExpiry = 3 * time.Second
)

// slowness returns the factor by which the target is slower than its kind, 1 when it
// is not slow.
func (t *target) slowness(now model.Instant) float64 {
	if t.slowdown < slowThreshold || now.Sub(t.slowdownAt) > slowdownExpiry {
		return 1
	}
	return t.slowdown
}

// dead reports whether the target does not answer report requests and has given no other
// sign of life, or another incarnation answers at its address. For this VM's paths that is
// enough; see State.down for what it means to all VMs.
func (t *target) dead(now model.Instant) bool {
	return t.superseded || t.missedReports >= deadAfterMissedReports && !t.runs(now)
}

// endedAfterMissedReports is the number of unanswered report requests in a row after
// which a target is assumed to have ended or to be partitioned: fewer are also missed
// by a VM that was suspended, or by a target that is slow.
const endedAfterMissedReports = 4

// incarnation returns the incarnation that is registered.
func (t *target) incarnation() incarnation {
	return incarnation{target: t.ID, startedMs: t.StartedMs}
}

// ended reports whether an incarnation of a target runs no request any more.
func (s *State) ended(now model.Instant, t *target, startedMs int64) bool {
	if t.superseded || t.StartedMs != startedMs && startedMs != 0 {
		return true
	}
	if t.draining() {
		return false // it may refuse connections and finish the requests that it runs
	}
	return (t.missedReports >= endedAfterMissedReports || t.refusedConnections >= crashedAfterRefusals) && s.down(now, t)
}

// probe requests the reports of suspected, dead, unreached and monitored targets.
func (s *State) probe(now model.Instant, e ProbeDue) []Effect {
	var effects []Effect
	for _, list := range s.byService {
		for _, t := range list {
			if t.Kind == "" || now.Sub(t.reportRequestedAt) < reportInterval {
				continue
			}
			if s.reportDueForSuspicion(now, t, e.All) || s.reportDueForReach(now, t) || s.reportDueForOthers(now, t, e.Lead) {
				effects = append(effects, s.requestReport(now, t))
			}
		}
	}
	return effects
}

// reportDueForSuspicion reports whether the report of a suspected or dead target is due: all
// is true where it is also due for the suspicions of other VMs.
func (s *State) reportDueForSuspicion(now model.Instant, t *target, all bool) bool {
	if t.runs(now) {
		return false // only its connection is to be probed
	}
	needed := t.neededAt != 0 && now.Sub(t.neededAt) < neededWindow
	return now < t.suspectedUntil && (t.consecutiveFaults > 0 || all || needed) || t.dead(now)
}

// reportDueForReach reports whether it is due to try whether a target is reached again.
func (s *State) reportDueForReach(now model.Instant, t *target) bool {
	since := now.Sub(t.reportRequestedAt)
	return t.reach.failedAt != 0 && since >= reconnectInterval || !s.reaches(t) && since >= isolatedProbeInterval
}

// reportDueForOthers reports whether the report of a target is due that this VM monitors.
func (s *State) reportDueForOthers(now model.Instant, t *target, lead bool) bool {
	since := now.Sub(t.reportRequestedAt)
	due := t.Zone == s.settings.Zone && since >= slowdownReadInterval || since >= reconnectInterval && s.unreachedByPeer(now, t)
	return due && s.monitors(now, t, lead)
}

// requestReport requests a target's report.
func (s *State) requestReport(now model.Instant, t *target) Effect {
	t.reportRequestedAt = now
	return &RequestReport{Target: t.ID, Address: t.Address, NewConnection: t.reach.failedAt != 0}
}

// applyPeer applies the message of another VM.
func (s *State) applyPeer(now model.Instant, e PeerState) []Effect {
	s.loads.SetVM(now, e.VM, e.Zone, s.plausible(now, e))
	return s.applyState(now, e)
}

// applyState applies the state of another VM, but for its loads.
func (s *State) applyState(now model.Instant, e PeerState) []Effect {
	known := len(s.peers)
	s.updatePeer(now, e)
	s.dropStored(now, e)
	s.peerHasConfig(now, e.Config)
	if len(s.peers) > known {
		s.updateVMs(now)
	}
	for id, slowdown := range e.Paces {
		// What this VM reads itself is newer than what others state of it.
		if t := s.targets[id]; t != nil && now.Sub(t.slowdownReadAt) > slowdownExpiry {
			t.slowdown, t.slowdownAt = min(slowdown, maxSlowdown), now.Add(-e.Age)
		}
	}
	effects := append(s.keepLostAnswers(now, e), s.contentRead(now)...)
	effects = append(effects, s.applySigns(now, e)...)
	effects = append(effects, s.applyLimits(now, e)...)
	effects = append(effects, s.applyBackoffs(now, e)...)
	effects = append(effects, s.applyLeaving(now, e)...)
	effects = append(effects, s.applyOutliers(now, e)...)
	for _, answer := range e.Answers {
		effects = append(effects, effectList(s.applyAnswered(now, answer, e.VM))...)
	}
	for _, c := range e.Crashes {
		change := s.recordCrash(now, c.Cause, incarnation{target: c.Target, startedMs: c.Born}, now, false)
		if change != nil && s.crashRecords[c.Cause].observed {
			s.markOwn(c.Cause)
		}
		effects = append(effects, effectList(change)...)
	}
	for _, q := range e.Quarantines {
		effects = append(effects, effectList(s.applyQuarantine(now, q, e.VM))...)
	}
	for id, suspicion := range e.Suspects {
		if t := s.targets[id]; t != nil && !e.Isolated {
			effects = append(effects, effectList(s.adoptSuspicion(now, t, suspicion, e.VM))...)
		}
	}
	return append(effects, s.findSigns(now, e)...)
}

// findSigns requests the reports of targets that another VM fails to reach, if this VM
// monitors them and has had no sign of life of them lately.
func (s *State) findSigns(now model.Instant, e PeerState) []Effect {
	var effects []Effect
	for _, id := range e.Unreachable {
		t := s.targets[id]
		if t == nil || t.Kind == "" || now.Sub(t.reportRequestedAt) < reconnectInterval || now.Sub(t.reach.contactAt) < reportInterval {
			continue
		}
		if s.monitors(now, t, s.lead) {
			effects = append(effects, s.requestReport(now, t))
		}
	}
	return effects
}

// load returns the load of all VMs on a target as it was last stated.
func (s *State) load(now model.Instant, t *target) Load {
	s.loads.Expire(now)
	return t.ownLoad.Plus(s.loads.Sum(t.ID).Load)
}

// OwnPeerState returns the state for other VMs: own loads, suspicions, slowdowns,
// crashes, quarantines and lost answers.
func (s *State) OwnPeerState(now model.Instant) PeerState {
	out := PeerState{
		VM: s.settings.VM, Zone: s.settings.Zone, Process: s.settings.Process, Uptime: now.Sub(s.startedAt), Loads: map[model.TargetID]Load{}, Suspects: map[model.TargetID]Suspicion{},
		Paces: map[model.TargetID]float64{}, Crashes: s.recentCrashes(now), Quarantines: s.quarantines(now),
		LostAnswers: s.sentLostAnswers(now), Answers: s.sentAnswers(now), Limits: s.sentLimits(now), Backoffs: s.sentBackoffs(now), Leaving: s.sentLeaving(),
		Isolated: s.Isolated(), Unreachable: s.sentUnreachable(), Signs: s.sentSigns(now), Relay: s.offered(), InFlight: len(s.requests) + s.relayed,
		Outliers: s.outliers.Observations(now),
		Demand:   s.sentDemand(now),
	}
	if s.config != nil {
		out.Config = s.config.Version
	}
	for id, t := range s.targets {
		if t.ownLoad.Requests != 0 {
			out.Loads[id] = t.ownLoad
		}
		// Only own reads are stated: VMs that passed on each other's would never forget one.
		if slowdown := t.slowness(now); slowdown > 1 && t.Zone == s.settings.Zone && t.slowdownAt == t.slowdownReadAt {
			out.Paces[id] = slowdown
		}
		if remaining := t.suspectedUntil.Sub(now); remaining > 0 && t.consecutiveFaults > 0 && !s.Isolated() {
			out.Suspects[id] = Suspicion{Remaining: remaining, Age: now.Sub(t.faultSeenAt), RejectsRequests: t.rejectsRequests}
		}
	}
	return out
}
