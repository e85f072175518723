package director_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/internal/placementlease"
	"tamarackreach/internal/storeera"
)

// The stages of a target, in their only order.
const (
	unregistered = iota
	ready
	draining
	removed
	// undetermined is what a VM may believe of a target that only the copy lists.
	undetermined
)

// revokedIn is the configuration that revokes the key.
const (
	revokedIn   = 2
	modelKey    = "key"
	modelTarget = "t"
	// modelGrace is the grace of rows that a restore may have lost.
	modelGrace = 10 * time.Second
	// settleRounds covers the grace, a wait for the lease and its acquisition.
	settleRounds = 13
)

// modelScope selects the parts of a model and bounds its faults.
type modelScope struct {
	vms int
	// coarse runs the calls of a VM as one action, for a greater depth.
	coarse                   bool
	lease, config, target    bool
	restores, restarts, late int
	copies                   int
	steps                    []time.Duration
}

// modelStore is the content of the store, and of its copies.
type modelStore struct {
	counter uint64
	lease   fleet.StoreRow
	config  uint64
	// target is the stage of the target that the store lists.
	target, targetRow uint64
	// targetEra is the era in which the target's row was written.
	targetEra fleet.StoreEra
}

// modelCall is a read that the store has answered. It is accepted by its era before
// it is applied; the VM may observe a later era in between.
type modelCall struct {
	served, accepted bool
	era              fleet.StoreEra
	store            modelStore
	started          model.Instant
}

// modelPut is a write of the lease.
type modelPut struct {
	// acquires is false for a record that only suspends acquisition.
	sent, performed, done, acquires bool
	row                             fleet.StoreRow
	started                         model.Instant
	era                             fleet.StoreEra
}

// modelVM is a VM: the state of the core, its calls, and what it must believe.
type modelVM struct {
	name       model.NodeID
	state      *director.State
	tracker    storeera.Tracker
	since      model.Instant
	firstStart bool
	lease      *storeera.Belief[model.Instant]
	// heldFrom and heldIn are what lease holds, for the digest.
	heldFrom                          model.Instant
	heldIn                            fleet.StoreEra
	leaseCall, configCall, targetCall modelCall
	put                               modelPut
	inForce, newestKnown              uint64
	seen                              uint64
	listedIn                          fleet.StoreEra
	listed                            bool
}

type modelWorld struct {
	scope              *modelScope
	now                model.Instant
	era                fleet.StoreEra
	store              modelStore
	copies             []modelStore
	operator, truth    uint64
	restores, restarts int
	late               []modelPut
	vms                []modelVM
	violation          error
}

type modelAction struct {
	name string
	run  func(w *modelWorld)
}

var modelConfigs = func() []*fleet.Config {
	all := []*fleet.Config{nil}
	for version := range 3 {
		c := config(model.Revision(version + 1))
		if version+1 >= revokedIn {
			c.Workspaces = []fleet.Workspace{{ID: "ws", Keys: []string{"other"}}}
		}
		all = append(all, c)
	}
	return all
}()

func newModelWorld(scope *modelScope) *modelWorld {
	w := &modelWorld{scope: scope, now: model.Instant(time.Hour), era: 1}
	if scope.config {
		w.operator = 1
		w.store.config, w.store.counter = 1, 1
	}
	w.copies = []modelStore{w.store}
	for i := range scope.vms {
		vm := modelVM{name: model.NodeID(fmt.Sprint("vm-", i)), firstStart: true}
		vm.restart(scope)
		w.vms = append(w.vms, vm)
		// No restore precedes the first response to a VM of the first start.
		w.accept(&w.vms[i], w.era)
	}
	return w
}

func (vm *modelVM) restart(scope *modelScope) {
	fresh := modelVM{name: vm.name, firstStart: vm.firstStart}
	if scope.config || scope.target {
		settings := harnessSettings
		settings.VM = vm.name
		fresh.state = director.New(settings)
	}
	*vm = fresh
}

