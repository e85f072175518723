// Package controller runs a VM's background loops: it polls the store, exchanges
// load and failures with other VMs and, while the VM holds the placement lease,
// sends placement orders to targets.
package controller

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/ingress"
	"tamarackreach/internal/membership"
	"tamarackreach/internal/model"
	"tamarackreach/internal/placementlease"
	"tamarackreach/internal/relay"
	"tamarackreach/internal/storeera"
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
	// connectionProbeTimeout bounds the wait for a connection to a target.
	connectionProbeTimeout = 200 * time.Millisecond
	// probeInterval is the interval of the probe loop; the reducer limits how often
	// each target is probed.
	probeInterval = 250 * time.Millisecond
	// coordinationInterval is the interval at which the lease holder and the leader of
	// a zone read the coordination table; the lease is renewed then.
	coordinationInterval = placementlease.RenewInterval
	// discoveryDelay is the time within which all VMs start at the first start.
	discoveryDelay = 400 * time.Millisecond
	// leaseDelay is how long a VM leaves the placement lease to others after its start, in
	// which it hears of them.
	leaseDelay = 1500 * time.Millisecond
	// listInterval bounds the age of a VM's list of the others.
	listInterval = 5 * time.Second
)

// Controller runs the background loops of a VM.
type Controller struct {
	settings *platform.Settings
	// interval is the poll interval of the store, in nanoseconds.
	interval atomic.Int64
	store    *platform.Store
	reducer  *ingress.Reducer
	targets  *targetClient
	peers    *peers
	orders   *orders
	era      eraState
	// startedAt is when the process started.
	startedAt model.Instant
	// registered is true once the VM's own row is written.
	registered atomic.Pointer[storeera.Belief[bool]]
	// lease is when the read that preceded the last successful write of the lease row
	// began.
	lease  atomic.Pointer[storeera.Belief[model.Instant]]
	tables [tableCount]*table
	// copies requests other VMs' copies of these tables.
	copies *http.Client
	// storeFailedAt is when the last call to the store failed, 0 after one that succeeded.
	storeFailedAt atomic.Int64
	applied       appliedTables
	content       contentState
	ownRows       ownRowsLimit
}

// New returns a controller that connects to targets by dial.
func New(s *platform.Settings, r *ingress.Reducer, dial upstream.DialFunc) *Controller {
	c := &Controller{
		settings: s, reducer: r, targets: newTargetClient(dial), startedAt: bootclock.Now(),
		content: contentState{lost: make(chan struct{}, 1), loaded: make(chan struct{})}, copies: &http.Client{Transport: newTransport(1)},
	}
	for i := range c.tables {
		c.tables[i] = newTable(i)
	}
	c.store = platform.NewStore(s.StoreAddress, newTransport(storeConnections), c.acceptEra)
	c.setInterval(s.Bounds)
	c.peers = newPeers(s, r, c, c.Probe)
	c.peers.copies = membership.Endpoint{Address: copiesAddress(s), Secret: relay.NewSecret()}
	c.orders = newOrders(r, c.targets)
	return c
}

// storeConnections is the number of idle connections to the store that are kept: one for each
// loop that calls it.
const storeConnections = 6

func newTransport(idle int) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return upstream.Dial(ctx, address)
		},
		MaxIdleConnsPerHost:    idle,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxReportBytes,
	}
}

// Run runs the loops until the context ends. It returns an error when the peer
// address cannot be bound.
func (c *Controller) Run(ctx context.Context) error {
	if err := c.peers.listen(ctx); err != nil {
		return err
	}
	if err := c.serveCopies(ctx); err != nil {
		return err
	}
	go c.loadContent(ctx)
	go c.storeContent(ctx)
	for i := range c.tables {
		go c.follow(ctx, i)
	}
	go c.followFeed(ctx, configTable)
	go c.followFeed(ctx, targetsTable)
	go every(ctx, constant(planInterval), func() { c.placeLayers(ctx) })
	go every(ctx, constant(probeInterval), c.probe)
	go c.peers.run(ctx)
	<-ctx.Done()
	return nil
}

// Apply applies changed settings: the store's address and the time bounds.
func (c *Controller) Apply(s *platform.Settings) {
	if c.store.SetAddress(s.StoreAddress) {
		c.restartEras()
		c.applied.reset()
	}
	c.setInterval(s.Bounds)
}

