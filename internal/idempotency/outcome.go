package idempotency

import (
	"encoding/json"
	"fmt"
	"time"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/fault"
	"tamarackreach/internal/model"
)

const (
	// retryAfter is the retry delay that callers are given.
	retryAfter = 2 * time.Second
	// inProgressMargin is how long after its deadline a claim without an outcome is
	// still reported as in progress. It covers the write of the outcome and the clock
	// difference between nodes. Afterwards the owner is considered failed and the
	// call in doubt.
	inProgressMargin = 5 * time.Second
)

// State is the last known state of a claimed call.
type State string

// The states of a claim row.
const (
	Claimed State = "claimed"
	Done    State = "done"
	Failed  State = "failed"
	InDoubt State = "in_doubt"
	// NotRun frees the key: the next call may claim the row.
	NotRun State = "not_run"
)

// Claim is the value of a ledger row.
type Claim struct {
	Nonce   model.Nonce `json:"nonce"`
	State   State       `json:"state"`
	Body    []byte      `json:"body,omitempty"`
	Message string      `json:"message,omitempty"`
	// BodySHA256 is the hash of the call's body. It distinguishes a repeat from
	// another call with the same key.
	BodySHA256 string `json:"body_sha256"`
	// DeadlineUnixMs is the Unix time in milliseconds after which the owner does not
	// send the call. It only decides whether a claim without an outcome is reported as
	// in progress or as in doubt.
	DeadlineUnixMs int64 `json:"deadline_unix_ms"`
	// BodyOmitted is true if the response body was longer than MaxBodyBytes and is
	// not stored.
	BodyOmitted bool `json:"body_omitted,omitempty"`
	// Code is the reason why a call was not run. It is not stored; only the owner
	// reports it, because other nodes treat the key as free.
	Code fault.Code `json:"-"`
}

// answerRepeat answers a call from the claim of an earlier call with the same key.
func answerRepeat(c *decision.Context, call *Call, earlier Claim, unixMs int64) {
	switch {
	case earlier.BodySHA256 != "" && earlier.BodySHA256 != call.claim.BodySHA256 && earlier.State != NotRun:
		refuse(c, call, keyReusedFault())
	case earlier.State == Claimed:
		refuse(c, call, unresolvedClaimFault(earlier.DeadlineUnixMs, unixMs))
	case earlier.BodyOmitted:
		refuse(c, call, answerNotKeptFault())
	default:
		answer(c, call, earlier, true)
	}
}

// answer sends an outcome to the caller. The flag recorded marks the stored outcome
// of an earlier call.
func answer(c *decision.Context, call *Call, outcome Claim, recorded bool) {
	switch outcome.State {
	case Done:
		c.Emit(event.AnswerCall{Request: call.Request, Body: outcome.Body, Recorded: recorded})
	case Failed:
		refuse(c, call, &fault.Fault{
			Kind: fault.Failed, Code: fault.CallFailed, Message: outcome.Message,
			Remedy: "the service refused the call; correct it and use a new idempotency key",
		})
	case NotRun:
		refuse(c, call, &fault.Fault{
			Kind: fault.NotRun, Code: outcome.Code, Message: outcome.Message,
			Remedy: "send the call again; the same idempotency key is safe", RetryAfter: retryAfter,
		})
	case InDoubt, Claimed:
		refuse(c, call, inDoubtFault(outcome.Message))
	}
}

// unresolvedClaimFault returns the fault for a claim without an outcome: in progress
// until inProgressMargin after the deadline, in doubt afterwards.
func unresolvedClaimFault(deadlineUnixMs, unixMs int64) *fault.Fault {
	left := time.Duration(deadlineUnixMs-unixMs)*time.Millisecond + inProgressMargin
	if left <= 0 {
		return inDoubtFault("its entry VM recorded no outcome by the deadline")
	}
	return &fault.Fault{
		Kind: fault.InDoubt, Code: fault.KeyInUse, Message: "a call with this key is in progress",
		Remedy: "ask again with the same key", RetryAfter: min(left, retryAfter),
	}
}

func keyReusedFault() *fault.Fault {
	return &fault.Fault{
		Kind: fault.NotRun, Code: fault.KeyReused, Message: "the key was used for a call with another body",
		Remedy: "use a new idempotency key for a new call, or send the first body again",
	}
}

func answerNotKeptFault() *fault.Fault {
	return &fault.Fault{
		Kind: fault.Failed, Code: fault.AnswerNotKept,
		Message: fmt.Sprintf("the call ran; its answer was longer than the %d bytes that are kept", MaxBodyBytes),
		Remedy:  "ask the service for the result; do not use a new idempotency key",
	}
}

func tooManyCallsFault() *fault.Fault {
	return &fault.Fault{
		Kind: fault.NotRun, Code: fault.NoCapacity, Message: fmt.Sprintf("%d calls are in progress on this entry VM", maxCalls),
		Remedy: "come back later; the same idempotency key is safe", RetryAfter: retryAfter,
	}
}

func inDoubtFault(reason string) *fault.Fault {
	return &fault.Fault{
		Kind: fault.InDoubt, Code: fault.CallInDoubt, Message: "the service may have run the call: " + reason,
		Remedy: "find out from the service before using a new idempotency key",
	}
}

// decode unmarshals a ledger row. An invalid row is treated as a claim of an unknown
// owner, which no node takes over.
func decode(row model.Row) Claim {
	var claim Claim
	if err := json.Unmarshal(row.Value, &claim); err != nil {
		return Claim{State: InDoubt, Message: "the ledger row is unreadable"}
	}
	return claim
}

// encode marshals a ledger row. Marshalling a claim cannot fail.
func encode(claim Claim) []byte {
	data, err := json.Marshal(claim)
	if err != nil {
		panic(err)
	}
	return data
}