func (w *modelWorld) clone() *modelWorld {
	c := *w
	c.vms, c.copies, c.late = slices.Clone(w.vms), slices.Clone(w.copies), slices.Clone(w.late)
	return &c
}

func (w *modelWorld) fail(format string, args ...any) {
	if w.violation == nil {
		w.violation = fmt.Errorf(format, args...)
	}
}

// written ends a write: the state of the store becomes a copy to restore.
func (w *modelWorld) written() {
	w.copies = append(w.copies, w.store)
	w.copies = w.copies[max(0, len(w.copies)-w.scope.copies):]
}

func (w *modelWorld) step(vm *modelVM, e director.Event) {
	if vm.state != nil {
		vm.state = vm.state.Clone()
		vm.state.Step(w.now, e)
	}
}

// accept is Controller.acceptEra.
func (w *modelWorld) accept(vm *modelVM, era fleet.StoreEra) bool {
	before := vm.tracker.Current()
	restored, err := vm.tracker.Observe(era)
	if err == nil && era < before {
		w.fail("a response of an earlier era is accepted")
	}
	if err != nil {
		return false
	}
	if era == before && vm.since != 0 {
		return true
	}
	vm.since = w.now
	if restored {
		w.step(vm, director.StoreRestored{Era: era})
	}
	return true
}

func (w *modelWorld) read(call *modelCall) {
	*call = modelCall{served: true, era: w.era, store: w.store, started: w.now}
}

func (w *modelWorld) acceptCall(vm *modelVM, call *modelCall) {
	if !w.accept(vm, call.era) {
		*call = modelCall{}
		w.step(vm, director.StoreFailed{})
		return
	}
	call.accepted = true
}

// sendLease is Controller.renewLease up to the write.
func (w *modelWorld) sendLease(vm *modelVM) {
	call := vm.leaseCall
	vm.leaseCall = modelCall{}
	row := call.store.lease
	row.Version.Era = call.era
	action, record := placementlease.Decide(vm.name, row, time.Duration(call.started))
	mayAcquire := placementlease.MayAcquire(vm.firstStart, &vm.tracker, call.started.Sub(vm.since))
	if action == placementlease.Wait || action == placementlease.Acquire && !mayAcquire {
		return
	}
	row.Value = modelRecord(record)
	if vm.tracker.Check(row.Version) != nil {
		return
	}
	if row.Version.Era != vm.tracker.Current() {
		w.fail("(e) a write is sent with a version of another era")
	}
	vm.put = modelPut{sent: true, acquires: action == placementlease.Acquire, row: row, started: call.started}
}

func (w *modelWorld) perform(put *modelPut) {
	put.performed, put.era = true, w.era
	if put.row.Version.Row != w.store.lease.Version.Row {
		return
	}
	put.done = true
	w.store.counter++
	w.store.lease = fleet.StoreRow{Value: put.row.Value, Version: fleet.StoreVersion{Row: model.RowVersion(w.store.counter)}}
	w.written()
}

// putAnswered is Store.Put and Controller.renewLease after the response.
func (w *modelWorld) putAnswered(vm *modelVM) {
	put := vm.put
	vm.put = modelPut{}
	if !w.accept(vm, put.era) || !storeera.Acknowledges(put.era, put.row.Version) || !put.done || !put.acquires {
		return
	}
	if put.era != put.row.Version.Era {
		w.fail("(e) a write answered in another era counts as done")
	}
	vm.lease = storeera.Hold(put.started, put.row.Version.Era)
	vm.heldFrom, vm.heldIn = put.started, put.row.Version.Era
}

func (w *modelWorld) holds(vm *modelVM) bool {
	renewedAt, ok := vm.lease.In(vm.tracker.Current())
	return ok && placementlease.Held(renewedAt, w.now)
}

