package controller

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/ingress"
	"tamarackreach/internal/model"
	"tamarackreach/internal/placement"
	"tamarackreach/platform"
)

const (
	// planInterval is the interval of planning.
	planInterval = 250 * time.Millisecond
	// settleTime is how long the number of targets must be unchanged before layers are
	// placed in an empty deployment: targets register within a heartbeat of each
	// other.
	settleTime = 1500 * time.Millisecond
	// confirmInterval is the interval at which the report of a target with a pending
	// order is read.
	confirmInterval = 500 * time.Millisecond
	// maxParallelOrders bounds the orders and report reads in flight.
	maxParallelOrders = 16
)

// unconfirmed is an order whose effect is not confirmed.
type unconfirmed struct {
	layers model.LayerRange
	// startedMs identifies the incarnation of the target, see fleet.Target.StartedMs.
	startedMs int64
	orderedAt model.Instant
	queriedAt model.Instant
}

// orders plans and sends orders on the holder of the placement lease.
type orders struct {
	reducer     *ingress.Reducer
	targets     *targetClient
	mu          sync.Mutex
	unconfirmed map[model.TargetID]*unconfirmed
	// plans is the planning state of each service.
	plans map[model.ServiceID]*servicePlan
}

// servicePlan is the planning state of one service. Shared between services, a change of one
// would keep the others from being planned.
type servicePlan struct {
	// stableMembers are the members for which the last plan had no order.
	stableMembers []placement.Member
	// targetCount is the number of targets, unchanged since countSince.
	targetCount int
	countSince  model.Instant
}

func newOrders(r *ingress.Reducer, targets *targetClient) *orders {
	return &orders{reducer: r, targets: targets, unconfirmed: map[model.TargetID]*unconfirmed{}, plans: map[model.ServiceID]*servicePlan{}}
}

// reset discards the state from an earlier lease.
func (o *orders) reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unconfirmed = map[model.TargetID]*unconfirmed{}
	o.plans = map[model.ServiceID]*servicePlan{}
}

func (o *orders) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.unconfirmed)
}

// run plans once for each service and sends the orders.
func (o *orders) run(ctx context.Context) {
	now := bootclock.Now()
	var services []director.Placeable
	o.reducer.Read(func(s *director.State) { services = s.Placeable(now) })
	for i := range services {
		plan := o.planOf(services[i].Service)
		if o.readyToPlan(now, plan, &services[i]) {
			o.place(ctx, now, plan, &services[i])
		}
	}
}

func (o *orders) planOf(id model.ServiceID) *servicePlan {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.plans[id] == nil {
		o.plans[id] = &servicePlan{}
	}
	return o.plans[id]
}

// readyToPlan reports whether a service may be planned. While no target holds layers,
// the number of targets must be unchanged for settleTime, or an order must be
// pending.
func (o *orders) readyToPlan(now model.Instant, plan *servicePlan, p *director.Placeable) bool {
	for _, t := range p.Targets {
		if t.Held.Len() > 0 {
			return true
		}
	}
	if len(p.Targets) != plan.targetCount {
		plan.targetCount, plan.countSince = len(p.Targets), now
	}
	return now.Sub(plan.countSince) >= settleTime || o.awaits(p)
}

// awaits reports whether an order to a target of a service is not confirmed.
func (o *orders) awaits(p *director.Placeable) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.ContainsFunc(p.Targets, func(t fleet.Target) bool { return o.unconfirmed[t.ID] != nil })
}

