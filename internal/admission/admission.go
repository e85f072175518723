// Package admission refuses requests that would miss their first-token deadline
// or would slow accepted requests beyond MaxTimePerToken, and states a retry
// delay. The last free slots of a pipeline go to the workspaces below their
// weighted fair share. There is no queue: a request is admitted or refused at once.
package admission

import (
	"time"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/model"
)

const (
	// MaxTimePerToken is the longest expected time between tokens of an accepted
	// request, unless its chain is slower than that even when idle.
	MaxTimePerToken = 49 * time.Millisecond
	// reserveThreshold is the fraction of slots in use from which on only
	// workspaces below their fair share are admitted.
	reserveThreshold = 0.92
)

// Reason is the cause of a refusal.
type Reason uint8

// The reasons for a refusal.
const (
	// Deadline means that the first token is expected after its deadline.
	Deadline Reason = iota + 1
	// Saturated means that no slot is free or the time per token would be too long.
	Saturated
	// FairShare means that the pipeline is nearly full and the workspace already
	// has its fair share of it.
	FairShare
)

// Refusal is the cause of a refusal and the delay before a retry.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// RequestInfo describes a request and its chain to the admission check.
type RequestInfo struct {
	Pipeline  model.PipelineID
	Workspace model.WorkspaceID
	// Share is the workspace's quota on the pipeline, in tokens per second.
	Share uint32
	// Priority scales the workspace's weight under overload: Share * (1 + Priority).
	Priority uint32
	// Within is how long the caller waits for the first token.
	Within time.Duration
	// FirstToken, PerToken and IdlePerToken are the expected times of the chain:
	// to the first token, between tokens, and between tokens when it is idle.
	FirstToken   time.Duration
	PerToken     time.Duration
	IdlePerToken time.Duration
	// Utilisation is the fraction of this node's slots in use on the most utilised
	// target.
	Utilisation float64
}

// Controller holds the admission state of all pipelines.
type Controller struct {
	pipelines map[model.PipelineID]*pipelineState
}

// New returns the state with no request in progress.
func New() *Controller { return &Controller{pipelines: make(map[model.PipelineID]*pipelineState)} }

func (g *Controller) stateOf(id model.PipelineID) *pipelineState {
	found, ok := g.pipelines[id]
	if !ok {
		found = newPipelineState()
		g.pipelines[id] = found
	}
	return found
}

// Admit returns nil if the request may run, else the refusal. The caller reports
// an admitted request with CountStarted.
func (g *Controller) Admit(c *decision.Context, request RequestInfo) *Refusal {
	state := g.stateOf(request.Pipeline)
	reason := state.check(c.Now, request)
	if reason == 0 {
		return nil
	}
	state.refused.add(c.Now)
	retryAfter := state.expectedWait(c.Now)
	if reason == Deadline {
		retryAfter = max(retryAfter, request.FirstToken-request.Within)
	} else {
		state.markBacklogged(c.Now, request)
	}
	return &Refusal{Reason: reason, RetryAfter: c.Jitter(retryAfter)}
}

// CountStarted records that an admitted request is in progress.
func (g *Controller) CountStarted(pipeline model.PipelineID, workspace model.WorkspaceID) {
	g.stateOf(pipeline).inFlight[workspace]++
}

// CountEnded records the end of a request that CountStarted recorded.
func (g *Controller) CountEnded(now model.Instant, pipeline model.PipelineID, workspace model.WorkspaceID) {
	state := g.stateOf(pipeline)
	if state.inFlight[workspace] <= 1 {
		delete(state.inFlight, workspace)
	} else {
		state.inFlight[workspace]--
	}
	state.ended.add(now)
}
