// Package keeper keeps a VM's view of the store fresh, shares load with other
// VMs and, on the VM that holds the duty, orders layers onto targets.
package keeper

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
	"tamarackreach/internal/duty"
	"tamarackreach/internal/front"
	"tamarackreach/internal/model"
	"tamarackreach/internal/upstream"
	"tamarackreach/platform"
)

const (
	// ownTable holds the project's rows: the VMs and who holds which duty.
	ownTable = "tamarackreach"
	vmPrefix = "vm/"
	dutyKey  = "duty/placement"
	// pollsPerBound is how often the store is read within the shortest bound, so
	// that one read may fail.
	pollsPerBound = 3
	// callTimeout bounds a call to the store: twice the slowest answers that a
	// store in trouble was seen to give.
	callTimeout = time.Second
	// probeInterval is how often targets under suspicion are looked at; the
	// reducer bounds how often each is asked.
	probeInterval = 250 * time.Millisecond
	// ownInterval is how often a zone's lead reads the project's rows; the duty is
	// renewed then.
	ownInterval = duty.Renew
	// followInterval is how often other VMs read them: they need only the list of
	// VMs.
	followInterval = 5 * time.Second
)

// Keeper runs the loops of a VM besides its requests.
type Keeper struct {
	settings *platform.Settings
	// interval is how often the store is read, in nanoseconds.
	interval atomic.Int64
	store    *platform.Store
	reducer  *front.Reducer
	targets  *targetClient
	peers    *peers
	orders   *orders
	// registered is true once the VM's own row is written.
	registered bool
	// renewed is when the last successful write of the duty's row began.
	renewed atomic.Int64
	// ownRead is when the project's rows were last read.
	ownRead model.Instant
	view    *view
	// lastTargets are the registrations of the last read.
	lastTargets director.TargetsRead
}

// New returns a keeper.
func New(s *platform.Settings, r *front.Reducer) *Keeper {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return upstream.Dialer{}.Dial(ctx, address)
		},
		MaxIdleConnsPerHost: 4, // one for each loop that reads or writes
		DisableCompression:  true,
	}
	k := &Keeper{
		settings: s, store: platform.NewStore(s.StoreAddress, transport), reducer: r, targets: newTargetClient(),
	}
	k.view = &view{}
	k.setInterval(s.Bounds)
	k.peers = newPeers(s, r, k.view)
	k.orders = newOrders(r, k.targets)
	return k
}

// Run keeps the view fresh until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	if err := k.peers.listen(ctx); err != nil {
		return err
	}
	go every(ctx, k.pollInterval, func() { k.followConfig(ctx) })
	go every(ctx, k.pollInterval, func() { k.followTargets(ctx) })
	go every(ctx, always(ownInterval), func() { k.readOwn(ctx) })
	go every(ctx, always(orderInterval), func() { k.placeLayers(ctx) })
	go every(ctx, always(probeInterval), k.probe)
	go k.peers.run(ctx)
	<-ctx.Done()
	return nil
}

// Apply puts changed settings in force: the address of the store and the bounds.
func (k *Keeper) Apply(s *platform.Settings) {
	if k.store.SetAddress(s.StoreAddress) {
		k.view.forget() // versions of rows are a store's own
	}
	k.setInterval(s.Bounds)
}

func (k *Keeper) setInterval(b platform.Bounds) {
	interval := min(b.ConfigApply, b.Drain) / pollsPerBound
	k.interval.Store(int64(interval))
	k.view.setInterval(interval)
}

func (k *Keeper) pollInterval() time.Duration { return time.Duration(k.interval.Load()) }

