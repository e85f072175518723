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
	// demandHeadroom is the ratio of the share that a node needs to its demand. A
	// node requests up to that share and does not reduce its own below it.
	demandHeadroom = 1.25
	// minimumShareDivisor is the ratio of an even share to the minimum share.
	minimumShareDivisor = 4
)

// Names of the read and the transaction that change one share.
const (
	readShare  = rowPrefix + "share-read"
	writeShare = rowPrefix + "share-write"
)

// shareRow is the table row that divides a workspace's quota among the slots.
type shareRow struct {
	PerMille []uint32 `json:"per_mille"`
}

// share is this node's share of a workspace's quota. perMille never exceeds the
// row's entry for this node, whether or not the last write took effect.
type share struct {
	perMille uint32
	// version is the version of the row when it was last read or written.
	version model.RowVersion
	// outcomeUnknown is true after a write whose answer was lost. The write was
	// conditional on requiredVersion of the row; until the row is read with another
	// version, upperBound bounds perMille.
	outcomeUnknown  bool
	requiredVersion model.RowVersion
	upperBound      uint32
}

// shareChange is the change of a share in progress; there is at most one.
type shareChange struct {
	workspace model.WorkspaceID
	// desired is the share that this node should hold.
	desired uint32
	// old and new are this node's entries before and after the write.
	old, new        uint32
	requiredVersion model.RowVersion
	written         bool
	// transaction is the name of the write; it distinguishes the answer from
	// answers to earlier writes.
	transaction string
}

func shareKey(workspace model.WorkspaceID) string { return sharePrefix + string(workspace) }

// rebalance starts at most one change. It begins at a random workspace and takes
// the first one whose share on this node should change.
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
		desired := s.desired(c.Now, id, view.Workspaces()[id])
		if desired != s.PerMille(id) {
			s.change = &shareChange{workspace: id, desired: desired}
			c.Emit(event.ReadRows{Read: readShare, Keys: []string{shareKey(id)}})
			return
		}
	}
}

// desired returns the share that this node should hold: a larger one when its
// demand exceeds its share, a smaller one when the demand of a peer exceeds the
// peer's share and this node holds more than it needs.
func (s *Shares) desired(now model.Instant, id model.WorkspaceID, workspace *settings.Workspace) uint32 {
	quota := 0.0
	for _, tokens := range workspace.SharesTokensPerS {
		quota += float64(tokens)
	}
	if quota == 0 {
		return s.PerMille(id)
	}
	own := s.PerMille(id)
	need := uint32(min(wholeQuota, s.demand(id).perSecond(now)*demandHeadroom*wholeQuota/quota))
	if need > own {
		return need
	}
	lacking := uint32(0)
	for peer, note := range s.peers {
		demand := uint32(min(wholeQuota, float64(note.demand)*demandHeadroom*wholeQuota/quota))
		if peer.workspace == id && demand > note.share {
			lacking += demand - note.share
		}
	}
	spare := own - min(own, max(need, s.minimumShare(s.slot.index)))
	return own - min(spare, lacking)
}

// RowsRead handles the answer to a read of this package.
func (s *Shares) RowsRead(c *decision.Context, ev event.RowsRead) {
	switch ev.Read {
	case readSlots:
		s.slotsRead(c, ev.Rows)
	case readShares:
		s.sharesRead(c, ev.Rows)
	case readShare:
		if len(ev.Rows) == 1 && s.shareRead(ev.Rows[0]) && s.awaitsRow(ev.Rows[0].Key) {
			s.writeChange(c, ev.Rows[0])
		}
	}
}

// awaitsRow reports whether the change in progress is of this row and not yet
// written. A late answer may hold the row of an earlier change.
func (s *Shares) awaitsRow(row string) bool {
	return s.change != nil && !s.change.written && row == shareKey(s.change.workspace)
}

// shareRead updates a share from its row. It returns false when the row is
// malformed or older than the known version.
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
	if held.outcomeUnknown && row.Version == held.requiredVersion {
		held.perMille = min(held.perMille, held.upperBound)
	} else {
		held.outcomeUnknown = false
	}
	return true
}

// entries returns the share of each slot according to a row; a row that does not
// exist yet stands for even shares. It returns false when the row is malformed.
func (s *Shares) entries(row model.Row) ([]uint32, bool) {
	if row.Version == 0 {
		entries := make([]uint32, s.slots)
		for i := range entries {
			entries[i] = s.evenShare(uint32(i))
		}
		return entries, true
	}
	var stated shareRow
	if json.Unmarshal(row.Value, &stated) != nil || len(stated.PerMille) != int(s.slots) {
		return nil, false
	}
	return stated.PerMille, true
}

// writeChange writes this node's entry of a row. It lowers the share before it
// sends the write of a smaller one, and claims only the part of the quota that no
// entry holds. The write is conditional on the row of the slot, so that a write of
// an earlier owner of the slot has no effect.
func (s *Shares) writeChange(c *decision.Context, row model.Row) {
	entries, ok := s.entries(row)
	held := s.shares[s.change.workspace]
	if !ok || s.slot.state != slotHeld {
		s.change = nil
		return
	}
	free := uint32(wholeQuota)
	for _, entry := range entries {
		free -= min(free, entry)
	}
	old := entries[s.slot.index]
	next := min(s.change.desired, old+free)
	if next == old {
		s.change = nil
		return
	}
	s.change.old, s.change.new, s.change.requiredVersion, s.change.written = old, next, row.Version, true
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

// TransactionDone handles the answer to a transaction of this package.
func (s *Shares) TransactionDone(c *decision.Context, ev event.TransactionDone) {
	switch {
	case ev.Transaction != claimSlot:
		s.changeWritten(ev)
	case s.slot.state != slotClaiming:
	case ev.Committed:
		s.slotOwned(c, s.slot.index, ev.Version)
	default:
		s.slot.state = slotNone
		s.continueClaim(c)
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
	held.outcomeUnknown = false
}

// TransactionUnknown handles the loss of a transaction's answer. The smaller of
// the old and the new entry applies until the row shows which one is in effect.
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
	upperBound := min(change.old, change.new)
	if held.outcomeUnknown && held.requiredVersion == change.requiredVersion {
		upperBound = min(upperBound, held.upperBound)
	}
	held.outcomeUnknown, held.requiredVersion, held.upperBound = true, change.requiredVersion, upperBound
	held.perMille = min(held.perMille, upperBound)
}
