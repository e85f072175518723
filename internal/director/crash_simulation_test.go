package director_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/internal/retrybudget"
)

const (
	// simulationStep is the resolution of a simulation's clock.
	simulationStep = 10 * time.Millisecond
	// stabilityWindow is how long after its third crash a request may still reach
	// targets freely.
	stabilityWindow = 3 * time.Second
	// startWindow is how long after its start the sends of a VM do not count.
	startWindow = time.Second
	// restartInterval is the interval of the VMs' restarts.
	restartInterval = 7 * time.Second
	// storeInterval is the minimum time between two writes of a VM.
	storeInterval = time.Second
	// pushInterval is the minimum time between two messages that are sent without delay.
	pushInterval = 100 * time.Millisecond
	// maxLateSends bounds the sends that reach a target after that.
	maxLateSends = 3
)

// crashingRequest is how a request crashes its targets, as observed by a VM.
type crashingRequest struct {
	path    string
	outcome director.Outcome
	// events is the number of events before the crash.
	events int
	// answerTime is the time after which a target answers a harmless request, whose
	// targets crash for another reason; 0 otherwise.
	answerTime time.Duration
	// query is that of the request. Harmless requests of the same path without a query arrive
	// at each VM at the interval harmless, if it is not 0.
	query    string
	harmless time.Duration
}

// simulatedTarget crashes when it runs the request, and restarts.
type simulatedTarget struct {
	id          model.TargetID
	down        bool
	incarnation int64
}

// simulatedVM is an entry VM with its current state.
type simulatedVM struct {
	id        model.NodeID
	state     *director.State
	startedAt model.Instant
	// pushed is the last value of Learned, and pushedAt when a message was sent for it.
	pushed   uint64
	pushedAt model.Instant
	// contentRead is true once the process has read what the VMs have stored. stored is the
	// last value of ContentChanged, and storedAt when the VM wrote its row for it.
	contentRead bool
	stored      uint64
	storedAt    model.Instant
	// down is true between the end of a process and the start of the next.
	down bool
	// cutUntil is when messages between the VM and others are no longer lost, and
	// frozenUntil when the VM runs again.
	cutUntil, frozenUntil model.Instant
}

// crashSimulation runs several VMs with a simulated clock, network and targets.
type crashSimulation struct {
	request crashingRequest
	now     model.Instant
	// elapsed is the time for which the simulation has run.
	elapsed time.Duration
	config  *fleet.Config
	vms     []*simulatedVM
	targets map[model.TargetID]*simulatedTarget
	// registered is the content of the store.
	registered map[model.TargetID]*fleet.Target
	rows       map[model.TargetID]fleet.StoreVersion
	content    map[model.NodeID]storedContent
	// storeAway is true while the store is unreachable, and storeReturnedAt when it was
	// reachable again.
	storeAway       bool
	storeReturnedAt model.Instant
	// writes counts the writes of content.
	writes    int
	scheduled []scheduledAction
	// restart is the time from a target's crash to its next registration.
	restart time.Duration
	// window is how long after its third crash a request may still reach targets freely.
	window   time.Duration
	requests int
	crashes  int
	// processes counts the starts of VMs.
	processes uint32
	thirdAt   model.Instant
	// answered counts the requests that were answered, and refusedForCrashes those that
	// were refused because targets crashed.
	answered, refusedForCrashes int
	// harmless holds the harmless requests of the crashing one's path, of which harmlessRefused
	// were refused because targets crashed, and harmlessAnswered were answered.
	harmless                          map[model.RequestID]bool
	harmlessRefused, harmlessAnswered int
	// lateSends are the times since the third crash of the sends that count.
	lateSends []time.Duration
	// trace, if set, receives each effect.
	trace func(vm *simulatedVM, effect director.Effect)
}

// storedContent is a VM's row of the store.
type storedContent struct {
	director.StoredContent
	at model.Instant
}

type scheduledAction struct {
	at model.Instant
	do func()
}

