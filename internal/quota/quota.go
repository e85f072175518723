// Package quota enforces the quota of each workspace on each pipeline. A quota is
// divided into shares among the entry VMs, and the sum of the shares never exceeds
// the quota.
//
// There are as many slots as entry VMs, and every entry VM claims one of them. A
// slot starts with an even share of each workspace's quota. Shares are rebalanced
// by demand through one table row per workspace: a node that reduces its share
// stops using the difference before it writes the row, and a node that increases
// its share uses the difference only after its write is committed. A partitioned
// node keeps exactly the share that it holds. A slot changes its owner only after
// the owner released it, or returned as a later incarnation.
//
// A node whose process settings determine its slot may spend the minimum share of
// that slot before the table confirms the claim, because no owner of a slot ever
// reduces its share below the minimum share.
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
	// wholeQuota is the full quota in the unit of shares, per mille.
	wholeQuota = 1000
	// burstWindow is the time over which unused quota accumulates.
	burstWindow = 2 * time.Second
	// claimRetryInterval is the time until a claim of a slot is retried.
	claimRetryInterval = 250 * time.Millisecond
	// rebalanceInterval is the time between two attempts to rebalance shares.
	rebalanceInterval = 3 * time.Second
	// peerNoteTTL is how long a peer's reported demand is valid.
	peerNoteTTL = 15 * time.Second
	// noShareRetryAfter is the retry delay for callers of a node without a share.
	noShareRetryAfter = time.Second
)

type key struct {
	workspace model.WorkspaceID
	pipeline  model.PipelineID
}

type peerKey struct {
	node      model.NodeID
	workspace model.WorkspaceID
}

// peerNote is a peer's last report on a workspace: its share, in per mille, and
// its demand, in tokens/s.
type peerNote struct {
	at     model.Instant
	share  uint32
	demand uint32
}

// Shares holds this node's shares and the state for rebalancing them.
type Shares struct {
	node        model.NodeID
	incarnation model.Incarnation
	slots       uint32
	// fixedSlot is the slot that the process settings assign to this node; there is
	// none if fixedSlot is not less than slots.
	fixedSlot uint32

	slot    slot
	shares  map[model.WorkspaceID]*share
	buckets map[key]*bucket
	demands map[model.WorkspaceID]*demand
	peers   map[peerKey]peerNote
	change  *shareChange
	// writes counts the share changes sent to the table.
	writes uint64
}

// NoSlot is the fixed slot of a node whose process settings assign none.
const NoSlot = math.MaxUint32

// FixedSlot returns the slot determined by a complete list of entry VMs: the rank
// of the node among them by name. It returns NoSlot if the list does not have
// entryNodes members including the node.
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

// New returns the shares of one of entryNodes entry VMs, with its fixed slot or
// NoSlot. A single entry VM holds every quota in full.
func New(node model.NodeID, incarnation model.Incarnation, entryNodes, fixedSlot uint32) *Shares {
	s := &Shares{
		node:        node,
		incarnation: incarnation,
		slots:       max(entryNodes, 1),
		fixedSlot:   fixedSlot,
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

// PerMille returns the share of a workspace's quota that this node may spend, in
// per mille.
func (s *Shares) PerMille(workspace model.WorkspaceID) uint32 {
	if s.slot.state == slotReleased {
		return 0
	}
	if s.slot.state != slotHeld {
		return s.minimumShare(s.fixedSlot)
	}
	if held, ok := s.shares[workspace]; ok {
		return held.perMille
	}
	return s.evenShare(s.slot.index)
}

// evenShare returns the initial share of a slot, which holds until a change is
// written.
func (s *Shares) evenShare(index uint32) uint32 {
	evenShare := wholeQuota / s.slots
	if index < wholeQuota%s.slots {
		evenShare++
	}
	return evenShare
}

// minimumShare returns the part of its even share that the owner of a slot always
// keeps, so that the first request of a workspace is served on any entry VM.
func (s *Shares) minimumShare(index uint32) uint32 {
	if index >= s.slots {
		return 0
	}
	return s.evenShare(index) / minimumShareDivisor
}

// Take consumes tokens of this node's share of a quota, given in tokens/s. If they
// are not available, it returns the time until they are.
func (s *Shares) Take(now model.Instant, workspace model.WorkspaceID, pipeline model.PipelineID, quota, tokens uint32) (wait time.Duration, ok bool) {
	s.demand(workspace).add(now, tokens)
	share := float64(quota) * float64(s.PerMille(workspace)) / wholeQuota
	if share <= 0 {
		return noShareRetryAfter, false
	}
	id := key{workspace: workspace, pipeline: pipeline}
	b, known := s.buckets[id]
	if !known {
		b = &bucket{tokens: share * burstWindow.Seconds(), refilledAt: now}
		s.buckets[id] = b
	}
	return b.takeTokens(now, share, tokens)
}

func (s *Shares) demand(workspace model.WorkspaceID) *demand {
	d, ok := s.demands[workspace]
	if !ok {
		d = &demand{}
		s.demands[workspace] = d
	}
	return d
}

// Notes returns this node's shares and demand for its peers, sorted by workspace.
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

// MergeNotes records a peer's shares and demand. They only show where a share is
// needed; what this node may spend never depends on a message from a peer.
func (s *Shares) MergeNotes(now model.Instant, from model.NodeID, notes []event.QuotaNote) {
	if from == s.node {
		return
	}
	for _, note := range notes {
		s.peers[peerKey{node: from, workspace: note.Workspace}] = peerNote{
			at: now, share: note.SharePerMille, demand: note.DemandTokensPerS,
		}
	}
}

// Start begins the claim of a slot, unless this node already holds one.
func (s *Shares) Start(c *decision.Context) {
	if s.slot.state != slotHeld {
		s.continueClaim(c)
	}
}

// TimerDue handles the rebalance timer: it continues the claim of a slot or, once the
// slot is held, rebalances shares.
func (s *Shares) TimerDue(c *decision.Context, view *settings.View) {
	if s.slot.state != slotHeld {
		s.continueClaim(c)
		return
	}
	c.After(timer.QuotaRebalance, "", c.Jitter(rebalanceInterval))
	s.expirePeerNotes(c.Now)
	s.rebalance(c, view)
}

// expirePeerNotes deletes the notes of peers that are older than peerNoteTTL.
func (s *Shares) expirePeerNotes(now model.Instant) {
	maps.DeleteFunc(s.peers, func(_ peerKey, note peerNote) bool { return now.Sub(note.at) > peerNoteTTL })
}
