// Package attempt follows one model request token by token. It accepts a token
// only if its receipts join up to the whole model, once and in order, under the
// current attempt and version; every other frame is dropped and counted.
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
	// FirstTokenBy is when the caller stops waiting for the first token.
	FirstTokenBy model.Instant
	// Number is the current attempt; 0 before the first.
	Number model.AttemptNumber
	Chain  []model.Hop
	// Tokens were delivered to the caller.
	Tokens []string
	// LastFrame is when the current attempt was last heard of.
	LastFrame model.Instant
	// LastToken is when the current attempt began or gave its last token.
	LastToken model.Instant
	// Begun is when the current attempt began.
	Begun model.Instant
	// Collected is when the current stream was opened.
	Collected model.Instant
	// Redialled is true when the stream was silent and collected anew.
	Redialled bool
	// Pace is the expected time between two tokens of the chain.
	Pace time.Duration
	// Delivered counts the tokens accepted in the current attempt.
	Delivered int
	// Stalls counts the attempts in a row that gave no token in time.
	Stalls int
	// Refusals counts the attempts in a row that a target refused.
	Refusals int
	// Doubt is the target that may be lost; it is being checked.
	Doubt Doubt
	// Avoided are the targets that the request does not go back to.
	Avoided []model.TargetID
	// Held is true while the request waits to run isolated.
	Held bool
	// HeldUntil is when a held request is given up on.
	HeldUntil model.Instant
	// Isolated is true while the request runs away from other suspects.
	Isolated bool
	// Replacements counts the attempts after the first.
	Replacements int
}

// Doubt is a sign that a target of the chain may be lost.
type Doubt struct {
	Target model.TargetID
	// Direct is true when this node's own connection to the target broke.
	Direct bool
	// NotRun is true when the attempt surely did not run on the target.
	NotRun bool
}

// Verdict says what became of a token frame.
type Verdict uint8

// The verdicts on a token frame.
const (
	// Accepted means the token is the next of the answer.
	Accepted Verdict = iota
	// Stale means the frame belongs to an earlier attempt.
	Stale
	// Duplicate means the token was delivered before.
	Duplicate
	// OutOfOrder means a token before it is missing.
	OutOfOrder
	// BadReceipts means the receipts do not join up to the whole model.
	BadReceipts
	// Beyond means the token is past the length that the caller asked for.
	Beyond
)

// Next returns the index of the token that the caller waits for.
func (r *Request) Next() model.TokenIndex { return model.TokenIndex(len(r.Tokens)) }

// Take judges a token frame and, if it is accepted, appends its token. A frame
// of the current attempt that is not accepted only shows that the stream lives.
func (r *Request) Take(now model.Instant, ev *event.TokenArrived) Verdict {
	if ev.Attempt != r.Number {
		return Stale
	}
	r.LastFrame = now
	r.Redialled = false
	if ev.Index < r.Next() {
		return Duplicate
	}
	if ev.Index > r.Next() {
		return OutOfOrder
	}
	if uint32(ev.Index) >= r.MaxTokens {
		return Beyond
	}
	if !r.whole(ev.Receipts) {
		return BadReceipts
	}
	r.LastToken = now
	r.Delivered++
	r.Stalls = 0
	r.Refusals = 0
	r.Tokens = append(r.Tokens, ev.Text)
	return Accepted
}

// whole is true when the receipts are those of the chain, target by target and
// range by range, and join up to every layer of the model, once and in order,
// under the request's version. A target runs an attempt only in the incarnation
// that the chain names, so that the attempt number stands for the incarnations.
func (r *Request) whole(receipts []model.Receipt) bool {
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

// Begin starts the next attempt on a chain and returns the effect that opens it.
func (r *Request) Begin(now model.Instant, chain []model.Hop, fresh bool) event.OpenChain {
	r.Number++
	r.Chain = chain
	r.LastFrame = now
	r.LastToken = now
	r.Begun = now
	r.Collected = now
	r.Redialled = false
	r.Delivered = 0
	r.Held = false
	r.Doubt = Doubt{}
	return event.OpenChain{
		Request:         r.ID,
		Attempt:         r.Number,
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
