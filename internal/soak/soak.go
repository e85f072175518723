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
	"time"

	"github.com/cockroachdb/errors"

	"tamarackreach/platform/platformtest"
)

// Options configures a run.
type Options struct {
	Seed uint64
	// Binary is the path of the entry VM's program.
	Binary string
	// Dir is the folder for settings and logs.
	Dir string
	// VMs is the number of entry VM processes, Callers that of clients.
	VMs, Callers int
	// Faults is the time during which faults are injected.
	Faults time.Duration
}

// Report is the result of a run.
type Report struct {
	Calls, Served, Refused int
	// Faults lists the injected faults, each after the time of its start.
	Faults []string
	// Violations lists the violated guarantees.
	Violations []string
}

const (
	// revokeBound is the time within which a removed key must stop working, as set
	// in platformtest.Settings.
	revokeBound = 1500 * time.Millisecond
	// startTimeout bounds the start of all VMs and the placement of layers.
	startTimeout = 20 * time.Second
	// recoveryTimeout is the time after the last fault within which every VM must
	// serve every kind of request. It covers the longest fault of a process, its
	// restart and the loading of layers.
	recoveryTimeout = 15 * time.Second
	// settleTime is the wait for requests that a fault left in flight at a target.
	settleTime = 500 * time.Millisecond
)

type run struct {
	Options
	random  *rand.Rand
	store   *platformtest.Store
	fleet   *platformtest.Fleet
	proxies map[*platformtest.Target]*proxy
	vms     []*vm
	keys    *keyring
	callers *callers
	report  Report
}

// Run runs the soak for one seed. It returns an error if the deployment does not
// start; violations are in the report.
func Run(o Options) (*Report, error) {
	r := &run{
		Options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), proxies: map[*platformtest.Target]*proxy{},
		keys: &keyring{removed: map[string]time.Time{}},
	}
	defer r.stop()
	if err := r.start(); err != nil {
		return nil, err
	}
	if err := r.awaitServing(startTimeout); err != nil {
		return nil, errors.Wrap(err, "the deployment did not start")
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.callers.start(ctx, o.Seed, o.Callers)
	r.injectFaults()
	if err := r.awaitServing(recoveryTimeout); err != nil {
		r.violation("recovery: %v", err)
	}
	cancel()
	r.callers.running.Wait()
	time.Sleep(settleTime)
	r.checkCalls()
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
	if err := r.rotateKey(); err != nil {
		return err
	}
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
	for i := range r.VMs {
		host := platformtest.Host(int(r.Seed%1000), i)
		v, err := startVM(r.Dir, r.Binary, fmt.Sprintf("vm-%d", i+1), []string{"a", "b"}[i%2], host, r.store.Address())
		if err != nil {
			return err
		}
		r.vms = append(r.vms, v)
	}
	r.callers = &callers{vms: r.vms, keys: r.keys}
	return nil
}

func (r *run) stop() {
	for _, v := range r.vms {
		v.stop()
	}
	for t, p := range r.proxies {
		t.Crash()
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
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(limit)
	for i, v := range r.vms {
		for _, kind := range []string{"s", "r", "p"} {
			for number := 0; ; number++ {
				result := r.callers.send(client, v, kind, fmt.Sprintf("%s-await-%d-%d-%d", kind, i, number, time.Now().UnixNano()), permanentKey)
				r.callers.record(result)
				if result.status == http.StatusOK {
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

func (r *run) violation(format string, args ...any) {
	r.report.Violations = append(r.report.Violations, fmt.Sprintf(format, args...))
}

// checkCalls checks every call against its response and what the targets ran.
func (r *run) checkCalls() {
	for _, c := range r.callers.calls {
		r.report.Calls++
		switch c.status {
		case http.StatusOK:
			r.report.Served++
			r.checkResponse(c)
		case http.StatusServiceUnavailable:
			r.report.Refused++
		}
		r.checkRuns(c, r.fleet.Runs(c.id))
	}
}

// checkResponse checks that a successful response is complete and belongs to this
// request.
func (r *run) checkResponse(c call) {
	if c.kind == "s" && !isCompleteStream(c.body, r.fleet.Events) {
		r.violation("order: the answer to %s is not whole: %q", c.id, c.body)
	}
	if c.kind != "s" && c.body != "answer to "+c.id+" of ws" {
		r.violation("mixed: %s was answered %q", c.id, c.body)
	}
}

// checkRuns checks how often the targets ran a request: a non-idempotent request
// runs at most once, one answered 503 or 401 never, and none runs that was sent
// more than revokeBound after its key was removed.
func (r *run) checkRuns(c call, runs int) {
	if c.kind == "p" && runs > 1 {
		r.violation("twice: %s ran %d times", c.id, runs)
	}
	reportedNotRun := c.status == http.StatusServiceUnavailable || c.status == http.StatusUnauthorized
	if c.kind == "p" && runs > 0 && reportedNotRun {
		r.violation("refused: %s was answered %d and ran", c.id, c.status)
	}
	if removed, ok := r.keys.removed[c.key]; ok && runs > 0 && c.sent.Sub(removed) > revokeBound {
		r.violation("revoked: %s ran, sent %s after its key was removed", c.id, c.sent.Sub(removed))
	}
}

// LogPath returns the path of a VM's log.
func (o Options) LogPath(vm int) string { return filepath.Join(o.Dir, fmt.Sprintf("vm-%d.log", vm)) }
