package idempotency

import (
	"fmt"
	"time"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/timer"
)

const (
	// readRetryInterval is the time, before jitter, until a failed read of the rows of
	// writes with an unknown result is retried.
	readRetryInterval = 200 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff, before jitter, after a transaction
	// that the table service refused or did not answer.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// inFlightWrite is the write of one row in a transaction that is in flight.
type inFlightWrite struct {
	call  *Call
	state State
}

// enqueue adds the call's next write to the next transaction.
func (l *Ledger) enqueue(c *decision.Context, call *Call) {
	call.queued = true
	l.queue = append(l.queue, call)
	l.flush(c)
}

// FlushDue sends the queued writes.
func (l *Ledger) FlushDue(c *decision.Context) { l.flush(c) }

// flush sends the queued writes, in transactions of at most MaxRows rows that are
// BatchInterval apart. The calls of a node have different rows, so that no
// transaction contains a row twice.
func (l *Ledger) flush(c *decision.Context) {
	if len(l.queue) == 0 {
		return
	}
	if c.Now < l.nextFlush {
		c.After(timer.LedgerFlush, "", l.nextFlush.Sub(c.Now))
		return
	}
	var inFlight []inFlightWrite
	effect := event.Transact{Transaction: l.nextID(writePrefix)}
	for len(l.queue) > 0 && len(inFlight) < l.options.MaxRows {
		call := l.queue[0]
		l.queue = l.queue[1:]
		if !l.tracks(call) {
			continue
		}
		call.queued = false
		inFlight = append(inFlight, inFlightWrite{call: call, state: call.claim.State})
		effect.Requests = append(effect.Requests, call.Request)
		effect.Conditions = append(effect.Conditions, event.Condition{Key: call.row, Version: call.expectedVersion})
		effect.Writes = append(effect.Writes, event.Write{Key: call.row, Value: encode(call.claim)})
	}
	if len(inFlight) == 0 {
		return
	}
	l.inFlight[effect.Transaction] = inFlight
	c.Emit(effect)
	l.nextFlush = c.Now.Add(l.options.BatchInterval)
	l.flush(c)
}

func (l *Ledger) nextID(prefix string) string {
	l.sequence++
	return fmt.Sprintf("%s%s/%d/%d", prefix, l.node, l.incarnation, l.sequence)
}

// takeInFlight removes a transaction and returns its writes, without those of removed
// calls.
func (l *Ledger) takeInFlight(id string) []inFlightWrite {
	inFlight := l.inFlight[id]
	delete(l.inFlight, id)
	held := inFlight[:0]
	for _, f := range inFlight {
		if l.tracks(f.call) {
			held = append(held, f)
		}
	}
	return held
}

// TransactionDone handles the response to a transaction.
func (l *Ledger) TransactionDone(c *decision.Context, ev event.TransactionDone) {
	l.backoff = 0
	writes := l.takeInFlight(ev.Transaction)
	if ev.Committed {
		for _, f := range writes {
			l.writeCommitted(c, f.call, f.state, ev.Version)
		}
		return
	}
	conflicts := make(map[string]model.Row, len(ev.Conflicts))
	for _, row := range ev.Conflicts {
		conflicts[row.Key] = row
	}
	for _, f := range writes {
		if row, ok := conflicts[f.call.row]; ok {
			l.resolve(c, f.call, row)
			continue
		}
		l.retryWrite(c, f.call)
	}
}

// TransactionUnknown handles a transaction that was not sent or whose result is
// unknown. In the latter case it reads the rows.
func (l *Ledger) TransactionUnknown(c *decision.Context, ev event.TransactionUnknown) {
	l.backoff = min(max(minBackoff, 2*l.backoff), maxBackoff)
	l.nextFlush = max(l.nextFlush, c.Now.Add(c.Jitter(l.backoff)))
	var calls []*Call
	for _, f := range l.takeInFlight(ev.Transaction) {
		if ev.NotSent {
			l.retryWrite(c, f.call)
			continue
		}
		f.call.writeInDoubt = true
		calls = append(calls, f.call)
	}
	if len(calls) > 0 {
		id := l.nextID(readPrefix)
		l.reads[id] = calls
		l.ReadDue(c, id)
	}
}

// retryWrite sends a write again that has had no effect so far. An abandoned call is
// removed instead if it has no claim in the table and none of its writes can still
// take effect: it has no row to free.
func (l *Ledger) retryWrite(c *decision.Context, call *Call) {
	if call.phase == recording && !call.claimStored && !call.writeInDoubt {
		l.remove(c, call)
		return
	}
	l.enqueue(c, call)
}

// ReadDue reads the rows of writes with an unknown result.
func (l *Ledger) ReadDue(c *decision.Context, id string) {
	var held []*Call
	effect := event.ReadRows{Read: id}
	for _, call := range l.reads[id] {
		if l.tracks(call) {
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

// ReadFailed handles a failed read. It is retried after readRetryInterval.
func (l *Ledger) ReadFailed(c *decision.Context, ev event.ReadFailed) {
	if _, ok := l.reads[ev.Read]; ok {
		c.After(timer.ClaimRead, ev.Read, c.Jitter(readRetryInterval))
	}
}

// RowsRead handles the rows of writes with an unknown result.
func (l *Ledger) RowsRead(c *decision.Context, ev event.RowsRead) {
	calls := l.reads[ev.Read]
	delete(l.reads, ev.Read)
	rows := make(map[string]model.Row, len(ev.Rows))
	for _, row := range ev.Rows {
		rows[row.Key] = row
	}
	for _, call := range calls {
		if l.tracks(call) {
			l.resolve(c, call, rows[call.row])
		}
	}
}

// writeCommitted starts the next step of a call after a write of the given state
// took effect.
func (l *Ledger) writeCommitted(c *decision.Context, call *Call, state State, version model.RowVersion) {
	call.expectedVersion = version
	call.writeInDoubt = false
	call.claimStored = true
	switch {
	case state != call.claim.State:
		l.enqueue(c, call)
	case call.phase == claiming:
		l.sendCall(c, call)
	default:
		l.complete(c, call)
	}
}

// resolve starts the next step of a call according to its row, after a write that
// conflicted or whose result was unknown.
func (l *Ledger) resolve(c *decision.Context, call *Call, row model.Row) {
	if row.Version == call.expectedVersion {
		// No write of this call has taken effect so far. Sending it again is safe:
		// it requires the same row version as the earlier attempts.
		l.retryWrite(c, call)
		return
	}
	found := decode(row)
	if found.Nonce == call.claim.Nonce {
		l.writeCommitted(c, call, found.State, row.Version)
		return
	}
	call.writeInDoubt = false
	switch {
	case call.phase == recording:
		// This call was not run, and another call with the key has claimed the row
		// since.
		l.complete(c, call)
	case found.State == NotRun:
		call.expectedVersion = row.Version
		l.enqueue(c, call)
	default:
		answerRepeat(c, call, found, c.UnixMs)
		l.remove(c, call)
	}
}
