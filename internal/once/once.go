// Package once is the at-most-once ledger. A call that may not be repeated is
// claimed in the platform's table before it is sent, and nobody takes a claim
// over. A lost answer of the claim is settled by reading the row back.
package once

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/fault"
	"tamarackreach/internal/model"
	"tamarackreach/internal/timer"
)

const (
	claimPrefix   = "once/claim/"
	outcomePrefix = "once/outcome/"
	rowPrefix     = "once/"
	// settleRetry is the time between two tries to settle a lost answer.
	settleRetry = 200 * time.Millisecond
	// retryAfter tells callers when to come back.
	retryAfter = 2 * time.Second
)

// State is how far a claimed call is known to have got.
type State string

// The states of a claim row.
const (
	Claimed State = "claimed"
	Done    State = "done"
	Failed  State = "failed"
	InDoubt State = "in_doubt"
	NotRun  State = "not_run"
)

// Claim is the value of a ledger row.
type Claim struct {
	Nonce   model.Nonce `json:"nonce"`
	State   State       `json:"state"`
	Body    []byte      `json:"body,omitempty"`
	Message string      `json:"message,omitempty"`
}

// Call is a call that may not be repeated.
type Call struct {
	Request   model.RequestID
	Workspace model.WorkspaceID
	Service   model.ServiceID
	Method    model.MethodName
	Key       model.IdempotencyKey
	Body      []byte
	Deadline  model.Instant
	Target    model.TargetID
	Address   string

	nonce      model.Nonce
	rowVersion model.RowVersion
	phase      phase
	outcome    Claim
}

type phase uint8

const (
	claiming phase = iota
	calling
	recording
)

func (call *Call) rowKey() string {
	return strings.Join([]string{"once", string(call.Workspace), string(call.Service), string(call.Method), string(call.Key)}, "/")
}

// Ledger holds the calls of this node that are in progress.
type Ledger struct {
	node  model.NodeID
	life  model.Incarnation
	calls map[model.RequestID]*Call
}

// New returns an empty ledger of one life of a node.
func New(node model.NodeID, life model.Incarnation) *Ledger {
	return &Ledger{node: node, life: life, calls: make(map[model.RequestID]*Call)}
}

// Owns is true for the transactions and reads that a ledger issued.
func Owns(id string) bool { return strings.HasPrefix(id, rowPrefix) }

// InProgress returns the number of calls in progress.
func (l *Ledger) InProgress() int { return len(l.calls) }

// Has is true for a request that the ledger carries.
func (l *Ledger) Has(id model.RequestID) bool {
	_, ok := l.calls[id]
	return ok
}

// Begin claims the call.
func (l *Ledger) Begin(c *decision.Context, call *Call) {
	call.nonce = model.Nonce(fmt.Sprintf("%s/%d/%s", l.node, l.life, call.Request))
	l.calls[call.Request] = call
	c.Timers.Put(timer.Key{Kind: timer.CallDeadline, ID: string(call.Request)}, call.Deadline)
	l.writeClaim(c, call)
}

func (l *Ledger) writeClaim(c *decision.Context, call *Call) {
	c.Emit(event.Transact{
		Transaction: claimPrefix + string(call.Request),
		Conditions:  []event.Condition{{Key: call.rowKey()}},
		Writes:      []event.Write{{Key: call.rowKey(), Value: encode(Claim{Nonce: call.nonce, State: Claimed})}},
	})
}

// TransactionDone takes in the answer of a claim or of a recorded outcome.
func (l *Ledger) TransactionDone(c *decision.Context, ev event.TransactionDone) {
	if id, ok := strings.CutPrefix(ev.Transaction, outcomePrefix); ok {
		l.recorded(c, model.RequestID(id))
		return
	}
	call, ok := l.calls[requestOf(ev.Transaction)]
	if !ok || call.phase != claiming {
		return
	}
	if ev.Committed {
		call.rowVersion = ev.Version
		l.send(c, call)
		return
	}
	l.settle(c, call, ev.Conflicts)
}

// TransactionUnknown takes in that an answer was lost.
func (l *Ledger) TransactionUnknown(c *decision.Context, ev event.TransactionUnknown) {
	if id, ok := strings.CutPrefix(ev.Transaction, outcomePrefix); ok {
		l.recorded(c, model.RequestID(id))
		return
	}
	call, ok := l.calls[requestOf(ev.Transaction)]
	if !ok || call.phase != claiming {
		return
	}
	if ev.NotSent {
		l.refuse(c, call, platformFault())
		return
	}
	c.After(timer.ClaimRead, string(call.Request), 0)
}

// ReadDue reads a claim whose write got no answer.
func (l *Ledger) ReadDue(c *decision.Context, id model.RequestID) {
	call, ok := l.calls[id]
	if !ok || call.phase != claiming {
		return
	}
	c.Emit(event.ReadRows{Read: claimPrefix + string(id), Keys: []string{call.rowKey()}})
}

// RowsRead takes in a claim row that was read back.
func (l *Ledger) RowsRead(c *decision.Context, ev event.RowsRead) {
	call, ok := l.calls[requestOf(ev.Read)]
	if !ok || call.phase != claiming {
		return
	}
	if len(ev.Rows) == 0 || ev.Rows[0].Version == 0 {
		// The write may still arrive; sending the same claim again is safe,
		// because it requires the row to be absent.
		l.writeClaim(c, call)
		return
	}
	l.settle(c, call, ev.Rows)
}

// ReadFailed takes in that a read got no answer.
func (l *Ledger) ReadFailed(c *decision.Context, ev event.ReadFailed) {
	call, ok := l.calls[requestOf(ev.Read)]
	if !ok || call.phase != claiming {
		return
	}
	c.After(timer.ClaimRead, string(call.Request), settleRetry)
}

