package quota

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/settings"
)

const (
	// keepFactor is how much of its demand a node keeps when it gives up some
	// of its share.
	keepFactor = 1.25
	// floorParts is how many times the floor of a slot goes into an even share.
	floorParts = 4
)

// Names of the reads and transactions of a change of one share.
const (
	readShare  = rowPrefix + "share-read"
	writeShare = rowPrefix + "share-write"
)

// shareRow is the split of a workspace's quota over the slots.
type shareRow struct {
	PerMille []uint32 `json:"per_mille"`
}

// share is this node's part of a workspace's quota. It is never more than the
// row states, whatever became of the last write.
type share struct {
	perMille uint32
	// version is that of the row when it was last read or written.
	version model.RowVersion
	// unsettled is true after a write whose answer was lost; until the row has
	// another version than the write required, limit bounds perMille.
	unsettled bool
	required  model.RowVersion
	limit     uint32
}

// shareChange is the one change of a share that is under way.
type shareChange struct {
	workspace model.WorkspaceID
	// want is what this node wants to hold.
	want uint32
	// old and new are this node's entries before and after the write.
	old, new uint32
	required model.RowVersion
	written  bool
	// transaction names the write, so that an answer to an earlier one is not
	// taken for its own.
	transaction string
}

func shareKey(workspace model.WorkspaceID) string { return sharePrefix + string(workspace) }

// rebalance starts at most one change: of the first workspace, from a random
// one on, whose share here should be another.
func (s *Shares) rebalance(c *decision.Context, view *settings.View) {
	if s.slots == 1 || s.change != nil && s.change.written {
		return
	}
	s.change = nil
	ids := slices.Sorted(maps.Keys(view.Workspaces()))
	if len(ids) == 0 {
		return
	}
	start := c.Rand.IntN(len(ids))
	for i := range ids {
		id := ids[(start+i)%len(ids)]
		want := s.want(c.Now, id, view.Workspaces()[id])
		if want != s.PerMille(id) {
			s.change = &shareChange{workspace: id, want: want}
			c.Emit(event.ReadRows{Read: readShare, Keys: []string{shareKey(id)}})
			return
		}
	}
}

// want is the share that this node should hold: more when its demand is over
// its share, less when a peer's is and this node has some to spare.
func (s *Shares) want(now model.Instant, id model.WorkspaceID, workspace *settings.Workspace) uint32 {
	quota := 0.0
	for _, tokens := range workspace.SharesTokensPerS {
		quota += float64(tokens)
	}
	if quota == 0 {
		return s.PerMille(id)
	}
	own := s.PerMille(id)
	need := uint32(min(whole, s.demand(id).perSecond(now)*keepFactor*whole/quota))
	if need > own {
		return need
	}
	lacking := uint32(0)
	for peer, note := range s.peers {
		demand := uint32(min(whole, float64(note.demand)*keepFactor*whole/quota))
		if peer.workspace == id && demand > note.share {
			lacking += demand - note.share
		}
	}
	spare := own - min(own, max(need, s.floor(s.slot.index)))
	return own - min(spare, lacking)
}

// RowsRead takes in the answer of a read of this package.
func (s *Shares) RowsRead(c *decision.Context, ev event.RowsRead) {
	switch ev.Read {
	case readSlots:
		s.slotsRead(c, ev.Rows)
	case readShares:
		s.sharesRead(c, ev.Rows)
	case readShare:
		if len(ev.Rows) == 1 && s.shareRead(ev.Rows[0]) && s.awaits(ev.Rows[0].Key) {
			s.writeChange(c, ev.Rows[0])
		}
	}
}

// awaits is true when the change under way is of the row and not written yet; a
// late answer may be of the row of an earlier one.
func (s *Shares) awaits(row string) bool {
	return s.change != nil && !s.change.written && row == shareKey(s.change.workspace)
}

