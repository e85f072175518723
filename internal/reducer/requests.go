package reducer

import (
	"fmt"
	"time"

	"tamarackreach/internal/admission"
	"tamarackreach/internal/attempt"
	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/fault"
	"tamarackreach/internal/model"
	"tamarackreach/internal/quarantine"
	"tamarackreach/internal/routing"
	"tamarackreach/internal/settings"
	"tamarackreach/internal/timer"
)

const (
	// silentAfter is how long a stream may have no frame.
	silentAfter = time.Second
	// maxReplacements is how often a request may go on with another chain.
	maxReplacements = 4
	// capacityRetryAfter tells callers when to come back for capacity.
	capacityRetryAfter = time.Second
	// defaultMaxTokens is the length of an answer when the caller states none.
	defaultMaxTokens = 64
	// maxMaxTokens is the longest answer that a caller may ask for.
	maxMaxTokens = 4096
)

func (s *State) requestArrived(c *decision.Context, ev event.RequestArrived) {
	request, refusal := s.admit(c, ev)
	if refusal != nil {
		s.counters.RequestsRefused++
		c.Emit(event.RefuseRequest{Request: ev.Request, Fault: *refusal})
		return
	}
	s.counters.RequestsAdmitted++
	s.requests[ev.Request] = request
}

// admit checks a request from the cheapest check to the dearest and opens its
// first chain.
func (s *State) admit(c *decision.Context, ev event.RequestArrived) (*attempt.Request, *fault.Fault) {
	if refusal := s.notReady(); refusal != nil {
		return nil, refusal
	}
	view := s.follower.View()
	workspaceID, workspace, ok := view.WorkspaceByKey(ev.WorkspaceKey)
	if !ok {
		return nil, badKeyFault()
	}
	pipelineID, pipeline, ok := view.PipelineFor(workspace, ev.Model)
	if !ok {
		return nil, &fault.Fault{
			Kind: fault.NotRun, Code: fault.UnknownModel,
			Message: fmt.Sprintf("workspace %s has no share of a pipeline of model %q", workspaceID, ev.Model),
			Remedy:  "name a model that the workspace has a share of",
		}
	}
	request, refusal := newRequest(ev, workspaceID, workspace, pipelineID, pipeline)
	if refusal != nil {
		return nil, refusal
	}
	if remaining := s.quarantine.Remaining(c.Now, request.Fingerprint); remaining > 0 {
		return nil, quarantinedFault(fault.NotRun, remaining)
	}
	if refusal := s.takeQuota(c, request, workspace); refusal != nil {
		return nil, refusal
	}
	return request, s.openFirst(c, request, pipeline, ev.FirstTokenWithin, workspace)
}

func (s *State) notReady() *fault.Fault {
	if s.follower.Ready() && !s.refusing {
		return nil
	}
	return &fault.Fault{
		Kind: fault.NotRun, Code: fault.NotReady, Message: "this node has no settings yet or is shutting down",
		Remedy: "send the request again; the balancer picks another node", RetryAfter: capacityRetryAfter,
	}
}

func newRequest(ev event.RequestArrived, workspaceID model.WorkspaceID, workspace *settings.Workspace, pipelineID model.PipelineID, pipeline *settings.Pipeline) (*attempt.Request, *fault.Fault) {
	if len(ev.Prompt) > int(pipeline.MaxPromptBytes) {
		return nil, &fault.Fault{
			Kind: fault.NotRun, Code: fault.PromptTooLong,
			Message: fmt.Sprintf("prompt has %d bytes of at most %d", len(ev.Prompt), pipeline.MaxPromptBytes),
			Remedy:  "shorten the prompt",
		}
	}
	if ev.Prompt == "" || ev.MaxTokens > maxMaxTokens {
		return nil, &fault.Fault{
			Kind: fault.NotRun, Code: fault.BadRequest,
			Message: fmt.Sprintf("prompt is empty or max_tokens %d is over %d", ev.MaxTokens, maxMaxTokens),
			Remedy:  "send a prompt and ask for fewer tokens",
		}
	}
	maxTokens := ev.MaxTokens
	if maxTokens == 0 {
		maxTokens = defaultMaxTokens
	}
	return &attempt.Request{
		ID:          ev.Request,
		Workspace:   workspaceID,
		Pipeline:    pipelineID,
		Model:       pipeline.Model,
		Version:     pipeline.Version,
		Layers:      pipeline.Stages[len(pipeline.Stages)-1].Layers.End,
		Prompt:      ev.Prompt,
		PrefixKey:   ev.PrefixKey,
		Fingerprint: quarantine.FingerprintOf(workspaceID, pipeline.Model, ev.Prompt),
		MaxTokens:   maxTokens,
		Priority:    workspace.Priority,
	}, nil
}

func (s *State) takeQuota(c *decision.Context, request *attempt.Request, workspace *settings.Workspace) *fault.Fault {
	share := float64(workspace.SharesTokensPerS[request.Pipeline]) / float64(max(s.config.EntryNodes, 1))
	wait, ok := s.quotas.Take(c.Now, request.Workspace, request.Pipeline, share, request.MaxTokens)
	if ok {
		return nil
	}
	return &fault.Fault{
		Kind: fault.NotRun, Code: fault.QuotaExceeded,
		Message: fmt.Sprintf("workspace %s is over its share of pipeline %s", request.Workspace, request.Pipeline),
		Remedy:  "come back later, or ask the team for a larger share", RetryAfter: wait,
	}
}

