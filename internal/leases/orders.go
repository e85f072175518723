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
	// reconcileInterval is the time between two comparisons of the loaded state of
	// the targets with the settings in force.
	reconcileInterval = time.Second
	// orderTimeout is the longest time between sending an order and its response.
	orderTimeout = 10 * time.Second
	// minLeaseRemaining is the lease time that must remain for an order to be sent.
	// An order becomes invalid this long before the lease expires.
	minLeaseRemaining = 500 * time.Millisecond
	// idleBeforeOrder is how long a target must report no work before it is sent an
	// order, so that requests on the previous version can complete.
	idleBeforeOrder = 2 * time.Second
	// maxDrain is the time after which a target is sent its order although it still
	// reports work.
	maxDrain = 30 * time.Second
	// loadBurst is the burst size of the layer rate limit, as time at the full rate.
	loadBurst = 5 * time.Second
)

// Orders reconciles the targets of each pipeline with the settings in force while
// this node holds the pipeline's lease. An order states the complete desired state
// of a target and is therefore idempotent.
type Orders struct {
	node   model.NodeID
	leases *Table
	// layersPerS is the share of the weight store's rate, in layers per second, that
	// this node may use for one pipeline.
	layersPerS float64
	sequence   uint64
	pending    map[model.TargetID]pendingOrder
	mismatches map[model.TargetID]*mismatch
	buckets    map[model.PipelineID]*layerBucket
}

// mismatch is the drain state of a target whose model, version or layers differ
// from the settings.
type mismatch struct {
	startedAt  model.Instant
	lastBusyAt model.Instant
}

// pendingOrder is the latest order to a target that has not taken effect yet.
type pendingOrder struct {
	id        string
	expiresAt model.Instant
}

// layerBucket is a token bucket that limits the layers ordered for a pipeline.
type layerBucket struct {
	layers     float64
	refilledAt model.Instant
}

// NewOrders returns the orders of a node for the pipelines whose leases it holds.
// The rate layersPerS, in layers per second, applies to each pipeline.
func NewOrders(node model.NodeID, table *Table, layersPerS float64) *Orders {
	return &Orders{
		node:       node,
		leases:     table,
		layersPerS: layersPerS,
		pending:    make(map[model.TargetID]pendingOrder),
		mismatches: make(map[model.TargetID]*mismatch),
		buckets:    make(map[model.PipelineID]*layerBucket),
	}
}

// Reconcile sends the orders that are due for a pipeline and schedules the next
// comparison.
func (o *Orders) Reconcile(c *decision.Context, id model.PipelineID, view *settings.View, table *targets.Table) {
	pipeline, ok := view.Pipeline(id)
	if !ok {
		return
	}
	c.After(timer.OrderRetry, string(id), reconcileInterval)
	left, fencing := o.leases.HeldFor(c.Now, id)
	if left <= minLeaseRemaining {
		return
	}
	for _, stage := range pipeline.Stages {
		o.reconcileStage(c, stageOrder{
			pipelineID: id, pipeline: pipeline, stage: stage, fencing: fencing,
			validUntil: c.Now.Add(left - minLeaseRemaining), view: view,
		}, table)
	}
}

// stageOrder holds the parameters that all orders for one stage share.
type stageOrder struct {
	pipelineID model.PipelineID
	pipeline   *settings.Pipeline
	stage      settings.Stage
	fencing    model.FencingNumber
	validUntil model.Instant
	view       *settings.View
}

func (s *stageOrder) matches(t *targets.Target) bool {
	return t.Model == s.pipeline.Model && t.Version == s.pipeline.Version && t.Layers == s.stage.Layers
}

