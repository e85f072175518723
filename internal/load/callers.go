package load

import (
	"context"
	"time"

	"connectrpc.com/connect"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/callerapi"
	"tamarackreach/internal/deployment"
	"tamarackreach/internal/load/audit"
	"tamarackreach/internal/model"
	"tamarackreach/internal/rpc"
)

const (
	// answerTimeout is the caller's timeout for a whole answer.
	answerTimeout = 20 * time.Second
	// callTimeout is the caller's timeout for one attempt of a call.
	callTimeout = 5 * time.Second
	// callAttempts is the maximum number of attempts with the same idempotency
	// key when an attempt ends without a typed refusal.
	callAttempts = 3
)

// generate sends one model request and records its answer.
func (d *Driver) generate(ctx context.Context, workspace model.WorkspaceID, prompt string, tokens uint32) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	entry := d.balancer.pick()
	a := audit.Answer{Entry: entry, Prompt: prompt, MaxTokens: tokens, Sent: d.observed.now()}
	stream, err := d.callerClient(entry).Generate(ctx, withToken(&tamarackv1.GenerateRequest{
		Model: string(deployment.ModelName), Prompt: prompt, MaxTokens: tokens, PrefixKey: string(workspace),
	}, d.deployment.Workspaces[workspace]))
	if err == nil {
		for stream.Receive() {
			a.Tokens = append(a.Tokens, tokenOf(stream.Msg(), d.observed.now()))
		}
		a.Request = model.RequestID(stream.ResponseHeader().Get(callerapi.RequestIDHeader))
		err = stream.Err()
		_ = stream.Close()
	}
	a.Ended = d.observed.now()
	a.Outcome, a.Code = outcomeOf(err)
	a.CutAllowed = d.balancer.wasDisrupted(entry)
	if a.Outcome == audit.Cut {
		a.Error = err.Error()
		// The entry VM receives the caller's deadline and may time out first.
		if ctx.Err() != nil || connect.CodeOf(err) == connect.CodeDeadlineExceeded {
			a.Outcome = audit.GaveUp
		}
	}
	d.observed.addAnswer(a)
}

func tokenOf(message *tamarackv1.GenerateResponse, at time.Duration) audit.Token {
	token := audit.Token{
		Index: model.TokenIndex(message.Index), Attempt: model.AttemptNumber(message.Attempt),
		At: at, Text: message.Text, Last: message.Last,
	}
	for _, receipt := range message.Receipts {
		token.Receipts = append(token.Receipts, model.Receipt{
			Target:  model.TargetID(receipt.TargetId),
			Layers:  model.LayerRange{First: receipt.Layers.GetFirst(), End: receipt.Layers.GetEnd()},
			Version: model.ModelVersion(receipt.Version),
		})
	}
	return token
}

// outcomeOf maps an error to the outcome that the caller may conclude from it.
// An error without a typed refusal is audit.Cut.
func outcomeOf(err error) (outcome audit.Outcome, code string) {
	if err == nil {
		return audit.Complete, ""
	}
	refusal, ok := rpc.FaultOf(err)
	if !ok {
		return audit.Cut, ""
	}
	switch refusal.Kind {
	case tamarackv1.FaultKind_FAULT_KIND_NOT_RUN:
		return audit.RefusedNotRun, refusal.Code
	case tamarackv1.FaultKind_FAULT_KIND_FAILED:
		return audit.RefusedFailed, refusal.Code
	case tamarackv1.FaultKind_FAULT_KIND_IN_DOUBT:
		return audit.RefusedInDoubt, refusal.Code
	}
	return audit.Cut, refusal.Code
}

// callAtMostOnce makes one call that must run at most once. An attempt that
// ends without a typed refusal is retried with the same idempotency key through
// the next ready entry VM.
func (d *Driver) callAtMostOnce(ctx context.Context, workspace model.WorkspaceID, key string) {
	call := audit.Call{Workspace: workspace, Key: model.IdempotencyKey(key), Sent: d.observed.now()}
	cut := false
	for range callAttempts {
		call.Outcome, call.Code = d.tryCall(ctx, workspace, key)
		if call.Outcome != audit.Cut {
			break
		}
		cut = true
	}
	if cut && call.Outcome == audit.RefusedNotRun {
		// The refusal covers only the last attempt; an earlier one may have run.
		call.Outcome = audit.RefusedInDoubt
	}
	call.Ended = d.observed.now()
	d.observed.addCall(call)
}

func (d *Driver) tryCall(ctx context.Context, workspace model.WorkspaceID, key string) (outcome audit.Outcome, code string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := d.callerClient(d.balancer.pick()).Call(ctx, withToken(&tamarackv1.CallRequest{
		Service: string(deployment.ServiceName), Method: "connect", Body: []byte(key), IdempotencyKey: key,
	}, d.deployment.Workspaces[workspace]))
	return outcomeOf(err)
}
