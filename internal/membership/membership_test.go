package membership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/membership"
	"tamarackreach/internal/model"
)

func TestMembership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "membership")
}

const start = model.Instant(time.Hour)

// registered returns n VMs in zones, the VMs with an index in earlier with a build that
// understands no digests.
func registered(n, zones int, earlier ...int) map[model.NodeID]membership.VM {
	out := map[model.NodeID]membership.VM{}
	for i := range n {
		vm := membership.VM{Zone: zoneOf(i, zones), Address: fmt.Sprintf("10.0.0.%d:7340", i), Protocol: membership.DigestProtocol}
		if slices.Contains(earlier, i) {
			vm.Protocol = 0
		}
		out[name(i)] = vm
	}
	return out
}

func name(i int) model.NodeID { return model.NodeID(fmt.Sprintf("vm-%04d", i)) }

func zoneOf(i, zones int) model.AvailabilityZone {
	return model.AvailabilityZone(fmt.Sprint("zone-", i%zones))
}

var _ = Describe("the members of a fleet", func() {
	It("has the first running VM of a zone lead it", func() {
		m := membership.New(name(4), zoneOf(4, 2))
		m.SetRegistered(registered(8, 2))
		_, _, other := m.Leader(start)
		Expect(other).To(BeFalse(), "no other is known to run")
		m.Heard(start, name(0), membership.Note{})
		m.Heard(start, name(1), membership.Note{})
		m.Heard(start, name(2), membership.Note{})
		leader, address, other := m.Leader(start)
		Expect([]any{leader, address, other}).To(Equal([]any{name(0), "10.0.0.0:7340", true}))
		m.Heard(start.Add(900*time.Millisecond), name(2), membership.Note{})
		leader, _, _ = m.Leader(start.Add(time.Second))
		Expect(leader).To(Equal(name(2)), "the first is silent")
		Expect(m.LeadsDigests(start.Add(time.Second))).To(BeFalse())
		_, _, other = m.Leader(start.Add(2 * time.Second))
		Expect(other).To(BeFalse())
	})

	// Pattern: an upgrade; the first VM of the zone still runs a build without digests.
	It("exchanges digests among the builds that understand them, and sends the others its own messages", func() {
		m := membership.New(name(2), zoneOf(2, 2))
		m.SetRegistered(registered(8, 2, 0, 1, 3))
		m.Heard(start, name(0), membership.Note{})
		leader, _, _ := m.Leader(start)
		Expect(leader).To(Equal(name(0)))
		Expect(m.LeadsDigests(start)).To(BeTrue())
		Expect(m.ForwardRecipients(start)).To(Equal([]string{"10.0.0.4:7340", "10.0.0.6:7340"}))
		Expect(m.MessageRecipients(false)).To(Equal([]string{"10.0.0.0:7340", "10.0.0.4:7340", "10.0.0.6:7340"}))
		m.Heard(start, name(0), membership.Note{})
		Expect(m.MessageRecipients(true)).To(ContainElements("10.0.0.1:7340", "10.0.0.3:7340"))
		Expect(m.DigestRecipients(start, 0)).To(Equal([]string{"10.0.0.5:7340", "10.0.0.7:7340"}))
	})

	It("has a VM monitor targets that reaches them", func() {
		m := membership.New(name(2), zoneOf(2, 2))
		m.SetRegistered(registered(4, 2))
		m.Heard(start, name(0), membership.Note{Isolated: true})
		Expect(m.Monitors(start, false)).To(BeTrue())
		Expect(m.Monitors(start, true)).To(BeFalse())
		m.Heard(start, name(0), membership.Note{})
		Expect(m.Monitors(start, false)).To(BeFalse())
	})

	It("keeps what it heard of a VM before it was registered, and of the newest message only", func() {
		m := membership.New(name(2), zoneOf(2, 2))
		m.Heard(start, name(0), membership.Note{Isolated: true})
		m.Heard(start.Add(-time.Second), name(0), membership.Note{})
		m.SetRegistered(registered(4, 2))
		leader, _, _ := m.Leader(start)
		Expect(leader).To(Equal(name(0)))
		Expect(m.Monitors(start, false)).To(BeTrue())
	})

	It("looks for a zone of which nobody is known to run, in rotation", func() {
		m := membership.New(name(0), zoneOf(0, 2))
		m.SetRegistered(registered(40, 2))
		seen := map[string]bool{}
		for round := range 5 {
			recipients := m.DigestRecipients(start, round)
			Expect(recipients).To(HaveLen(4))
			for _, r := range recipients {
				seen[r] = true
			}
		}
		Expect(seen).To(HaveLen(20))
		m.Heard(start, name(7), membership.Note{})
		Expect(m.DigestRecipients(start, 0)).To(Equal([]string{"10.0.0.7:7340"}))
	})

	It("bounds the messages of a VM in a large zone", func() {
		small, large := membership.New(name(0), zoneOf(0, 1)), membership.New(name(0), zoneOf(0, 1))
		small.SetRegistered(registered(34, 1))
		large.SetRegistered(registered(101, 1))
		Expect(small.Interval()).To(Equal(membership.MessageInterval))
		Expect(large.Interval()).To(Equal(400 * time.Millisecond))
	})
})

