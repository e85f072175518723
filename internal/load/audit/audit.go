// Package audit checks the promises of a deployment from outside: it compares
// what callers received with the logs of the engines and services.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/model"
)

// Promise is the name of a guarantee that a violation breaks.
type Promise string

// The promises that are checked.
const (
	// WholeAnswer: every caller gets the complete and correct answer or a typed
	// refusal.
	WholeAnswer Promise = "whole answer"
	// LayersOnce: every layer runs exactly once for each token, in order.
	LayersOnce Promise = "layers once"
	// NotRun: a request or call that was refused as not run did not run.
	NotRun Promise = "not run"
	// AtMostOnce: a call of an at-most-once method runs at most once.
	AtMostOnce Promise = "at most once"
	// LeavingTarget: a target that announced that it is leaving receives no new
	// requests.
	LeavingTarget Promise = "leaving target"
	// SettingsInForce: an accepted settings change comes into force on every
	// entry VM, and of conflicting changes at most one is accepted.
	SettingsInForce Promise = "settings in force"
)

// Violation is one broken promise.
type Violation struct {
	Promise Promise `json:"promise"`
	Detail  string  `json:"detail"`
}

// String formats the violation as one line.
func (v Violation) String() string { return string(v.Promise) + ": " + v.Detail }

// Token is one token that a caller received.
type Token struct {
	Index    model.TokenIndex
	Attempt  model.AttemptNumber
	At       time.Duration
	Text     string
	Last     bool
	Receipts []model.Receipt
}

// Outcome is how a request or call ended for its caller.
type Outcome string

// The outcomes.
const (
	// Complete means the whole answer arrived.
	Complete Outcome = "complete"
	// RefusedNotRun means a typed refusal that guarantees that nothing ran.
	RefusedNotRun Outcome = "not run"
	// RefusedFailed means a final typed refusal of something that ran.
	RefusedFailed Outcome = "failed"
	// RefusedInDoubt means a typed refusal that leaves open whether it ran.
	RefusedInDoubt Outcome = "in doubt"
	// Cut means the connection to the entry VM ended without a complete answer
	// and without a typed refusal.
	Cut Outcome = "cut"
	// GaveUp means the caller's own timeout expired.
	GaveUp Outcome = "gave up"
)

// Answer is what a caller observed of a model request. Times are offsets from
// the start of the run.
type Answer struct {
	Request   model.RequestID
	Entry     int
	Prompt    string
	MaxTokens uint32
	Sent      time.Duration
	Ended     time.Duration
	Tokens    []Token
	Outcome   Outcome
	Code      string
	// CutAllowed is true when the run itself killed or froze the entry VM.
	CutAllowed bool
	Error      string
}

// Call is what a caller observed of an at-most-once call, over all attempts.
type Call struct {
	Workspace model.WorkspaceID
	Key       model.IdempotencyKey
	Sent      time.Duration
	Ended     time.Duration
	Outcome   Outcome
	Code      string
}

// maxTokenGap is how long a request in flight may go without a token or a
// refusal.
const maxTokenGap = 5 * time.Second

// Model describes a correct answer: its version, number of layers and text.
type Model struct {
	Version model.ModelVersion
	Layers  uint32
	// Text returns the correct token at an index of the answer to a prompt.
	Text func(prompt string, index model.TokenIndex) string
}

// CheckAnswers checks the answers by themselves, without the logs of engines.
func CheckAnswers(m Model, answers []Answer) []Violation {
	var found []Violation
	for i := range answers {
		found = append(found, checkAnswer(m, &answers[i])...)
	}
	return found
}

func checkAnswer(m Model, a *Answer) []Violation {
	var found []Violation
	for i, token := range a.Tokens {
		want := m.Text(a.Prompt, model.TokenIndex(i))
		if int(token.Index) != i || token.Text != want {
			found = append(found, Violation{WholeAnswer, fmt.Sprintf("%s: token %d is %d %q, want %q", a.Request, i, token.Index, token.Text, want)})
		}
		found = append(found, checkReceipts(m, a, token)...)
	}
	if a.Outcome == Complete && len(a.Tokens) != int(a.MaxTokens) {
		found = append(found, Violation{WholeAnswer, fmt.Sprintf("%s ended after %d of %d tokens without a refusal", a.Request, len(a.Tokens), a.MaxTokens)})
	}
	if a.Outcome == RefusedNotRun && len(a.Tokens) > 0 {
		found = append(found, Violation{NotRun, fmt.Sprintf("%s was refused as not run after %d tokens", a.Request, len(a.Tokens))})
	}
	if a.Outcome == GaveUp && !a.CutAllowed && a.Ended-a.lastReceived() > maxTokenGap {
		found = append(found, Violation{WholeAnswer, fmt.Sprintf("%s on entry VM %d was held without a token from %s until its caller gave up at %s", a.Request, a.Entry, a.lastReceived(), a.Ended)})
	}
	if a.Outcome == Cut && !a.CutAllowed {
		found = append(found, Violation{WholeAnswer, fmt.Sprintf("%s on entry VM %d had no typed refusal: %s", a.Request, a.Entry, a.Error)})
	}
	return found
}