func (o *orders) place(ctx context.Context, now model.Instant, state *servicePlan, p *director.Placeable) {
	byID := make(map[model.TargetID]fleet.Target, len(p.Targets))
	var members []placement.Member
	var toConfirm []model.TargetID
	o.mu.Lock()
	for _, t := range p.Targets {
		byID[t.ID] = t
		m := placement.Member{ID: t.ID, Zone: t.Zone, Kind: t.Kind, Held: t.Held, Slowdown: p.Slowness[t.ID]}
		if pending := o.unconfirmed[t.ID]; pending != nil {
			if pending.startedMs != t.StartedMs || t.Held == pending.layers {
				delete(o.unconfirmed, t.ID)
			} else {
				m.Held, m.Fixed = pending.layers, true
				if now.Sub(pending.queriedAt) >= confirmInterval {
					pending.queriedAt = now
					toConfirm = append(toConfirm, t.ID)
				}
			}
		}
		members = append(members, m)
	}
	o.mu.Unlock()
	plan := state.plan(p.Engine, members)
	var wait sync.WaitGroup
	limit := make(chan struct{}, maxParallelOrders)
	start := func(f func()) {
		wait.Add(1)
		limit <- struct{}{}
		go func() {
			defer func() { <-limit; wait.Done() }()
			f()
		}()
	}
	for _, id := range toConfirm {
		start(func() { o.confirm(ctx, byID[id]) })
	}
	for _, order := range plan {
		start(func() { o.sendOrder(ctx, p.Engine, byID[order.Target], order.Layers, p.Interruptible) })
	}
	wait.Wait()
}

// plan returns the orders for the members. It returns none while the members equal
// those of a plan without orders.
func (s *servicePlan) plan(engine *fleet.Engine, members []placement.Member) []placement.Order {
	if slices.Equal(members, s.stableMembers) {
		return nil
	}
	started := time.Now()
	orders := placement.Plan(engine, members)
	if len(orders) == 0 {
		s.stableMembers = members
	} else {
		s.stableMembers = nil
		logrus.WithFields(logrus.Fields{
			"targets": len(members), "orders": len(orders), "took_ms": time.Since(started).Milliseconds(),
		}).Info("placement planned")
	}
	return orders
}

// sendOrder orders a target to hold layers. It first reads the target's report for
// the number of orders accepted so far, which the order carries as a precondition:
// the target rejects it when another order came in between. With interrupt, requests
// that use released layers are interrupted, since waiting for slow ones would delay
// the ordered layers; it is set only when all requests of the service may be repeated.
func (o *orders) sendOrder(ctx context.Context, engine *fleet.Engine, t fleet.Target, layers model.LayerRange, interrupt bool) {
	now := bootclock.Now()
	report, err := o.targets.report(ctx, t.Address)
	if err != nil {
		logrus.WithError(err).WithField("target", t.ID).Info("cannot read the target's report; order postponed")
		return
	}
	if report.Busy || report.Held != t.Held {
		if err := engine.CheckHeld(t.Kind, report.Held); err != nil {
			logrus.WithError(err).WithField("target", t.ID).Warn("the target's report states layers that it cannot hold; order postponed")
			report.Held = model.LayerRange{}
		}
		// Its registration is stale, or it is executing an order of an earlier lease holder.
		o.track(t, &unconfirmed{layers: report.Held, startedMs: t.StartedMs, orderedAt: now, queriedAt: now})
		return
	}
	o.track(t, &unconfirmed{layers: layers, startedMs: t.StartedMs, orderedAt: now, queriedAt: now})
	body, err := platform.EncodePlacementOrder(platform.PlacementOrder{Layers: layers, AfterOrders: report.Orders, Interrupt: interrupt})
	if err != nil {
		logrus.WithError(err).Error("cannot encode the order")
		return
	}
	status, err := o.targets.order(ctx, t.Address, body)
	entry := logrus.WithFields(logrus.Fields{
		"target": t.ID, "address": t.Address, "layers": layers.String(), "held": t.Held.String(),
		"after": report.Orders, "interrupt": interrupt, "status": status,
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("order sent")
}

func (o *orders) track(t fleet.Target, pending *unconfirmed) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unconfirmed[t.ID] = pending
}

// confirm reads a target's report and removes its pending order when the target is
// not busy and either holds the ordered layers or the order has timed out.
func (o *orders) confirm(ctx context.Context, t fleet.Target) {
	report, err := o.targets.report(ctx, t.Address)
	if err != nil {
		logrus.WithError(err).WithField("target", t.ID).Info("cannot read the target's report; order not confirmed")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	pending := o.unconfirmed[t.ID]
	if pending == nil {
		return
	}
	if !report.Busy && (report.Held == pending.layers || bootclock.Now().Sub(pending.orderedAt) > orderTimeout) {
		delete(o.unconfirmed, t.ID)
	}
}

// orderTimeout is how long an order without effect stays pending: targets may
// execute an order late.
const orderTimeout = 2 * time.Second