var _ = Describe("the VM from which the store's state is taken", func() {
	const vms, zones = 12, 3
	note := func(i int) membership.Note {
		return membership.Note{Copies: membership.Endpoint{Address: fmt.Sprint("copies-", i)}}
	}
	// sources returns where each VM takes the state from, "" for the store, when all know
	// what all state.
	sources := func(change func(i int, n *membership.Note)) map[model.NodeID]model.NodeID {
		out := map[model.NodeID]model.NodeID{}
		notes := make([]membership.Note, vms)
		for i := range notes {
			notes[i] = note(i)
			change(i, &notes[i])
		}
		for i := range vms {
			m := membership.New(name(i), zoneOf(i, zones))
			m.SetRegistered(registered(vms, zones))
			for k := range vms {
				m.Heard(start, name(k), notes[k])
			}
			source, _, ok := m.StoreSource(start, notes[i])
			Expect(ok).To(Equal(source != ""))
			out[name(i)] = source
		}
		return out
	}

	It("is the first of the zone, for these the first of all, and for that one the store", func() {
		out := sources(func(int, *membership.Note) {})
		Expect(out[name(0)]).To(BeEmpty())
		Expect(out[name(1)]).To(Equal(name(0)))
		Expect(out[name(2)]).To(Equal(name(0)))
		Expect(out[name(5)]).To(Equal(name(2)))
		Expect(out[name(9)]).To(Equal(name(0)))
	})

	// Pattern: the store refuses some VMs while it serves the others.
	It("is another one while the first cannot call the store", func() {
		out := sources(func(i int, n *membership.Note) { n.StoreFailing = i == 0 || i == 1 })
		Expect(out[name(2)]).To(BeEmpty())
		Expect(out[name(0)]).To(Equal(name(3)))
		Expect(out[name(1)]).To(Equal(name(4)))
		Expect(out[name(3)]).To(Equal(name(2)))
	})

	It("is the first of all while nobody can call the store", func() {
		Expect(sources(func(_ int, n *membership.Note) { n.StoreFailing = true })[name(0)]).To(BeEmpty())
	})

	It("is not an isolated VM, nor one that passes on no copies", func() {
		out := sources(func(i int, n *membership.Note) {
			n.Isolated = i == 0
			if i == 1 {
				n.Copies = membership.Endpoint{}
			}
		})
		Expect(out[name(2)]).To(BeEmpty())
		Expect(out[name(4)]).To(Equal(name(2)))
	})

	// Pattern: a zone is cut off: its first VM reads the store for it, if it can.
	It("is in the own zone when no other zone is heard", func() {
		m := membership.New(name(2), zoneOf(2, zones))
		m.SetRegistered(registered(vms, zones))
		m.Heard(start.Add(-2*time.Second), name(0), note(0))
		m.Heard(start, name(5), note(5))
		_, _, ok := m.StoreSource(start, note(2))
		Expect(ok).To(BeFalse())
	})

	It("forms no cycle, whatever VMs state of themselves", func() {
		for seed := range uint64(300) {
			random := rand.New(rand.NewPCG(seed, 0))
			out := sources(func(_ int, n *membership.Note) {
				n.StoreFailing, n.Isolated = random.IntN(2) == 0, random.IntN(2) == 0
			})
			for vm := range out {
				steps := 0
				for at := vm; out[at] != ""; at = out[at] {
					steps++
					Expect(steps).To(BeNumerically("<=", 2), "seed %d", seed)
				}
			}
		}
	})
})

// fleetOf simulates the messages between n VMs in zones: every VM sends at its interval,
// leaders exchange digests, a message takes latency and arrives unless lost.
type fleetOf struct {
	zones int
	now   model.Instant
	vms   []*simulatedVM
	// byName and byAddress are the VMs by name and address.
	byName    map[model.NodeID]*simulatedVM
	byAddress map[string]*simulatedVM
	// crossed counts the messages between zones.
	crossed int
}

type simulatedVM struct {
	id      model.NodeID
	index   int
	members *membership.Members
	// stated is the age of what is known of each VM: when it was stated.
	stated map[model.NodeID]model.Instant
	killed bool
	round  int
}

func newFleet(n, zones int) *fleetOf {
	f := &fleetOf{zones: zones, now: start, byName: map[model.NodeID]*simulatedVM{}, byAddress: map[string]*simulatedVM{}}
	list := registered(n, zones)
	for i := range n {
		vm := &simulatedVM{id: name(i), index: i, members: membership.New(name(i), zoneOf(i, zones)), stated: map[model.NodeID]model.Instant{}}
		vm.members.SetRegistered(list)
		f.vms = append(f.vms, vm)
		f.byName[vm.id], f.byAddress[list[vm.id].Address] = vm, vm
	}
	return f
}