func (s *State) openFirst(c *decision.Context, request *attempt.Request, pipeline *settings.Pipeline, within time.Duration, workspace *settings.Workspace) *fault.Fault {
	if within <= 0 {
		within = workspace.FirstToken()
	}
	request.FirstTokenBy = c.Now.Add(within)
	chain, ok := routing.Pick(s.targets, &routing.Request{Pipeline: pipeline, PrefixKey: request.PrefixKey})
	if !ok {
		return capacityFault(fault.NotRun)
	}
	if retryAfter, ok := admission.Admit(chain.FirstToken, within); !ok {
		return &fault.Fault{
			Kind: fault.NotRun, Code: fault.DeadlineUnreachable,
			Message: fmt.Sprintf("first token expected in %s, wanted in %s", chain.FirstToken, within),
			Remedy:  "come back later or allow more time", RetryAfter: retryAfter,
		}
	}
	s.open(c, request, chain.Hops, false)
	return nil
}

// open starts the next attempt of a request.
func (s *State) open(c *decision.Context, request *attempt.Request, chain []model.Hop, fresh bool) {
	s.targets.Sent(chain)
	c.Emit(request.Begin(c.Now, chain, fresh))
	c.After(timer.StreamSilent, string(request.ID), silentAfter)
}

func (s *State) tokenArrived(c *decision.Context, ev *event.TokenArrived) {
	request, ok := s.requests[ev.Request]
	if !ok || request.Take(c.Now, ev) != attempt.Accepted {
		s.counters.FramesDropped++
		return
	}
	s.counters.TokensForwarded++
	c.Emit((*event.ForwardToken)(ev))
	if ev.Last {
		s.counters.RequestsCompleted++
		s.quarantine.Completed(request.Fingerprint)
		s.remove(c, request)
	}
}

func (s *State) streamHeartbeat(c *decision.Context, ev event.StreamHeartbeat) {
	if request, ok := s.requests[ev.Request]; ok && request.Number == ev.Attempt {
		request.LastFrame = c.Now
	}
}

// streamSilent collects a silent stream anew over a new connection; if that
// one is silent too, the last target is taken for lost.
func (s *State) streamSilent(c *decision.Context, id model.RequestID) {
	request, ok := s.requests[id]
	if !ok {
		return
	}
	if quiet := c.Now.Sub(request.LastFrame); quiet < silentAfter {
		c.After(timer.StreamSilent, string(id), silentAfter-quiet)
		return
	}
	last := request.Chain[len(request.Chain)-1]
	if request.Redialled {
		s.replace(c, request, last.Target)
		return
	}
	request.Redialled = true
	s.counters.StreamsRedialled++
	c.Emit(event.RetireConnections{Target: last.Target, Address: last.Address})
	c.Emit(event.RedialStream{Request: id, Attempt: request.Number, Last: last})
	c.After(timer.StreamSilent, string(id), silentAfter)
}

func (s *State) streamBroken(c *decision.Context, ev event.StreamBroken) {
	request, ok := s.requests[ev.Request]
	if !ok || request.Number != ev.Attempt {
		return
	}
	if ev.Lost != "" && !ev.Refused {
		s.quarantine.Crashed(c.Now, request.Fingerprint)
	}
	s.replace(c, request, ev.Lost)
}

// replace goes on after the loss of a target: its stage alone gets another.
func (s *State) replace(c *decision.Context, request *attempt.Request, lost model.TargetID) {
	s.targets.Ended(request.Chain)
	c.Emit(event.CancelChain{Request: request.ID, Attempt: request.Number, Chain: request.Chain})
	if remaining := s.quarantine.Remaining(c.Now, request.Fingerprint); remaining > 0 {
		s.fail(c, request, quarantinedFault(fault.Failed, remaining))
		return
	}
	request.Replacements++
	if request.Replacements > maxReplacements {
		s.fail(c, request, retriesFault())
		return
	}
	s.reopen(c, request, lost)
}

func (s *State) reopen(c *decision.Context, request *attempt.Request, lost model.TargetID) {
	pipeline, ok := s.follower.View().Pipeline(request.Pipeline)
	if !ok || pipeline.Version != request.Version {
		s.fail(c, request, capacityFault(fault.Failed))
		return
	}
	want := &routing.Request{Pipeline: pipeline, PrefixKey: request.PrefixKey}
	if lost != "" {
		want.Avoid = map[model.TargetID]bool{lost: true}
	}
	if pipeline.Recovery == settings.RecoverStage {
		want.Keep = request.Keep(lost)
	}
	chain, ok := routing.Pick(s.targets, want)
	if !ok {
		want.Keep = nil
		chain, ok = routing.Pick(s.targets, want)
	}
	if !ok {
		s.fail(c, request, capacityFault(fault.Failed))
		return
	}
	request.MarkKept(chain.Hops)
	s.counters.StagesReplaced++
	s.open(c, request, chain.Hops, true)
}

// retryDue goes on with a request that waited for its next chain.
func (s *State) retryDue(c *decision.Context, id model.RequestID) {
	if request, ok := s.requests[id]; ok {
		s.reopen(c, request, "")
	}
}

func (s *State) callerGone(c *decision.Context, ev event.CallerGone) {
	request, ok := s.requests[ev.Request]
	if !ok {
		return
	}
	c.Emit(event.CancelChain{Request: request.ID, Attempt: request.Number, Chain: request.Chain})
	s.remove(c, request)
}

// fail ends a request that cannot go on. Its first tokens may have been
// delivered, so that the answer is final.
func (s *State) fail(c *decision.Context, request *attempt.Request, refusal *fault.Fault) {
	s.counters.RequestsFailed++
	s.remove(c, request)
	c.Emit(event.RefuseRequest{Request: request.ID, Fault: *refusal})
}

func (s *State) remove(c *decision.Context, request *attempt.Request) {
	s.targets.Ended(request.Chain)
	delete(s.requests, request.ID)
	c.Stop(timer.StreamSilent, string(request.ID))
	c.Stop(timer.RetryRequest, string(request.ID))
}
