package attribution

import "maps"

// Clone returns a copy of the ledger that shares nothing that changes.
func (l *Ledger) Clone() *Ledger {
	c := New(l.self)
	c.number = l.number
	for _, s := range l.sends {
		c.insert(*s)
	}
	c.offsets = maps.Clone(l.offsets)
	c.targets, c.vms, c.answers, c.older = maps.Clone(l.targets), maps.Clone(l.vms), maps.Clone(l.answers), maps.Clone(l.older)
	return c
}

// ConfirmWindow, TurnTime and MaxSends are for specs.
const (
	ConfirmWindow = confirmWindow
	TurnTime      = turnTime
	MaxSends      = maxSends
)
