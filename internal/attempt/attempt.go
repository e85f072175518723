// Package attempt holds the state of one model request across its attempts. Each
// token carries receipts that state which target ran which layers, and under which
// model version. A token is accepted only if it belongs to the current attempt and
// its receipts cover all layers of the model, once and in order, under the version
// of the request; every other frame is discarded and counted.
package attempt

import (
	"time"

	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
)

// Request is a model request in progress.
type Request struct {
	ID          model.RequestID
	Workspace   model.WorkspaceID
	Pipeline    model.PipelineID
	Model       model.ModelName
	Version     model.ModelVersion
	Layers      uint32
	Prompt      string
	PrefixKey   string
	Fingerprint model.Fingerprint
	MaxTokens   uint32
	Priority    uint32
	// FirstTokenBy is the caller's deadline for the first token.
	FirstTokenBy model.Instant
	// CurrentAttempt is the number of the current attempt; 0 before the first.
	CurrentAttempt model.AttemptNumber
	Chain          []model.Hop
	// Tokens are the tokens delivered to the caller.
	Tokens []string
	// LastFrameAt is when the last frame of the current attempt arrived.
	LastFrameAt model.Instant
	// LastTokenAt is when the last token of the current attempt was accepted, or
	// when the attempt began.
	LastTokenAt model.Instant
	// StartedAt is when the current attempt began.
	StartedAt model.Instant
	// StreamOpenedAt is when the current token stream was opened.
	StreamOpenedAt model.Instant
	// StreamReopened is true when the stream was silent and was reopened on a new
	// connection, from which no frame has arrived yet.
	StreamReopened bool
	// TokenInterval is the expected inter-token time of the chain.
	TokenInterval time.Duration
	// AttemptTokens counts the tokens accepted in the current attempt.
	AttemptTokens int
	// Stalls counts the consecutive attempts that stalled without a token.
	Stalls int
	// Refusals counts the consecutive attempts that a target refused.
	Refusals int
	// Suspicion names a target that is being checked; it is zero if there is none.
	Suspicion Suspicion
	// Avoided are the targets that further attempts do not use.
	Avoided []model.TargetID
	// Held is true while the request waits to run in isolation.
	Held bool
	// HeldUntil is when a held request fails if it still cannot run in isolation.
	HeldUntil model.Instant
	// Isolated is true while the request runs on targets without other suspected
	// requests.
	Isolated bool
	// Replacements counts the attempts after the first.
	Replacements int
}

// Suspicion is a suspicion that a target of the chain has failed.
type Suspicion struct {
	Target model.TargetID
	// OwnConnection is true when this node's own connection to the target broke.
	OwnConnection bool
	// NotRun is true when the attempt is known not to have run on the target.
	NotRun bool
	// Refused is true when the target refused the attempt.
	Refused bool
}

// Verdict is the result of checking a token frame.
type Verdict uint8

// The verdicts on a token frame.
const (
	// Accepted means the token is the next one of the answer.
	Accepted Verdict = iota
	// Stale means the frame belongs to an earlier attempt.
	Stale
	// Duplicate means the token was delivered before.
	Duplicate
	// OutOfOrder means an earlier token is missing.
	OutOfOrder
	// BadReceipts means the receipts do not match the chain or do not cover all
	// layers of the model.
	BadReceipts
	// PastLimit means the token exceeds the answer length that the caller asked
	// for.
	PastLimit
)

// Next returns the index of the next token to deliver.
func (r *Request) Next() model.TokenIndex { return model.TokenIndex(len(r.Tokens)) }

// AcceptFrame checks a token frame and appends its token if the frame is
// accepted. A frame of the current attempt that is not accepted only counts as a
// sign that the stream is alive.
func (r *Request) AcceptFrame(now model.Instant, ev *event.TokenArrived) Verdict {
	if ev.Attempt != r.CurrentAttempt {
		return Stale
	}
	r.LastFrameAt = now
	r.StreamReopened = false
	if ev.Index < r.Next() {
		return Duplicate
	}
	if ev.Index > r.Next() {
		return OutOfOrder
	}
	if uint32(ev.Index) >= r.MaxTokens {
		return PastLimit
	}
	if !r.receiptsMatch(ev.Receipts) {
		return BadReceipts
	}
	r.LastTokenAt = now
	r.AttemptTokens++
	r.Stalls = 0
	r.Refusals = 0
	r.Tokens = append(r.Tokens, ev.Text)
	return Accepted
}

// receiptsMatch reports whether the receipts match the hops of the chain in
// target and layer range, and cover every layer of the model, once and in order,
// under the version of the request. The receipts need no incarnations: a target
// runs an attempt only in the incarnation that the chain names, so the attempt
// number determines them.
func (r *Request) receiptsMatch(receipts []model.Receipt) bool {
	if len(receipts) != len(r.Chain) {
		return false
	}
	next := uint32(0)
	for i := range receipts {
		receipt := &receipts[i]
		if receipt.Target != r.Chain[i].Target || receipt.Version != r.Version {
			return false
		}
		if receipt.Layers != r.Chain[i].Layers || receipt.Layers.First != next || receipt.Layers.End <= next {
			return false
		}
		next = receipt.Layers.End
	}
	return next == r.Layers
}

// Begin starts the next attempt on a chain and returns the effect that opens it. If
// fresh is true, the effect asks for new connections to the targets.
func (r *Request) Begin(now model.Instant, chain []model.Hop, fresh bool) event.OpenChain {
	r.CurrentAttempt++
	r.Chain = chain
	r.LastFrameAt = now
	r.LastTokenAt = now
	r.StartedAt = now
	r.StreamOpenedAt = now
	r.StreamReopened = false
	r.AttemptTokens = 0
	r.Held = false
	r.Suspicion = Suspicion{}
	return event.OpenChain{
		Request:         r.ID,
		Attempt:         r.CurrentAttempt,
		Model:           r.Model,
		Version:         r.Version,
		Prompt:          r.Prompt,
		PrefixKey:       r.PrefixKey,
		Tokens:          r.Tokens,
		MaxTokens:       r.MaxTokens,
		Priority:        r.Priority,
		Chain:           chain,
		FreshConnection: fresh,
	}
}