func newCrashSimulation(request crashingRequest, vms int, restart time.Duration) *crashSimulation {
	c := &crashSimulation{
		request: request, now: model.Instant(time.Hour), config: config(7), restart: restart, window: stabilityWindow,
		targets: map[model.TargetID]*simulatedTarget{}, registered: map[model.TargetID]*fleet.Target{}, rows: map[model.TargetID]fleet.StoreVersion{}, content: map[model.NodeID]storedContent{},
		harmless: map[model.RequestID]bool{},
	}
	c.config.Services[llm].Engine.LayerMB = 500 // a target holds the whole model
	for n := range 6 {
		c.addTarget(model.TargetID(fmt.Sprint("o", n)), orders, "")
		c.addTarget(model.TargetID(fmt.Sprint("l", n)), llm, "big")
	}
	for n := range vms {
		vm := &simulatedVM{id: model.NodeID(fmt.Sprint("vm-", n))}
		c.vms = append(c.vms, vm)
		c.start(vm)
	}
	return c
}

func (c *crashSimulation) addTarget(id model.TargetID, service model.ServiceID, kind model.AcceleratorKind) {
	c.targets[id] = &simulatedTarget{id: id, incarnation: 1}
	t := &fleet.Target{
		ID: id, Service: service, Address: "at-" + string(id), Zone: "a", State: fleet.TargetReady, Slots: 192, Kind: kind, StartedMs: 1,
	}
	if service == llm {
		t.Held = model.LayerRange{End: 80}
	}
	c.registered[id], c.rows[id] = t, fleet.StoreVersion{Row: 1}
}

// start replaces a VM's state by that of a process that has just started.
func (c *crashSimulation) start(vm *simulatedVM) {
	vm.startedAt, vm.pushed, vm.contentRead, vm.stored, vm.down = c.now, 0, false, 0, false
	c.processes++
	vm.state = director.New(director.Settings{
		VM: vm.id, Zone: "a", Process: c.processes, ConfigApply: 2 * time.Second, Revoke: 5 * time.Second, Stall: 2500 * time.Millisecond,
		Retries: retrybudget.Settings{Ratio: 0.2, Slack: 20, Window: 10 * time.Second},
	})
	c.step(vm, director.VMsCounted{Count: len(c.vms)})
	c.readStore(vm)
}

func (c *crashSimulation) readStore(vm *simulatedVM) {
	if c.storeAway {
		c.step(vm, director.StoreFailed{})
		return
	}
	if !vm.contentRead {
		vm.contentRead = true
		c.readContent(vm)
	}
	read := director.TargetsRead{Rows: map[model.TargetID]fleet.StoreVersion{}}
	for id, t := range c.registered {
		read.Targets = append(read.Targets, t)
		read.Rows[id] = c.rows[id]
	}
	c.step(vm, director.ConfigRead{Config: c.config, Started: c.now})
	c.step(vm, read)
}

func (c *crashSimulation) readContent(vm *simulatedVM) {
	var read director.ContentRead
	for _, other := range c.vms {
		if row, found := c.content[other.id]; found {
			row.Elapsed = c.now.Sub(row.at)
			read.Stored = append(read.Stored, row.StoredContent)
		}
	}
	c.step(vm, read)
}

func (c *crashSimulation) storeContent(vm *simulatedVM) {
	vm.stored, vm.storedAt = vm.state.ContentChanged(), c.now
	row := storedContent{StoredContent: vm.state.ContentToStore(c.now), at: c.now}
	c.writes++
	c.after(2*simulationStep, vm, func() { c.content[vm.id] = row })
}

// after schedules an action; after a restart of the VM it is dropped.
func (c *crashSimulation) after(d time.Duration, vm *simulatedVM, do func()) {
	state := vm.state
	action := scheduledAction{at: c.now.Add(d)}
	action.do = func() {
		switch {
		case vm.state != state || vm.down:
		case c.now < vm.frozenUntil:
			c.scheduled = append(c.scheduled, scheduledAction{at: vm.frozenUntil, do: action.do})
		default:
			do()
		}
	}
	c.scheduled = append(c.scheduled, action)
}

