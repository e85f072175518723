package director

import (
	"time"

	"tamarackreach/internal/model"
)

const (
	// firstSuspicion is how long a target that failed is left out; twice a
	// round of stream events, so that new work sees the fault end.
	firstSuspicion = 400 * time.Millisecond
	// longestSuspicion bounds the doubling: about three heartbeats, after which
	// the registration of a dead target is removed.
	longestSuspicion = 3 * time.Second
	// hearsayDelay is how long answers that a target gave before its fault may
	// still be on their way: the passes and the wire behind it.
	hearsayDelay = 50 * time.Millisecond
	// movedMemory is how long others may still name a target for layers that it
	// gave up: the age of a report, and the time until streams there are moved.
	movedMemory = time.Second
)

// fault is a reason to leave a target out for a while.
type fault struct {
	why string
	// least is the least time for which the target is left out.
	least time.Duration
	// hearsay is true when others saw it.
	hearsay bool
	// refuses is true when the target answered that it takes nothing.
	refuses bool
}

// suspect leaves a target out for a while.
func (s *State) suspect(now model.Instant, t *target, f fault) Effect {
	fresh := now >= t.suspectUntil
	t.hearsay = f.hearsay && (fresh || t.hearsay)
	t.refuses = f.refuses
	t.suspectedAt = now
	period := min(firstSuspicion<<min(t.strikes, 8), longestSuspicion)
	t.suspectUntil = max(t.suspectUntil, now.Add(max(period, f.least)))
	if !fresh {
		return nil
	}
	t.strikes++
	return &Changed{What: "target suspected", Subject: string(t.ID), Detail: f.why}
}

// hear takes over another VM's suspicion, unless answers came through the target
// to this VM since the other saw the fault: the other may be cut off itself.
func (s *State) hear(now model.Instant, t *target, heard Suspicion, from model.NodeID) Effect {
	at := now.Add(-heard.Age)
	if heard.Left <= 0 || t.soundAt > at || t.heldSince > at {
		return nil
	}
	fresh := now >= t.suspectUntil
	t.hearsay = fresh || t.hearsay
	t.refuses = heard.Refuses || t.refuses && !fresh
	t.suspectedAt = max(t.suspectedAt, at)
	t.suspectUntil = max(t.suspectUntil, now.Add(min(heard.Left, longestSuspicion)))
	if !fresh {
		return nil
	}
	return &Changed{
		What: "target suspected", Subject: string(t.ID), Detail: "heard from " + string(from) + ", fault seen " + heard.Age.String() + " ago",
	}
}

// answersAgain reports whether a target under suspicion has answered for its
// report since the fault. Such a target is used when nothing else holds its layers.
func (t *target) answersAgain() bool {
	return t.serving() && !t.refuses && t.answeredAt > t.suspectedAt
}

// served notes that the target had a part in a whole answer to a request that was
// sent to it at sentAt. Requests from before a fault do not show that it is over.
func (t *target) served(now, sentAt model.Instant) {
	if sentAt > t.suspectedAt {
		t.strikes = 0
	}
	t.sound(now)
}

// sound notes that an answer came through the target. What others saw before
// that is overruled; faults that this VM saw itself stand.
func (t *target) sound(now model.Instant) {
	t.soundAt = now
	if t.hearsay && now.Sub(t.suspectedAt) > hearsayDelay {
		t.suspectUntil, t.hearsay = 0, false
	}
}

// justMoved is true while faults that others name may concern layers that the
// target no longer holds.
func (t *target) justMoved(now model.Instant) bool {
	return t.heldSince != 0 && now.Sub(t.heldSince) < movedMemory
}
