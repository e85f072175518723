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

// maxShareRows is the most workspaces whose shares are read.
const maxShareRows = 10_000

// slotState is how far this node is with its slot.
type slotState uint8

const (
	// slotNone: the slots are to be read.
	slotNone slotState = iota
	// slotClaiming: a claim was sent and not answered.
	slotClaiming
	// slotLoading: the slot is owned, its shares are to be read.
	slotLoading
	// slotHeld: the slot's shares may be spent.
	slotHeld
	// slotReleased: the slot was given up and is not claimed again.
	slotReleased
)

// slot is this node's slot.
type slot struct {
	state   slotState
	index   uint32
	version model.RowVersion
	// tried is true once a claim was sent for index, whose effect may be late.
	tried bool
	// fullLogged is true once the log says that no slot is free.
	fullLogged bool
}

// slotRow says who owns a slot.
type slotRow struct {
	// Slots is the number of slots that the owner splits quotas into.
	Slots       uint32            `json:"slots"`
	Node        model.NodeID      `json:"node"`
	Incarnation model.Incarnation `json:"incarnation"`
}

// Owns is true for the reads and transactions of this package.
func Owns(id string) bool { return strings.HasPrefix(id, rowPrefix) }

func slotKey(index uint32) string { return fmt.Sprintf("%s%06d", slotPrefix, index) }

// goOn sends what the state of the slot asks for.
func (s *Shares) goOn(c *decision.Context) {
	c.After(timer.QuotaRebalance, "", c.Jitter(claimRetry))
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

// slotsRead claims the slot of an earlier life of this node, or a free one. A
// slot whose claim was sent before comes first, for that claim may have taken
// effect or still do so.
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
	index, ok := s.choose(c, owners)
	switch {
	case !ok:
		s.logNoSlot(c, "every slot is owned")
	case owners[index].Node == s.node && owners[index].Incarnation == s.incarnation:
		s.owned(c, index, versions[index])
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

func (s *Shares) choose(c *decision.Context, owners []slotRow) (uint32, bool) {
	if s.fixed < s.slots {
		owner := owners[s.fixed].Node
		return s.fixed, owner == "" || owner == s.node
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
	if s.slot.tried && owners[s.slot.index].Node == "" {
		return s.slot.index, true
	}
	if len(free) == 0 {
		return 0, false
	}
	return free[c.Rand.IntN(len(free))], true
}

func (s *Shares) logNoSlot(c *decision.Context, detail string) {
	if !s.slot.fullLogged {
		s.slot.fullLogged = true
		c.Emit(event.LogChange{Message: "no quota slot; set entry_nodes to the number of entry VMs on all", Subject: string(s.node), Detail: detail})
	}
}

func (s *Shares) claim(c *decision.Context, index uint32, version model.RowVersion) {
	s.slot.state = slotClaiming
	s.slot.tried = true
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

// owned reads what the slot's shares are; none is spent before.
func (s *Shares) owned(c *decision.Context, index uint32, version model.RowVersion) {
	s.slot.state = slotLoading
	s.slot.index = index
	s.slot.version = version
	s.goOn(c)
}

// sharesRead begins to use the slot.
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

// Release gives the slot up; nothing is spent after it.
func (s *Shares) Release(c *decision.Context) {
	held := s.slot.state == slotHeld
	s.slot.state = slotReleased
	c.Stop(timer.QuotaRebalance, "")
	if !held || s.slots == 1 {
		return
	}
	c.Emit(s.writeSlot(releaseSlot, slotRow{Slots: s.slots}, s.slot.version))
}