// shareRead takes in a share row; it is false when the row cannot be read.
func (s *Shares) shareRead(row model.Row) bool {
	entries, ok := s.entries(row)
	if !ok {
		return false
	}
	id := model.WorkspaceID(strings.TrimPrefix(row.Key, sharePrefix))
	held, known := s.shares[id]
	if !known {
		held = &share{}
		s.shares[id] = held
	}
	if row.Version < held.version {
		return false
	}
	held.version = row.Version
	held.perMille = entries[s.slot.index]
	if held.unsettled && row.Version == held.required {
		held.perMille = min(held.perMille, held.limit)
	} else {
		held.unsettled = false
	}
	return true
}

// entries returns the share of each slot that a row states.
func (s *Shares) entries(row model.Row) ([]uint32, bool) {
	if row.Version == 0 {
		entries := make([]uint32, s.slots)
		for i := range entries {
			entries[i] = s.base(uint32(i))
		}
		return entries, true
	}
	var stated shareRow
	if json.Unmarshal(row.Value, &stated) != nil || len(stated.PerMille) != int(s.slots) {
		return nil, false
	}
	return stated.PerMille, true
}

// writeChange writes this node's entry of a row. It stops to use what it gives
// up before the write leaves, and takes only what no entry holds. The slot's
// row is a condition, so that a write of an earlier owner has no effect.
func (s *Shares) writeChange(c *decision.Context, row model.Row) {
	entries, ok := s.entries(row)
	held := s.shares[s.change.workspace]
	if !ok || s.slot.state != slotHeld {
		s.change = nil
		return
	}
	free := uint32(whole)
	for _, entry := range entries {
		free -= min(free, entry)
	}
	old := entries[s.slot.index]
	next := min(s.change.want, old+free)
	if next == old {
		s.change = nil
		return
	}
	s.change.old, s.change.new, s.change.required, s.change.written = old, next, row.Version, true
	s.writes++
	s.change.transaction = fmt.Sprintf("%s/%d", writeShare, s.writes)
	held.perMille = min(held.perMille, next)
	entries[s.slot.index] = next
	value, _ := json.Marshal(shareRow{PerMille: entries})
	c.Emit(event.Transact{
		Transaction: s.change.transaction,
		Conditions: []event.Condition{
			{Key: row.Key, Version: row.Version},
			{Key: slotKey(s.slot.index), Version: s.slot.version},
		},
		Writes: []event.Write{{Key: row.Key, Value: value}},
	})
}

// TransactionDone takes in the answer of a transaction of this package.
func (s *Shares) TransactionDone(c *decision.Context, ev event.TransactionDone) {
	switch {
	case ev.Transaction != claimSlot:
		s.changeWritten(ev)
	case s.slot.state != slotClaiming:
	case ev.Committed:
		s.owned(c, s.slot.index, ev.Version)
	default:
		s.slot.state = slotNone
		s.goOn(c)
	}
}

func (s *Shares) changeWritten(ev event.TransactionDone) {
	change := s.change
	if change == nil || change.transaction != ev.Transaction {
		return
	}
	s.change = nil
	if !ev.Committed {
		return
	}
	held := s.shares[change.workspace]
	held.perMille = change.new
	held.version = ev.Version
	held.unsettled = false
}

// TransactionUnknown takes in that a transaction's answer was lost. The lesser
// of both entries holds until the row shows which one it is.
func (s *Shares) TransactionUnknown(ev event.TransactionUnknown) {
	if ev.Transaction == claimSlot && s.slot.state == slotClaiming {
		s.slot.state = slotNone
	}
	if s.change == nil || ev.Transaction != s.change.transaction {
		return
	}
	change := s.change
	s.change = nil
	held := s.shares[change.workspace]
	limit := min(change.old, change.new)
	if held.unsettled && held.required == change.required {
		limit = min(limit, held.limit)
	}
	held.unsettled, held.required, held.limit = true, change.required, limit
	held.perMille = min(held.perMille, limit)
}