func (c *crashSimulation) step(vm *simulatedVM, e director.Event) []director.Effect {
	effects := vm.state.Step(c.now, e)
	for _, effect := range effects {
		if c.trace != nil {
			c.trace(vm, effect)
		}
		switch probe := effect.(type) {
		case *director.RequestReport:
			c.after(simulationStep, vm, func() {
				answer := director.ReportRead{Target: probe.Target}
				if t := c.targets[probe.Target]; !t.down {
					answer.Report = &fleet.Report{Slowdown: 1, StartedMs: t.incarnation}
				}
				c.step(vm, answer)
			})
		case *director.ProbeConnection:
			c.after(simulationStep, vm, func() {
				c.step(vm, director.ConnectionProbed{
					Target: probe.Target, Refused: c.targets[probe.Target].down, Accepted: !c.targets[probe.Target].down,
				})
			})
		}
	}
	return effects
}

// arrive sends the request to a VM, or a harmless one of its path.
func (c *crashSimulation) arrive(vm *simulatedVM, harmless bool) {
	c.requests++
	id, query := model.RequestID(fmt.Sprint("q", c.requests)), c.request.query
	if harmless {
		query, c.harmless[id] = "", true
	}
	c.handle(vm, id, c.step(vm, director.RequestArrived{Request: &fleet.Request{
		ID: id, Method: "GET", Host: "h", Path: c.request.path, Query: query, Key: "key", HasKey: true, Deadline: 20 * time.Second, PromptTokens: 800, AnswerTokens: 200,
	}, Random: float64(c.requests%97) / 97}))
}

func (c *crashSimulation) handle(vm *simulatedVM, id model.RequestID, effects []director.Effect) {
	switch e := lastEffect(effects).(type) {
	case *director.Refuse:
		switch {
		case !strings.Contains(e.Reason, "crashed"):
		case c.harmless[id]:
			c.harmlessRefused++
		default:
			c.refusedForCrashes++
		}
	case *director.Wait:
		c.after(e.For, vm, func() { c.handle(vm, id, c.step(vm, director.WaitElapsed{ID: id, Random: 0.5})) })
	case *director.Send:
		c.send(vm, id, c.targets[e.Hops[0].Target])
	}
}

func (c *crashSimulation) send(vm *simulatedVM, id model.RequestID, t *simulatedTarget) {
	end := func(outcome director.Outcome) {
		c.handle(vm, id, c.step(vm, director.SendEnded{ID: id, Outcome: outcome, Took: simulationStep, Random: 0.5}))
	}
	if t.down {
		c.after(simulationStep, vm, func() { end(director.NotSent) })
		return
	}
	if c.harmless[id] {
		c.runHarmless(vm, id, t, end)
		return
	}
	if late := c.now.Sub(c.thirdAt); c.thirdAt != 0 && late > c.window && c.now.Sub(max(vm.startedAt, c.storeReturnedAt)) > startWindow {
		c.lateSends = append(c.lateSends, late)
	}
	if c.request.answerTime > 0 {
		incarnation := t.incarnation
		c.after(c.request.answerTime, vm, func() {
			if t.down || t.incarnation != incarnation {
				end(c.request.outcome)
				return
			}
			c.answered++
			c.step(vm, director.RequestFinished{ID: id, Delivered: true})
		})
		return
	}
	for range c.request.events {
		c.after(5*simulationStep, vm, func() { c.step(vm, director.AnswerStarted{ID: id}) })
	}
	c.after(6*simulationStep, vm, func() { end(c.request.outcome) })
	c.scheduled = append(c.scheduled, scheduledAction{at: c.now.Add(5 * simulationStep), do: func() { c.crash(t) }})
}

// runHarmless answers a harmless request, unless its target crashes meanwhile.
func (c *crashSimulation) runHarmless(vm *simulatedVM, id model.RequestID, t *simulatedTarget, end func(director.Outcome)) {
	incarnation := t.incarnation
	c.after(3*simulationStep, vm, func() {
		if t.down || t.incarnation != incarnation {
			end(director.Lost)
			return
		}
		c.harmlessAnswered++
		c.step(vm, director.RequestFinished{ID: id, Delivered: true})
	})
}