func (f *fleetOf) at(address string) *simulatedVM { return f.byAddress[address] }

// run advances the simulation in steps of 100 ms.
func (f *fleetOf) run(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := f.now.Add(d); f.now < end; f.now = f.now.Add(step) {
		tick := int(f.now.Sub(start) / step)
		for _, vm := range f.vms {
			if vm.killed {
				continue
			}
			if (tick+vm.index)%int(vm.members.Interval()/step) == 0 {
				f.send(vm)
			}
			if (tick+vm.index)%int(membership.DigestInterval/step) == 0 {
				f.digest(vm)
			}
		}
	}
}

func (f *fleetOf) send(vm *simulatedVM) {
	for _, address := range vm.members.MessageRecipients(true) {
		to := f.at(address)
		to.members.Heard(f.now, vm.id, membership.Note{})
		to.stated[vm.id] = f.now
		if to.index%f.zones != vm.index%f.zones {
			f.crossed++
		}
	}
}

func (f *fleetOf) digest(vm *simulatedVM) {
	vm.round++
	if !vm.members.LeadsDigests(f.now) {
		return
	}
	for _, address := range vm.members.DigestRecipients(f.now, vm.round) {
		f.crossed++
		f.pass(vm, f.at(address))
	}
}

// pass has a VM receive the digest of another zone, and pass it on.
func (f *fleetOf) pass(from, to *simulatedVM) {
	if to.killed {
		return
	}
	f.apply(from, to)
	leads := to.members.LeadsDigests(f.now)
	for _, address := range to.members.ForwardRecipients(f.now) {
		if leads {
			f.apply(from, f.at(address))
		} else {
			f.pass(from, f.at(address))
		}
	}
}

// apply has a VM receive the digest of another.
func (f *fleetOf) apply(from, to *simulatedVM) {
	state := func(id model.NodeID, at model.Instant) {
		to.members.Heard(at, id, membership.Note{})
		to.stated[id] = max(to.stated[id], at)
	}
	state(from.id, f.now)
	for id, at := range from.stated {
		if f.byName[id].index%f.zones == from.index%f.zones && f.now.Sub(at) <= 2*time.Second {
			state(id, at)
		}
	}
}

// known returns the smallest number of running VMs that a running VM knows of, and the
// greatest age of what it knows.
func (f *fleetOf) known() (least int, oldest time.Duration) {
	least = len(f.vms)
	for _, vm := range f.vms {
		if vm.killed {
			continue
		}
		count := 1
		for id, at := range vm.stated {
			if !f.byName[id].killed && f.now.Sub(at) <= 2*time.Second {
				count++
				oldest = max(oldest, f.now.Sub(at))
			}
		}
		least = min(least, count)
	}
	return least, oldest
}

// leaders returns the number of VMs that exchange digests.
func (f *fleetOf) leaders() (count int) {
	for _, vm := range f.vms {
		if !vm.killed && vm.members.LeadsDigests(f.now) {
			count++
		}
	}
	return count
}

var _ = Describe("what a VM knows of a large fleet", func() {
	// Guards against a view that a limit on recipients makes partial: with 32 recipients in
	// other zones a VM of 117 knew of a third of the others, and in a zone of more than 33
	// two VMs could lead.
	for _, size := range []struct{ vms, zones int }{{4, 2}, {30, 3}, {117, 5}, {300, 3}, {300, 12}, {410, 12}} {
		It(fmt.Sprintf("is all %d VMs in %d zones, with one leader a zone", size.vms, size.zones), func() {
			f := newFleet(size.vms, size.zones)
			f.run(5 * time.Second)
			least, oldest := f.known()
			Expect(least).To(Equal(size.vms))
			Expect(oldest).To(BeNumerically("<=", time.Second))
			Expect(f.leaders()).To(Equal(size.zones))
			before := f.crossed
			f.run(4 * time.Second)
			perSecond := float64(f.crossed-before) / 4
			Expect(perSecond).To(BeNumerically("<=", float64(2*size.zones*(size.zones-1))*2.5+1), "messages between zones grow with zones only")
		})
	}

	// Pattern: the leaders of all zones are lost at once, as in a rolling replacement.
	It("is complete again 2.5 s after the leaders of all zones are lost", func() {
		f := newFleet(117, 5)
		f.run(3 * time.Second)
		for _, vm := range f.vms[:5] {
			vm.killed = true
		}
		f.run(2500 * time.Millisecond)
		least, _ := f.known()
		Expect(least).To(Equal(112))
		Expect(f.leaders()).To(Equal(5))
	})
})
