// Package idempotency implements a ledger for calls with at-most-once semantics. A
// non-idempotent call is claimed in the platform's table before it is sent, and no
// other node ever takes the claim over. Only the owner of a claim may write its
// result: an outcome, which every repeat with the same idempotency key receives, or
// that the call was not run, which frees the key. Rows are never deleted, so that a
// delayed write finds a row version that it does not expect and has no effect.
//
// The guarantee does not depend on clocks: deadlines only decide when the ledger
// stops waiting, and an abandoned claim still belongs to its owner.
package idempotency

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
	// maxCalls bounds the calls in progress on a node.
	maxCalls = 4096
	// maxBackground bounds the answered calls whose outcome is still being
	// written; each holds at most MaxBodyBytes.
	maxBackground = 1024
	// recordTimeout is the longest time that the answer to the caller waits for the
	// outcome to be in the table.
	recordTimeout = 100 * time.Millisecond
	// backgroundRecordTimeout is how long the ledger retries to write the outcome of a
	// call after the caller was answered.
	backgroundRecordTimeout = time.Minute
	// maxMessageBytes bounds the message that is stored with an outcome.
	maxMessageBytes = 1 << 10
)

// Call is a call that must run at most once.
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
	// expectedVersion is the row version that the next write requires; 0 requires
	// that the row does not exist.
	expectedVersion model.RowVersion
	// claim is the row value of the next write.
	claim Claim
	// answer is the outcome that the caller gets. Unlike that in claim, it is not
	// truncated.
	answer Claim
	// writeInDoubt is true while a write whose response was lost may have taken
	// effect or may still do so.
	writeInDoubt bool
	// claimStored is true once the claim is known to be in the table.
	claimStored bool
	// queued is true while the next write waits for a transaction.
	queued bool
	// answered is true once the caller has been answered.
	answered bool
}

// phase is the step that a call is in.
type phase uint8

const (
	claiming phase = iota
	calling
	recording
)

// rowKey returns the key of the call's row. The parts are escaped, so that
// different calls cannot have the same key.
func (call *Call) rowKey() string {
	parts := []string{string(call.Workspace), string(call.Service), string(call.Method), string(call.Key)}
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return rowPrefix + strings.Join(parts, "/")
}

// Options sets how rows are batched into transactions.
type Options struct {
	// BatchInterval is the minimum time between two transactions of a node. Writes
	// that become due in between are batched into the next transaction.
	BatchInterval time.Duration
	// MaxRows is the maximum number of rows in one transaction.
	MaxRows int
}

// DefaultOptions returns the options that New uses.
func DefaultOptions() Options { return Options{BatchInterval: 20 * time.Millisecond, MaxRows: 64} }

// Ledger holds the calls of this node that are in progress.
type Ledger struct {
	node        model.NodeID
	incarnation model.Incarnation
	options     Options
	calls       map[model.RequestID]*Call
	byRow       map[string]*Call
	// background is the number of answered calls whose outcome is still being
	// written.
	background int

	sequence uint64
	// queue holds the calls whose next write waits for a transaction.
	queue []*Call
	// inFlight holds the writes of the transactions in flight, by transaction ID.
	inFlight map[string][]inFlightWrite
	// reads holds the calls whose rows are being read, by read ID.
	reads map[string][]*Call
	// nextFlush is when the next transaction may be sent.
	nextFlush model.Instant
	backoff   time.Duration
}

// New returns an empty ledger for one incarnation of a node, with the default
// options.
func New(node model.NodeID, incarnation model.Incarnation) *Ledger {
	return NewWithOptions(node, incarnation, DefaultOptions())
}

// NewWithOptions returns an empty ledger that batches rows according to options.
func NewWithOptions(node model.NodeID, incarnation model.Incarnation, options Options) *Ledger {
	return &Ledger{
		node: node, incarnation: incarnation, options: options,
		calls:    make(map[model.RequestID]*Call),
		byRow:    make(map[string]*Call),
		inFlight: make(map[string][]inFlightWrite),
		reads:    make(map[string][]*Call),
	}
}

// Owns reports whether a ledger issued the transaction or read with this ID.
func Owns(id string) bool { return strings.HasPrefix(id, rowPrefix) }

// InProgress returns the number of calls in progress, including answered calls whose
// outcome is still being written.
func (l *Ledger) InProgress() int { return len(l.calls) }

// Begin starts the claim of a call. A call whose key is in use on this node is
// answered from the earlier call.
func (l *Ledger) Begin(c *decision.Context, call *Call) {
	call.row = call.rowKey()
	hash := sha256.Sum256(call.Body)
	call.claim = Claim{
		Nonce:          model.Nonce(fmt.Sprintf("%s/%d/%s", l.node, l.incarnation, call.Request)),
		State:          Claimed,
		BodySHA256:     hex.EncodeToString(hash[:]),
		DeadlineUnixMs: c.UnixMs + call.Deadline.Sub(c.Now).Milliseconds(),
	}
	if earlier, ok := l.byRow[call.row]; ok {
		answerRepeat(c, call, earlier.reportedClaim(), c.UnixMs)
		return
	}
	if len(l.calls) >= maxCalls {
		refuse(c, call, tooManyCallsFault())
		return
	}
	l.calls[call.Request] = call
	l.byRow[call.row] = call
	c.Timers.Put(timer.Key{Kind: timer.CallDeadline, ID: string(call.Request)}, call.Deadline)
	l.enqueue(c, call)
}