func (c *crashSimulation) crash(t *simulatedTarget) {
	if t.down {
		return
	}
	t.down = true
	c.crashes++
	if c.crashes == 3 {
		c.thirdAt = c.now
	}
	c.scheduled = append(c.scheduled, scheduledAction{at: c.now.Add(c.restart), do: func() {
		t.down = false
		t.incarnation++
		registration := *c.registered[t.id]
		registration.StartedMs = t.incarnation
		c.registered[t.id] = &registration
		c.rows[t.id] = fleet.StoreVersion{Row: c.rows[t.id].Row + 1}
	}})
}

// exchange sends a VM's state to the others.
func (c *crashSimulation) exchange(from *simulatedVM) {
	message := from.state.OwnPeerState(c.now)
	for _, to := range c.vms {
		if to != from && c.now >= max(from.cutUntil, to.cutUntil) {
			c.after(2*simulationStep, to, func() { c.step(to, message) })
		}
	}
}

// arrivals is how a request arrives: at the VMs in turn, and at intervals at all of
// them at once; the VMs may restart in turn.
type arrivals struct {
	interval, toAll time.Duration
	restarts        bool
	// none is true while no request arrives.
	none bool
}

// every reports whether an action is due that happens at an interval, first at an
// offset.
func (c *crashSimulation) every(interval, offset time.Duration) bool {
	return c.elapsed%interval == offset%interval
}

// run runs the simulation for a duration.
func (c *crashSimulation) run(a arrivals, d time.Duration) {
	for end := c.elapsed + d; c.elapsed < end; c.elapsed += simulationStep {
		c.now = c.now.Add(simulationStep)
		c.runScheduled()
		if c.request.answerTime > 0 && c.every(4*time.Second, 0) {
			for n := range 3 {
				n = (n + int(c.elapsed/(4*time.Second))) % 6
				c.crash(c.targets[model.TargetID(fmt.Sprint("o", n))])
				c.crash(c.targets[model.TargetID(fmt.Sprint("l", n))])
			}
		}
		for n, vm := range c.vms {
			if !vm.down && c.now >= vm.frozenUntil {
				c.runVM(n, vm, a)
			}
		}
	}
}

func (c *crashSimulation) runScheduled() {
	due := slices.Clone(c.scheduled)
	c.scheduled = nil
	for _, action := range due {
		if action.at > c.now {
			c.scheduled = append(c.scheduled, action)
			continue
		}
		action.do()
	}
}

// runVM does what is due at the n-th VM.
func (c *crashSimulation) runVM(n int, vm *simulatedVM, a arrivals) {
	vms, offset := time.Duration(len(c.vms)), time.Duration(n)*3*simulationStep
	if a.restarts && c.every(restartInterval*vms, restartInterval*time.Duration(n+1)) {
		c.start(vm)
	}
	if c.every(250*time.Millisecond, offset) {
		c.readStore(vm)
		c.step(vm, director.ProbeDue{All: n == 0, Lead: n == 0})
	}
	if c.every(600*time.Millisecond, offset) {
		c.exchange(vm)
	}
	if learned := vm.state.Learned(); learned != vm.pushed && c.now.Sub(vm.pushedAt) >= pushInterval {
		vm.pushed, vm.pushedAt = learned, c.now
		c.exchange(vm)
	}
	if !c.storeAway && vm.state.ContentChanged() != vm.stored && c.now.Sub(vm.storedAt) >= storeInterval {
		c.storeContent(vm)
	}
	c.arriveAt(n, vm, a)
}

// arriveAt sends the requests that are due at the n-th VM.
func (c *crashSimulation) arriveAt(n int, vm *simulatedVM, a arrivals) {
	vms := time.Duration(len(c.vms))
	if !a.none && (c.elapsed > 0 && c.every(a.toAll, 0) || c.every(a.interval*vms, a.interval*time.Duration(n))) {
		c.arrive(vm, false)
	}
	if c.request.harmless > 0 && c.every(c.request.harmless, time.Duration(n)*3*simulationStep) {
		c.arrive(vm, true)
	}
}