// settle goes on by the row that exists.
func (l *Ledger) settle(c *decision.Context, call *Call, rows []model.Row) {
	var found Claim
	if len(rows) == 0 || json.Unmarshal(rows[0].Value, &found) != nil {
		l.refuse(c, call, platformFault())
		return
	}
	if found.Nonce == call.nonce && found.State == Claimed {
		call.rowVersion = rows[0].Version
		l.send(c, call)
		return
	}
	l.answer(c, call, found, true)
}

// send lets the call go, unless a pause made it too late.
func (l *Ledger) send(c *decision.Context, call *Call) {
	if c.Now >= call.Deadline {
		l.record(c, call, Claim{Nonce: call.nonce, State: NotRun, Message: "the deadline passed before the call was sent"})
		return
	}
	call.phase = calling
	c.Emit(event.SendCall{
		Request:        call.Request,
		Target:         call.Target,
		Address:        call.Address,
		Workspace:      call.Workspace,
		Method:         call.Method,
		IdempotencyKey: call.Key,
		Body:           call.Body,
		Within:         call.Deadline.Sub(c.Now),
		Deadline:       call.Deadline,
	})
}

// Answered takes in the answer of the service.
func (l *Ledger) Answered(c *decision.Context, ev event.CallAnswered) {
	call, ok := l.calls[ev.Request]
	if !ok || call.phase != calling {
		return
	}
	state := Done
	if ev.Failed {
		state = Failed
	}
	l.record(c, call, Claim{Nonce: call.nonce, State: state, Body: ev.Body, Message: ev.Message})
}

// Cut takes in that no answer of the service will come.
func (l *Ledger) Cut(c *decision.Context, ev event.CallCut) {
	call, ok := l.calls[ev.Request]
	if !ok || call.phase != calling {
		return
	}
	state := NotRun
	if ev.BytesLeft {
		state = InDoubt
	}
	l.record(c, call, Claim{Nonce: call.nonce, State: state, Message: ev.Reason})
}

// record writes the outcome, so that a repeat with the same key gets it.
func (l *Ledger) record(c *decision.Context, call *Call, outcome Claim) {
	call.phase = recording
	call.outcome = outcome
	c.Emit(event.Transact{
		Transaction: outcomePrefix + string(call.Request),
		Conditions:  []event.Condition{{Key: call.rowKey(), Version: call.rowVersion}},
		Writes:      []event.Write{{Key: call.rowKey(), Value: encode(outcome)}},
	})
}

// recorded answers the caller, whether or not the outcome could be written: a
// repeat then finds the claim and is told that the call is in doubt.
func (l *Ledger) recorded(c *decision.Context, id model.RequestID) {
	call, ok := l.calls[id]
	if !ok || call.phase != recording {
		return
	}
	l.answer(c, call, call.outcome, false)
}

// DeadlineDue ends a call that was not sent in time.
func (l *Ledger) DeadlineDue(c *decision.Context, id model.RequestID) {
	call, ok := l.calls[id]
	if !ok {
		return
	}
	switch call.phase {
	case claiming:
		l.refuse(c, call, platformFault())
	case recording:
		l.recorded(c, id)
	case calling:
		// The driver ends the call at its deadline and reports what is known.
	}
}

func (l *Ledger) answer(c *decision.Context, call *Call, outcome Claim, recorded bool) {
	switch outcome.State {
	case Done:
		l.remove(c, call)
		c.Emit(event.AnswerCall{Request: call.Request, Body: outcome.Body, Recorded: recorded})
	case Failed:
		l.refuse(c, call, &fault.Fault{
			Kind: fault.Failed, Code: fault.CallFailed, Message: outcome.Message,
			Remedy: "the service refused the call; use a new idempotency key after correcting it",
		})
	case NotRun:
		l.refuse(c, call, &fault.Fault{
			Kind: fault.NotRun, Code: fault.DeadlineUnreachable, Message: outcome.Message,
			Remedy: "send the call again with a new idempotency key", RetryAfter: retryAfter,
		})
	case InDoubt:
		l.refuse(c, call, doubtFault(outcome.Message))
	case Claimed:
		l.refuse(c, call, &fault.Fault{
			Kind: fault.InDoubt, Code: fault.KeyInUse, Message: "another call with this key is claimed and its outcome is not recorded",
			Remedy: "ask again with the same key", RetryAfter: retryAfter,
		})
	}
}

func (l *Ledger) refuse(c *decision.Context, call *Call, refusal *fault.Fault) {
	l.remove(c, call)
	c.Emit(event.RefuseRequest{Request: call.Request, Fault: *refusal})
}

func (l *Ledger) remove(c *decision.Context, call *Call) {
	delete(l.calls, call.Request)
	c.Stop(timer.CallDeadline, string(call.Request))
	c.Stop(timer.ClaimRead, string(call.Request))
}

func platformFault() *fault.Fault {
	return &fault.Fault{
		Kind: fault.NotRun, Code: fault.PlatformDown, Message: "the table service did not confirm the claim",
		Remedy: "send the call again", RetryAfter: retryAfter,
	}
}

func doubtFault(reason string) *fault.Fault {
	return &fault.Fault{
		Kind: fault.InDoubt, Code: fault.CallInDoubt, Message: "the service may have run the call: " + reason,
		Remedy: "find out from the service before using a new idempotency key",
	}
}

func requestOf(transaction string) model.RequestID {
	return model.RequestID(strings.TrimPrefix(transaction, claimPrefix))
}

// encode marshals a ledger row, which always marshals.
func encode(claim Claim) []byte {
	data, err := json.Marshal(claim)
	if err != nil {
		panic(err)
	}
	return data
}
