// Package keeper runs a VM's background loops: it polls the store, exchanges load
// and failures with other VMs and, while the VM holds the placement lease, sends
// placement orders to targets.
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
	// coordinationTable is the router's own table: VM registrations and the placement
	// lease.
	coordinationTable = "tamarackreach"
	vmPrefix          = "vm/"
	leaseKey          = "duty/placement"
	// pollsPerBound is the number of polls of the store within the shortest time bound
	// of the settings, so that one poll may fail.
	pollsPerBound = 3
	// callTimeout bounds a call to the store: twice the slowest response time of a
	// degraded store.
	callTimeout = time.Second
	// probeInterval is the interval of the probe loop; the reducer limits how often
	// each target is probed.
	probeInterval = 250 * time.Millisecond
	// coordinationInterval is the interval at which the lease holder and the leader of
	// a zone read the coordination table; the lease is renewed then.
	coordinationInterval = duty.RenewInterval
	// followerInterval is the interval at which other VMs read it: they need only the
	// list of VMs.
	followerInterval = 5 * time.Second
)

// Keeper runs the background loops of a VM.
type Keeper struct {
	settings *platform.Settings
	// interval is the poll interval of the store, in nanoseconds.
	interval atomic.Int64
	store    *platform.Store
	reducer  *front.Reducer
	targets  *targetClient
	peers    *peers
	orders   *orders
	// registered is true once the VM's own row is written.
	registered bool
	// renewedAt is when the read that preceded the last successful write of the lease
	// row began.
	renewedAt atomic.Int64
	// coordinationReadAt is when the coordination table was last read.
	coordinationReadAt model.Instant
	view               *view
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

// Run runs the loops until the context ends. It returns an error when the peer
// address cannot be bound.
func (k *Keeper) Run(ctx context.Context) error {
	if err := k.peers.listen(ctx); err != nil {
		return err
	}
	go every(ctx, k.pollInterval, func() { k.refreshConfig(ctx) })
	go every(ctx, k.pollInterval, func() { k.refreshTargets(ctx) })
	go every(ctx, constant(coordinationInterval), func() { k.coordinate(ctx) })
	go every(ctx, constant(planInterval), func() { k.placeLayers(ctx) })
	go every(ctx, constant(probeInterval), k.probe)
	go k.peers.run(ctx)
	<-ctx.Done()
	return nil
}

// Apply applies changed settings: the store's address and the time bounds.
func (k *Keeper) Apply(s *platform.Settings) {
	if k.store.SetAddress(s.StoreAddress) {
		k.view.reset() // row versions are specific to a store
	}
	k.setInterval(s.Bounds)
}

func (k *Keeper) setInterval(b platform.Bounds) {
	interval := min(b.ConfigApply, b.Drain) / pollsPerBound
	k.interval.Store(int64(interval))
	k.view.setInterval(interval)
}

func (k *Keeper) pollInterval() time.Duration { return time.Duration(k.interval.Load()) }

func constant(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// every calls f immediately and then at an interval, which may change. Calls never
// overlap.
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

// refreshConfig confirms the configuration with the zone leader, or reads it from
// the store.
func (k *Keeper) refreshConfig(ctx context.Context) {
	if reported, queriedAt, ok := k.peers.queryLeader(ctx); ok && k.view.sameConfig(reported) {
		// The reported age is counted back from the query, so that a VM suspended since
		// then computes the full age.
		k.reducer.Step(director.ConfigRead{Started: queriedAt.Add(-reported.configAge())})
		return
	}
	k.readConfig(ctx)
}

func (k *Keeper) readConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	store, started := k.view.storeGeneration(), bootclock.Now()
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

// refreshTargets treats the known registrations as read again when the zone leader
// has the same ones, or reads them from the store.
func (k *Keeper) refreshTargets(ctx context.Context) {
	if reported, _, ok := k.peers.queryLeader(ctx); ok && k.view.sameTargets(reported) {
		k.reducer.Step(k.lastTargets)
		return
	}
	k.readTargets(ctx)
}

func (k *Keeper) readTargets(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	store, started := k.view.storeGeneration(), bootclock.Now()
	snapshot, err := k.store.Targets(ctx)
	if err != nil {
		k.storeFailed(err)
		return
	}
	read := director.TargetsRead{Rows: make(map[model.TargetID]model.RowVersion, len(snapshot.Rows))}
	for _, row := range snapshot.Rows {
		target, err := platform.DecodeTarget(row)
		if err != nil {
			logrus.WithError(err).Debug("invalid registration ignored")
			continue
		}
		read.Targets = append(read.Targets, target)
		read.Rows[target.ID] = row.Version
	}
	k.reducer.Step(read)
	k.lastTargets = read
	k.view.replaceTargets(store, snapshot.Rows, started)
}

// vmRecord is a VM's registration in the store.
type vmRecord struct {
	Zone        model.AvailabilityZone `json:"zone"`
	PeerAddress string                 `json:"peer_address"`
}

// coordinate reads the coordination table, registers this VM and acquires or renews
// the placement lease.
func (k *Keeper) coordinate(ctx context.Context) {
	now := bootclock.Now()
	if k.registered && !k.peers.isLeader(now) && !k.holdsLease(now) && now.Sub(k.coordinationReadAt) < followerInterval {
		return
	}
	k.coordinationReadAt = now
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	started := bootclock.Now()
	snapshot, err := k.store.Table(ctx, coordinationTable)
	if err != nil {
		k.storeFailed(err)
		return
	}
	var leaseRow model.Row
	var ownRow model.Row
	vms := map[model.NodeID]vmRecord{}
	for _, row := range snapshot.Rows {
		if row.Key == leaseKey {
			leaseRow = row
			continue
		}
		name, found := strings.CutPrefix(row.Key, vmPrefix)
		if !found {
			continue
		}
		var record vmRecord
		if err := json.Unmarshal(row.Value, &record); err != nil {
			logrus.WithError(err).WithField("row", row.Key).Warn("invalid VM record ignored")
			continue
		}
		vms[model.NodeID(name)] = record
		if model.NodeID(name) == k.settings.VM {
			ownRow = row
		}
	}
	k.peers.setVMs(vms)
	k.reducer.Step(director.VMsCounted{Count: len(vms)})
	k.register(ctx, ownRow)
	k.renewLease(ctx, leaseRow, snapshot.Clock, started)
}

func (k *Keeper) register(ctx context.Context, row model.Row) {
	if k.registered {
		return
	}
	value, err := json.Marshal(vmRecord{Zone: k.settings.Zone, PeerAddress: k.peers.address()})
	if err != nil {
		logrus.WithError(err).Error("cannot encode the VM record")
		return
	}
	if string(value) == string(row.Value) {
		k.registered = true
		return
	}
	_, err = k.store.Put(ctx, coordinationTable, model.Row{Key: vmPrefix + string(k.settings.VM), Value: value, Version: row.Version})
	if err != nil {
		logrus.WithError(err).Info("VM registration failed; retrying")
		return
	}
	k.registered = true
}

// renewLease acquires or renews the placement lease when due. The row and the
// store's clock come from a read that began at started.
//
// Invariant: the lease duration counts from before the store sampled its clock, so
// that a holder stops acting before its record expires, however slow the store is.
func (k *Keeper) renewLease(ctx context.Context, row model.Row, clock time.Duration, started model.Instant) {
	action, record := duty.Decide(k.settings.VM, row, clock)
	if action == duty.Wait {
		return
	}
	value, err := json.Marshal(record)
	if err != nil {
		logrus.WithError(err).Error("cannot encode the lease record")
		return
	}
	heldBefore := k.holdsLease(bootclock.Now())
	_, err = k.store.Put(ctx, coordinationTable, model.Row{Key: leaseKey, Value: value, Version: row.Version})
	switch {
	case errors.Is(err, platform.ErrVersionConflict):
		logrus.Info("another VM acquired the placement lease")
	case err != nil:
		logrus.WithError(err).Info("cannot acquire or renew the placement lease")
	default:
		k.renewedAt.Store(int64(started))
		if !heldBefore {
			logrus.WithField("until_ms", record.UntilMs).Info("placement lease acquired")
			k.orders.reset()
		}
	}
}

// probe requests the reports that the reducer finds due.
func (k *Keeper) probe() {
	now := bootclock.Now()
	for _, effect := range k.reducer.Step(director.ProbeDue{All: k.holdsLease(now), Lead: k.peers.isLeader(now)}) {
		if request, ok := effect.(*director.RequestReport); ok {
			go k.RequestReport(request)
		}
	}
}

// HoldsLease reports whether this VM holds the placement lease.
func (k *Keeper) HoldsLease() bool { return k.holdsLease(bootclock.Now()) }

// PendingOrders returns the number of pending orders: those whose effect is not
// confirmed.
func (k *Keeper) PendingOrders() int { return k.orders.count() }

func (k *Keeper) holdsLease(now model.Instant) bool {
	return duty.Held(model.Instant(k.renewedAt.Load()), now)
}

// placeLayers runs the orders while this VM holds the placement lease.
func (k *Keeper) placeLayers(ctx context.Context) {
	if !k.holdsLease(bootclock.Now()) {
		return
	}
	k.orders.run(ctx)
}

// RequestReport requests a target's report and passes it to the reducer; the report is
// nil when the request failed.
func (k *Keeper) RequestReport(request *director.RequestReport) {
	report, err := k.targets.report(context.Background(), request.Address)
	if err != nil {
		logrus.WithError(err).WithField("target", request.Target).Info("cannot read the target's report")
	}
	k.reducer.Step(director.ReportRead{Target: request.Target, Report: report})
}
