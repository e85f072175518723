// Package zonedigest merges the states of the VMs of a zone into one message for other
// zones, so that what crosses zones grows with zones and not with VMs squared. It is pure.
package zonedigest

import (
	"maps"
	"slices"
	"time"

	"tamarackreach/internal/director"
	"tamarackreach/internal/loadview"
	"tamarackreach/internal/model"
)

// Member is the state of a VM of the zone, without its loads.
type Member struct {
	State director.PeerState
	// Age is the time since the VM's state was received.
	Age time.Duration
}

// Digest is the state of a zone.
type Digest struct {
	Zone model.AvailabilityZone
	// Sender is the VM that merged the states.
	Sender model.NodeID
	// Loads are the sums of the members' loads.
	Loads   loadview.Loads
	Members []Member
}

// received is a state and the time at which it was received.
type received struct {
	at    model.Instant
	state director.PeerState
}

// Collector keeps the last state of each VM of its zone.
type Collector struct {
	states map[model.NodeID]received
}

// NewCollector returns an empty collector.
func NewCollector() *Collector { return &Collector{states: map[model.NodeID]received{}} }

// Put replaces the state of a VM of the zone.
func (c *Collector) Put(now model.Instant, state director.PeerState) {
	c.states[state.VM] = received{at: now, state: state}
}

// Digest merges the states that are recent with the collector's own.
func (c *Collector) Digest(now model.Instant, own director.PeerState) Digest {
	out := Digest{Zone: own.Zone, Sender: own.VM, Loads: loadview.Loads{}}
	out.add(own, 0)
	for _, vm := range slices.Sorted(maps.Keys(c.states)) {
		r := c.states[vm]
		age := now.Sub(r.at)
		if age > loadview.Expiry || vm == own.VM {
			delete(c.states, vm)
			continue
		}
		out.add(r.state, age)
	}
	return out
}

func (d *Digest) add(state director.PeerState, age time.Duration) {
	for id, l := range state.Loads {
		d.Loads[id] = d.Loads[id].Plus(l)
	}
	state.Loads = nil
	d.Members = append(d.Members, Member{State: state, Age: age})
}

// Received returns the digest as it applies now, when it is received.
func (d *Digest) Received() director.ZoneState {
	out := director.ZoneState{Zone: d.Zone, Loads: d.Loads}
	for _, m := range d.Members {
		out.Members = append(out.Members, delayed(m.State, m.Age))
	}
	return out
}

// delayed returns a state as of some time after its VM sent it.
func delayed(s director.PeerState, by time.Duration) director.PeerState {
	s.Age += by
	s.Uptime += by
	s.Suspects = mapped(s.Suspects, func(x director.Suspicion) director.Suspicion {
		x.Remaining, x.Age = x.Remaining-by, x.Age+by
		return x
	})
	s.Limits = mapped(s.Limits, func(x director.TargetLimit) director.TargetLimit { x.Age += by; return x })
	s.Signs = mapped(s.Signs, func(x director.Sign) director.Sign { x.Age += by; return x })
	s.Quarantines = slices.Clone(s.Quarantines)
	for i := range s.Quarantines {
		s.Quarantines[i].Remaining -= by
		s.Quarantines[i].Age += by
	}
	s.LostAnswers = slices.Clone(s.LostAnswers)
	for i := range s.LostAnswers {
		s.LostAnswers[i].Age += by
	}
	s.Answers = slices.Clone(s.Answers)
	for i := range s.Answers {
		s.Answers[i].Age += by
	}
	s.Backoffs = slices.Clone(s.Backoffs)
	for i := range s.Backoffs {
		s.Backoffs[i].Remaining -= by
	}
	s.Outliers = s.Outliers.Delayed(by)
	return s
}

func mapped[V any](in map[model.TargetID]V, change func(V) V) map[model.TargetID]V {
	if in == nil {
		return nil
	}
	out := make(map[model.TargetID]V, len(in))
	for id, v := range in {
		out[id] = change(v)
	}
	return out
}
