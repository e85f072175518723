package director

import (
	"time"

	"tamarackreach/internal/model"
)

const (
	// initialSuspicion is how long a target is avoided after its first fault: twice a
	// round of stream events, so that new requests use the target soon after the fault
	// ends.
	initialSuspicion = 400 * time.Millisecond
	// maxSuspicion bounds the doubling: about three heartbeats, after which the
	// registration of an unreachable target is removed.
	maxSuspicion = 3 * time.Second
	// answerTransit is how long answers that passed a target before its fault may
	// still be in flight: the passes at later hops and the network between them.
	answerTransit = 50 * time.Millisecond
	// layerChangeWindow is how long others may still report faults in layers that a
	// target no longer holds: the age of a report, and the time until the streams
	// through those layers are sent on other paths.
	layerChangeWindow = time.Second
)

// fault is a reason to suspect a target.
type fault struct {
	reason string
	// minPeriod is the minimum duration of the suspicion.
	minPeriod time.Duration
	// indirect is true when the fault was reported by others.
	indirect bool
	// rejectsRequests is true when the target rejected a request.
	rejectsRequests bool
	// connection is true when this VM could not connect or read a report.
	connection bool
}

// suspect puts a target under suspicion, or extends its suspicion.
func (s *State) suspect(now model.Instant, t *target, f fault) Effect {
	fresh := now >= t.suspectedUntil
	t.indirect = f.indirect && (fresh || t.indirect)
	t.rejectsRequests = f.rejectsRequests
	t.connectionFault = f.connection && (fresh || t.connectionFault)
	t.faultSeenAt = now
	period := min(initialSuspicion<<min(t.consecutiveFaults, 8), maxSuspicion)
	t.suspectedUntil = max(t.suspectedUntil, now.Add(max(period, f.minPeriod)))
	if !fresh {
		return nil
	}
	t.consecutiveFaults++
	return &StateChanged{What: "target suspected", Subject: string(t.ID), Detail: f.reason}
}

// adoptSuspicion adopts another VM's suspicion, unless this VM received answers
// through the target after the fault: the other VM may be partitioned itself. A fault
// from before the last change of the target's layers is discarded as well.
func (s *State) adoptSuspicion(now model.Instant, t *target, suspicion Suspicion, peer model.NodeID) Effect {
	at := now.Add(-suspicion.Age)
	if suspicion.Remaining <= 0 || max(t.lastAnswerAt, t.reach.peerSignAt) > at || t.layersChangedAt > at {
		return nil
	}
	fresh := now >= t.suspectedUntil
	t.indirect = fresh || t.indirect
	t.rejectsRequests = suspicion.RejectsRequests || t.rejectsRequests && !fresh
	t.connectionFault = t.connectionFault && !fresh
	t.faultSeenAt = max(t.faultSeenAt, at)
	t.suspectedUntil = max(t.suspectedUntil, now.Add(min(suspicion.Remaining, maxSuspicion)))
	if !fresh {
		return nil
	}
	return &StateChanged{
		What: "target suspected", Subject: string(t.ID), Detail: "reported by " + string(peer) + ", fault observed " + suspicion.Age.String() + " ago",
	}
}

// reportedSinceFault reports whether a target under suspicion has answered a report
// request since the fault. Such a target is used when no other holds its layers.
func (t *target) reportedSinceFault(now model.Instant) bool {
	return t.serving(now) && !t.rejectsRequests && t.lastReportAt > t.faultSeenAt
}

// completed records that the target took part in a complete answer to a request sent
// at sentAt. A request sent before a fault does not show that the fault is over.
func (t *target) completed(now, sentAt model.Instant) {
	if sentAt > t.faultSeenAt {
		t.consecutiveFaults = 0
	}
	t.answered(now)
}

// answered records that an answer was received through the target. It clears a
// suspicion reported by others; one from this VM's own observation remains.
func (t *target) answered(now model.Instant) {
	t.lastAnswerAt, t.refusedConnections = now, 0
	if t.indirect && now.Sub(t.faultSeenAt) > answerTransit {
		t.suspectedUntil, t.indirect = 0, false
	}
}

// layersJustChanged reports whether faults reported by others may concern layers that
// the target no longer holds.
func (t *target) layersJustChanged(now model.Instant) bool {
	return t.layersChangedAt != 0 && now.Sub(t.layersChangedAt) < layerChangeWindow
}