func (w *modelWorld) applyConfig(vm *modelVM) {
	call := vm.configCall
	vm.configCall = modelCall{}
	if call.store.config == 0 {
		return
	}
	before := vm.state.ConfirmedAt()
	w.step(vm, director.ConfigRead{Config: modelConfigs[call.store.config], Started: call.started})
	if call.store.config < vm.newestKnown && vm.state.ConfirmedAt() != before {
		w.fail("(c) an older configuration confirms")
	}
	inForce := uint64(vm.state.Config().Version)
	if inForce < vm.inForce {
		w.fail("(b) the configuration goes back")
	}
	vm.inForce, vm.newestKnown = inForce, max(vm.newestKnown, inForce)
}

func (w *modelWorld) applyTargets(vm *modelVM) {
	call := vm.targetCall
	vm.targetCall = modelCall{}
	version := func(row uint64) fleet.StoreVersion {
		return fleet.StoreVersion{Era: call.era, Row: model.RowVersion(row)}
	}
	read := director.TargetsRead{Rows: map[model.TargetID]fleet.StoreVersion{}, Newest: version(call.store.counter), ConfirmedAt: call.started}
	if stage := call.store.target; stage == ready || stage == draining {
		t := &fleet.Target{ID: modelTarget, Service: orders, Address: "at", Zone: "a", State: fleet.TargetReady, Slots: 6, StartedMs: 1}
		if stage == draining {
			t.State = fleet.TargetDraining
		}
		read.Targets, read.Rows[modelTarget] = []*fleet.Target{t}, version(call.store.targetRow)
	}
	w.step(vm, read)
	if call.era == vm.tracker.Current() {
		vm.believe(w, &call)
	}
}

// believe updates what a VM must believe of the target after a read of the current era.
func (vm *modelVM) believe(w *modelWorld, call *modelCall) {
	stage := call.store.target
	registered := stage == ready || stage == draining
	listedBefore := vm.listed && vm.listedIn == call.era
	vm.listed, vm.listedIn = registered, call.era
	left := vm.seen == draining || vm.seen == removed
	switch {
	case !registered && !left && vm.state.Recovering(w.now):
		// Registrations lapse while the store is unreachable, and return.
		vm.seen = undetermined
	case !vm.tracker.Restored() || w.now.Sub(vm.since) >= modelGrace:
		vm.seen = stage
	case !registered && listedBefore:
		vm.seen = removed
	case registered && !left:
		vm.believeListed(stage)
	}
}

// believeListed updates what a VM must believe of a target that a read within the grace
// lists and that has not left.
func (vm *modelVM) believeListed(stage uint64) {
	switch {
	case stage == draining && vm.seen != unregistered:
		vm.seen = draining
	case stage == ready && vm.seen != ready:
		// The target is new here, and only a later heartbeat shows that it still exists.
		vm.seen = undetermined
	}
}

func (w *modelWorld) check() error {
	holders := 0
	for i := range w.vms {
		vm := &w.vms[i]
		if w.scope.lease && w.holds(vm) {
			holders++
			if vm.heldIn != vm.tracker.Current() {
				w.fail("(a) a VM acts on a lease of an earlier era")
			}
		}
		if w.scope.config && vm.inForce >= revokedIn && vm.state.AcceptsKey(w.now, modelKey) {
			w.fail("(c) a revoked key is accepted")
		}
		if !w.scope.target || vm.seen == undetermined {
			continue
		}
		serves := vm.state.Serves(w.now, modelTarget)
		if serves && vm.seen != ready {
			w.fail("(d) %s: a drain or removal no longer binds", vm.name)
		}
		if !serves && vm.seen == ready {
			w.fail("(d) a target is dropped that is not gone")
		}
	}
	if holders > 1 {
		w.fail("(a) %d VMs hold the lease", holders)
	}
	return w.violation
}

