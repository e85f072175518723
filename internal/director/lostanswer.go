package director

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"tamarackreach/internal/model"
)

const (
	// maxLostAnswers bounds the lost answers that await confirmation of a crash, and
	// maxSentLostAnswers those in a message.
	maxLostAnswers, maxSentLostAnswers = 4096, 16
	// peerSilence is how long after its last message a VM of the zone counts as ended, so
	// that its lost answers are confirmed by others.
	peerSilence = time.Second
	// otherZoneSilence is that time for a VM of another zone: its messages come in digests,
	// which are missing while the zone changes its leader.
	otherZoneSilence = 2500 * time.Millisecond
)

// lostAnswer is an answer lost on a target that may have crashed.
type lostAnswer struct {
	cause Cause
	ran   incarnation
	at    model.Instant
	// probed is true once a connection to the target was probed.
	probed bool
	// inherited is true when a VM that counts as ended observed it; observer is its
	// process.
	inherited bool
	observer  vmProcess
	// stored is true when it was read from the store.
	stored bool
	// answered is true once this VM has received an answer to a cause whose answer
	// another VM lost.
	answered bool
}

// LostAnswer is an answer lost on a target that may have crashed, for other VMs. They
// use it only once the VM that lost it has ended: until then that VM confirms the crash
// itself, or drops it when the cause is answered.
type LostAnswer struct {
	Cause  Cause
	Target model.TargetID
	// Born is the start time of the target's process, Unix milliseconds.
	Born int64
	// Age is the time since the answer was lost.
	Age time.Duration
}

// vmProcess identifies a process of a VM.
type vmProcess struct {
	vm      model.NodeID
	process uint32
}

// peerAnswers are the lost answers in the last message of another VM.
type peerAnswers struct {
	process    uint32
	receivedAt model.Instant
	lost       []lostAnswer
}

func (l LostAnswer) decode(now model.Instant) lostAnswer {
	return lostAnswer{cause: l.Cause, ran: incarnation{target: l.Target, startedMs: l.Born}, at: now.Add(-l.Age)}
}

// window returns how long after it was lost a crash of the target is attributed to the
// cause.
func (l *lostAnswer) window() time.Duration {
	if l.stored {
		return storedConfirmWindow
	}
	return crashConfirmWindow
}

func (l *lostAnswer) same(other *lostAnswer) bool {
	return l.cause == other.cause && l.ran == other.ran
}

// recordLostAnswer keeps a lost answer, once for each cause, until it is known whether its
// target crashed. A request starts to run with its first token, so the first event may be
// delivered before the crash. A request that has progressed, on this target or before on
// another one, is unlikely to be the cause and not recorded.
func (s *State) recordLostAnswer(now model.Instant, r *request, outcome Outcome) []Effect {
	if r.progressed || outcome != Lost && outcome != Broken || len(r.hops) == 0 {
		return nil
	}
	if s.onTrial(now, r) {
		s.addNarrowLostAnswers(now, r)
		return s.failTrial(now, r)
	}
	learned, stored := false, false
	for _, cause := range r.causes() {
		s.addLostAnswer(lostAnswer{cause: cause, ran: r.sentTo, at: now})
		if s.answered(now, cause) {
			continue
		}
		lost := len(s.lostOn(cause))
		learned, stored = learned || lost > 1, stored || lost >= cause.storeThreshold()
	}
	if learned {
		s.learned++
	}
	if stored {
		s.contentChanged++
	}
	return nil
}

// addNarrowLostAnswers keeps the lost answer of a trial for the causes of the request that are
// narrower than its content and not refused. A request that fails every trial of its content
// would otherwise have all others with the content refused for longer and longer.
func (s *State) addNarrowLostAnswers(now model.Instant, r *request) {
	contents, quarantined := r.contentCauses(), s.quarantinedCauses(r)
	for _, cause := range contents[:len(contents)-1] {
		if quarantined[cause] == nil {
			s.addLostAnswer(lostAnswer{cause: cause, ran: r.sentTo, at: now})
		}
	}
}

func (s *State) addLostAnswer(l lostAnswer) {
	known := slices.IndexFunc(s.lostAnswers, func(k lostAnswer) bool { return k.same(&l) && k.inherited == l.inherited && k.observer == l.observer })
	switch {
	case known >= 0:
		s.lostAnswers[known].at = max(s.lostAnswers[known].at, l.at)
		return
	case len(s.lostAnswers) >= maxLostAnswers:
		s.lostAnswers = s.lostAnswers[1:]
	}
	s.lostAnswers = append(s.lostAnswers, l)
}