// lastReceived returns the time of the last token, or, without tokens, the time
// at which the request was sent.
func (a *Answer) lastReceived() time.Duration {
	if len(a.Tokens) == 0 {
		return a.Sent
	}
	return a.Tokens[len(a.Tokens)-1].At
}

func checkReceipts(m Model, a *Answer, token Token) []Violation {
	layer := uint32(0)
	for _, receipt := range token.Receipts {
		if receipt.Layers.First != layer || receipt.Version != m.Version {
			return []Violation{{LayersOnce, fmt.Sprintf("%s: token %d: receipt %+v does not join up at layer %d", a.Request, token.Index, receipt, layer)}}
		}
		layer = receipt.Layers.End
	}
	if layer != m.Layers {
		return []Violation{{LayersOnce, fmt.Sprintf("%s: token %d ran %d of %d layers", a.Request, token.Index, layer, m.Layers)}}
	}
	return nil
}

// stepKey identifies the steps of one attempt for one token.
type stepKey struct {
	request model.RequestID
	attempt model.AttemptNumber
	index   model.TokenIndex
}

// CheckEngines compares every delivered token with the steps that engines
// logged: the targets of the receipts ran exactly those layers, once, and no
// other target ran a step for that attempt and index.
func CheckEngines(answers []Answer, steps []*tamarackv1.EngineStep) []Violation {
	ran := make(map[stepKey][]model.Receipt)
	seen := make(map[model.RequestID]bool)
	for _, step := range steps {
		seen[model.RequestID(step.RequestId)] = true
		if step.RebuiltLayers > 0 {
			continue
		}
		key := stepKey{model.RequestID(step.RequestId), model.AttemptNumber(step.Attempt), model.TokenIndex(step.Index)}
		ran[key] = append(ran[key], receiptOf(step))
	}
	var found []Violation
	for i := range answers {
		a := &answers[i]
		if a.Outcome == RefusedNotRun && seen[a.Request] {
			found = append(found, Violation{NotRun, fmt.Sprintf("%s was refused as not run, but engines ran it", a.Request)})
		}
		for _, token := range a.Tokens {
			found = append(found, compareSteps(a, token, ran[stepKey{a.Request, token.Attempt, token.Index}])...)
		}
	}
	return found
}

func receiptOf(step *tamarackv1.EngineStep) model.Receipt {
	return model.Receipt{
		Target:  model.TargetID(step.TargetId),
		Layers:  model.LayerRange{First: step.Layers.GetFirst(), End: step.Layers.GetEnd()},
		Version: model.ModelVersion(step.Version),
	}
}

func compareSteps(a *Answer, token Token, ran []model.Receipt) []Violation {
	slices.SortFunc(ran, func(x, y model.Receipt) int { return cmp.Compare(x.Layers.First, y.Layers.First) })
	if slices.Equal(ran, token.Receipts) {
		return nil
	}
	return []Violation{{LayersOnce, fmt.Sprintf("%s attempt %d token %d: receipts %v, engines ran %v", a.Request, token.Attempt, token.Index, token.Receipts, ran)}}
}

// CheckServices compares the outcomes of calls at their callers with the number
// of times that services ran them.
func CheckServices(calls []Call, logged []*tamarackv1.ServiceCall) []Violation {
	type callKey struct{ workspace, key string }
	ran := make(map[callKey]uint32)
	for _, call := range logged {
		ran[callKey{call.Workspace, call.IdempotencyKey}] += call.Runs
	}
	var found []Violation
	for _, call := range logged {
		key := callKey{call.Workspace, call.IdempotencyKey}
		if ran[key] > 1 {
			found = append(found, Violation{AtMostOnce, fmt.Sprintf("call %v ran %d times", key, ran[key])})
			ran[key] = 1
		}
	}
	for _, call := range calls {
		runs := ran[callKey{string(call.Workspace), string(call.Key)}]
		switch {
		case call.Outcome == Complete && runs != 1:
			found = append(found, Violation{AtMostOnce, fmt.Sprintf("call %s/%s was answered but ran %d times", call.Workspace, call.Key, runs)})
		case call.Outcome == RefusedNotRun && runs != 0:
			found = append(found, Violation{NotRun, fmt.Sprintf("call %s/%s was refused as not run but ran", call.Workspace, call.Key)})
		case call.Outcome == Cut:
			found = append(found, Violation{WholeAnswer, fmt.Sprintf("call %s/%s had no typed refusal", call.Workspace, call.Key)})
		}
	}
	return found
}
