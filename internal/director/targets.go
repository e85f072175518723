package director

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

// target is a back end as this VM believes it to be.
type target struct {
	*fleet.Target
	row model.RowVersion
	// missing is when the registration was first not found; 0 while it is there.
	missing model.Instant
	// seen is when a read of the store last showed the registration.
	seen model.Instant
	// suspectUntil is when the target may be used again after a fault.
	suspectUntil model.Instant
	// suspectedAt is when the fault behind the suspicion was last seen.
	suspectedAt model.Instant
	// hearsay is true when the fault was seen by others: another VM, or a target
	// that waits for this one.
	hearsay bool
	// refuses is true when the fault was a refusal: the target answers and takes
	// nothing.
	refuses bool
	// soundAt is when an answer last came through the target to this VM, and
	// answeredAt when it last answered for its report.
	soundAt, answeredAt model.Instant
	// heldSince is when the layers that it holds last changed.
	heldSince model.Instant
	// wantedAt is when a path was last missing for want of this target.
	wantedAt model.Instant
	// strikes counts faults in a row; each doubles the time of the next suspicion.
	strikes int
	// own is the load that this VM put on the target.
	own Load
	// reportAsked is when the target's report was last asked for.
	reportAsked model.Instant
	// ended is true when another life answered at the target's address: the one
	// that registered is over.
	ended bool
	// silent counts requests for its report without an answer, in a row.
	silent int
	// pace is what the target last reported; 1 is normal.
	pace float64
	// paced is when that was heard, from the target or a peer.
	paced model.Instant
}

// Load is work in flight on a target.
type Load struct {
	// Requests is the number of requests.
	Requests int
	// TokenLayers is their tokens times the layers that the target runs for them.
	TokenLayers float64
	// Waiting is the number of requests that have no answer yet: their prompts
	// are being read.
	Waiting int
	// First is the number of requests of which the target is the first hop.
	First int
}

// peer is what another VM said last.
type peer struct {
	heard model.Instant
	loads map[model.TargetID]Load
}

const (
	// returnTime is how soon a live target's registration is back after the store
	// was away: two seconds as the platform promises, and a poll.
	returnTime = 2700 * time.Millisecond
	// wantedFor is how long a target that a path was missing for is looked at.
	wantedFor = time.Second
	// peerMemory is how long a peer's word counts: ten of its messages.
	peerMemory = 2 * time.Second
)

func (s *State) targetsSeen(now model.Instant, e TargetsRead) []Effect {
	effects := s.storeAnswered(now)
	s.targetsRead = true
	seen := make(map[model.TargetID]bool, len(e.Targets))
	for _, t := range e.Targets {
		seen[t.ID] = true
		if change := s.updateTarget(now, t, e.Rows[t.ID]); change != nil {
			effects = append(effects, change)
		}
		s.targets[t.ID].seen = now
	}
	newest := s.newestLives(e.Targets)
	for id, t := range s.targets {
		if seen[id] {
			continue
		}
		if t.missing == 0 {
			t.missing = now
		}
		// Registrations lapse while the store is away and are back soon after; one
		// that was there since the store's return and is missing now was removed, and
		// so was one whose address a later life has taken.
		lapsed := t.seen < s.storeBack && now.Sub(s.storeBack) < returnTime
		if lapsed && newest[t.Address] <= t.Born {
			continue
		}
		delete(s.targets, id)
		effects = append(effects, &Changed{What: "target gone", Subject: string(id), Detail: t.Address})
	}
	s.index()
	return append(effects, s.confirmLosses(now)...)
}

// newestLives returns the birth of the newest registration of each address.
func (s *State) newestLives(read []*fleet.Target) map[string]int64 {
	newest := make(map[string]int64, len(read))
	for _, t := range read {
		newest[t.Address] = max(newest[t.Address], t.Born)
	}
	return newest
}

func (s *State) updateTarget(now model.Instant, t *fleet.Target, row model.RowVersion) Effect {
	known := s.targets[t.ID]
	if known == nil {
		s.targets[t.ID] = &target{Target: t, row: row, pace: 1}
		return &Changed{What: "target found", Subject: string(t.ID), Detail: describe(t)}
	}
	known.missing = 0
	if known.row == row {
		return nil
	}
	if known.Held != t.Held {
		// It lives, and whatever it was blamed for concerns layers that it gave up.
		known.suspectUntil, known.strikes, known.heldSince = 0, 0, now
	}
	if known.Born != t.Born {
		known.ended = false
		known.strikes, known.suspectUntil, known.suspectedAt, known.pace, known.silent = 0, 0, 0, 1, 0
	}
	was := describe(known.Target)
	known.Target, known.row = t, row
	if is := describe(t); is != was {
		return &Changed{What: "target changed", Subject: string(t.ID), Detail: was + " -> " + is}
	}
	return nil
}