// dropLostAnswers drops the lost answers to a cause that was answered. Those of other
// VMs are kept, since the next message repeats them, and not inherited.
func (s *State) dropLostAnswers(cause Cause) {
	before := len(s.lostAnswers)
	s.lostAnswers = slices.DeleteFunc(s.lostAnswers, func(l lostAnswer) bool { return l.cause == cause })
	s.attribution(cause).Answered += uint64(before - len(s.lostAnswers))
	for _, p := range s.peerLostAnswers {
		for i := range p.lost {
			p.lost[i].answered = p.lost[i].answered || p.lost[i].cause == cause
		}
	}
}

// sentLostAnswers returns the lost answers to send to other VMs, each target once: parts
// with an answer last, causes with most targets first, then the latest.
func (s *State) sentLostAnswers(now model.Instant) []LostAnswer {
	var distinct []lostAnswer
	seen, targets := map[lostAnswer]bool{}, map[Cause]int{}
	for i := len(s.lostAnswers) - 1; i >= 0; i-- {
		l := s.lostAnswers[i]
		key := lostAnswer{cause: l.cause, ran: l.ran}
		if seen[key] {
			continue
		}
		seen[key] = true
		targets[l.cause]++
		distinct = append(distinct, l)
	}
	slices.SortStableFunc(distinct, func(a, b lostAnswer) int {
		answered := cmp.Compare(s.rank(now, a.cause)/2, s.rank(now, b.cause)/2)
		return cmp.Or(answered, cmp.Compare(targets[b.cause], targets[a.cause]), cmp.Compare(b.at, a.at))
	})
	var out []LostAnswer
	for _, l := range distinct[:min(len(distinct), maxSentLostAnswers)] {
		out = append(out, LostAnswer{Cause: l.cause, Target: l.ran.target, Born: l.ran.startedMs, Age: now.Sub(l.at)})
	}
	return out
}

// keepLostAnswers replaces the lost answers of another VM by those of its last message.
// Those of its previous process are inherited.
func (s *State) keepLostAnswers(now model.Instant, e PeerState) []Effect {
	var effects []Effect
	var known []lostAnswer
	if p := s.peerLostAnswers[e.VM]; p != nil && p.process != e.Process {
		effects = s.inherit(now, vmProcess{e.VM, p.process}, p.lost, "restarted")
	} else if p != nil {
		known = p.lost
	}
	delete(s.peerLostAnswers, e.VM)
	// A process that was silent, and runs, confirms the crashes itself.
	s.lostAnswers = slices.DeleteFunc(s.lostAnswers, func(l lostAnswer) bool { return l.inherited && l.observer == vmProcess{e.VM, e.Process} })
	if len(e.LostAnswers) == 0 {
		return effects
	}
	p := &peerAnswers{process: e.Process, receivedAt: now}
	s.peerLostAnswers[e.VM] = p
	for _, sent := range e.LostAnswers[:min(len(e.LostAnswers), maxSentLostAnswers)] {
		l := sent.decode(now)
		l.answered = slices.ContainsFunc(known, func(k lostAnswer) bool { return k.same(&l) && k.answered })
		p.lost = append(p.lost, l)
	}
	return effects
}

// inheritSilent takes over the lost answers of VMs that send no messages any more.
func (s *State) inheritSilent(now model.Instant) []Effect {
	var effects []Effect
	for _, vm := range slices.Sorted(maps.Keys(s.peerLostAnswers)) {
		p := s.peerLostAnswers[vm]
		if silent := now.Sub(p.receivedAt); silent >= s.silenceOf(vm) {
			delete(s.peerLostAnswers, vm)
			effects = append(effects, s.inherit(now, vmProcess{vm, p.process}, p.lost, "silent for "+silent.String())...)
		}
	}
	return effects
}

// silenceOf returns how long a VM sends no messages before it counts as ended.
func (s *State) silenceOf(vm model.NodeID) time.Duration {
	if p := s.peers[vm]; p != nil && p.zone != "" && p.zone != s.settings.Zone {
		return otherZoneSilence
	}
	return peerSilence
}

