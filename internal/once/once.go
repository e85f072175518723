// Package once is the at-most-once ledger. A call that may not be repeated is
// claimed in the platform's table before it is sent, and nobody takes a claim
// over. Only the owner of a claim may write what became of it: an outcome, which
// every repeat with the same key gets, or that the call was not run, which frees
// the key. Rows are never deleted, so that a write that arrives late meets a row
// version which it does not expect and has no effect.
//
// No statement of the ledger rests on a clock: deadlines only decide when to give
// up, and a claim that is given up on stays the owner's.
package once

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/url"
	"strings"
	"time"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/fault"
	"tamarackreach/internal/model"
	"tamarackreach/internal/timer"
)

// Limits on what callers send.
const (
	MaxKeyBytes  = 256
	MaxBodyBytes = 64 << 10
)

const (
	rowPrefix   = "once/"
	writePrefix = "once/write/"
	readPrefix  = "once/read/"
	// maxCalls bounds the calls that a node carries.
	maxCalls = 4096
	// maxBackground bounds the answered calls whose outcome is still being
	// written; each holds at most MaxBodyBytes.
	maxBackground = 1024
	// recordWait is how long an answer waits for its outcome to be written.
	recordWait = 100 * time.Millisecond
	// recordFor is how long an outcome is tried to be written after the answer.
	recordFor = time.Minute
	// maxMessageBytes bounds the reason that is kept with an outcome.
	maxMessageBytes = 1 << 10
)

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

	row   string
	phase phase
	// condition is the row version that the next write requires; 0 requires
	// that there is no row.
	condition model.RowVersion
	// value is what the next write makes of the row.
	value Claim
	// answer is what the caller gets; unlike value it may be long.
	answer Claim
	// unseen is true while a write of this call may take effect without an
	// answer.
	unseen bool
	// owned is true once the claim is known to be in the table.
	owned    bool
	queued   bool
	answered bool
}

type phase uint8

const (
	claiming phase = iota
	calling
	recording
)

// rowKey escapes the parts, so that no two calls share a row by accident.
func (call *Call) rowKey() string {
	parts := []string{string(call.Workspace), string(call.Service), string(call.Method), string(call.Key)}
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return rowPrefix + strings.Join(parts, "/")
}

// Options set how rows are gathered into transactions.
type Options struct {
	// GatherInterval is the least time between two transactions of a node; what
	// comes up in between goes into the next one.
	GatherInterval time.Duration
	// MaxRows is the largest number of rows of one transaction.
	MaxRows int
}

// DefaultOptions returns the options that nodes run with.
func DefaultOptions() Options { return Options{GatherInterval: 20 * time.Millisecond, MaxRows: 64} }

// Ledger holds the calls of this node that are in progress.
type Ledger struct {
	node    model.NodeID
	life    model.Incarnation
	options Options
	calls   map[model.RequestID]*Call
	byRow   map[string]*Call
	// background is the number of answered calls that are still recorded.
	background int

	sequence uint64
	queue    []*Call
	flights  map[string][]flight
	reads    map[string][]*Call
	// nextFlush is when the next transaction may be sent.
	nextFlush model.Instant
	backoff   time.Duration
}

// New returns an empty ledger of one life of a node.
func New(node model.NodeID, life model.Incarnation) *Ledger {
	return NewWithOptions(node, life, DefaultOptions())
}

// NewWithOptions returns an empty ledger that gathers rows as stated.
func NewWithOptions(node model.NodeID, life model.Incarnation, options Options) *Ledger {
	return &Ledger{
		node: node, life: life, options: options,
		calls:   make(map[model.RequestID]*Call),
		byRow:   make(map[string]*Call),
		flights: make(map[string][]flight),
		reads:   make(map[string][]*Call),
	}
}

// Owns is true for the transactions and reads that a ledger issued.
func Owns(id string) bool { return strings.HasPrefix(id, rowPrefix) }

// InProgress returns the number of calls in progress, with those whose outcome is
// still being written.
func (l *Ledger) InProgress() int { return len(l.calls) }

// Begin claims the call.
func (l *Ledger) Begin(c *decision.Context, call *Call) {
	call.row = call.rowKey()
	hash := sha256.Sum256(call.Body)
	call.value = Claim{
		Nonce:          model.Nonce(fmt.Sprintf("%s/%d/%s", l.node, l.life, call.Request)),
		State:          Claimed,
		BodySHA256:     hex.EncodeToString(hash[:]),
		DeadlineUnixMs: c.UnixMs + call.Deadline.Sub(c.Now).Milliseconds(),
	}
	if earlier, ok := l.byRow[call.row]; ok {
		answerRepeat(c, call, earlier.known(), c.UnixMs)
		return
	}
	if len(l.calls) >= maxCalls {
		refuse(c, call, fullFault())
		return
	}
	l.calls[call.Request] = call
	l.byRow[call.row] = call
	c.Timers.Put(timer.Key{Kind: timer.CallDeadline, ID: string(call.Request)}, call.Deadline)
	l.enqueue(c, call)
}