func describe(t *fleet.Target) string {
	state := "ready"
	if t.State == fleet.TargetDraining {
		state = "draining"
	}
	return t.Address + " " + string(t.Zone) + " " + string(t.Kind) + " " + t.Held.String() + " " + state +
		" born " + strconv.FormatInt(t.Born, 10)
}

// index rebuilds the views by service and address in a fixed order.
func (s *State) index() {
	s.byService = map[model.ServiceID][]*target{}
	s.byAddress = map[string]*target{}
	for _, t := range s.targets {
		s.byService[t.Service] = append(s.byService[t.Service], t)
		if other := s.byAddress[t.Address]; other == nil || other.row < t.row {
			s.byAddress[t.Address] = t
		}
	}
	for _, list := range s.byService {
		slices.SortFunc(list, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// serving reports whether the target takes work as far as it says itself.
func (t *target) serving() bool {
	return t.State == fleet.TargetReady && !t.dead()
}

// usable reports whether new work should go to the target.
func (t *target) usable(now model.Instant) bool { return t.serving() && now >= t.suspectUntil }

// runs reports whether the target still holds the layers of a hop.
func (t *target) runs(hop fleet.Hop) bool {
	return t.Held.First <= hop.Layers.First && hop.Layers.End <= t.Held.End
}

// silentWhenDead is the number of requests for its report in a row that a
// target leaves unanswered before its layers are placed elsewhere.
const silentWhenDead = 2

const (
	// watchInterval is how often the pace of a target is read by its zone's lead.
	watchInterval = time.Second
	// slowPace is the pace from which a target counts as slow.
	slowPace = 1.3
	// paceMemory is how long a pace counts that is not heard again.
	paceMemory = 3 * time.Second
)

// slowness is the factor by which the target is slower than its kind.
func (t *target) slowness(now model.Instant) float64 {
	if t.pace < slowPace || now.Sub(t.paced) > paceMemory {
		return 1
	}
	return t.pace
}

// dead is true for a target that does not even answer for itself, or whose
// address another life has taken.
func (t *target) dead() bool { return t.silent >= silentWhenDead || t.ended }

// probe asks for the reports of targets under suspicion.
func (s *State) probe(now model.Instant, e ProbeDue) []Effect {
	var effects []Effect
	for _, list := range s.byService {
		for _, t := range list {
			wanted := t.wantedAt != 0 && now.Sub(t.wantedAt) < wantedFor
			suspected := now < t.suspectUntil && (t.strikes > 0 || e.All || wanted) || t.dead()
			watched := e.Lead && t.Zone == s.settings.Zone && now.Sub(t.reportAsked) >= watchInterval
			if t.Kind == "" || !suspected && !watched || now.Sub(t.reportAsked) < reportInterval {
				continue
			}
			t.reportAsked = now
			effects = append(effects, &AskReport{Target: t.ID, Address: t.Address})
		}
	}
	return effects
}

func (s *State) peerHeard(now model.Instant, e PeerHeard) []Effect {
	s.peers[e.VM] = &peer{heard: now, loads: e.Loads}
	for id, pace := range e.Paces {
		if t := s.targets[id]; t != nil {
			t.pace, t.paced = pace, now
		}
	}
	var effects []Effect
	for _, c := range e.Crashes {
		effects = append(effects, effect(s.crashed(now, c.Content, run{target: c.Target, born: c.Born}))...)
	}
	for id, suspicion := range e.Suspects {
		if t := s.targets[id]; t != nil {
			effects = append(effects, effect(s.hear(now, t, suspicion, e.VM))...)
		}
	}
	return effects
}

// load is the work of all VMs on a target, as far as it was heard.
func (s *State) load(now model.Instant, t *target) Load {
	l := t.own
	for _, p := range s.peers {
		if now.Sub(p.heard) > peerMemory {
			continue
		}
		other := p.loads[t.ID]
		l.Requests += other.Requests
		l.TokenLayers += other.TokenLayers
		l.Waiting += other.Waiting
		l.First += other.First
	}
	return l
}

// Share returns what peers should hear: own loads and targets at fault.
func (s *State) Share(now model.Instant) PeerHeard {
	out := PeerHeard{
		VM: s.settings.VM, Loads: map[model.TargetID]Load{}, Suspects: map[model.TargetID]Suspicion{},
		Paces: map[model.TargetID]float64{}, Crashes: s.freshCrashes(now),
	}
	for id, t := range s.targets {
		if t.own.Requests > 0 {
			out.Loads[id] = t.own
		}
		if pace := t.slowness(now); pace > 1 && t.Zone == s.settings.Zone {
			out.Paces[id] = pace
		}
		if left := t.suspectUntil.Sub(now); left > 0 && t.strikes > 0 {
			out.Suspects[id] = Suspicion{Left: left, Age: now.Sub(t.suspectedAt), Refuses: t.refuses}
		}
	}
	return out
}
