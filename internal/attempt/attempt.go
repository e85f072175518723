// Package attempt follows one model request token by token. It accepts a token
// only if its receipts join up to the whole model, once and in order, under the
// current attempt and version; every other frame is dropped and counted.
package attempt

import (
	"slices"

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
	// Redialled is true when the stream was silent and collected anew.
	Redialled bool
	// Replacements counts the attempts after the first.
	Replacements int
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
)

// Next returns the index of the token that the caller waits for.
func (r *Request) Next() model.TokenIndex { return model.TokenIndex(len(r.Tokens)) }

// Take judges a token frame and, if it is accepted, appends its token.
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
	if !r.whole(ev.Receipts) {
		return BadReceipts
	}
	r.Tokens = append(r.Tokens, ev.Text)
	return Accepted
}

// whole is true when the receipts are those of the chain and join up to every
// layer of the model, once and in order, under the request's version.
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
		if receipt.Layers.First != next || receipt.Layers.End <= next {
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
	r.Redialled = false
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

// Uses is true when the current chain runs on the target.
func (r *Request) Uses(target model.TargetID) bool {
	return slices.ContainsFunc(r.Chain, func(hop model.Hop) bool { return hop.Target == target })
}

// Keep returns, by stage, the targets that still hold the request's state
// after the loss of one.
func (r *Request) Keep(lost model.TargetID) map[int]model.TargetID {
	keep := make(map[int]model.TargetID, len(r.Chain))
	for i := range r.Chain {
		if r.Chain[i].Target != lost {
			keep[i] = r.Chain[i].Target
		}
	}
	return keep
}

// MarkKept clears the rebuild flag of the targets that held the request's
// state in the chain before.
func (r *Request) MarkKept(chain []model.Hop) {
	for i := range chain {
		if i < len(r.Chain) && chain[i].Target == r.Chain[i].Target && chain[i].Incarnation == r.Chain[i].Incarnation {
			chain[i].Rebuild = false
		}
	}
}