// reportedClaim returns the claim by which a repeat on the same node is answered.
func (call *Call) reportedClaim() Claim {
	if call.phase == recording {
		return call.claim
	}
	reportedClaim := call.claim
	reportedClaim.State = Claimed
	return reportedClaim
}

// sendCall sends a call whose claim is in the table, unless its deadline has passed.
func (l *Ledger) sendCall(c *decision.Context, call *Call) {
	if c.Now >= call.Deadline {
		l.recordOutcome(c, call, Claim{
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
		AtMostOnce:     true,
	})
}

// HandleAnswer handles the response of the service to a call.
func (l *Ledger) HandleAnswer(c *decision.Context, ev event.CallAnswered) {
	call, ok := l.calls[ev.Request]
	if !ok || call.phase != calling {
		return
	}
	state := Done
	if ev.Failed {
		state = Failed
	}
	l.recordOutcome(c, call, Claim{State: state, Body: ev.Body, Message: ev.Message})
}

// HandleCut handles a call that ended without a response of the service. If bytes of it
// were sent, the call is in doubt.
func (l *Ledger) HandleCut(c *decision.Context, ev event.CallCut) {
	call, ok := l.calls[ev.Request]
	if !ok || call.phase != calling {
		return
	}
	outcome := Claim{State: NotRun, Code: fault.NoCapacity, Message: "the call did not reach the service: " + ev.Reason}
	if ev.MaybeSent {
		outcome = Claim{State: InDoubt, Message: ev.Reason}
	}
	l.recordOutcome(c, call, outcome)
}

// recordOutcome starts to write the outcome, so that a repeat with the same key gets
// it. The caller is answered once the outcome is in the table, or after
// recordTimeout.
func (l *Ledger) recordOutcome(c *decision.Context, call *Call, outcome Claim) {
	call.phase = recording
	call.answer = outcome
	call.claim.State = outcome.State
	call.claim.Code = outcome.Code
	call.claim.Body = outcome.Body
	call.claim.Message = outcome.Message[:min(len(outcome.Message), maxMessageBytes)]
	if len(outcome.Body) > MaxBodyBytes {
		call.claim.Body = nil
		call.claim.BodyOmitted = true
	}
	call.Body = nil
	c.After(timer.CallDeadline, string(call.Request), recordTimeout)
	l.enqueue(c, call)
}

// DeadlineDue handles the timer of a call, which bounds the phase that it is in.
func (l *Ledger) DeadlineDue(c *decision.Context, id model.RequestID) {
	call, ok := l.calls[id]
	if !ok {
		return
	}
	switch {
	case call.phase == claiming:
		l.abandon(c, call)
	case call.phase == recording && !call.answered:
		l.answerBeforeRecorded(c, call)
	case call.phase == recording:
		l.remove(c, call)
	}
	// In the calling phase, the driver that sent the call ends it at its deadline and
	// reports CallCut.
}

// abandon refuses a call whose claim is not confirmed by the deadline. The call will
// not be sent, so that it is not run even if the claim takes effect later; in that
// case the row is freed.
func (l *Ledger) abandon(c *decision.Context, call *Call) {
	call.answer = Claim{State: NotRun, Code: fault.PlatformDown, Message: "the table service did not confirm the claim"}
	if call.queued && !call.writeInDoubt {
		answer(c, call, call.answer, false)
		l.remove(c, call)
		return
	}
	call.phase = recording
	call.claim.State = NotRun
	call.claim.Message = call.answer.Message
	call.claim.Code = call.answer.Code
	call.Body = nil
	l.answerBeforeRecorded(c, call)
}

// answerBeforeRecorded answers the caller and continues to write the outcome in the
// background, for at most backgroundRecordTimeout and maxBackground calls.
func (l *Ledger) answerBeforeRecorded(c *decision.Context, call *Call) {
	answer(c, call, call.answer, false)
	call.answered = true
	l.background++
	if l.background > maxBackground {
		l.remove(c, call)
		return
	}
	c.After(timer.CallDeadline, string(call.Request), backgroundRecordTimeout)
}

// complete ends a call whose outcome is in the table or no longer needs to be.
func (l *Ledger) complete(c *decision.Context, call *Call) {
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

// tracks reports whether the call has not been removed.
func (l *Ledger) tracks(call *Call) bool { return l.calls[call.Request] == call }

func refuse(c *decision.Context, call *Call, refusal *fault.Fault) {
	c.Emit(event.RefuseRequest{Request: call.Request, Fault: *refusal})
}
