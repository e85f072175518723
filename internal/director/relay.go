package director

import (
	"time"

	"tamarackreach/internal/model"
)

const (
	// zoneRelayFresh is how old the last message of a VM of the zone may be for it to be used
	// as a relay.
	zoneRelayFresh = 1500 * time.Millisecond
	// relayFailurePeriod is how long a VM that failed as a relay is left out.
	relayFailurePeriod = time.Second
	// relayCost is the cost of a path that begins at a relay, in milliseconds per decode step:
	// less than that of a change of zones.
	relayCost = 10
	// relayPenalty is the fraction of a target's slots that must be in use before a target
	// behind a relay is preferred to one that is reached.
	relayPenalty = 0.25
	// otherZoneRelayFactor multiplies the load of a relay in another zone when relays are
	// compared: traffic between zones is charged.
	otherZoneRelayFactor = 1.5
)

// Relay is how to reach another VM as a relay to targets.
type Relay struct {
	VM model.NodeID
	// Address is empty where the VM offers no relay.
	Address string
	// Secret authorises connections; it is sent to VMs only.
	Secret string
}

// offered returns the relay that this VM offers to others.
func (s *State) offered() Relay {
	if s.drain.Draining() || s.Isolated() {
		return Relay{}
	}
	return s.settings.Relay
}

// relayTo chooses a VM through which a target is reached, nil without one: that with the
// least load, with random weights, so that requests of many VMs spread.
func (s *State) relayTo(now model.Instant, r *request, t *target) *Relay {
	if !s.runsUnreached(now, t) {
		return nil
	}
	var best *Relay
	bestLoad := 0.0
	for vm, p := range s.peers {
		if p.relay.Address == "" || p.isolated || p.unreachable[t.ID] || now.Sub(p.receivedAt) > s.relayFresh(p) ||
			p.relayFailedAt != 0 && now.Sub(p.relayFailedAt) < relayFailurePeriod || s.backoffLeft(now, vm, t) > 0 {
			continue
		}
		load := float64(p.inFlight+p.relayedFromHere+1) * (0.5 + weight(r, vm))
		if p.zone != s.settings.Zone {
			load *= otherZoneRelayFactor
		}
		if best == nil || load < bestLoad || load == bestLoad && vm < best.VM {
			relay := p.relay
			best, bestLoad = &relay, load
		}
	}
	return best
}

// relayFresh returns how old the last message of a VM may be for it to be used as a relay.
func (s *State) relayFresh(p *peer) time.Duration {
	if p.zone != "" && p.zone != s.settings.Zone {
		return otherZoneSilence
	}
	return zoneRelayFresh
}

// relayFor returns the relay of a send to a target, nil for a direct one: the target is
// reached, or no VM relays to it.
func (s *State) relayFor(now model.Instant, r *request, t *target) *Relay {
	if s.reaches(t) {
		return nil
	}
	return s.relayTo(now, r, t)
}

// sameWay reports whether the next send to a target would take the way of the send in
// flight: direct, or through the same VM.
func (s *State) sameWay(now model.Instant, r *request, id model.TargetID) bool {
	relay := s.relayFor(now, r, s.targets[id])
	return relay == nil && r.via == "" || relay != nil && relay.VM == r.via
}

// weight returns a number in [0,1) that differs between the sends of a request and between
// VMs.
func weight(r *request, vm model.NodeID) float64 {
	hash := uint64(r.random*(1<<52)) + uint64(r.sends)
	for _, c := range []byte(vm) {
		hash = (hash ^ uint64(c)) * 1099511628211
	}
	return float64(hash>>12) / (1 << 52)
}

// beginRelayed and endRelayed count the requests in flight that this VM sends through
// another.
func (s *State) beginRelayed(r *request, relay *Relay) {
	if relay == nil {
		return
	}
	r.via = relay.VM
	if p := s.peers[relay.VM]; p != nil {
		p.relayedFromHere++
	}
}

func (s *State) endRelayed(r *request) {
	if p := s.peers[r.via]; r.via != "" && p != nil {
		p.relayedFromHere = max(p.relayedFromHere-1, 0)
	}
	r.via = ""
}

// relayFailed leaves a VM out that could not be used as a relay.
func (s *State) relayFailed(now model.Instant, vm model.NodeID) Effect {
	p := s.peers[vm]
	if p == nil {
		return nil
	}
	p.relayFailedAt = now
	return &StateChanged{What: "relay failed", Subject: string(vm), Detail: "left out for " + relayFailurePeriod.String()}
}

// relaySilent reports whether the VM through which a request is sent sends no messages any
// more.
func (s *State) relaySilent(now model.Instant, r *request) bool {
	if r.via == "" {
		return false
	}
	p := s.peers[r.via]
	return p == nil || now.Sub(p.receivedAt) > s.relayFresh(p)
}

// recordContact records that the first target of a request's send answered, if it was
// sent directly since the last failure to reach the target.
func (s *State) recordContact(now model.Instant, r *request) {
	if len(r.hops) == 0 || r.via != "" {
		return
	}
	if t := s.targets[r.hops[0].Target]; t != nil && r.sentAt > t.reach.failedAt {
		s.contact(now, t)
	}
}

// recordConnection records what the end of a send shows about the connection to its first
// target, or to the relay.
func (s *State) recordConnection(now model.Instant, r *request, e SendEnded) []Effect {
	switch {
	case e.RelayFailed:
		return effectList(s.relayFailed(now, r.via))
	case e.Responded:
		s.recordContact(now, r)
	case e.Unconnected && r.via == "" && len(r.hops) > 0:
		if t := s.targets[r.hops[0].Target]; t != nil {
			s.exchangeFailed(now, t)
		}
	}
	return nil
}

// relayOpened records the result of a connection that this VM opened for another one.
func (s *State) relayOpened(now model.Instant, e RelayOpened) {
	t := s.targets[e.Target]
	if e.Connected {
		s.relayed++
	}
	switch {
	case t == nil:
	case e.Connected:
		s.contact(now, t)
	default:
		s.exchangeFailed(now, t)
	}
}

// Relayed returns the number of connections that this VM relays for others.
func (s *State) Relayed() int { return s.relayed }

// RelayTarget returns the address of a target to which this VM connects for others; false
// for one that is not registered.
func (s *State) RelayTarget(id model.TargetID) (address string, ok bool) {
	t := s.targets[id]
	if t == nil {
		return "", false
	}
	return t.Address, true
}