func always(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// every calls f at once and then at an interval, which may change, never twice
// at a time.
func every(ctx context.Context, interval func() time.Duration, f func()) {
	current := interval()
	ticker := time.NewTicker(current)
	defer ticker.Stop()
	for {
		f()
		if next := interval(); next != current {
			current = next
			ticker.Reset(current)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// followConfig confirms the configuration with the zone's lead, or reads it.
func (k *Keeper) followConfig(ctx context.Context) {
	if seen, asked, ok := k.peers.askLead(ctx); ok && k.view.sameConfig(seen) {
		// What the lead read is as old as it says, counted from the question: a VM
		// that was suspended since then sees its full age.
		k.reducer.Step(director.ConfigRead{Started: asked.Add(-seen.configAge())})
		return
	}
	k.readConfig(ctx)
}

func (k *Keeper) readConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	store, started := k.view.reading(), bootclock.Now()
	row, err := k.store.Config(ctx)
	if err != nil {
		k.storeFailed(err)
		return
	}
	if row.Version == 0 {
		return
	}
	if k.view.confirmConfig(row.Version, started) {
		k.reducer.Step(director.ConfigRead{Started: started})
		return
	}
	config, err := platform.DecodeConfig(row.Value)
	if err != nil {
		logrus.WithError(err).WithField("row", row.Version).Error("configuration not usable")
		return
	}
	k.reducer.Step(director.ConfigRead{Config: config, Started: started})
	k.view.replaceConfig(store, row.Version, started)
}

func (k *Keeper) storeFailed(err error) {
	logrus.WithError(err).Debug("store call failed")
	k.reducer.Step(director.StoreFailed{})
}

// followTargets takes the registrations for read again when the zone's lead saw
// the same ones, or reads them.
func (k *Keeper) followTargets(ctx context.Context) {
	if seen, _, ok := k.peers.askLead(ctx); ok && k.view.sameTargets(seen) {
		k.reducer.Step(k.lastTargets)
		return
	}
	k.readTargets(ctx)
}

func (k *Keeper) readTargets(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	store, started := k.view.reading(), bootclock.Now()
	snapshot, err := k.store.Targets(ctx)
	if err != nil {
		k.storeFailed(err)
		return
	}
	read := director.TargetsRead{Rows: make(map[model.TargetID]model.RowVersion, len(snapshot.Rows))}
	for _, row := range snapshot.Rows {
		target, err := platform.DecodeTarget(row)
		if err != nil {
			logrus.WithError(err).Debug("registration passed over")
			continue
		}
		read.Targets = append(read.Targets, target)
		read.Rows[target.ID] = row.Version
	}
	k.reducer.Step(read)
	k.lastTargets = read
	k.view.replaceTargets(store, snapshot.Rows, started)
}

// vmRecord is what a VM says of itself in the store.
type vmRecord struct {
	Zone        model.AvailabilityZone `json:"zone"`
	PeerAddress string                 `json:"peer_address"`
}

// readOwn reads the project's rows, registers this VM and renews or takes the
// duty.
func (k *Keeper) readOwn(ctx context.Context) {
	now := bootclock.Now()
	if k.registered && !k.peers.leads(now) && !k.holdsDuty(now) && now.Sub(k.ownRead) < followInterval {
		return
	}
	k.ownRead = now
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	started := bootclock.Now()
	snapshot, err := k.store.Table(ctx, ownTable)
	if err != nil {
		k.storeFailed(err)
		return
	}
	var dutyRow model.Row
	var own model.Row
	vms := map[model.NodeID]vmRecord{}
	for _, row := range snapshot.Rows {
		if row.Key == dutyKey {
			dutyRow = row
			continue
		}
		name, found := strings.CutPrefix(row.Key, vmPrefix)
		if !found {
			continue
		}
		var record vmRecord
		if err := json.Unmarshal(row.Value, &record); err != nil {
			logrus.WithError(err).WithField("row", row.Key).Warn("VM record passed over")
			continue
		}
		vms[model.NodeID(name)] = record
		if model.NodeID(name) == k.settings.VM {
			own = row
		}
	}
	k.peers.set(vms)
	k.reducer.Step(director.VMsKnown{Count: len(vms)})
	k.register(ctx, own)
	k.keepDuty(ctx, dutyRow, snapshot.Clock, started)
}

func (k *Keeper) register(ctx context.Context, row model.Row) {
	if k.registered {
		return
	}
	value, err := json.Marshal(vmRecord{Zone: k.settings.Zone, PeerAddress: k.peers.address()})
	if err != nil {
		logrus.WithError(err).Error("VM record not encoded")
		return
	}
	if string(value) == string(row.Value) {
		k.registered = true
		return
	}
	_, err = k.store.Put(ctx, ownTable, model.Row{Key: vmPrefix + string(k.settings.VM), Value: value, Version: row.Version})
	if err != nil {
		logrus.WithError(err).Info("VM not registered yet")
		return
	}
	k.registered = true
}

// keepDuty takes or renews the duty when it is due. The row and the store's clock
// come from a read that began at started.
//
// Invariant: a term counts from before the store read its clock, so that a holder
// gives up before its record expires, however slow the store is.
func (k *Keeper) keepDuty(ctx context.Context, row model.Row, clock time.Duration, started model.Instant) {
	action, record := duty.Decide(k.settings.VM, row, clock)
	if action == duty.Wait {
		return
	}
	value, err := json.Marshal(record)
	if err != nil {
		logrus.WithError(err).Error("duty record not encoded")
		return
	}
	held := k.holdsDuty(bootclock.Now())
	_, err = k.store.Put(ctx, ownTable, model.Row{Key: dutyKey, Value: value, Version: row.Version})
	switch {
	case errors.Is(err, platform.ErrChanged):
		logrus.Info("another VM took the placement duty")
	case err != nil:
		logrus.WithError(err).Info("placement duty not renewed")
	default:
		k.renewed.Store(int64(started))
		if !held {
			logrus.WithField("until_ms", record.UntilMs).Info("placement duty taken")
			k.orders.forget()
		}
	}
}

// probe asks targets under suspicion for their reports.
func (k *Keeper) probe() {
	now := bootclock.Now()
	for _, effect := range k.reducer.Step(director.ProbeDue{All: k.holdsDuty(now), Lead: k.peers.leads(now)}) {
		if ask, ok := effect.(*director.AskReport); ok {
			go k.AskReport(ask)
		}
	}
}

// HoldsDuty reports whether this VM places layers.
func (k *Keeper) HoldsDuty() bool { return k.holdsDuty(bootclock.Now()) }

// OpenOrders is the number of orders whose effect was not seen yet.
func (k *Keeper) OpenOrders() int { return k.orders.count() }

func (k *Keeper) holdsDuty(now model.Instant) bool {
	return duty.Held(model.Instant(k.renewed.Load()), now)
}

// placeLayers plans and orders layers while this VM holds the duty.
func (k *Keeper) placeLayers(ctx context.Context) {
	if !k.holdsDuty(bootclock.Now()) {
		return
	}
	k.orders.run(ctx)
}

// AskReport reads a target's report and tells the reducer.
func (k *Keeper) AskReport(ask *director.AskReport) {
	report, err := k.targets.report(context.Background(), ask.Address)
	if err != nil {
		logrus.WithError(err).WithField("target", ask.Target).Info("no report")
	}
	k.reducer.Step(director.ReportRead{Target: ask.Target, Report: report})
}
