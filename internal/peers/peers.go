// Package peers implements the membership and failure detection of the entry VMs:
// their addresses, their liveness and the settings that they have in force.
// Members come from the configuration, from the platform's list of VMs and from
// peers.
//
// Each node pings a few random peers in each interval and expects an answer. A
// peer that leaves several pings in a row unanswered is suspected; one that stays
// suspected is dead. Each state of a node carries a sequence number that only the
// node itself raises, so that a live node can refute a suspicion.
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
	// pingInterval is the interval between rounds of pings.
	pingInterval = time.Second
	// sameZoneFanout is the number of peers of the node's zone pinged per round.
	sameZoneFanout = 1
	// crossZoneFanout is the number of peers of other zones pinged per round.
	crossZoneFanout = 1
	// urgentFanout is the number of peers to which an urgent update is sent at
	// once.
	urgentFanout = 4
	// pingTimeout is the time without an answer after which a ping is repeated.
	pingTimeout = 500 * time.Millisecond
	// pingTries is the number of unanswered pings after which a peer is
	// suspected.
	pingTries = 5
	// suspicionTimeout is how long a peer is suspected before it counts as dead.
	suspicionTimeout = 4 * time.Second
	// deadPingInterval is the interval between pings of dead peers.
	deadPingInterval = 5 * time.Second
	// deadRetention is how long dead and leaving peers are kept in the list.
	deadRetention = time.Minute
	// startupSyncTimeout is how long a starting node waits for answers from its
	// seeds.
	startupSyncTimeout = 2 * time.Second
	// maxStartupSyncPeers is the maximum number of seeds that a starting node waits
	// for.
	maxStartupSyncPeers = 8
	// maxRecords is the maximum number of other nodes' states in one message.
	maxRecords = 4
)

// Contact is a peer of which only the zone and address are known.
type Contact struct {
	Node    model.NodeID           `json:"node"`
	Zone    model.AvailabilityZone `json:"zone"`
	Address string                 `json:"address"`
}

// Peer is this node's record of another node.
type Peer struct {
	event.PeerState
	// StateKnown is true once a state was received from the peer or another node.
	StateKnown bool
	// ConfirmedAt is the time when the platform last confirmed the peer's settings.
	ConfirmedAt model.Instant
	// listed is true for peers in the configuration or the VM list.
	listed bool
	// statusSince is when the status last changed.
	statusSince model.Instant
	// unanswered is the number of consecutive unanswered pings.
	unanswered int
	// resendsLeft is how many more times the state is sent with preference.
	resendsLeft int
}

// Update is the content of a heartbeat apart from the states of peers.
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
	// sortedIDs lists the peers in order of ID, so that random choices do not
	// depend on map order.
	sortedIDs []model.NodeID
	// sameZoneQueue and crossZoneQueue hold the peers to ping next, in shuffled
	// order; an empty queue is refilled.
	sameZoneQueue, crossZoneQueue []model.NodeID
	// rotation is the index in sortedIDs of the state last sent in rotation.
	rotation int
	// awaitingSync holds the seeds whose answers a starting node waits for.
	awaitingSync map[model.NodeID]bool
	lastDeadPing model.Instant
}

// New returns the members of a node; Start adds the seeds.
func New(self event.PeerState, seeds []Contact) *Members {
	return &Members{
		self: self, seeds: seeds,
		peers:        make(map[model.NodeID]*Peer),
		awaitingSync: make(map[model.NodeID]bool),
	}
}

// Start adds the seeds and schedules the first round of pings.
func (m *Members) Start(c *decision.Context) {
	for _, seed := range m.seeds {
		m.listed(c, seed)
		if len(m.awaitingSync) < maxStartupSyncPeers && seed.Node != m.self.Node {
			m.awaitingSync[seed.Node] = true
		}
	}
	c.After(timer.PeerHeartbeat, "", 0)
	c.After(timer.StartupSync, "", startupSyncTimeout)
}

// StartupSyncDone reports whether the wait for the seeds is over: they answered,
// were unreachable or took too long.
func (m *Members) StartupSyncDone() bool { return len(m.awaitingSync) == 0 }