func (c *Controller) setInterval(b platform.Bounds) {
	interval := min(b.ConfigApply, b.Drain) / pollsPerBound
	c.interval.Store(int64(interval))
}

func (c *Controller) pollInterval() time.Duration { return time.Duration(c.interval.Load()) }

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

func (c *Controller) storeFailed(err error) {
	logrus.WithError(err).Debug("store call failed")
	c.reducer.Step(director.StoreFailed{})
}

// vmRecord is a VM's registration in the store.
type vmRecord struct {
	Zone        model.AvailabilityZone `json:"zone"`
	PeerAddress string                 `json:"peer_address"`
	// Protocol is the newest protocol between VMs that the VM's build understands.
	Protocol int `json:"protocol,omitempty"`
}

// coordinationDue reports whether this VM reads the coordination table itself: it has to
// register, or holds the placement lease.
func (c *Controller) coordinationDue(now model.Instant) bool {
	return c.registrationDue(now) || c.holdsLease(now)
}

// coordinate registers this VM and acquires or renews the placement lease, after a read of
// the coordination table that began at startedAt.
func (c *Controller) coordinate(ctx context.Context, snapshot platform.Snapshot, startedAt model.Instant) {
	leaseRow := fleet.StoreRow{Key: leaseKey, Version: fleet.StoreVersion{Era: snapshot.Newest.Era}}
	ownRow := fleet.StoreRow{Key: vmPrefix + string(c.settings.VM), Version: leaseRow.Version}
	for _, row := range snapshot.Rows {
		switch row.Key {
		case leaseRow.Key:
			leaseRow = row
		case ownRow.Key:
			ownRow = row
		}
	}
	if c.registrationDue(startedAt) && !c.mayRegisterLater(startedAt, ownRow) && c.ownRows.allow(bootclock.Now()) {
		c.register(ctx, ownRow)
	}
	if c.holdsLease(startedAt) || c.peers.mayHoldLease(startedAt, c.startedAt, c.storeFailing(startedAt)) {
		c.renewLease(ctx, leaseRow, snapshot.Clock, startedAt)
	}
}

// firstRegistration registers this VM at the first start of the deployment without reading
// the list of VMs before, and waits until the others, which start at the same time, have done
// so as well. A row that is there all the same is found by the read that follows.
func (c *Controller) firstRegistration(ctx context.Context) {
	if !c.settings.FirstStart {
		return
	}
	if wait(ctx, c.content.loaded, discoveryDelay) && c.ownRows.allow(bootclock.Now()) {
		c.register(ctx, fleet.StoreRow{Key: vmPrefix + string(c.settings.VM), Version: fleet.StoreVersion{Era: c.era.current()}})
	}
	wait(ctx, nil, discoveryDelay)
}