// known returns what a repeat on the same node may be told of the call.
func (call *Call) known() Claim {
	if call.phase == recording {
		return call.value
	}
	known := call.value
	known.State = Claimed
	return known
}

// claimed goes on once the claim is known to be in the table.
func (l *Ledger) claimed(c *decision.Context, call *Call) {
	if c.Now >= call.Deadline {
		l.finish(c, call, Claim{
			State: NotRun, Code: fault.DeadlineUnreachable, Message: "the deadline passed before the call was sent",
		})
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
		Once:           true,
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
	l.finish(c, call, Claim{State: state, Body: ev.Body, Message: ev.Message})
}

// Cut takes in that no answer of the service will come.
func (l *Ledger) Cut(c *decision.Context, ev event.CallCut) {
	call, ok := l.calls[ev.Request]
	if !ok || call.phase != calling {
		return
	}
	outcome := Claim{State: NotRun, Code: fault.NoCapacity, Message: "the call did not reach the service: " + ev.Reason}
	if ev.BytesLeft {
		outcome = Claim{State: InDoubt, Message: ev.Reason}
	}
	l.finish(c, call, outcome)
}

// finish records the outcome, so that a repeat with the same key gets it. The
// caller is answered when the outcome is in the table, or after recordWait.
func (l *Ledger) finish(c *decision.Context, call *Call, outcome Claim) {
	call.phase = recording
	call.answer = outcome
	call.value.State = outcome.State
	call.value.Code = outcome.Code
	call.value.Body = outcome.Body
	call.value.Message = outcome.Message[:min(len(outcome.Message), maxMessageBytes)]
	if len(outcome.Body) > MaxBodyBytes {
		call.value.Body = nil
		call.value.BodyOmitted = true
	}
	call.Body = nil
	c.After(timer.CallDeadline, string(call.Request), recordWait)
	l.enqueue(c, call)
}

// DeadlineDue gives up on the next step of a call.
func (l *Ledger) DeadlineDue(c *decision.Context, id model.RequestID) {
	call, ok := l.calls[id]
	if !ok {
		return
	}
	switch {
	case call.phase == claiming:
		l.abandon(c, call)
	case call.phase == recording && !call.answered:
		l.answerNow(c, call)
	case call.phase == recording:
		l.remove(c, call)
	}
	// In between, the driver ends the call at its deadline and reports.
}

// abandon refuses a call whose claim is not confirmed. It is not sent any more,
// so that it is not run whatever becomes of the claim; the row is then freed.
func (l *Ledger) abandon(c *decision.Context, call *Call) {
	call.answer = Claim{State: NotRun, Code: fault.PlatformDown, Message: "the table service did not confirm the claim"}
	if call.queued && !call.unseen {
		answer(c, call, call.answer, false)
		l.remove(c, call)
		return
	}
	call.phase = recording
	call.value.State = NotRun
	call.value.Message = call.answer.Message
	call.value.Code = call.answer.Code
	call.Body = nil
	l.answerNow(c, call)
}

// answerNow answers the caller and goes on recording, within bounds.
func (l *Ledger) answerNow(c *decision.Context, call *Call) {
	answer(c, call, call.answer, false)
	call.answered = true
	l.background++
	if l.background > maxBackground {
		l.remove(c, call)
		return
	}
	c.After(timer.CallDeadline, string(call.Request), recordFor)
}

// recorded ends a call whose outcome is in the table.
func (l *Ledger) recorded(c *decision.Context, call *Call) {
	if !call.answered {
		answer(c, call, call.answer, false)
	}
	l.remove(c, call)
}

func (l *Ledger) remove(c *decision.Context, call *Call) {
	if call.answered {
		l.background--
	}
	delete(l.calls, call.Request)
	delete(l.byRow, call.row)
	c.Stop(timer.CallDeadline, string(call.Request))
}

// holds is true while the call is not removed.
func (l *Ledger) holds(call *Call) bool { return l.calls[call.Request] == call }

func refuse(c *decision.Context, call *Call, refusal *fault.Fault) {
	c.Emit(event.RefuseRequest{Request: call.Request, Fault: *refusal})
}
