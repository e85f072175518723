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
)

const (
	// capacityRetryAfter is the retry delay when capacity is missing.
	capacityRetryAfter = time.Second
	// defaultMaxTokens is the longest answer, in tokens, if the caller states
	// none.
	defaultMaxTokens = 64
	// maxTokensLimit is the longest answer, in tokens, that a caller may request.
	maxTokensLimit = 4096
)

func (s *State) requestArrived(c *decision.Context, ev event.RequestArrived) {
	request, refusal := s.admit(c, ev)
	if refusal != nil {
		s.counters.RequestsRefused++
		c.Emit(event.RefuseRequest{Request: ev.Request, Fault: *refusal})
		return
	}
	s.counters.RequestsAdmitted++
	s.admissionControl.CountStarted(request.Pipeline, request.Workspace)
	s.requests[ev.Request] = request
}

// admit runs the checks on a request, cheapest first, and starts its first
// attempt.
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
	return request, s.startFirst(c, request, pipeline, ev.FirstTokenWithin, workspace)
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
	if ev.Prompt == "" || ev.MaxTokens > maxTokensLimit {
		return nil, &fault.Fault{
			Kind: fault.NotRun, Code: fault.BadRequest,
			Message: fmt.Sprintf("prompt is empty or max_tokens %d is over %d", ev.MaxTokens, maxTokensLimit),
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
	quota := workspace.SharesTokensPerS[request.Pipeline]
	wait, ok := s.quotas.Take(c.Now, request.Workspace, request.Pipeline, quota, request.MaxTokens)
	if ok {
		return nil
	}
	return &fault.Fault{
		Kind: fault.NotRun, Code: fault.QuotaExceeded,
		Message: fmt.Sprintf("workspace %s is over its share of pipeline %s", request.Workspace, request.Pipeline),
		Remedy:  "come back later, or ask the team for a larger share", RetryAfter: c.Jitter(wait),
	}
}

func (s *State) startFirst(c *decision.Context, request *attempt.Request, pipeline *settings.Pipeline, within time.Duration, workspace *settings.Workspace) *fault.Fault {
	if within <= 0 {
		within = workspace.FirstTokenLimit()
	}
	request.FirstTokenBy = c.Now.Add(within)
	chain, ok := routing.Pick(s.targets, s.route(c, request, pipeline))
	if !ok {
		return capacityFault(fault.NotRun)
	}
	if refusal := s.admissionControl.Admit(c, admissionRequest(request, workspace, &chain, within)); refusal != nil {
		return admissionFault(refusal, &chain, within)
	}
	s.startOrHold(c, request, chain.Hops, false)
	return nil
}

// admissionRequest describes a request and its chain for admission.
func admissionRequest(request *attempt.Request, workspace *settings.Workspace, chain *routing.Chain, within time.Duration) admission.RequestInfo {
	return admission.RequestInfo{
		Pipeline:     request.Pipeline,
		Workspace:    request.Workspace,
		Share:        workspace.SharesTokensPerS[request.Pipeline],
		Priority:     workspace.Priority,
		Within:       within,
		FirstToken:   chain.FirstToken,
		PerToken:     chain.PerToken,
		IdlePerToken: chain.IdlePerToken,
		Utilisation:  chain.Utilisation,
	}
}

func admissionFault(refusal *admission.Refusal, chain *routing.Chain, within time.Duration) *fault.Fault {
	f := &fault.Fault{
		Kind: fault.NotRun, Code: fault.Overloaded, Remedy: "come back after the stated time", RetryAfter: refusal.RetryAfter,
	}
	switch refusal.Reason {
	case admission.Deadline:
		f.Code = fault.DeadlineUnreachable
		f.Message = fmt.Sprintf("first token expected in %s, wanted in %s", chain.FirstToken, within)
		f.Remedy = "come back after the stated time or allow more time"
	case admission.Saturated:
		f.Message = fmt.Sprintf("no free slots; tokens would come every %s", chain.PerToken)
	case admission.FairShare:
		f.Message = "the pipeline is nearly full and the workspace has its part of it"
	}
	return f
}

// route describes a request and the rest of its answer for routing.
func (s *State) route(c *decision.Context, request *attempt.Request, pipeline *settings.Pipeline) *routing.Request {
	return &routing.Request{
		Pipeline:    pipeline,
		PrefixKey:   request.PrefixKey,
		PromptBytes: len(request.Prompt),
		Tokens:      request.MaxTokens - uint32(len(request.Tokens)),
		Zone:        s.config.Zone,
		Nodes:       s.config.EntryNodes,
		Rand:        c.Rand,
	}
}