// wait returns true when the channel is closed, and false after a time or when the context
// ends.
func wait(ctx context.Context, closed <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-closed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// mayRegisterLater reports whether the VM's row is still right but for the protocol, as after
// an upgrade: VMs then write at different times within registrationSpread after their start.
func (c *Controller) mayRegisterLater(now model.Instant, row fleet.StoreRow) bool {
	var record vmRecord
	if row.Absent() || json.Unmarshal(row.Value, &record) != nil || record.Zone != c.settings.Zone || record.PeerAddress != c.peers.address() {
		return false
	}
	return record.Protocol != membership.DigestProtocol && now.Sub(c.startedAt) < c.restoreDelay()
}

func (c *Controller) register(ctx context.Context, row fleet.StoreRow) {
	value, err := json.Marshal(vmRecord{Zone: c.settings.Zone, PeerAddress: c.peers.address(), Protocol: membership.DigestProtocol})
	if err != nil {
		logrus.WithError(err).Error("cannot encode the VM record")
		return
	}
	if string(value) == string(row.Value) {
		c.registered.Store(storeera.Hold(true, row.Version.Era))
		return
	}
	row.Value = value
	if err := c.put(ctx, coordinationTable, row); err != nil {
		logrus.WithError(err).Info("VM registration failed; retrying")
		return
	}
	logrus.WithField("version", row.Version).Info("VM registered")
	c.registered.Store(storeera.Hold(true, row.Version.Era))
}

// put writes a row of a table. A new era may have begun since the row was read; its
// version is not sent then.
func (c *Controller) put(ctx context.Context, table string, row fleet.StoreRow) error {
	if err := c.era.check(row.Version); err != nil {
		return err
	}
	_, err := c.store.Put(ctx, table, row)
	return err
}

// renewLease acquires or renews the placement lease when due. The row and the
// store's clock come from a read that began at started.
//
// Invariant: the lease duration counts from before the store sampled its clock, so
// that a holder stops acting before its record expires, however slow the store is.
func (c *Controller) renewLease(ctx context.Context, row fleet.StoreRow, clock time.Duration, started model.Instant) {
	isolated := false
	c.reducer.Read(func(s *director.State) { isolated = s.Isolated() })
	if isolated {
		return // the lease is left to a VM that reaches the targets
	}
	action, record := placementlease.Decide(c.settings.VM, row, clock)
	if action == placementlease.Wait || action == placementlease.Acquire && !c.mayAcquireLease(started) {
		return
	}
	value, err := json.Marshal(record)
	if err != nil {
		logrus.WithError(err).Error("cannot encode the lease record")
		return
	}
	heldBefore := c.holdsLease(bootclock.Now())
	row.Value = value
	err = c.put(ctx, coordinationTable, row)
	switch {
	case errors.Is(err, platform.ErrVersionConflict):
		logrus.Info("another VM wrote the placement lease")
	case err != nil:
		logrus.WithError(err).Info("cannot write the placement lease; retrying")
	case action == placementlease.Suspend:
		logrus.WithField("until_ms", record.UntilMs).Info("the placement lease is of an earlier era of the store; acquisition suspended")
	default:
		c.lease.Store(storeera.Hold(started, row.Version.Era))
		if !heldBefore {
			logrus.WithField("until_ms", record.UntilMs).Info("placement lease acquired")
			c.orders.reset()
		}
	}
}

// probe requests the reports that the reducer finds due.
func (c *Controller) probe() {
	now := bootclock.Now()
	c.Probe(c.reducer.Step(director.ProbeDue{All: c.holdsLease(now), Lead: c.peers.monitors(now)}))
}

// Probe carries out the probes of targets among effects, without waiting for their results.
func (c *Controller) Probe(effects []director.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case *director.RequestReport:
			go c.requestReport(e)
		case *director.ProbeConnection:
			go c.probeConnection(e)
		}
	}
}

// probeConnection reports to the reducer whether a target accepts or refuses connections.
func (c *Controller) probeConnection(e *director.ProbeConnection) {
	accepted, refused := probeConnection(c.targets.dial, e.Address)
	c.reducer.Step(director.ConnectionProbed{Target: e.Target, Accepted: accepted, Refused: refused})
}

// probeConnection opens and closes a connection, and reports whether it was accepted, and
// whether nothing listens at the address.
func probeConnection(dial upstream.DialFunc, address string) (accepted, refused bool) {
	ctx, cancel := context.WithTimeout(context.Background(), connectionProbeTimeout)
	defer cancel()
	conn, err := dial(ctx, address)
	if err == nil {
		_ = conn.Close()
	}
	return err == nil, errors.Is(err, syscall.ECONNREFUSED)
}

// HoldsLease reports whether this VM holds the placement lease.
func (c *Controller) HoldsLease() bool { return c.holdsLease(bootclock.Now()) }

// PendingOrders returns the number of pending orders: those whose effect is not
// confirmed.
func (c *Controller) PendingOrders() int { return c.orders.count() }

func (c *Controller) holdsLease(now model.Instant) bool {
	renewedAt, ok := c.lease.Load().In(c.era.current())
	return ok && placementlease.Held(renewedAt, now)
}

// placeLayers runs the orders while this VM holds the placement lease.
func (c *Controller) placeLayers(ctx context.Context) {
	if !c.holdsLease(bootclock.Now()) {
		return
	}
	c.orders.run(ctx)
}

// requestReport requests a target's report and passes it to the reducer; the report is
// nil when the request failed.
func (c *Controller) requestReport(request *director.RequestReport) {
	client := c.targets.reports
	if request.NewConnection {
		client = c.targets.connecting
	}
	report, err := c.targets.reportBy(context.Background(), client, request.Address)
	if err != nil {
		logrus.WithError(err).WithField("target", request.Target).Info("cannot read the target's report")
	}
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	c.reducer.Step(director.ReportRead{Target: request.Target, Report: report, Refused: refused})
}
