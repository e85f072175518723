package quota

import (
	"encoding/json"
	"fmt"
	"strings"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/timer"
)

// Keys of the rows, and names of the reads and transactions.
const (
	rowPrefix   = "quota/"
	slotPrefix  = rowPrefix + "slot/"
	sharePrefix = rowPrefix + "share/"

	readSlots   = rowPrefix + "slots"
	readShares  = rowPrefix + "shares"
	claimSlot   = rowPrefix + "claim"
	releaseSlot = rowPrefix + "release"
)

// maxShareRows limits the workspaces whose share rows are read at once.
const maxShareRows = 10_000

// slotState is the progress of this node's claim of a slot.
type slotState uint8

const (
	// slotNone: the rows of the slots have to be read.
	slotNone slotState = iota
	// slotClaiming: a claim was sent and has not been answered.
	slotClaiming
	// slotLoading: the slot is owned; its shares have to be read.
	slotLoading
	// slotHeld: the slot's shares may be spent.
	slotHeld
	// slotReleased: the slot was released and is not claimed again.
	slotReleased
)

// slot is this node's slot.
type slot struct {
	state   slotState
	index   uint32
	version model.RowVersion
	// claimSent is true once a claim of index was sent, which may still take effect
	// late.
	claimSent bool
	// failureLogged is true once the failure to get a slot was logged.
	failureLogged bool
}

// slotRow is the table row that states the owner of a slot.
type slotRow struct {
	// Slots is the number of slots among which the owner divides quotas.
	Slots       uint32            `json:"slots"`
	Node        model.NodeID      `json:"node"`
	Incarnation model.Incarnation `json:"incarnation"`
}

// Owns reports whether a read or transaction belongs to this package.
func Owns(id string) bool { return strings.HasPrefix(id, rowPrefix) }

func slotKey(index uint32) string { return fmt.Sprintf("%s%06d", slotPrefix, index) }

// continueClaim sends the read that the state of the claim requires and schedules
// a retry.
func (s *Shares) continueClaim(c *decision.Context) {
	c.After(timer.QuotaRebalance, "", c.Jitter(claimRetryInterval))
	switch s.slot.state {
	case slotNone:
		s.readSlots(c)
	case slotLoading:
		c.Emit(event.ReadRows{Read: readShares, Prefix: sharePrefix, Limit: maxShareRows})
	}
}

func (s *Shares) readSlots(c *decision.Context) {
	keys := make([]string, s.slots)
	for i := range keys {
		keys[i] = slotKey(uint32(i))
	}
	c.Emit(event.ReadRows{Read: readSlots, Keys: keys})
}

// slotsRead claims the slot of an earlier incarnation of this node, or a free
// slot. Among free slots, one for which a claim was sent before is preferred,
// because that claim may still take effect.
func (s *Shares) slotsRead(c *decision.Context, rows []model.Row) {
	if s.slot.state != slotNone {
		return
	}
	owners := make([]slotRow, s.slots)
	versions := make([]model.RowVersion, s.slots)
	for _, row := range rows {
		index, ok := s.slotIndex(row)
		if !ok {
			continue
		}
		versions[index] = row.Version
		if json.Unmarshal(row.Value, &owners[index]) != nil || owners[index].Slots != s.slots {
			s.logNoSlot(c, "a slot is of another number of entry VMs")
			return
		}
	}
	index, ok := s.chooseSlot(c, owners)
	switch {
	case !ok:
		s.logNoSlot(c, "every slot is owned")
	case owners[index].Node == s.node && owners[index].Incarnation == s.incarnation:
		s.slotOwned(c, index, versions[index])
	case owners[index].Incarnation > s.incarnation && owners[index].Node == s.node:
		s.logNoSlot(c, "a later incarnation of this node owns its slot")
	default:
		s.claim(c, index, versions[index])
	}
}

func (s *Shares) slotIndex(row model.Row) (uint32, bool) {
	var index uint32
	if row.Version == 0 {
		return 0, false
	}
	_, err := fmt.Sscanf(strings.TrimPrefix(row.Key, slotPrefix), "%d", &index)
	return index, err == nil && index < s.slots
}

// chooseSlot returns the slot to claim, or false if there is none.
func (s *Shares) chooseSlot(c *decision.Context, owners []slotRow) (uint32, bool) {
	if s.fixedSlot < s.slots {
		owner := owners[s.fixedSlot].Node
		return s.fixedSlot, owner == "" || owner == s.node
	}
	var free []uint32
	for i := range owners {
		if owners[i].Node == s.node {
			return uint32(i), true
		}
		if owners[i].Node == "" {
			free = append(free, uint32(i))
		}
	}
	if s.slot.claimSent && owners[s.slot.index].Node == "" {
		return s.slot.index, true
	}
	if len(free) == 0 {
		return 0, false
	}
	return free[c.Rand.IntN(len(free))], true
}

func (s *Shares) logNoSlot(c *decision.Context, detail string) {
	if !s.slot.failureLogged {
		s.slot.failureLogged = true
		c.Emit(event.LogChange{Message: "no quota slot; set entry_nodes to the number of entry VMs on all", Subject: string(s.node), Detail: detail})
	}
}

func (s *Shares) claim(c *decision.Context, index uint32, version model.RowVersion) {
	s.slot.state = slotClaiming
	s.slot.claimSent = true
	s.slot.index = index
	row := slotRow{Slots: s.slots, Node: s.node, Incarnation: s.incarnation}
	c.Emit(s.writeSlot(claimSlot, row, version))
}

func (s *Shares) writeSlot(transaction string, row slotRow, version model.RowVersion) event.Transact {
	value, _ := json.Marshal(row)
	return event.Transact{
		Transaction: transaction,
		Conditions:  []event.Condition{{Key: slotKey(s.slot.index), Version: version}},
		Writes:      []event.Write{{Key: slotKey(s.slot.index), Value: value}},
	}
}

// slotOwned records the ownership of a slot and reads its shares, none of which
// are spent before they are read.
func (s *Shares) slotOwned(c *decision.Context, index uint32, version model.RowVersion) {
	s.slot.state = slotLoading
	s.slot.index = index
	s.slot.version = version
	s.continueClaim(c)
}

// sharesRead loads the shares of the owned slot and begins to use them.
func (s *Shares) sharesRead(c *decision.Context, rows []model.Row) {
	if s.slot.state != slotLoading {
		return
	}
	if len(rows) == maxShareRows {
		s.logNoSlot(c, "more workspaces than one read returns")
		return
	}
	for _, row := range rows {
		if !s.shareRead(row) {
			s.logNoSlot(c, "cannot read "+row.Key)
			return
		}
	}
	s.slot.state = slotHeld
	c.After(timer.QuotaRebalance, "", c.Jitter(rebalanceInterval))
	c.Emit(event.LogChange{Message: "quota slot claimed", Subject: string(s.node), Detail: slotKey(s.slot.index)})
}

// Release releases the slot; this node spends nothing afterwards.
func (s *Shares) Release(c *decision.Context) {
	held := s.slot.state == slotHeld
	s.slot.state = slotReleased
	c.Stop(timer.QuotaRebalance, "")
	if !held || s.slots == 1 {
		return
	}
	c.Emit(s.writeSlot(releaseSlot, slotRow{Slots: s.slots}, s.slot.version))
}