// StartupSyncDue ends the wait for the seeds that did not answer.
func (m *Members) StartupSyncDue() { clear(m.awaitingSync) }

// Get returns the peer with an ID.
func (m *Members) Get(id model.NodeID) (*Peer, bool) {
	peer, ok := m.peers[id]
	return peer, ok
}

// All returns all peers, sorted by ID.
func (m *Members) All() []*Peer {
	all := make([]*Peer, 0, len(m.sortedIDs))
	for _, id := range m.sortedIDs {
		all = append(all, m.peers[id])
	}
	return all
}

// LiveInZone returns the number of alive nodes in this node's zone, including
// itself.
func (m *Members) LiveInZone() int {
	live := 1
	for _, id := range m.sortedIDs {
		peer := m.peers[id]
		if peer.Status == event.PeerAlive && peer.Zone == m.self.Zone {
			live++
		}
	}
	return live
}

// HasLowestID reports whether this node has the lowest ID of all alive nodes.
func (m *Members) HasLowestID() bool {
	for _, id := range m.sortedIDs {
		if id >= m.self.Node {
			break
		}
		if m.peers[id].Status == event.PeerAlive {
			return false
		}
	}
	return true
}

// ApplyVMList processes the platform's list of VMs.
func (m *Members) ApplyVMList(c *decision.Context, vms []event.VM) {
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

// listed adds a peer if it is unknown. A new peer counts as suspected until it
// answers. The contact's zone and address apply until a state is received.
func (m *Members) listed(c *decision.Context, contact Contact) {
	if contact.Node == m.self.Node || contact.Address == "" {
		return
	}
	peer, known := m.peers[contact.Node]
	if !known {
		peer = m.add(c, contact.Node)
		peer.Status = event.PeerSuspected
		c.After(timer.PeerSuspect, string(contact.Node), suspicionTimeout)
	}
	peer.listed = true
	if !peer.StateKnown {
		peer.Zone = contact.Zone
		peer.Address = contact.Address
	}
}

func (m *Members) add(c *decision.Context, id model.NodeID) *Peer {
	peer := &Peer{statusSince: c.Now}
	peer.Node = id
	m.peers[id] = peer
	at, _ := slices.BinarySearch(m.sortedIDs, id)
	m.sortedIDs = slices.Insert(m.sortedIDs, at, id)
	return peer
}

func (m *Members) remove(c *decision.Context, id model.NodeID) {
	delete(m.peers, id)
	delete(m.awaitingSync, id)
	if at, found := slices.BinarySearch(m.sortedIDs, id); found {
		m.sortedIDs = slices.Delete(m.sortedIDs, at, at+1)
	}
	c.Stop(timer.PeerSuspect, string(id))
}

// Leave marks this node as leaving.
func (m *Members) Leave() {
	m.self.Status = event.PeerLeaving
	m.self.Sequence++
}

// SetInForce records the revision that this node has in force and since when.
func (m *Members) SetInForce(revision model.Revision, unixMs int64) {
	m.self.Revision = revision
	m.self.InForceUnixMs = unixMs
}

// resendLimit returns how many times a changed state is sent with preference. It
// grows with the logarithm of the number of nodes, so that the state reaches all
// of them.
func (m *Members) resendLimit() int {
	const factor = 3
	return factor * bits.Len(uint(len(m.sortedIDs)+1))
}

// setStatus records a changed status of a peer and schedules it to be sent with
// preference.
func (m *Members) setStatus(c *decision.Context, peer *Peer, status event.PeerStatus) {
	if peer.Status == status {
		return
	}
	peer.Status = status
	peer.statusSince = c.Now
	peer.resendsLeft = m.resendLimit()
	c.Emit(event.LogChange{Message: "peer is " + StatusName(status), Subject: string(peer.Node)})
	if status == event.PeerSuspected {
		c.After(timer.PeerSuspect, string(peer.Node), suspicionTimeout)
	}
}

// StatusName returns the name of a status; "unknown" for an undefined value.
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

func sortedKeys(set map[model.NodeID]bool) []model.NodeID { return slices.Sorted(maps.Keys(set)) }
