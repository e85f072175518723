// Package membership decides, from the list of VMs and the messages received from them,
// which VM leads a zone and to which VMs messages go. It is pure.
package membership

import (
	"maps"
	"slices"
	"time"

	"tamarackreach/internal/model"
)

const (
	// MessageInterval is the interval of a VM's messages to the others of its zone.
	MessageInterval = 200 * time.Millisecond
	// DigestInterval is the interval of digests to other zones: traffic between zones is
	// charged, and a VM must not seem silent for a second because one digest was lost.
	DigestInterval = 400 * time.Millisecond
	// leaderTimeout is the time without a message after which a VM does not lead its zone:
	// five messages; in a large zone leaderMessages of their longer intervals.
	leaderTimeout  = time.Second
	leaderMessages = 4
	// presenceTimeout is the time without a sign of it after which a VM of another zone gets
	// digests no more than others: its message, three digests and one lost.
	presenceTimeout = 1500 * time.Millisecond
	// maxMessagesPerSecond bounds the messages of a VM to its zone.
	maxMessagesPerSecond = 250
	// digestCopies is the number of VMs of another zone that get a digest, so that one is
	// forwarded while the zone changes its leader.
	digestCopies = 2
	// searchCopies is that number while no VM of the zone is known to run.
	searchCopies = 4
	// maxEarlierBuilds bounds the VMs of other zones with a build without digests that get
	// this VM's own messages.
	maxEarlierBuilds = 32
)

// DigestProtocol is the protocol from which a build understands digests.
const DigestProtocol = 1

// VM is a VM's registration.
type VM struct {
	Zone model.AvailabilityZone
	// Address is where messages go.
	Address string
	// Protocol is the newest protocol between VMs that its build understands; 0 for builds
	// that state none.
	Protocol int
}

// Endpoint is where a VM passes on its copies of the store's tables.
type Endpoint struct {
	// Address is empty where the VM passes on none.
	Address string
	// Secret authorises requests; it is sent to VMs only.
	Secret string
}

// Note is what a VM states of itself.
type Note struct {
	// Isolated is true when the VM does not reach the targets.
	Isolated bool
	// StoreFailing is true when the VM's last call to the store failed.
	StoreFailing bool
	Copies       Endpoint
}

// member is a registered VM, and what its last message stated.
type member struct {
	VM
	Note
	heardAt model.Instant
}

// Members is the view of one VM, which it does not contain.
type Members struct {
	self  model.NodeID
	zone  model.AvailabilityZone
	other map[model.NodeID]*member
	// names are the other VMs in order; zones are the other zones.
	names []model.NodeID
	zones []model.AvailabilityZone
	// inZone is the number of other VMs of the zone.
	inZone int
	// heard is when each VM was last heard, also before it is registered.
	heard map[model.NodeID]member
}

// New returns the view of a VM that knows no other.
func New(self model.NodeID, zone model.AvailabilityZone) *Members {
	return &Members{self: self, zone: zone, other: map[model.NodeID]*member{}, heard: map[model.NodeID]member{}}
}

// SetRegistered replaces the list of VMs.
func (m *Members) SetRegistered(vms map[model.NodeID]VM) {
	next := make(map[model.NodeID]*member, len(vms))
	zones, inZone := map[model.AvailabilityZone]bool{}, 0
	for name, vm := range vms {
		if name == m.self {
			continue
		}
		known := m.heard[name]
		next[name] = &member{VM: vm, Note: known.Note, heardAt: known.heardAt}
		if vm.Zone == m.zone {
			inZone++
		} else {
			zones[vm.Zone] = true
		}
	}
	m.other, m.inZone = next, inZone
	m.names = slices.Sorted(maps.Keys(next))
	m.zones = slices.Sorted(maps.Keys(zones))
}

// Heard records that a VM has sent a message at a time, and what it stated of itself.
func (m *Members) Heard(at model.Instant, vm model.NodeID, note Note) {
	if vm == m.self || at < m.heard[vm].heardAt {
		return
	}
	m.heard[vm] = member{heardAt: at, Note: note}
	if known := m.other[vm]; known != nil {
		known.heardAt, known.Note = at, note
	}
}

// Answered records that a VM has answered, which shows only that it runs.
func (m *Members) Answered(at model.Instant, vm model.NodeID) {
	m.Heard(at, vm, m.heard[vm].Note)
}

func (v *member) runs(now model.Instant, within time.Duration) bool {
	return v.heardAt != 0 && now.Sub(v.heardAt) < within
}

// Leader returns the VM that leads the zone: the first by name that runs. ok is false when
// this VM does. Two VMs may both lead for a time; both then do a leader's work.
func (m *Members) Leader(now model.Instant) (vm model.NodeID, address string, ok bool) {
	return m.first(now, func(*member) bool { return true })
}

// DigestLeader returns the address of the VM that exchanges digests for the zone: the first
// by name that runs and understands them. ok is false when this VM does.
func (m *Members) DigestLeader(now model.Instant) (address string, ok bool) {
	_, address, ok = m.first(now, func(v *member) bool { return v.Protocol >= DigestProtocol })
	return address, ok
}

// LeadsDigests reports whether this VM exchanges digests for its zone.
func (m *Members) LeadsDigests(now model.Instant) bool {
	_, other := m.DigestLeader(now)
	return !other
}

// Monitors reports whether this VM monitors the targets of its zone: no VM before it runs
// that reaches them. isolated is true when this VM does not.
func (m *Members) Monitors(now model.Instant, isolated bool) bool {
	_, _, other := m.first(now, func(v *member) bool { return !v.Isolated })
	return !other && !isolated
}

