// Package quota limits what each workspace uses of each pipeline. A quota is
// split into shares over the entry VMs, so that their sum never exceeds it.
package quota

import (
	"time"

	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
)

// burst is how much unused quota may be saved up.
const burst = 2 * time.Second

type key struct {
	workspace model.WorkspaceID
	pipeline  model.PipelineID
}

type bucket struct {
	tokens float64
	filled model.Instant
}

// Shares holds this node's share of each quota as a token bucket.
type Shares struct {
	buckets map[key]*bucket
}

// New returns shares with full buckets.
func New() *Shares { return &Shares{buckets: make(map[key]*bucket)} }

// Take uses tokens of this node's share, given in tokens/s; if they are not
// there it returns how long it takes until they are.
func (s *Shares) Take(now model.Instant, workspace model.WorkspaceID, pipeline model.PipelineID, share float64, tokens uint32) (wait time.Duration, ok bool) {
	if share <= 0 {
		return burst, false
	}
	limit := share * burst.Seconds()
	id := key{workspace: workspace, pipeline: pipeline}
	b, known := s.buckets[id]
	if !known {
		b = &bucket{tokens: limit, filled: now}
		s.buckets[id] = b
	}
	b.tokens = min(limit, b.tokens+share*now.Sub(b.filled).Seconds())
	b.filled = now
	need := min(float64(tokens), limit)
	if b.tokens < need {
		return time.Duration((need - b.tokens) / share * float64(time.Second)), false
	}
	b.tokens -= float64(tokens)
	return 0, true
}

// Notes returns this node's shares and demand, for peers.
func (s *Shares) Notes(_ model.Instant) []event.QuotaNote { return nil }

// Heard takes in a peer's shares and demand.
func (s *Shares) Heard(_ model.Instant, _ model.NodeID, _ []event.QuotaNote) {}
