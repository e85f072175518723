package director

import (
	"time"

	"tamarackreach/internal/model"
)

// ZoneState is the digest of a zone: the states of its VMs, and the sum of their loads.
type ZoneState struct {
	Zone model.AvailabilityZone
	// Members are the states of the VMs, as of now and without loads.
	Members []PeerState
	Loads   map[model.TargetID]Load
}

func (ZoneState) event() {}

// applyZone applies the digest of another zone.
func (s *State) applyZone(now model.Instant, e ZoneState) []Effect {
	if e.Zone == s.settings.Zone {
		return nil
	}
	var effects []Effect
	members := make([]model.NodeID, 0, len(e.Members))
	ages := time.Duration(0)
	for _, m := range e.Members {
		if m.VM == s.settings.VM {
			continue
		}
		members = append(members, m.VM)
		ages += max(m.Age, 0)
		if p := s.peers[m.VM]; p != nil && p.receivedAt >= now.Add(-m.Age) {
			continue // the VM's own message is newer
		}
		effects = append(effects, s.applyState(now, m)...)
	}
	s.loads.SetZone(now, e.Zone, members, ages/time.Duration(max(len(members), 1)), e.Loads)
	return effects
}

// KnownVMs returns the number of other VMs whose last message counts, and the age of the
// oldest of these messages.
func (s *State) KnownVMs(now model.Instant) (count int, oldest time.Duration) {
	for _, p := range s.peers {
		if age := now.Sub(p.receivedAt); age <= peerExpiry {
			count++
			oldest = max(oldest, age)
		}
	}
	return count, oldest
}
