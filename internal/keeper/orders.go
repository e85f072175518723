package keeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/front"
	"tamarackreach/internal/model"
	"tamarackreach/internal/placement"
	"tamarackreach/platform"
)

const (
	// orderInterval is how often placement is planned.
	orderInterval = 250 * time.Millisecond
	// settleTime is how long the set of targets must be unchanged before an empty
	// deployment is laid out: targets register within a heartbeat of each other.
	settleTime = 1500 * time.Millisecond
	// confirmInterval is how often a target with an open order is asked for its
	// state.
	confirmInterval = 500 * time.Millisecond
	// maxParallelOrders bounds the orders and reports under way at once.
	maxParallelOrders = 16
)

// open is an order whose effect was not seen yet.
type open struct {
	layers  model.LayerRange
	born    int64
	ordered model.Instant
	asked   model.Instant
}

// orders carries out the plan of the duty's holder.
type orders struct {
	reducer *front.Reducer
	targets *targetClient
	mu      sync.Mutex
	open    map[model.TargetID]*open
	// planned are the members for which the last plan had no order.
	planned []placement.Member
	// known is the size of the set of targets, unchanged since since.
	known int
	since model.Instant
}

func newOrders(r *front.Reducer, targets *targetClient) *orders {
	return &orders{reducer: r, targets: targets, open: map[model.TargetID]*open{}}
}

// forget drops what an earlier term of the duty knew.
func (o *orders) forget() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open = map[model.TargetID]*open{}
	o.known, o.since, o.planned = 0, 0, nil
}

func (o *orders) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.open)
}

// run plans once and carries out what is due.
func (o *orders) run(ctx context.Context) {
	now := bootclock.Now()
	var services []director.Placeable
	o.reducer.Read(func(s *director.State) { services = s.Placeable(now) })
	for i := range services {
		if !o.settled(now, &services[i]) {
			continue
		}
		o.place(ctx, now, &services[i])
	}
}

// settled is false while an empty deployment is still growing.
func (o *orders) settled(now model.Instant, p *director.Placeable) bool {
	for _, t := range p.Targets {
		if t.Held.Len() > 0 {
			return true
		}
	}
	if len(p.Targets) != o.known {
		o.known, o.since = len(p.Targets), now
	}
	return now.Sub(o.since) >= settleTime || len(o.open) > 0
}

func (o *orders) place(ctx context.Context, now model.Instant, p *director.Placeable) {
	byID := make(map[model.TargetID]fleet.Target, len(p.Targets))
	var members []placement.Member
	var ask []model.TargetID
	o.mu.Lock()
	for _, t := range p.Targets {
		byID[t.ID] = t
		m := placement.Member{ID: t.ID, Zone: t.Zone, Kind: t.Kind, Held: t.Held, Pace: p.Slowness[t.ID]}
		if pending := o.open[t.ID]; pending != nil {
			if pending.born != t.Born || t.Held == pending.layers {
				delete(o.open, t.ID)
			} else {
				m.Held, m.Fixed = pending.layers, true
				if now.Sub(pending.asked) >= confirmInterval {
					pending.asked = now
					ask = append(ask, t.ID)
				}
			}
		}
		members = append(members, m)
	}
	o.mu.Unlock()
	plan := o.plan(p.Engine, members)
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
	for _, id := range ask {
		start(func() { o.confirm(ctx, byID[id]) })
	}
	for _, order := range plan {
		start(func() { o.give(ctx, byID[order.Target], order.Layers, p.Interruptible) })
	}
	wait.Wait()
}

// plan returns the orders that are due. A plan is made again only when its
// members have changed.
func (o *orders) plan(engine *fleet.Engine, members []placement.Member) []placement.Order {
	if slices.Equal(members, o.planned) {
		return nil
	}
	started := time.Now()
	orders := placement.Plan(engine, members)
	if len(orders) == 0 {
		o.planned = members
	} else {
		o.planned = nil
		logrus.WithFields(logrus.Fields{
			"targets": len(members), "orders": len(orders), "took_ms": time.Since(started).Milliseconds(),
		}).Info("placement planned")
	}
	return orders
}

// give orders a target to hold layers. Its own report comes first: it says how
// many orders the target has accepted, and an order is given on condition that
// no other came between. Where requests may go on elsewhere, those that pass
// through layers that are given up are interrupted: waiting for slow ones would
// keep the layers that the order is meant for away for as long.
func (o *orders) give(ctx context.Context, t fleet.Target, layers model.LayerRange, interrupt bool) {
	now := bootclock.Now()
	report, err := o.targets.report(ctx, t.Address)
	if err != nil {
		logrus.WithError(err).WithField("target", t.ID).Info("no report; order put off")
		return
	}
	if report.Busy || report.Held != t.Held {
		// Its row lags behind, or it carries out an order of an earlier holder.
		o.track(t, &open{layers: report.Held, born: t.Born, ordered: now, asked: now})
		return
	}
	o.track(t, &open{layers: layers, born: t.Born, ordered: now, asked: now})
	body, err := platform.EncodePlace(platform.Place{Layers: layers, AfterOrders: report.Orders, Interrupt: interrupt})
	if err != nil {
		logrus.WithError(err).Error("order not encoded")
		return
	}
	status, err := o.targets.order(ctx, t.Address, body)
	line := logrus.WithFields(logrus.Fields{
		"target": t.ID, "address": t.Address, "layers": layers.String(), "held": t.Held.String(),
		"after": report.Orders, "interrupt": interrupt, "status": status,
	})
	if err != nil {
		line = line.WithError(err)
	}
	line.Info("order given")
}

func (o *orders) track(t fleet.Target, pending *open) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open[t.ID] = pending
}

// confirm asks a target for its state and closes its open order when it holds
// the layers, or when it is not busy and holds others.
func (o *orders) confirm(ctx context.Context, t fleet.Target) {
	report, err := o.targets.report(ctx, t.Address)
	if err != nil {
		logrus.WithError(err).WithField("target", t.ID).Info("order not confirmed")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	pending := o.open[t.ID]
	if pending == nil {
		return
	}
	if !report.Busy && (report.Held == pending.layers || bootclock.Now().Sub(pending.ordered) > unansweredTime) {
		delete(o.open, t.ID)
	}
}

// unansweredTime is how long an order that shows no effect stays open: targets
// may carry out an order late.
const unansweredTime = 2 * time.Second