// settles reports whether the VMs agree again once faults have ended.
func (w *modelWorld) settles() error {
	c := w.clone()
	for i := range c.late {
		c.perform(&c.late[i])
	}
	for i := range c.vms {
		vm := &c.vms[i]
		vm.leaseCall, vm.configCall, vm.targetCall, vm.put = modelCall{}, modelCall{}, modelCall{}, modelPut{}
	}
	c.store.config = c.operator
	c.writeTarget()
	for range settleRounds {
		c.now = c.now.Add(placementlease.RenewInterval)
		c.writeTarget()
		for i := range c.vms {
			c.pollAll(&c.vms[i])
			c.performPut(&c.vms[i])
		}
		if err := c.check(); err != nil {
			return fmt.Errorf("while settling: %w", err)
		}
	}
	return c.settled()
}

func (w *modelWorld) settled() error {
	held := !w.scope.lease
	for i := range w.vms {
		vm := &w.vms[i]
		held = held || w.holds(vm)
		if w.scope.config && (vm.inForce != w.operator || vm.state.ConfirmedAt() != w.now) {
			return errors.New("(f) the newest configuration is not in force and confirmed")
		}
		if w.scope.target && vm.state.Serves(w.now, modelTarget) != (w.truth == ready) {
			return errors.New("(f) the target's state is not known")
		}
	}
	if !held {
		return errors.New("(f) no VM holds the lease")
	}
	return nil
}

func (w *modelWorld) pollAll(vm *modelVM) {
	for _, a := range w.calls(vm) {
		if a.enabled {
			w.read(a.call)
			w.acceptCall(vm, a.call)
			if a.call.accepted {
				a.apply(vm)
			}
		}
	}
}

func (w *modelWorld) performPut(vm *modelVM) {
	if vm.put.sent {
		w.perform(&vm.put)
		w.putAnswered(vm)
	}
}

func (w *modelWorld) writeTarget() {
	if !w.scope.target {
		return
	}
	w.store.counter++
	w.store.target, w.store.targetRow, w.store.targetEra = w.truth, w.store.counter, w.era
}

// digest identifies a world.
func (w *modelWorld) digest() []byte {
	b := make([]byte, 0, 512)
	add := func(values ...uint64) {
		for _, v := range values {
			b = binary.AppendUvarint(b, v)
		}
	}
	row := func(r *fleet.StoreRow) {
		add(uint64(r.Version.Era), uint64(r.Version.Row), uint64(len(r.Value)))
		b = append(b, r.Value...)
	}
	store := func(s *modelStore) {
		row(&s.lease)
		add(s.counter, s.config, s.target, s.targetRow, uint64(s.targetEra))
	}
	flags := func(values ...bool) {
		for _, v := range values {
			if v {
				add(1)
			} else {
				add(0)
			}
		}
	}
	put := func(p *modelPut) {
		flags(p.sent, p.performed, p.done, p.acquires)
		row(&p.row)
		add(uint64(p.started), uint64(p.era))
	}
	add(uint64(w.now), uint64(w.era), w.operator, w.truth, uint64(w.restores), uint64(w.restarts), uint64(len(w.late)), uint64(len(w.copies)))
	store(&w.store)
	for i := range w.copies {
		store(&w.copies[i])
	}
	for i := range w.late {
		put(&w.late[i])
	}
	for i := range w.vms {
		vm := &w.vms[i]
		for _, call := range []*modelCall{&vm.leaseCall, &vm.configCall, &vm.targetCall} {
			flags(call.served, call.accepted)
			if call.served {
				add(uint64(call.era), uint64(call.started))
				store(&call.store)
			}
		}
		put(&vm.put)
		flags(vm.firstStart, vm.tracker.Restored(), vm.listed)
		add(uint64(vm.tracker.Current()), uint64(vm.since), uint64(vm.heldFrom), uint64(vm.heldIn), vm.inForce, vm.newestKnown, vm.seen, uint64(vm.listedIn))
		if vm.state != nil {
			b = vm.state.AppendDigest(b)
		}
	}
	return b
}
