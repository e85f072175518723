// Package soak injects random faults into real entry VM processes that run
// against stand-ins of the platform, and checks the guarantees by the responses
// that callers receive and the requests that targets run.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackreach/platform/platformtest"
)

// Options configures a run.
type Options struct {
	Seed uint64
	// Binary is the path of the entry VM's program.
	Binary string
	// Earlier is the path of an earlier build of it; with one, VMs are replaced by VMs of the
	// other build in the course of the run.
	Earlier string
	// Dir is the folder for settings and logs.
	Dir string
	// VMs is the number of entry VM processes, Callers that of clients.
	VMs, Callers int
	// Faults is the time during which faults are injected.
	Faults time.Duration
	// ResponseFaults adds faults of targets' responses, content that crashes targets
	// and series of restarts.
	ResponseFaults bool
	// CrashingQueries lets content that crashes targets differ by its query only from
	// harmless content that the callers share.
	CrashingQueries bool
	// AttemptFaults adds targets that answer the runs of a request differently, bytes
	// behind responses, and connections to targets that split and merge responses or
	// lose their end. AttemptFaultsOnly injects no other faults: VMs that restart retry
	// little.
	AttemptFaults, AttemptFaultsOnly bool
	// Restores adds returns of the store from an older copy, and drains of targets.
	// RestoresOnly injects no other faults.
	Restores, RestoresOnly bool
}

// Result is the result of a run.
type Result struct {
	Calls, Served, Refused int
	// Arrivals is the number of requests that reached targets.
	Arrivals int
	// PeakRetries is the largest share of the retry budget that a window used.
	PeakRetries float64
	// Unframed is the number of streams without a length that their target ended early, so
	// that they look complete.
	Unframed int
	// Restores is the number of times that the store came back from an older copy,
	// PeakWrites the most write calls to it in a second soon after that.
	PeakWrites, Restores int
	// Replaced is the number of times that a VM was replaced by one of another build.
	Replaced int
	// Faults lists the injected faults, each after the time of its start.
	Faults []string
	// Violations lists the violated guarantees.
	Violations []string
}

const (
	// startTimeout bounds the start of all VMs and the placement of layers.
	startTimeout = 20 * time.Second
	// recoveryTimeout is the time after the last fault within which every VM must
	// serve every kind of request. It covers the longest fault of a process, its
	// restart and the loading of layers.
	recoveryTimeout = 15 * time.Second
	// settleTime is the wait for requests that a fault left in flight at a target.
	settleTime = 500 * time.Millisecond
	// maxServiceTime bounds the time that a target takes before it responds.
	maxServiceTime = 40 * time.Millisecond
	// maxWritesPerVM bounds the write calls to the store in a second, per VM.
	maxWritesPerVM = 2
)

type run struct {
	Options
	random  *rand.Rand
	store   *platformtest.Store
	fleet   *platformtest.Fleet
	proxies map[*platformtest.Target]*proxy
	// restoredAt is when the store came back from older copies.
	restoredAt []time.Time
	// lock guards random, proxies, drained and restoredAt while faults start and end.
	lock sync.Mutex
	// copies are copies of the store, the newest last.
	copies     []*platformtest.Copy
	copiesLock sync.Mutex
	// drained is when the drain of a target was acknowledged, by its id.
	drained map[string]time.Time
	vms     []*vm
	keys    *keyring
	callers *callers
	spans   spanLog
	started time.Time
	// served is when every VM first served every kind of request.
	served time.Time
	// stopped is closed at the end of the run.
	stopped chan struct{}
	// background counts the faults that end by themselves.
	background sync.WaitGroup
	report     Result
}

// Run runs the soak for one seed. It returns an error if the deployment does not
// start; violations are in the report.
func Run(o Options) (*Result, error) {
	r := &run{
		Options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), proxies: map[*platformtest.Target]*proxy{},
		drained: map[string]time.Time{}, stopped: make(chan struct{}),
		keys: &keyring{removed: map[string]time.Time{}}, started: time.Now(),
	}
	defer r.stop()
	if err := r.start(); err != nil {
		return nil, err
	}
	if err := r.awaitServing(startTimeout); err != nil {
		return nil, errors.Wrap(err, "the deployment did not start")
	}
	for _, v := range r.vms {
		if err := v.writeSettings(v.settings); err != nil {
			return nil, err
		}
	}
	r.served = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	r.callers.start(ctx, o.Seed, o.Callers)
	r.replaceBuilds()
	r.injectFaults()
	if err := r.awaitServing(recoveryTimeout); err != nil {
		r.report.Violations = append(r.report.Violations, fmt.Sprintf("recovery: %v", err))
	}
	for _, row := range r.awaitRows() {
		r.report.Violations = append(r.report.Violations, fmt.Sprintf("recovery: row %s of table %s was lost and is not written again", row.Key, row.Table))
	}
	cancel()
	r.callers.running.Wait()
	time.Sleep(settleTime)
	r.check()
	return &r.report, nil
}

