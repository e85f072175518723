// Package admission refuses at once what cannot make its first-token deadline
// or would push accepted requests over the token pace, and says when to come
// back. The last free slots of a pipeline go to the workspaces that are under
// their weighted fair part. Nothing waits here: a request is run or refused.
package admission

import (
	"time"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/model"
)

const (
	// TokenPace is the longest expected time between tokens of an accepted
	// request, unless its chain needs longer even when nothing else runs.
	TokenPace = 49 * time.Millisecond
	// reserveFrom is the fullness from which on only workspaces under their
	// fair part get slots.
	reserveFrom = 0.92
)

// Reason says why a request was refused.
type Reason uint8

// The reasons for a refusal.
const (
	// Deadline means that the first token would come too late.
	Deadline Reason = iota + 1
	// Pace means that accepted requests would get their tokens too slowly.
	Pace
	// FairPart means that the workspace has its part of a full pipeline.
	FairPart
)

// Refusal says why a request is refused and when it may come back.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Ask is what admission needs to know of a request and its chain.
type Ask struct {
	Pipeline  model.PipelineID
	Workspace model.WorkspaceID
	// Share is the workspace's quota on the pipeline.
	Share uint32
	// Priority multiplies the workspace's part under overload.
	Priority uint32
	// Within is how long the caller waits for the first token.
	Within time.Duration
	// FirstToken, PerToken and IdlePerToken are the expected times of the chain.
	FirstToken   time.Duration
	PerToken     time.Duration
	IdlePerToken time.Duration
	// Fullness is the part of this node's slots in use on the fullest target.
	Fullness float64
}

// Gates holds the admission state of every pipeline.
type Gates struct {
	gates map[model.PipelineID]*gate
}

// New returns gates with nothing in progress.
func New() *Gates { return &Gates{gates: make(map[model.PipelineID]*gate)} }

func (g *Gates) of(id model.PipelineID) *gate {
	found, ok := g.gates[id]
	if !ok {
		found = newGate()
		g.gates[id] = found
	}
	return found
}

// Admit judges a request; the refusal is nil when it may run. A request that
// may run must be reported with Started.
func (g *Gates) Admit(c *decision.Context, ask Ask) *Refusal {
	gate := g.of(ask.Pipeline)
	reason := gate.judge(c.Now, ask)
	if reason == 0 {
		return nil
	}
	gate.refused.add(c.Now)
	retryAfter := gate.drain(c.Now)
	if reason == Deadline {
		retryAfter = max(retryAfter, ask.FirstToken-ask.Within)
	} else {
		gate.constrain(c.Now, ask)
	}
	return &Refusal{Reason: reason, RetryAfter: c.Jitter(retryAfter)}
}

// Started counts a request that was admitted.
func (g *Gates) Started(pipeline model.PipelineID, workspace model.WorkspaceID) {
	g.of(pipeline).held[workspace]++
}

// Ended counts the end of a request that was started.
func (g *Gates) Ended(now model.Instant, pipeline model.PipelineID, workspace model.WorkspaceID) {
	gate := g.of(pipeline)
	if gate.held[workspace] <= 1 {
		delete(gate.held, workspace)
	} else {
		gate.held[workspace]--
	}
	gate.ended.add(now)
}
