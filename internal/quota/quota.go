// Package quota limits what each workspace uses of each pipeline. A quota is
// split into shares over the entry VMs, so that their sum never exceeds it.
//
// Every entry VM claims one of as many slots as there are entry VMs, and a slot
// starts with an even share of each workspace's quota. Shares move by demand in
// one table row for each workspace: who gives some up stops to use it before it
// writes, who takes some starts to use it after its write took effect. A node
// that is cut off keeps exactly what it holds, and a slot passes on only when
// its owner released it or came back as a later incarnation.
//
// A node that knows its slot from its process settings may spend, before the
// table confirms the slot, the part that no owner of the slot ever gives up.
package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/settings"
	"tamarackreach/internal/timer"
)

const (
	// whole is a whole quota in the unit of shares, per mille.
	whole = 1000
	// burst is how much unused quota may be saved up.
	burst = 2 * time.Second
	// claimRetry is the time until a slot is asked for again.
	claimRetry = 250 * time.Millisecond
	// rebalanceInterval is the time between two looks at who needs more.
	rebalanceInterval = 3 * time.Second
	// noteLife is how long a peer's demand is believed.
	noteLife = 15 * time.Second
	// noShareRetry tells callers when to come back to a node without a slot.
	noShareRetry = time.Second
)

type key struct {
	workspace model.WorkspaceID
	pipeline  model.PipelineID
}

type peerKey struct {
	node      model.NodeID
	workspace model.WorkspaceID
}

// peerNote is what a peer said last of a workspace.
type peerNote struct {
	at     model.Instant
	share  uint32
	demand uint32
}

// Shares holds this node's shares and what it needs to rebalance them.
type Shares struct {
	node        model.NodeID
	incarnation model.Incarnation
	slots       uint32
	// fixed is the slot that process settings give this node; none if fixed is
	// not less than slots.
	fixed uint32

	slot    slot
	shares  map[model.WorkspaceID]*share
	buckets map[key]*bucket
	demands map[model.WorkspaceID]*demand
	peers   map[peerKey]peerNote
	change  *shareChange
	// writes counts the changes of shares that were written.
	writes uint64
}

// NoSlot is the fixed slot of a node whose process settings give none.
const NoSlot = math.MaxUint32

// FixedSlot returns the slot that follows from a full list of entry VMs: the
// rank of the node among them by name. With a list of another length there is
// none.
func FixedSlot(node model.NodeID, others []model.NodeID, entryNodes uint32) uint32 {
	if len(others)+1 != int(entryNodes) {
		return NoSlot
	}
	rank := uint32(0)
	for _, other := range others {
		if other < node {
			rank++
		}
	}
	return rank
}

// New returns the shares of a node, one of a number of entry VMs, with its
// fixed slot or NoSlot. A sole entry VM holds every quota whole.
func New(node model.NodeID, incarnation model.Incarnation, entryNodes, fixed uint32) *Shares {
	s := &Shares{
		node:        node,
		incarnation: incarnation,
		slots:       max(entryNodes, 1),
		fixed:       fixed,
		shares:      make(map[model.WorkspaceID]*share),
		buckets:     make(map[key]*bucket),
		demands:     make(map[model.WorkspaceID]*demand),
		peers:       make(map[peerKey]peerNote),
	}
	if s.slots == 1 {
		s.slot.state = slotHeld
	}
	return s
}

// PerMille returns the part of a workspace's quota that this node may spend.
func (s *Shares) PerMille(workspace model.WorkspaceID) uint32 {
	if s.slot.state == slotReleased {
		return 0
	}
	if s.slot.state != slotHeld {
		return s.floor(s.fixed)
	}
	if held, ok := s.shares[workspace]; ok {
		return held.perMille
	}
	return s.base(s.slot.index)
}

// base is the share of a slot that no change was written for.
func (s *Shares) base(index uint32) uint32 {
	base := whole / s.slots
	if index < whole%s.slots {
		base++
	}
	return base
}

// floor is the part of an even share that the owner of a slot always keeps, so
// that a first request of a workspace is served anywhere.
func (s *Shares) floor(index uint32) uint32 {
	if index >= s.slots {
		return 0
	}
	return s.base(index) / floorParts
}

// Take uses tokens of this node's share of a quota, given in tokens/s; if they
// are not there it returns how long it takes until they are.
func (s *Shares) Take(now model.Instant, workspace model.WorkspaceID, pipeline model.PipelineID, quota, tokens uint32) (wait time.Duration, ok bool) {
	s.demand(workspace).add(now, tokens)
	share := float64(quota) * float64(s.PerMille(workspace)) / whole
	if share <= 0 {
		return noShareRetry, false
	}
	id := key{workspace: workspace, pipeline: pipeline}
	b, known := s.buckets[id]
	if !known {
		b = &bucket{tokens: share * burst.Seconds(), filled: now}
		s.buckets[id] = b
	}
	return b.take(now, share, tokens)
}

func (s *Shares) demand(workspace model.WorkspaceID) *demand {
	d, ok := s.demands[workspace]
	if !ok {
		d = &demand{}
		s.demands[workspace] = d
	}
	return d
}

// Notes returns this node's shares and demand, for peers.
func (s *Shares) Notes(now model.Instant) []event.QuotaNote {
	notes := make([]event.QuotaNote, 0, len(s.demands))
	for _, workspace := range slices.Sorted(maps.Keys(s.demands)) {
		note := event.QuotaNote{
			Workspace:        workspace,
			SharePerMille:    s.PerMille(workspace),
			DemandTokensPerS: uint32(s.demands[workspace].perSecond(now)),
		}
		if held, ok := s.shares[workspace]; ok {
			note.Epoch = uint64(held.version)
		}
		notes = append(notes, note)
	}
	return notes
}

// Heard takes in a peer's shares and demand. They only tell where a share is
// needed; what this node may spend never follows from a message.
func (s *Shares) Heard(now model.Instant, from model.NodeID, notes []event.QuotaNote) {
	if from == s.node {
		return
	}
	for _, note := range notes {
		s.peers[peerKey{node: from, workspace: note.Workspace}] = peerNote{
			at: now, share: note.SharePerMille, demand: note.DemandTokensPerS,
		}
	}
}

// Start claims a slot for this node.
func (s *Shares) Start(c *decision.Context) {
	if s.slot.state != slotHeld {
		s.goOn(c)
	}
}

// Due goes on with the claim of a slot, or looks at who needs a larger share.
func (s *Shares) Due(c *decision.Context, view *settings.View) {
	if s.slot.state != slotHeld {
		s.goOn(c)
		return
	}
	c.After(timer.QuotaRebalance, "", c.Jitter(rebalanceInterval))
	s.forget(c.Now)
	s.rebalance(c, view)
}

// forget drops what peers said too long ago.
func (s *Shares) forget(now model.Instant) {
	maps.DeleteFunc(s.peers, func(_ peerKey, note peerNote) bool { return now.Sub(note.at) > noteLife })
}
