package once

import (
	"fmt"
	"time"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/timer"
)

const (
	// settleRetry is the time between two reads that settle a lost answer.
	settleRetry = 200 * time.Millisecond
	// firstBackoff and maxBackoff bound the wait after a transaction that the
	// table service refused or left unanswered.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
)

// flight is one row of a transaction that is under way.
type flight struct {
	call  *Call
	state State
}

// enqueue lets the call's next write go with the next transaction.
func (l *Ledger) enqueue(c *decision.Context, call *Call) {
	call.queued = true
	l.queue = append(l.queue, call)
	l.flush(c)
}

// FlushDue sends the rows that gathered.
func (l *Ledger) FlushDue(c *decision.Context) { l.flush(c) }

// flush sends one transaction, unless the last one was too short a time ago.
// Calls of one node have different rows, so that no transaction names a row
// twice.
func (l *Ledger) flush(c *decision.Context) {
	if len(l.queue) == 0 {
		return
	}
	if c.Now < l.nextFlush {
		c.After(timer.LedgerFlush, "", l.nextFlush.Sub(c.Now))
		return
	}
	var flights []flight
	effect := event.Transact{Transaction: l.nextID(writePrefix)}
	for len(l.queue) > 0 && len(flights) < l.options.MaxRows {
		call := l.queue[0]
		l.queue = l.queue[1:]
		if !l.holds(call) {
			continue
		}
		call.queued = false
		flights = append(flights, flight{call: call, state: call.value.State})
		effect.Requests = append(effect.Requests, call.Request)
		effect.Conditions = append(effect.Conditions, event.Condition{Key: call.row, Version: call.condition})
		effect.Writes = append(effect.Writes, event.Write{Key: call.row, Value: encode(call.value)})
	}
	if len(flights) == 0 {
		return
	}
	l.flights[effect.Transaction] = flights
	c.Emit(effect)
	l.nextFlush = c.Now.Add(l.options.GatherInterval)
	l.flush(c)
}

func (l *Ledger) nextID(prefix string) string {
	l.sequence++
	return fmt.Sprintf("%s%s/%d/%d", prefix, l.node, l.life, l.sequence)
}

// takeFlights returns the rows of a transaction that are still of interest.
func (l *Ledger) takeFlights(id string) []flight {
	flights := l.flights[id]
	delete(l.flights, id)
	held := flights[:0]
	for _, f := range flights {
		if l.holds(f.call) {
			held = append(held, f)
		}
	}
	return held
}

// TransactionDone takes in the answer of a transaction.
func (l *Ledger) TransactionDone(c *decision.Context, ev event.TransactionDone) {
	l.backoff = 0
	flights := l.takeFlights(ev.Transaction)
	if ev.Committed {
		for _, f := range flights {
			l.written(c, f.call, f.state, ev.Version)
		}
		return
	}
	conflicts := make(map[string]model.Row, len(ev.Conflicts))
	for _, row := range ev.Conflicts {
		conflicts[row.Key] = row
	}
	for _, f := range flights {
		if row, ok := conflicts[f.call.row]; ok {
			l.settle(c, f.call, row)
			continue
		}
		l.again(c, f.call)
	}
}

// TransactionUnknown takes in that a transaction got no answer.
func (l *Ledger) TransactionUnknown(c *decision.Context, ev event.TransactionUnknown) {
	l.backoff = min(max(firstBackoff, 2*l.backoff), maxBackoff)
	l.nextFlush = max(l.nextFlush, c.Now.Add(c.Jitter(l.backoff)))
	var calls []*Call
	for _, f := range l.takeFlights(ev.Transaction) {
		if ev.NotSent {
			l.again(c, f.call)
			continue
		}
		f.call.unseen = true
		calls = append(calls, f.call)
	}
	if len(calls) > 0 {
		id := l.nextID(readPrefix)
		l.reads[id] = calls
		l.ReadDue(c, id)
	}
}

// again sends a write again that had no effect so far. A call given up meanwhile
// that has no claim, and none of whose writes can still take effect, has no row
// to free.
func (l *Ledger) again(c *decision.Context, call *Call) {
	if call.phase == recording && !call.owned && !call.unseen {
		l.remove(c, call)
		return
	}
	l.enqueue(c, call)
}

// ReadDue reads the rows of writes that got no answer.
func (l *Ledger) ReadDue(c *decision.Context, id string) {
	var held []*Call
	effect := event.ReadRows{Read: id}
	for _, call := range l.reads[id] {
		if l.holds(call) {
			held = append(held, call)
			effect.Keys = append(effect.Keys, call.row)
			effect.Requests = append(effect.Requests, call.Request)
		}
	}
	if len(held) == 0 {
		delete(l.reads, id)
		return
	}
	l.reads[id] = held
	c.Emit(effect)
}

// ReadFailed takes in that a read got no answer.
func (l *Ledger) ReadFailed(c *decision.Context, ev event.ReadFailed) {
	if _, ok := l.reads[ev.Read]; ok {
		c.After(timer.ClaimRead, ev.Read, c.Jitter(settleRetry))
	}
}

// RowsRead takes in the rows of writes that got no answer.
func (l *Ledger) RowsRead(c *decision.Context, ev event.RowsRead) {
	calls := l.reads[ev.Read]
	delete(l.reads, ev.Read)
	rows := make(map[string]model.Row, len(ev.Rows))
	for _, row := range ev.Rows {
		rows[row.Key] = row
	}
	for _, call := range calls {
		if l.holds(call) {
			l.settle(c, call, rows[call.row])
		}
	}
}

// written goes on after a write took effect.
func (l *Ledger) written(c *decision.Context, call *Call, state State, version model.RowVersion) {
	call.condition = version
	call.unseen = false
	call.owned = true
	switch {
	case state != call.value.State:
		l.enqueue(c, call)
	case call.phase == claiming:
		l.claimed(c, call)
	default:
		l.recorded(c, call)
	}
}

// settle goes on by the row that exists after a write that conflicted or got no
// answer.
func (l *Ledger) settle(c *decision.Context, call *Call, row model.Row) {
	if row.Version == call.condition {
		// No write of ours took effect so far. Sending it again is safe: it
		// requires the same row version as the earlier ones.
		l.again(c, call)
		return
	}
	found := decode(row)
	if found.Nonce == call.value.Nonce {
		l.written(c, call, found.State, row.Version)
		return
	}
	call.unseen = false
	switch {
	case call.phase == recording:
		// Not run, and another call with the key claimed the row since.
		l.recorded(c, call)
	case found.State == NotRun:
		call.condition = row.Version
		l.enqueue(c, call)
	default:
		answerRepeat(c, call, found, c.UnixMs)
		l.remove(c, call)
	}
}
