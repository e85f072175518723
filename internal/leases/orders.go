package leases

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/settings"
	"tamarackreach/internal/targets"
	"tamarackreach/internal/timer"
)

const (
	// reconcileInterval is the time between two comparisons of what targets
	// hold with the settings in force.
	reconcileInterval = time.Second
	// longestOrder is how long an order may take from sending to its answer.
	longestOrder = 10 * time.Second
	// sendMargin is what must be left of a lease for an order to be sent.
	sendMargin = 500 * time.Millisecond
	// idleBeforeOrder is how long a target must show no work before it gets an
	// order, so that requests of the version before run to their end.
	idleBeforeOrder = 2 * time.Second
	// longestDrain is when a target gets its order although it shows work.
	longestDrain = 30 * time.Second
	// loadBurst is the time whose worth of layers may be ordered at once.
	loadBurst = 5 * time.Second
)

// Orders keeps the targets of a pipeline at what the settings in force say, as
// long as this node holds the pipeline's lease. An order states the whole
// desired state, so that repeating one is harmless.
type Orders struct {
	node   model.NodeID
	leases *Table
	// layersPerS is the part of the weight store's rate that this node may
	// use for one pipeline.
	layersPerS float64
	sequence   uint64
	pending    map[model.TargetID]pendingOrder
	mismatches map[model.TargetID]*mismatch
	budgets    map[model.PipelineID]*budget
}

// mismatch is a target that holds something else than the settings say.
type mismatch struct {
	since    model.Instant
	lastBusy model.Instant
}

type pendingOrder struct {
	id    string
	until model.Instant
}

type budget struct {
	layers float64
	filled model.Instant
}

// NewOrders returns orders over the leases of a node.
func NewOrders(node model.NodeID, table *Table, layersPerS float64) *Orders {
	return &Orders{
		node:       node,
		leases:     table,
		layersPerS: layersPerS,
		pending:    make(map[model.TargetID]pendingOrder),
		mismatches: make(map[model.TargetID]*mismatch),
		budgets:    make(map[model.PipelineID]*budget),
	}
}

// Reconcile sends the orders that are due for a pipeline and sets the next
// comparison.
func (o *Orders) Reconcile(c *decision.Context, id model.PipelineID, view *settings.View, table *targets.Table) {
	pipeline, ok := view.Pipeline(id)
	if !ok {
		return
	}
	c.After(timer.OrderRetry, string(id), reconcileInterval)
	left, fencing := o.leases.HeldFor(c.Now, id)
	if left <= sendMargin {
		return
	}
	for _, stage := range pipeline.Stages {
		o.reconcileStage(c, stageOrder{
			pipelineID: id, pipeline: pipeline, stage: stage, fencing: fencing,
			validUntil: c.Now.Add(left - sendMargin), view: view,
		}, table)
	}
}

// stageOrder is what the orders for one stage have in common.
type stageOrder struct {
	pipelineID model.PipelineID
	pipeline   *settings.Pipeline
	stage      settings.Stage
	fencing    model.FencingNumber
	validUntil model.Instant
	view       *settings.View
}

func (s *stageOrder) holds(t *targets.Target) bool {
	return t.Model == s.pipeline.Model && t.Version == s.pipeline.Version && t.Layers == s.stage.Layers
}

// reconcileStage orders one target of a stage at a time as long as another
// serves it, so that a change of version leaves capacity in place.
func (o *Orders) reconcileStage(c *decision.Context, s stageOrder, table *targets.Table) {
	serving := 0
	ordered := 0
	var wrong []*targets.Target
	for _, id := range slices.Sorted(slices.Values(s.stage.Targets)) {
		target, ok := table.Get(id)
		if !ok || !target.Usable() {
			continue
		}
		switch {
		case s.holds(target):
			serving++
			delete(o.pending, id)
			delete(o.mismatches, id)
		case o.isPending(c.Now, id):
			ordered++
		case o.drained(c.Now, target):
			wrong = append(wrong, target)
		}
	}
	for _, target := range wrong {
		if serving > 0 && ordered > 0 {
			return
		}
		if o.order(c, &s, target) {
			ordered++
		}
	}
}

// drained is true when a target that holds something else may get its order.
// Nothing new is routed to it, so that it runs empty.
func (o *Orders) drained(now model.Instant, target *targets.Target) bool {
	m, ok := o.mismatches[target.ID]
	if !ok {
		m = &mismatch{since: now, lastBusy: now}
		o.mismatches[target.ID] = m
	}
	if target.Running > 0 || target.Queued > 0 || target.InFlight > 0 {
		m.lastBusy = now
	}
	return now.Sub(m.lastBusy) >= idleBeforeOrder || now.Sub(m.since) >= longestDrain
}

func (o *Orders) isPending(now model.Instant, id model.TargetID) bool {
	pending, ok := o.pending[id]
	return ok && now < pending.until
}

// order sends an order to a target, unless the target ignores fencing numbers
// and an order of the holder before may still be on its way to it.
func (o *Orders) order(c *decision.Context, s *stageOrder, target *targets.Target) bool {
	checks := s.view.Target(target.ID).ChecksFencing
	if !checks && c.Now < o.leases.HeldSince(s.pipelineID).Add(longestOrder) && s.fencing > 1 {
		return false
	}
	if !o.take(c.Now, s.pipelineID, float64(s.stage.Layers.Len())) {
		return false
	}
	o.sequence++
	id := fmt.Sprintf("%s/%d/%d", o.node, s.fencing, o.sequence)
	o.pending[target.ID] = pendingOrder{id: id, until: c.Now.Add(longestOrder)}
	c.Emit(event.SendOrder{
		Target:     target.ID,
		Address:    target.Address,
		Order:      id,
		Pipeline:   s.pipelineID,
		Fencing:    s.fencing,
		Model:      s.pipeline.Model,
		Version:    s.pipeline.Version,
		Layers:     s.stage.Layers,
		Node:       o.node,
		ValidUntil: s.validUntil,
		Within:     longestOrder,
	})
	return true
}

// take uses the weight store's rate; it is false when the layers must wait.
func (o *Orders) take(now model.Instant, id model.PipelineID, layers float64) bool {
	limit := max(o.layersPerS*loadBurst.Seconds(), layers)
	b, ok := o.budgets[id]
	if !ok {
		b = &budget{layers: limit, filled: now}
		o.budgets[id] = b
	}
	b.layers = min(limit, b.layers+o.layersPerS*now.Sub(b.filled).Seconds())
	b.filled = now
	if b.layers < layers {
		return false
	}
	b.layers -= layers
	return true
}

// Answered takes in a target's answer. An accepted order stays pending until
// the target reports what it holds; a refused one may be sent again at once.
func (o *Orders) Answered(c *decision.Context, ev event.OrderAnswered) {
	pending, ok := o.pending[ev.Target]
	if !ok || pending.id != ev.Order {
		return
	}
	if ev.Accepted {
		return
	}
	o.pending[ev.Target] = pendingOrder{id: ev.Order, until: c.Now.Add(reconcileInterval)}
}

// Forget drops what belongs to targets that no pipeline names any more.
func (o *Orders) Forget(known func(model.TargetID) bool) {
	maps.DeleteFunc(o.pending, func(id model.TargetID, _ pendingOrder) bool { return !known(id) })
	maps.DeleteFunc(o.mismatches, func(id model.TargetID, _ *mismatch) bool { return !known(id) })
}
