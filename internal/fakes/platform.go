// Package fakes provides fakes for tests of the reducer and its decisions.
package fakes

import (
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/standin/platform"
)

// Platform is a synchronous fake of the platform's table service and object
// store.
type Platform struct {
	Table *platform.Table
	// Down makes every operation fail without effect.
	Down bool
	// LoseAnswers makes transactions take effect without a response.
	LoseAnswers bool
	// Objects holds the contents of the object store.
	Objects map[string][]byte
}

// NewPlatform returns a platform with an empty table.
func NewPlatform() *Platform {
	return &Platform{Table: platform.NewTable(), Objects: make(map[string][]byte)}
}

// Answer carries out an effect and returns the event that results from it. ok is
// false for effects that do not concern the table service or the object store.
func (p *Platform) Answer(effect event.Effect) (answer event.Event, ok bool) {
	switch effect := effect.(type) {
	case event.Transact:
		return p.transact(effect), true
	case event.ReadRows:
		return p.read(effect), true
	case event.ReadObject:
		body, found := p.Objects[effect.Key]
		return event.ObjectRead{Key: effect.Key, Body: body, Found: found && !p.Down, Failed: p.Down}, true
	case event.WriteObject:
		if !p.Down {
			p.Objects[effect.Key] = effect.Body
		}
		return event.ObjectWritten{Key: effect.Key, Failed: p.Down}, true
	}
	return nil, false
}

func (p *Platform) transact(effect event.Transact) event.Event {
	if p.Down {
		return event.TransactionUnknown{Transaction: effect.Transaction, Reason: "outage"}
	}
	version, conflicts := p.Table.Transact(effect.Conditions, effect.Writes)
	if p.LoseAnswers {
		return event.TransactionUnknown{Transaction: effect.Transaction, Reason: "answer lost"}
	}
	return event.TransactionDone{
		Transaction: effect.Transaction, Committed: len(conflicts) == 0, Version: version, Conflicts: conflicts,
	}
}

func (p *Platform) read(effect event.ReadRows) event.Event {
	if p.Down {
		return event.ReadFailed{Read: effect.Read, Reason: "outage"}
	}
	var rows []model.Row
	if effect.Prefix == "" {
		rows = p.Table.Read(effect.Keys)
	} else {
		rows = p.Table.Scan(effect.Prefix, effect.StartKey, int(effect.Limit))
	}
	return event.RowsRead{Read: effect.Read, Rows: rows}
}