// inherit takes over the lost answers of a VM whose process has ended: nobody else
// confirms the crashes.
func (s *State) inherit(now model.Instant, observer vmProcess, lost []lostAnswer, reason string) []Effect {
	count, oldest := 0, time.Duration(0)
	for _, l := range lost {
		age := now.Sub(l.at)
		if l.answered || slices.ContainsFunc(s.lostAnswers, func(k lostAnswer) bool { return k.same(&l) }) {
			continue
		}
		l.inherited, l.observer = true, observer
		s.addLostAnswer(l)
		count, oldest = count+1, max(oldest, age)
	}
	if count == 0 {
		return nil
	}
	taken := &StateChanged{
		What: "lost answers taken over", Subject: string(observer.vm),
		Detail: strconv.Itoa(count) + ", the oldest lost " + oldest.String() + " ago; the VM is " + reason,
	}
	return append([]Effect{taken}, s.confirmCrashes(now)...)
}

// confirmCrashes records a crash for each lost answer whose target has crashed since,
// and removes expired records.
func (s *State) confirmCrashes(now model.Instant) []Effect {
	var effects []Effect
	kept := s.lostAnswers[:0]
	for _, l := range s.lostAnswers {
		switch {
		case now.Sub(l.at) > l.window():
			s.attribution(l.cause).Expired++
		case s.hasCrashed(now, &l):
			s.attribution(l.cause).Crashed++
			if change := s.recordCrash(now, l.cause, l.ran, l.at, !l.inherited); change != nil {
				effects = append(effects, change)
				s.learned++
				// Of the VMs that inherit an answer, one in each zone stores the result.
				if !l.inherited || s.lead {
					s.markOwn(l.cause)
				}
			}
		default:
			kept = append(kept, l)
		}
	}
	s.lostAnswers = kept
	maps.DeleteFunc(s.crashRecords, func(_ Cause, c *crashRecord) bool {
		return now >= c.quarantinedUntil && now.Sub(c.at) > crashExpiry
	})
	return effects
}

// hasCrashed reports whether the target of a lost answer has crashed since. A VM that
// has inherited the answer may know an earlier incarnation of the target than the VM
// that lost it, or no targets yet.
func (s *State) hasCrashed(now model.Instant, l *lostAnswer) bool {
	t := s.targets[l.ran.target]
	switch {
	case !s.targetsRead:
		return false
	case t == nil || t.superseded:
		return true
	case l.inherited && t.StartedMs > l.ran.startedMs, !l.inherited && t.StartedMs != l.ran.startedMs:
		return true
	}
	// A later report of the incarnation takes the crash back; see refuteCrash.
	silent := t.dead(now) || t.refusedConnections >= crashedAfterRefusals && !t.runs(now)
	return silent && !s.Isolated()
}

// probeConnections probes targets that have no report and lost an answer. Their crash
// would otherwise be known only from the registration, seconds later or not at all
// while the store is unreachable. For inherited answers one VM of each zone probes.
func (s *State) probeConnections(now model.Instant, e ProbeDue) []Effect {
	var effects []Effect
	for i := range s.lostAnswers {
		l := &s.lostAnswers[i]
		t := s.targets[l.ran.target]
		if t == nil || t.Kind != "" || t.StartedMs != l.ran.startedMs || l.inherited && !e.Lead {
			continue
		}
		l.probed = l.probed || t.connectionProbedAt != 0 && t.connectionProbedAt >= l.at // for another cause
		if l.probed && t.refusedConnections == 0 || t.connectionProbedAt != 0 && now.Sub(t.connectionProbedAt) < reportInterval {
			continue
		}
		l.probed = true
		effects = append(effects, s.probeConnection(now, t))
	}
	return append(effects, s.probeUnreached(now, e)...)
}

func (s *State) probeConnection(now model.Instant, t *target) Effect {
	t.connectionProbedAt = now
	return &ProbeConnection{Target: t.ID, Address: t.Address}
}

// probeUnreached probes targets without a report that run and that this VM fails to reach,
// or that another VM does and this VM monitors.
func (s *State) probeUnreached(now model.Instant, e ProbeDue) []Effect {
	var effects []Effect
	for _, id := range s.services() {
		for _, t := range s.byService[id] {
			if t.Kind != "" || now.Sub(t.connectionProbedAt) < reconnectInterval && t.connectionProbedAt != 0 {
				continue
			}
			monitored := s.unreachedByPeer(now, t) && now.Sub(t.reach.contactAt) >= reconnectInterval && s.monitors(now, t, e.Lead)
			if !s.reaches(t) && s.runsUnreached(now, t) || monitored {
				effects = append(effects, s.probeConnection(now, t))
			}
		}
	}
	return effects
}
