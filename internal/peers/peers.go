// Package peers holds what this node knows of the other entry VMs: who they
// are, whether they live and which settings they have in force. Members come
// from the process settings, from the platform's list of VMs and from peers.
//
// Every node pings a few random peers in each interval and is answered. A peer
// that leaves several pings in a row unanswered is suspected; one that stays
// suspected is dead. Each state of a node carries a sequence number that only
// the node itself raises, so that a node refutes a suspicion by living on.
package peers

import (
	"maps"
	"math/bits"
	"slices"
	"time"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/timer"
)

const (
	// interval is the time between two rounds of pings.
	interval = time.Second
	// zoneFanout is the number of peers of the own zone pinged in a round.
	zoneFanout = 2
	// crossFanout is the number of peers of other zones pinged in a round.
	crossFanout = 1
	// urgentFanout is the number of peers that hear urgent news at once.
	urgentFanout = 4
	// pingTimeout is how long a ping may stay unanswered before the next one.
	pingTimeout = 500 * time.Millisecond
	// pingTries is the number of unanswered pings after which a peer is
	// suspected.
	pingTries = 5
	// deadAfter is how long a peer is suspected before it is dead.
	deadAfter = 4 * time.Second
	// deadRetry is the time between two pings of dead peers.
	deadRetry = 5 * time.Second
	// forgetAfter is how long dead and leaving peers are remembered.
	forgetAfter = time.Minute
	// greetWithin is how long a starting node waits for the answers of peers.
	greetWithin = 2 * time.Second
	// maxGreeted is the number of peers that a starting node waits for.
	maxGreeted = 8
	// maxRecords is the number of peers described in one message.
	maxRecords = 4
)

// Contact is a peer known by address alone.
type Contact struct {
	Node    model.NodeID           `json:"node"`
	Zone    model.AvailabilityZone `json:"zone"`
	Address string                 `json:"address"`
}

// Peer is what this node knows of another.
type Peer struct {
	event.PeerState
	// Heard is true once the peer itself or another node told of it.
	Heard bool
	// Confirmed is when the platform last confirmed the peer's settings.
	Confirmed model.Instant
	// listed is true for peers of the process settings or the VM list.
	listed bool
	// since is when the status began.
	since model.Instant
	// unanswered counts pings in a row.
	unanswered int
	// spread is how often the state is still to be sent with preference.
	spread int
}

// Update is what one heartbeat tells besides the states of peers.
type Update struct {
	Revision     model.Revision
	Digest       event.LogDigest
	ConfirmedAgo time.Duration
	Quarantine   []event.QuarantineNote
	Targets      []event.TargetNote
	Quotas       []event.QuotaNote
}

// Members is the set of entry VMs that this node knows.
type Members struct {
	self  event.PeerState
	seeds []Contact
	peers map[model.NodeID]*Peer
	// order lists the peers by name, so that draws do not depend on map order.
	order []model.NodeID
	// inZone and across are shuffled and used up one round after the other.
	inZone, across []model.NodeID
	// rotation is the position of the next state to be told.
	rotation int
	// greeting holds the peers that a starting node waits for.
	greeting map[model.NodeID]bool
	deadPing model.Instant
}

// New returns a set that holds the seeds.
func New(self event.PeerState, seeds []Contact) *Members {
	return &Members{
		self: self, seeds: seeds,
		peers:    make(map[model.NodeID]*Peer),
		greeting: make(map[model.NodeID]bool),
	}
}

// Start adds the seeds and sets the first round.
func (m *Members) Start(c *decision.Context) {
	for _, seed := range m.seeds {
		m.listed(c, seed)
		if len(m.greeting) < maxGreeted && seed.Node != m.self.Node {
			m.greeting[seed.Node] = true
		}
	}
	c.After(timer.PeerHeartbeat, "", 0)
	c.After(timer.SettingsGreet, "", greetWithin)
}

// Greeted is true once the first peers answered or had the time to.
func (m *Members) Greeted() bool { return len(m.greeting) == 0 }

// GreetDue ends the wait for peers that did not answer.
func (m *Members) GreetDue() { clear(m.greeting) }

// Get returns a peer.
func (m *Members) Get(id model.NodeID) (*Peer, bool) {
	peer, ok := m.peers[id]
	return peer, ok
}