// first returns the first running VM of the zone before this one that admit accepts.
func (m *Members) first(now model.Instant, admit func(*member) bool) (model.NodeID, string, bool) {
	timeout := m.leaderTimeout()
	for _, name := range m.names {
		if name > m.self {
			break
		}
		if v := m.other[name]; v.Zone == m.zone && v.runs(now, timeout) && admit(v) {
			return name, v.Address, true
		}
	}
	return "", "", false
}

func (m *Members) leaderTimeout() time.Duration {
	return max(leaderTimeout, leaderMessages*m.Interval())
}

// MessageRecipients returns the addresses to which this VM's own messages go: all VMs of its
// zone and, with otherZones, those of other zones whose builds understand no digests.
func (m *Members) MessageRecipients(otherZones bool) []string {
	var out []string
	earlier := 0
	for _, name := range m.names {
		switch v := m.other[name]; {
		case v.Zone == m.zone:
			out = append(out, v.Address)
		case otherZones && v.Protocol < DigestProtocol && earlier < maxEarlierBuilds:
			earlier++
			out = append(out, v.Address)
		}
	}
	return out
}

// Interval returns the interval of this VM's messages to its zone: longer in a large zone,
// so that no VM sends more than maxMessagesPerSecond.
func (m *Members) Interval() time.Duration {
	return max(MessageInterval, time.Duration(m.inZone)*time.Second/maxMessagesPerSecond)
}

// DigestRecipients returns the addresses in other zones to which a digest goes: the first
// VMs of each zone that run, or where none is known to, some in rotation by round.
func (m *Members) DigestRecipients(now model.Instant, round int) []string {
	var out []string
	for _, zone := range m.zones {
		var running, all []string
		for _, name := range m.names {
			v := m.other[name]
			if v.Zone != zone || v.Protocol < DigestProtocol {
				continue
			}
			all = append(all, v.Address)
			if v.runs(now, presenceTimeout) {
				running = append(running, v.Address)
			}
		}
		if len(running) > 0 {
			out = append(out, running[:min(len(running), digestCopies)]...)
			continue
		}
		for i := range min(len(all), searchCopies) {
			out = append(out, all[(round*searchCopies+i)%len(all)])
		}
	}
	return out
}

// ForwardRecipients returns the addresses to which a digest goes on that came from another
// zone: from the leader to the VMs of its zone that understand it, from any other VM to the
// leader.
func (m *Members) ForwardRecipients(now model.Instant) []string {
	if leader, other := m.DigestLeader(now); other {
		return []string{leader}
	}
	var out []string
	for _, name := range m.names {
		if v := m.other[name]; v.Zone == m.zone && v.Protocol >= DigestProtocol {
			out = append(out, v.Address)
		}
	}
	return out
}

// StoreSource returns the VM from which this VM takes the state of the store: the first of
// its zone, or where this is that VM, the first of all. ok is false when this VM is the first
// of all and reads the store. A VM comes behind others while its calls to the store fail, and
// while it is isolated, since the VM that reads also holds the placement lease. own is what
// this VM states of itself.
//
// Invariant: VMs with the same knowledge form no cycle, since each takes from one that comes
// before it in one order.
func (m *Members) StoreSource(now model.Instant, own Note) (model.NodeID, Endpoint, bool) {
	self := &member{VM: VM{Zone: m.zone}, Note: own, heardAt: now}
	inZone, inZoneName := self, m.self
	ofAll, ofAllName := self, m.self
	timeout := m.leaderTimeout()
	for _, name := range m.names {
		v := m.other[name]
		within := presenceTimeout
		if v.Zone == m.zone {
			within = timeout
		}
		if v.Copies.Address == "" || !v.runs(now, within) {
			continue
		}
		if v.Zone == m.zone && v.before(name, inZone, inZoneName) {
			inZone, inZoneName = v, name
		}
		if v.before(name, ofAll, ofAllName) {
			ofAll, ofAllName = v, name
		}
	}
	switch m.self {
	case ofAllName:
		return "", Endpoint{}, false
	case inZoneName:
		return ofAllName, ofAll.Copies, true
	}
	return inZoneName, inZone.Copies, true
}

// before reports whether the store's state is rather taken from v than from w.
func (v *member) before(name model.NodeID, w *member, wName model.NodeID) bool {
	if v.StoreFailing != w.StoreFailing {
		return w.StoreFailing
	}
	if v.Isolated != w.Isolated {
		return w.Isolated
	}
	return name < wName
}

// HintRecipients returns the addresses of VMs that take the state of the store from this one
// when own is what it states of itself: those of its zone if it is the first there, and the
// first ones of other zones if it is the first of all.
func (m *Members) HintRecipients(now model.Instant, own Note) []string {
	source, _, other := m.StoreSource(now, own)
	if v := m.other[source]; other && v != nil && v.Zone == m.zone {
		return nil
	}
	var out []string
	for _, name := range m.names {
		if v := m.other[name]; v.Zone == m.zone && v.Protocol >= DigestProtocol {
			out = append(out, v.Address)
		}
	}
	if !other {
		out = append(out, m.DigestRecipients(now, 0)...)
	}
	return out
}

// First reports whether no VM registered comes before this one by name.
func (m *Members) First() bool { return len(m.names) == 0 || m.self < m.names[0] }

// InZone returns the number of other VMs of the zone.
func (m *Members) InZone() int { return m.inZone }

// Registered returns the number of VMs registered, this one included.
func (m *Members) Registered() int { return len(m.other) + 1 }
