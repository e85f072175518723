package director

import (
	"time"

	"tamarackreach/internal/model"
)

const (
	// outageHeartbeats is the shortest outage of the store, in heartbeats of the targets, in
	// which a registration expires: it expires after three without a renewal, the last of
	// which came up to a heartbeat and a quarter before the outage.
	outageHeartbeats = 1.75
	// reregistration is how long after the store's return a live target may take to register
	// again.
	reregistration = 2200 * time.Millisecond
)

// storeReads is what a VM knows of the reads of the registrations by itself and, from their
// copies, by other VMs.
//
// Invariant: the store was away only while no VM whose copies are taken read the
// registrations, for long enough that some may have expired. Failed reads of a single VM show
// only that its own way to the store is cut, whoever reports them.
type storeReads struct {
	// confirmedAt is when the latest read began that succeeded; 0 before the first.
	confirmedAt model.Instant
	// failedAt is when a read of this VM first failed since confirmedAt was last set; 0 if
	// none did.
	failedAt model.Instant
	// recoveredAt is when the first read after the last outage began; 0 if none is known.
	recoveredAt model.Instant
	// statedAt is the latest recoveredAt that another VM stated.
	statedAt model.Instant
}

// succeeded records a read that began at startedAt. It reports whether reads of this VM had
// failed since the one before.
func (r *storeReads) succeeded(startedAt model.Instant, minOutage time.Duration) (regained bool) {
	if startedAt <= r.confirmedAt {
		return false // the same copy again
	}
	switch {
	case r.statedAt > r.confirmedAt && (r.confirmedAt == 0 || r.statedAt.Sub(r.confirmedAt) >= minOutage):
		r.recoveredAt = r.statedAt
	case r.confirmedAt != 0 && r.failedAt != 0 && startedAt.Sub(r.confirmedAt) >= minOutage:
		r.recoveredAt = startedAt
	}
	regained = r.failedAt != 0
	r.confirmedAt, r.failedAt = startedAt, 0
	return regained
}

// away reports whether the store may have been away since the latest read, for long enough
// that registrations have expired.
func (r *storeReads) away(now model.Instant, minOutage time.Duration) bool {
	return r.failedAt != 0 && now.Sub(r.confirmedAt) >= minOutage
}

// expired reports whether a registration that was last listed by a read that began at
// listedAt, and that the latest read lacks, may have expired in an outage: a live target then
// registers again.
func (r *storeReads) expired(now, listedAt model.Instant, minOutage time.Duration) bool {
	if r.away(now, minOutage) {
		return true
	}
	return listedAt < r.recoveredAt && r.confirmedAt.Sub(r.recoveredAt) < reregistration
}

// minOutage is the shortest outage of the store in which registrations expire; 0, so that any
// counts, where the interval of their renewals is unknown.
func (s *State) minOutage() time.Duration {
	return time.Duration(outageHeartbeats * float64(s.settings.Heartbeat))
}

func (s *State) storeFailed(now model.Instant) []Effect {
	if s.store.failedAt != 0 {
		return nil
	}
	s.store.failedAt = now
	return []Effect{&StateChanged{What: "store lost", Detail: "a read of this VM failed; serving continues with the last known state"}}
}

func (s *State) storeSucceeded(now, startedAt model.Instant) []Effect {
	failedAt, outageBefore := s.store.failedAt, s.store.recoveredAt
	if !s.store.succeeded(startedAt, s.minOutage()) && s.store.recoveredAt == outageBefore {
		return nil
	}
	detail := "no outage of the store: the registrations were read meanwhile, here or by other VMs"
	if s.store.recoveredAt != outageBefore {
		detail = "targets whose registrations expired are kept until " + (reregistration - now.Sub(s.store.recoveredAt)).String() + " from now"
	}
	if failedAt != 0 {
		detail = "reads failed for " + now.Sub(failedAt).String() + "; " + detail
	}
	return []Effect{&StateChanged{What: "store regained", Detail: detail}}
}

// StoreRecoveredAt returns when the first read after the last outage of the store began, 0 if
// no outage is known.
func (s *State) StoreRecoveredAt() model.Instant { return s.store.recoveredAt }