// reconcileStage sends orders to the mismatched targets of a stage. While another
// target serves the stage, it has only one order pending at a time, so that a version
// change preserves serving capacity.
func (o *Orders) reconcileStage(c *decision.Context, s stageOrder, table *targets.Table) {
	serving := 0
	pendingCount := 0
	var mismatched []*targets.Target
	for _, id := range slices.Sorted(slices.Values(s.stage.Targets)) {
		target, ok := table.Get(id)
		if !ok || !target.Usable() {
			continue
		}
		switch {
		case s.matches(target):
			serving++
			delete(o.pending, id)
			delete(o.mismatches, id)
		case o.isPending(c.Now, id):
			pendingCount++
		case o.drained(c.Now, target):
			mismatched = append(mismatched, target)
		}
	}
	for _, target := range mismatched {
		if serving > 0 && pendingCount > 0 {
			return
		}
		if o.sendOrder(c, &s, target) {
			pendingCount++
		}
	}
}

// drained reports whether a mismatched target may be sent its order: it has been
// idle for idleBeforeOrder, or has been draining for maxDrain. New requests are not
// routed to such a target.
func (o *Orders) drained(now model.Instant, target *targets.Target) bool {
	m, ok := o.mismatches[target.ID]
	if !ok {
		m = &mismatch{startedAt: now, lastBusyAt: now}
		o.mismatches[target.ID] = m
	}
	if target.Running > 0 || target.Queued > 0 || target.InFlight > 0 {
		m.lastBusyAt = now
	}
	return now.Sub(m.lastBusyAt) >= idleBeforeOrder || now.Sub(m.startedAt) >= maxDrain
}

func (o *Orders) isPending(now model.Instant, id model.TargetID) bool {
	pending, ok := o.pending[id]
	return ok && now < pending.expiresAt
}

// sendOrder sends an order to a target and reports whether it did. An order waits
// if the rate limit is exhausted, or if the target does not check fencing numbers
// and an order of the previous lease holder may still be in flight.
func (o *Orders) sendOrder(c *decision.Context, s *stageOrder, target *targets.Target) bool {
	checksFencing := s.view.Target(target.ID).ChecksFencing
	if !checksFencing && c.Now < o.leases.AcquiredAt(s.pipelineID).Add(orderTimeout) && s.fencing > 1 {
		return false
	}
	if !o.takeLayers(c.Now, s.pipelineID, float64(s.stage.Layers.Len())) {
		return false
	}
	o.sequence++
	id := fmt.Sprintf("%s/%d/%d", o.node, s.fencing, o.sequence)
	o.pending[target.ID] = pendingOrder{id: id, expiresAt: c.Now.Add(orderTimeout)}
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
		Within:     orderTimeout,
	})
	return true
}

// takeLayers takes the layers from the pipeline's bucket. It returns false if the
// bucket holds too few.
func (o *Orders) takeLayers(now model.Instant, id model.PipelineID, layers float64) bool {
	limit := max(o.layersPerS*loadBurst.Seconds(), layers)
	b, ok := o.buckets[id]
	if !ok {
		b = &layerBucket{layers: limit, refilledAt: now}
		o.buckets[id] = b
	}
	b.layers = min(limit, b.layers+o.layersPerS*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.layers < layers {
		return false
	}
	b.layers -= layers
	return true
}

// HandleAnswer handles a target's response to an order. An accepted order stays
// pending until the target reports the desired state or orderTimeout has passed; a
// refused one may be sent again after reconcileInterval.
func (o *Orders) HandleAnswer(c *decision.Context, ev event.OrderAnswered) {
	pending, ok := o.pending[ev.Target]
	if !ok || pending.id != ev.Order {
		return
	}
	if ev.Accepted {
		return
	}
	o.pending[ev.Target] = pendingOrder{id: ev.Order, expiresAt: c.Now.Add(reconcileInterval)}
}

// Prune discards the state of targets that no pipeline refers to any more.
func (o *Orders) Prune(known func(model.TargetID) bool) {
	maps.DeleteFunc(o.pending, func(id model.TargetID, _ pendingOrder) bool { return !known(id) })
	maps.DeleteFunc(o.mismatches, func(id model.TargetID, _ *mismatch) bool { return !known(id) })
}