// All returns every peer, by name.
func (m *Members) All() []*Peer {
	all := make([]*Peer, 0, len(m.order))
	for _, id := range m.order {
		all = append(all, m.peers[id])
	}
	return all
}

// LiveInZone returns the number of live nodes in this node's zone, this one
// included.
func (m *Members) LiveInZone() int {
	live := 1
	for _, id := range m.order {
		peer := m.peers[id]
		if peer.Status == event.PeerAlive && peer.Zone == m.self.Zone {
			live++
		}
	}
	return live
}

// First is true when this node is the first by name of the live nodes.
func (m *Members) First() bool {
	for _, id := range m.order {
		if id >= m.self.Node {
			break
		}
		if m.peers[id].Status == event.PeerAlive {
			return false
		}
	}
	return true
}

// Listed takes in the platform's list of VMs.
func (m *Members) Listed(c *decision.Context, vms []event.VM) {
	for _, peer := range m.peers {
		peer.listed = false
	}
	for _, seed := range m.seeds {
		if peer, ok := m.peers[seed.Node]; ok {
			peer.listed = true
		}
	}
	for _, vm := range vms {
		if vm.Role == event.RoleEntry && !vm.Leaving {
			m.listed(c, Contact{Node: model.NodeID(vm.ID), Zone: vm.Zone, Address: vm.PeerAddress})
		}
	}
}

// listed adds a peer that has not been heard of yet. It counts as suspected
// until it answers.
func (m *Members) listed(c *decision.Context, contact Contact) {
	if contact.Node == m.self.Node || contact.Address == "" {
		return
	}
	peer, known := m.peers[contact.Node]
	if !known {
		peer = m.add(c, contact.Node)
		peer.Status = event.PeerSuspected
		c.After(timer.PeerSuspect, string(contact.Node), deadAfter)
	}
	peer.listed = true
	if !peer.Heard {
		peer.Zone = contact.Zone
		peer.Address = contact.Address
	}
}

func (m *Members) add(c *decision.Context, id model.NodeID) *Peer {
	peer := &Peer{since: c.Now}
	peer.Node = id
	m.peers[id] = peer
	at, _ := slices.BinarySearch(m.order, id)
	m.order = slices.Insert(m.order, at, id)
	return peer
}

func (m *Members) remove(c *decision.Context, id model.NodeID) {
	delete(m.peers, id)
	delete(m.greeting, id)
	if at, found := slices.BinarySearch(m.order, id); found {
		m.order = slices.Delete(m.order, at, at+1)
	}
	c.Stop(timer.PeerSuspect, string(id))
}

// Leave marks this node as leaving.
func (m *Members) Leave() {
	m.self.Status = event.PeerLeaving
	m.self.Sequence++
}

// InForce records which revision this node has in force.
func (m *Members) InForce(revision model.Revision, unixMs int64) {
	m.self.Revision = revision
	m.self.InForceUnixMs = unixMs
}

// transmissions is how often a changed state is told with preference, so that
// it reaches every node.
func (m *Members) transmissions() int {
	const factor = 3
	return factor * bits.Len(uint(len(m.order)+1))
}

// setStatus records the status of a peer and tells it with preference.
func (m *Members) setStatus(c *decision.Context, peer *Peer, status event.PeerStatus) {
	if peer.Status == status {
		return
	}
	peer.Status = status
	peer.since = c.Now
	peer.spread = m.transmissions()
	c.Emit(event.LogChange{Message: "peer is " + StatusName(status), Subject: string(peer.Node)})
	if status == event.PeerSuspected {
		c.After(timer.PeerSuspect, string(peer.Node), deadAfter)
	}
}

// StatusName returns the name of a status.
func StatusName(status event.PeerStatus) string {
	switch status {
	case event.PeerAlive:
		return "alive"
	case event.PeerSuspected:
		return "suspect"
	case event.PeerDead:
		return "dead"
	case event.PeerLeaving:
		return "leaving"
	}
	return "unknown"
}

// sorted returns the names of a set in order.
func sorted(set map[model.NodeID]bool) []model.NodeID { return slices.Sorted(maps.Keys(set)) }
