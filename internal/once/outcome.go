package once

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
	// retryAfter tells callers when to come back.
	retryAfter = 2 * time.Second
	// settleMargin is how long after its deadline a claim without an outcome is
	// still said to be in progress: it covers the recording and the difference
	// of clocks. Afterwards its owner is taken for dead and it is in doubt.
	settleMargin = 5 * time.Second
)

// State is how far a claimed call is known to have got.
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
	// BodySHA256 tells another call with the same key from a repeat.
	BodySHA256 string `json:"body_sha256"`
	// DeadlineUnixMs is when the owner stops sending the call. It chooses only
	// between the wordings "in progress" and "in doubt".
	DeadlineUnixMs int64 `json:"deadline_unix_ms"`
	// BodyOmitted is true when the answer was too long to be kept.
	BodyOmitted bool `json:"body_omitted,omitempty"`
	// Code says why a call was not run; only the owner tells it.
	Code fault.Code `json:"-"`
}

// answerRepeat answers a call by the row of an earlier call with its key.
func answerRepeat(c *decision.Context, call *Call, earlier Claim, unixMs int64) {
	switch {
	case earlier.BodySHA256 != "" && earlier.BodySHA256 != call.value.BodySHA256 && earlier.State != NotRun:
		refuse(c, call, reusedFault())
	case earlier.State == Claimed:
		refuse(c, call, claimedFault(earlier.DeadlineUnixMs, unixMs))
	case earlier.BodyOmitted:
		refuse(c, call, omittedFault())
	default:
		answer(c, call, earlier, true)
	}
}

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
		refuse(c, call, doubtFault(outcome.Message))
	}
}

// claimedFault is for a claim without an outcome.
func claimedFault(deadlineUnixMs, unixMs int64) *fault.Fault {
	left := time.Duration(deadlineUnixMs-unixMs)*time.Millisecond + settleMargin
	if left <= 0 {
		return doubtFault("its entry VM recorded no outcome by the deadline")
	}
	return &fault.Fault{
		Kind: fault.InDoubt, Code: fault.KeyInUse, Message: "a call with this key is in progress",
		Remedy: "ask again with the same key", RetryAfter: min(left, retryAfter),
	}
}

func reusedFault() *fault.Fault {
	return &fault.Fault{
		Kind: fault.NotRun, Code: fault.KeyReused, Message: "the key was used for a call with another body",
		Remedy: "use a new idempotency key for a new call, or send the first body again",
	}
}

func omittedFault() *fault.Fault {
	return &fault.Fault{
		Kind: fault.Failed, Code: fault.AnswerNotKept,
		Message: fmt.Sprintf("the call ran; its answer was longer than the %d bytes that are kept", MaxBodyBytes),
		Remedy:  "ask the service for the result; do not use a new idempotency key",
	}
}

func fullFault() *fault.Fault {
	return &fault.Fault{
		Kind: fault.NotRun, Code: fault.NoCapacity, Message: fmt.Sprintf("%d calls are in progress on this entry VM", maxCalls),
		Remedy: "come back later; the same idempotency key is safe", RetryAfter: retryAfter,
	}
}

func doubtFault(reason string) *fault.Fault {
	return &fault.Fault{
		Kind: fault.InDoubt, Code: fault.CallInDoubt, Message: "the service may have run the call: " + reason,
		Remedy: "find out from the service before using a new idempotency key",
	}
}

// decode reads a ledger row. One that cannot be read counts as a claim of an
// unknown owner, which nobody takes over.
func decode(row model.Row) Claim {
	var claim Claim
	if err := json.Unmarshal(row.Value, &claim); err != nil {
		return Claim{State: InDoubt, Message: "the ledger row is unreadable"}
	}
	return claim
}

// encode marshals a ledger row, which always marshals.
func encode(claim Claim) []byte {
	data, err := json.Marshal(claim)
	if err != nil {
		panic(err)
	}
	return data
}
