// Package soak plays randomised faults against real processes of the entry VM
// between stand-ins of the platform, and checks the promises from what callers
// and targets see.
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

// Options shape a run.
type Options struct {
	Seed uint64
	// Binary is the program of an entry VM.
	Binary string
	// Dir keeps settings and logs.
	Dir string
	// VMs and Callers are the numbers of processes and of clients.
	VMs, Callers int
	// Faults is how long faults are injected.
	Faults time.Duration
}

// Report is the outcome of a run.
type Report struct {
	Calls, Served, Refused int
	Faults                 []string
	// Broken lists the promises that did not hold.
	Broken []string
}

const (
	// revokeBound is that of platformtest.Settings.
	revokeBound = 1500 * time.Millisecond
	// startTime bounds the start of all VMs and the placement of layers.
	startTime = 20 * time.Second
	// recoverTime is how soon after the last fault every VM serves every kind: the
	// longest fault of a process, its restart and the loading of layers.
	recoverTime = 15 * time.Second
	// settle is the wait for requests that a fault left under way.
	settle = 500 * time.Millisecond
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

// Run plays one seed.
func Run(o Options) (*Report, error) {
	r := &run{
		Options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), proxies: map[*platformtest.Target]*proxy{},
		keys: &keyring{removed: map[string]time.Time{}},
	}
	defer r.stop()
	if err := r.start(); err != nil {
		return nil, err
	}
	if err := r.await(startTime); err != nil {
		return nil, errors.Wrap(err, "the deployment did not start")
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.callers.start(ctx, o.Seed, o.Callers)
	r.injectAll()
	if err := r.await(recoverTime); err != nil {
		r.broken("recovery: %v", err)
	}
	cancel()
	r.callers.wait.Wait()
	time.Sleep(settle)
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
	if err := r.configure(); err != nil {
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
		_ = r.store.Close() // the end of a soak
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

// configure writes a configuration with a new passing key.
func (r *run) configure() error {
	r.keys.mu.Lock()
	defer r.keys.mu.Unlock()
	old := r.keys.passing
	r.keys.version += 3
	r.keys.passing = fmt.Sprintf("key-%d", r.keys.version)
	if err := r.store.Put("op", "config", platformtest.Config(r.keys.version, lastingKey, r.keys.passing)); err != nil {
		return err
	}
	if old != "" {
		r.keys.removed[old] = time.Now()
	}
	return nil
}

// await returns once every VM has served every kind of request.
func (r *run) await(limit time.Duration) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(limit)
	for i, v := range r.vms {
		for _, kind := range []string{"s", "r", "p"} {
			for number := 0; ; number++ {
				done := r.callers.send(client, v, kind, fmt.Sprintf("%s-await-%d-%d-%d", kind, i, number, time.Now().UnixNano()), lastingKey)
				r.callers.record(done)
				if done.status == http.StatusOK {
					break
				}
				if time.Now().After(end) {
					return errors.Newf("%s does not serve %q: status %d", v.name, kind, done.status)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	return nil
}

func (r *run) broken(format string, args ...any) {
	r.report.Broken = append(r.report.Broken, fmt.Sprintf(format, args...))
}

// check judges every call by its answer and by what the targets ran.
func (r *run) check() {
	for _, c := range r.callers.all {
		r.report.Calls++
		switch c.status {
		case http.StatusOK:
			r.report.Served++
			r.checkAnswer(c)
		case http.StatusServiceUnavailable:
			r.report.Refused++
		}
		r.checkRuns(c, r.fleet.Runs(c.id))
	}
}

// checkAnswer judges a success: it is the whole answer to this very request.
func (r *run) checkAnswer(c call) {
	if c.kind == "s" && !whole(c.body, r.fleet.Events) {
		r.broken("order: the answer to %s is not whole: %q", c.id, c.body)
	}
	if c.kind != "s" && c.body != "answer to "+c.id+" of ws" {
		r.broken("mixed: %s was answered %q", c.id, c.body)
	}
}

// checkRuns judges how often a request ran.
func (r *run) checkRuns(c call, runs int) {
	if c.kind == "p" && runs > 1 {
		r.broken("twice: %s ran %d times", c.id, runs)
	}
	promised := c.status == http.StatusServiceUnavailable || c.status == http.StatusUnauthorized
	if c.kind == "p" && runs > 0 && promised {
		r.broken("refused: %s was answered %d and ran", c.id, c.status)
	}
	if removed, ok := r.keys.removed[c.key]; ok && runs > 0 && c.sent.Sub(removed) > revokeBound {
		r.broken("revoked: %s ran, sent %s after its key was removed", c.id, c.sent.Sub(removed))
	}
}

// LogPath is where a VM's log lies.
func (o Options) LogPath(vm int) string { return filepath.Join(o.Dir, fmt.Sprintf("vm-%d.log", vm)) }