func (r *run) start() error {
	if err := os.MkdirAll(r.Dir, 0o750); err != nil {
		return err
	}
	var err error
	if r.store, err = platformtest.NewStore(); err != nil {
		return err
	}
	r.fleet = platformtest.NewFleet(r.store)
	r.fleet.NumberBodies = true
	if r.ResponseFaults || r.attemptFaults() {
		r.fleet.MaxServiceTime = maxServiceTime
	}
	if err := r.rotateKey(); err != nil {
		return err
	}
	if err := r.startTargets(); err != nil {
		return err
	}
	if r.Restores || r.RestoresOnly {
		go r.keepCopies(r.stopped)
	}
	for i := range r.VMs {
		host := platformtest.Host(int(r.Seed%1000), i)
		binary := r.Binary
		if !r.startsLater() {
			binary = r.Earlier
		}
		v, err := startVM(r.Dir, binary, fmt.Sprintf("vm-%d", i+1), []string{"a", "b"}[i%2], host, r.store.Address(), &r.spans)
		if err != nil {
			return err
		}
		r.vms = append(r.vms, v)
	}
	r.callers = &callers{vms: r.vms, keys: r.keys, distinct: r.ResponseFaults || r.attemptFaults()}
	return nil
}

func (r *run) startTargets() error {
	for _, zone := range []string{"a", "b"} {
		for range 2 {
			if err := r.addTarget("desk", zone, ""); err != nil {
				return err
			}
		}
		for range 3 {
			if err := r.addTarget("llm", zone, "k"); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *run) stop() {
	close(r.stopped)
	for _, v := range r.vms {
		v.stop()
	}
	if r.fleet != nil {
		r.fleet.Close()
	}
	for _, p := range r.proxies {
		p.close()
	}
	if r.store != nil {
		_ = r.store.Close() // the soak has ended
	}
}

func (r *run) addTarget(service, zone, kind string) error {
	var p *proxy
	t, err := r.fleet.StartBehind(service, zone, kind, 0, 0, func(address string) (string, error) {
		var err error
		if p, err = newProxy(address); err != nil {
			return "", err
		}
		return p.address(), nil
	})
	if err != nil {
		return err
	}
	r.proxies[t] = p
	r.failSteadily(t)
	return nil
}

// rotateKey writes a configuration with a new temporary key and records when the
// removal of the old one was acknowledged.
func (r *run) rotateKey() error {
	r.keys.mu.Lock()
	defer r.keys.mu.Unlock()
	old := r.keys.temporary
	r.keys.version += 3
	r.keys.temporary = fmt.Sprintf("key-%d", r.keys.version)
	if err := r.store.Put("op", "config", platformtest.Config(r.keys.version, permanentKey, r.keys.temporary)); err != nil {
		return err
	}
	if old != "" {
		r.keys.removed[old] = time.Now()
	}
	return nil
}

// awaitServing returns once every VM has served every kind of request.
func (r *run) awaitServing(limit time.Duration) error {
	end := time.Now().Add(limit)
	for i, v := range r.vms {
		for _, kind := range []string{"s", "r", "p"} {
			for number := 0; ; number++ {
				id := fmt.Sprintf("%s-await-%d-%d-%d", kind, i, number, time.Now().UnixNano())
				from := &client{}
				result := r.callers.send(from, v, kind, r.callers.path(kind, id, false), id, permanentKey)
				from.close()
				if result.succeeded() {
					break
				}
				if time.Now().After(end) {
					return errors.Newf("%s does not serve %q: status %d", v.name, kind, result.status)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	return nil
}

// check checks what callers and targets recorded.
func (r *run) check() {
	evidence := &records{
		started: r.started, calls: r.callers.calls, arrivals: r.fleet.Arrivals(), ends: r.fleet.Ends(),
		removed: r.keys.removed, spans: r.spans.all(), drained: r.drained, restoresOnly: r.RestoresOnly, earlierBuild: r.Earlier != "", served: r.served,
	}
	for _, v := range r.vms {
		evidence.vms = append(evidence.vms, v.name)
	}
	for i := range evidence.calls {
		c := &evidence.calls[i]
		r.report.Calls++
		if c.succeeded() {
			r.report.Served++
		}
		if c.status == http.StatusServiceUnavailable {
			r.report.Refused++
		}
	}
	r.report.Restores = r.store.Restores()
	r.checkWrites()
	r.report.Arrivals = len(evidence.arrivals)
	r.report.Violations = append(r.report.Violations, evidence.check()...)
	r.report.PeakRetries, r.report.Unframed = evidence.peakRetries, evidence.unframed
}

func (o Options) attemptFaults() bool { return o.AttemptFaults || o.AttemptFaultsOnly }

// LogPath returns the path of a VM's log.
func (o Options) LogPath(vm int) string { return filepath.Join(o.Dir, fmt.Sprintf("vm-%d.log", vm)) }
