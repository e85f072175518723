package director_test

import (
	"fmt"
	"slices"
	"time"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/internal/retrybudget"
)

// linkState is how the connections between a VM and a target behave.
type linkState uint8

const (
	linkUp linkState = iota
	// linkSilent loses all bytes.
	linkSilent
	// linkReset resets connections that are open and new ones.
	linkReset
	// linkRefuses refuses new connections; those that are open live on.
	linkRefuses
)

const (
	// dialTimeout, reportTimeout and silenceInterval are those of the drivers.
	dialTimeout, reportTimeout, silenceInterval = 400 * time.Millisecond, 500 * time.Millisecond, 150 * time.Millisecond
	// headTime, wholeStreamTime and wholePlainTime are the times of an answer.
	headTime, wholeStreamTime, wholePlainTime = 60 * time.Millisecond, 900 * time.Millisecond, 30 * time.Millisecond
	// idleConnectionTime is how long an idle connection to a target is kept.
	idleConnectionTime = 2 * time.Second
)

// link connects a VM and a target.
type link struct {
	vm     model.NodeID
	target model.TargetID
}

// linkVM is an entry VM of a link simulation.
type linkVM struct {
	id    model.NodeID
	zone  model.AvailabilityZone
	state *director.State
	// pushed is the last value of Learned, and pushedAt when a message was sent for it.
	pushed   uint64
	pushedAt model.Instant
	// idleUntil is until when the VM keeps an idle connection to a target.
	idleUntil map[model.TargetID]model.Instant
	// peers are the VMs from which the process has received a message.
	peers map[model.NodeID]bool
}

// linkRequest is a request of a link simulation.
type linkRequest struct {
	vm        *linkVM
	id        model.RequestID
	path      string
	arrivedAt model.Instant
	expiresAt model.Instant
	// send counts the sends; the events of earlier ones are dropped.
	send int
	// relay and sentTo are the relay and the first target of the last send.
	relay  model.NodeID
	sentTo model.TargetID
	// ran are the targets that ran the request.
	ran      []model.TargetID
	answered bool
	ended    bool
}

// linkSimulation runs several VMs and targets with a simulated clock; links between them
// can be cut.
type linkSimulation struct {
	now     model.Instant
	elapsed time.Duration
	config  *fleet.Config
	vms     []*linkVM
	targets map[model.TargetID]*fleet.Target
	rows    map[model.TargetID]fleet.StoreVersion
	links   map[link]linkState
	// silent are the targets that do not answer, and stopped those that will not again.
	silent, stopped map[model.TargetID]bool
	scheduled       []scheduledAction
	requests        []*linkRequest
	// arrivals counts the requests that reached each target from each VM.
	arrivals  map[link]int
	processes uint32
	// quiet is true while no request arrives.
	quiet bool
	// partialPlans are the views of VMs on which layers could be placed although running
	// targets are missing in them.
	partialPlans []string
}

// newLinkSimulation returns a simulation with two VMs in zone a and one each in b and c;
// each zone has two targets for each half of the layers and one of the plain service.
func newLinkSimulation() *linkSimulation {
	l := &linkSimulation{
		now: model.Instant(time.Hour), config: config(7), targets: map[model.TargetID]*fleet.Target{}, rows: map[model.TargetID]fleet.StoreVersion{},
		links: map[link]linkState{}, silent: map[model.TargetID]bool{}, stopped: map[model.TargetID]bool{}, arrivals: map[link]int{},
	}
	for _, zone := range []model.AvailabilityZone{"a", "b", "c"} {
		for n := range 2 {
			l.addTarget(model.TargetID(fmt.Sprint(zone, "-head-", n)), llm, zone, model.LayerRange{End: 40})
			l.addTarget(model.TargetID(fmt.Sprint(zone, "-tail-", n)), llm, zone, model.LayerRange{First: 40, End: 80})
		}
		l.addTarget(model.TargetID(zone)+"-orders", orders, zone, model.LayerRange{})
	}
	for _, vm := range []*linkVM{{id: "a-1", zone: "a"}, {id: "a-2", zone: "a"}, {id: "b-1", zone: "b"}, {id: "c-1", zone: "c"}} {
		l.vms = append(l.vms, vm)
		l.start(vm)
	}
	return l
}

func (l *linkSimulation) addTarget(id model.TargetID, service model.ServiceID, zone model.AvailabilityZone, held model.LayerRange) {
	t := &fleet.Target{ID: id, Service: service, Address: "at-" + string(id), Zone: zone, State: fleet.TargetReady, Slots: 6, Held: held, StartedMs: 1}
	if service == llm {
		t.Kind, t.Slots = "big", 192
	}
	l.targets[id], l.rows[id] = t, fleet.StoreVersion{Row: 1}
}

// start replaces a VM's state by that of a process that has just started.
func (l *linkSimulation) start(vm *linkVM) {
	l.processes++
	vm.idleUntil, vm.pushed, vm.peers = map[model.TargetID]model.Instant{}, 0, map[model.NodeID]bool{}
	vm.state = director.New(director.Settings{
		VM: vm.id, Zone: vm.zone, Process: l.processes, ConfigApply: 2 * time.Second, Revoke: 5 * time.Second, Stall: 2500 * time.Millisecond,
		Retries: retrybudget.Settings{Ratio: 0.2, Slack: 20, Window: 10 * time.Second},
		Relay:   director.Relay{VM: vm.id, Address: "relay-" + string(vm.id)},
	})
	l.step(vm, director.VMsCounted{Count: len(l.vms)})
	l.readStore(vm)
}

func (l *linkSimulation) vm(id model.NodeID) *linkVM {
	return l.vms[slices.IndexFunc(l.vms, func(vm *linkVM) bool { return vm.id == id })]
}

// cut sets the links between VMs and all targets.
func (l *linkSimulation) cut(state linkState, vms ...model.NodeID) {
	for _, vm := range vms {
		for id := range l.targets {
			l.links[link{vm, id}] = state
		}
	}
}

// crash ends a target without a trace.
func (l *linkSimulation) crash(id model.TargetID) { l.silent[id], l.stopped[id] = true, true }

// pause makes a target silent until resume.
func (l *linkSimulation) pause(id model.TargetID)  { l.silent[id] = true }
func (l *linkSimulation) resume(id model.TargetID) { l.silent[id] = false }

func (l *linkSimulation) readStore(vm *linkVM) {
	read := director.TargetsRead{Rows: map[model.TargetID]fleet.StoreVersion{}}
	for id, t := range l.targets {
		read.Targets = append(read.Targets, t)
		read.Rows[id] = l.rows[id]
	}
	l.step(vm, director.ConfigRead{Config: l.config, Started: l.now})
	l.step(vm, read)
}

// after schedules an action of a VM; after a restart of the VM it is dropped.
func (l *linkSimulation) after(d time.Duration, vm *linkVM, do func()) {
	state := vm.state
	l.scheduled = append(l.scheduled, scheduledAction{at: l.now.Add(d), do: func() {
		if vm.state == state {
			do()
		}
	}})
}

// reaches returns how a VM's connections to a target behave; those to a target that has
// stopped are silent.
func (l *linkSimulation) reaches(vm model.NodeID, id model.TargetID) linkState {
	if l.silent[id] {
		return linkSilent
	}
	return l.links[link{vm, id}]
}

// opens returns after what time a new connection of a VM to a target is open, or has
// failed.
func (l *linkSimulation) opens(vm model.NodeID, id model.TargetID) (time.Duration, bool) {
	switch l.reaches(vm, id) {
	case linkUp:
		return simulationStep, true
	case linkSilent:
		return dialTimeout, false
	}
	return simulationStep, false
}

func (l *linkSimulation) step(vm *linkVM, e director.Event) []director.Effect {
	effects := vm.state.Step(l.now, e)
	for _, effect := range effects {
		switch probe := effect.(type) {
		case *director.RequestReport:
			l.readReport(vm, probe)
		case *director.ProbeConnection:
			l.probeConnection(vm, probe)
		}
	}
	return effects
}

// readReport reads a target's report over a connection that is kept.
func (l *linkSimulation) readReport(vm *linkVM, probe *director.RequestReport) {
	link := l.reaches(vm.id, probe.Target)
	d := simulationStep
	if link == linkSilent {
		d = reportTimeout
	}
	answered := link == linkUp || link == linkRefuses && !needsNewConnection(probe)
	l.after(d, vm, func() {
		read := director.ReportRead{Target: probe.Target, Refused: !answered && link != linkSilent}
		if answered {
			read.Report = &fleet.Report{Slowdown: 1, StartedMs: 1}
		}
		l.step(vm, read)
	})
}

func (l *linkSimulation) probeConnection(vm *linkVM, probe *director.ProbeConnection) {
	d, open := l.opens(vm.id, probe.Target)
	refused := !open && l.reaches(vm.id, probe.Target) == linkRefuses
	l.after(d, vm, func() { l.step(vm, connectionProbed(probe.Target, open, refused)) })
}

// arrive sends a request to a VM.
func (l *linkSimulation) arrive(vm *linkVM, path string) *linkRequest {
	r := &linkRequest{vm: vm, id: model.RequestID(fmt.Sprint("q", len(l.requests))), path: path, arrivedAt: l.now, expiresAt: l.now.Add(time.Second)}
	if path == "/s/x" {
		r.expiresAt = l.now.Add(20 * time.Second)
	}
	l.requests = append(l.requests, r)
	l.handle(r, l.step(vm, director.RequestArrived{Request: &fleet.Request{
		ID: r.id, Method: "POST", Host: "h", Path: path, Key: "key", HasKey: true, Deadline: r.expiresAt.Sub(l.now), PromptTokens: 800, AnswerTokens: 200,
	}, Random: float64(len(l.requests)%97) / 97}))
	return r
}

func (l *linkSimulation) handle(r *linkRequest, effects []director.Effect) {
	switch e := lastEffect(effects).(type) {
	case *director.Refuse:
		r.ended = true
	case *director.Wait:
		r.send++
		l.after(e.For, r.vm, func() { l.handle(r, l.step(r.vm, director.WaitElapsed{ID: r.id, Random: 0.5})) })
	case *director.Send:
		l.send(r, e)
	}
}

// end reports the end of the send in flight.
func (l *linkSimulation) end(r *linkRequest, e director.SendEnded) {
	r.send++
	e.ID, e.Random = r.id, 0.5
	l.handle(r, l.step(r.vm, e))
}

// send passes a request to the first target of its path, over an idle connection or a new
// one, or through another VM.
func (l *linkSimulation) send(r *linkRequest, e *director.Send) {
	r.send++
	number, head, sentAt := r.send, e.Hops[0].Target, l.now
	current := func(do func()) func() {
		return func() {
			if !r.ended && r.send == number {
				do()
			}
		}
	}
	from := r.vm.id
	if r.relay, r.sentTo = viaOf(e), head; r.relay != "" {
		from = r.relay
	}
	d, open := l.opens(from, head)
	if from == r.vm.id && l.now < r.vm.idleUntil[head] && l.reaches(from, head) != linkReset {
		d, open = 0, true
	}
	if from != r.vm.id {
		l.after(d, l.vm(from), func() { l.step(l.vm(from), director.RelayOpened{Target: head, Connected: open}) })
	}
	if !open {
		l.after(d, r.vm, current(func() { l.end(r, notSent(l.now.Sub(sentAt))) }))
		return
	}
	l.after(d, r.vm, current(func() { l.run(r, e, from, number) }))
	l.after(r.expiresAt.Sub(l.now), r.vm, current(func() { l.end(r, director.SendEnded{Outcome: director.TimedOut, Took: l.now.Sub(sentAt)}) }))
}

// linkExchange is a send of a request over an open connection.
type linkExchange struct {
	r      *linkRequest
	send   *director.Send
	from   model.NodeID
	head   model.TargetID
	number int
	sentAt model.Instant
	// receivedAt is when the target was last able to send, and started true after the first
	// event of a stream.
	receivedAt model.Instant
	started    bool
}

// run begins the exchange with the first target over an open connection.
func (l *linkSimulation) run(r *linkRequest, e *director.Send, from model.NodeID, number int) {
	x := &linkExchange{r: r, send: e, from: from, head: e.Hops[0].Target, number: number, sentAt: l.now, receivedAt: l.now}
	if l.passes(x) {
		l.arrivals[link{from, x.head}]++
		r.ran = append(r.ran, x.head)
	}
	l.poll(x)
}

// passes reports whether bytes pass over the open connection of an exchange.
func (l *linkSimulation) passes(x *linkExchange) bool {
	state := l.reaches(x.from, x.head)
	return state == linkUp || state == linkRefuses
}

// poll continues an exchange until it ends.
func (l *linkSimulation) poll(x *linkExchange) {
	if x.r.ended || x.r.send != x.number {
		return
	}
	took := l.now.Sub(x.sentAt)
	switch {
	case l.reaches(x.from, x.head) == linkReset:
		outcome := director.Lost
		if x.started {
			outcome = director.Broken
		}
		l.end(x.r, director.SendEnded{Outcome: outcome, Took: took})
		return
	case !l.passes(x):
		if l.idle(x) {
			l.end(x.r, director.SendEnded{Outcome: director.Diverted, Took: took})
			return
		}
	case l.receive(x, took):
		return
	}
	l.after(3*simulationStep, x.r.vm, func() { l.poll(x) })
}

// idle reports whether the VM cancels an exchange without bytes.
func (l *linkSimulation) idle(x *linkExchange) bool {
	if l.now.Sub(x.receivedAt) < silenceInterval {
		return false
	}
	effects := l.step(x.r.vm, director.StreamIdle{ID: x.r.id, For: l.now.Sub(x.receivedAt)})
	return slices.ContainsFunc(effects, func(e director.Effect) bool { _, ok := e.(*director.Divert); return ok })
}

// receive reports whether the answer is complete.
func (l *linkSimulation) receive(x *linkExchange, took time.Duration) bool {
	x.receivedAt = l.now
	whole := wholePlainTime
	if x.send.Layered() {
		whole = wholeStreamTime
		if !x.started && took >= headTime {
			x.started = true
			l.step(x.r.vm, director.AnswerStarted{ID: x.r.id})
		}
	}
	if took < whole {
		return false
	}
	x.r.answered, x.r.ended = true, true
	if x.from == x.r.vm.id {
		x.r.vm.idleUntil[x.head] = l.now.Add(idleConnectionTime)
	}
	l.step(x.r.vm, director.RequestFinished{ID: x.r.id, Delivered: true})
	return true
}

// exchange sends a VM's state to those of its zone, or to all.
func (l *linkSimulation) exchange(from *linkVM, allZones bool) {
	message := from.state.OwnPeerState(l.now)
	for _, to := range l.vms {
		if to != from && (allZones || to.zone == from.zone) {
			l.after(simulationStep, to, func() { to.peers[from.id] = true; l.step(to, message) })
		}
	}
}

// every reports whether an action is due that happens at an interval, first at an offset.
func (l *linkSimulation) every(interval, offset time.Duration) bool {
	return l.elapsed%interval == offset%interval
}

// run advances the simulation; each VM receives a stream and a plain request of either
// kind at an interval.
func (l *linkSimulation) advance(d time.Duration) {
	for end := l.elapsed + d; l.elapsed < end; l.elapsed += simulationStep {
		l.now = l.now.Add(simulationStep)
		due := l.scheduled
		l.scheduled = nil
		for _, action := range due {
			if action.at > l.now {
				l.scheduled = append(l.scheduled, action)
				continue
			}
			action.do()
		}
		for n, vm := range l.vms {
			l.runVM(vm, time.Duration(n)*3*simulationStep)
			l.checkPlan(vm)
		}
	}
}

func (l *linkSimulation) runVM(vm *linkVM, offset time.Duration) {
	if l.every(650*time.Millisecond, offset) {
		l.readStore(vm)
	}
	if l.every(250*time.Millisecond, offset) {
		l.step(vm, director.ProbeDue{All: vm == l.vms[0], Lead: l.leads(vm)})
	}
	if l.every(200*time.Millisecond, offset) {
		l.exchange(vm, l.every(600*time.Millisecond, offset))
	}
	if learned := vm.state.Learned(); learned != vm.pushed && l.now.Sub(vm.pushedAt) >= pushInterval {
		vm.pushed, vm.pushedAt = learned, l.now
		l.exchange(vm, true)
	}
	for n, path := range []string{"/s/x", "/r/x", "/p/x"} {
		if !l.quiet && l.every(200*time.Millisecond, offset+time.Duration(n)*simulationStep) {
			l.arrive(vm, path)
		}
	}
}

// leads reports whether a VM monitors the targets of its zone.
func (l *linkSimulation) leads(vm *linkVM) bool {
	for _, other := range l.vms {
		if other.zone == vm.zone && !isolated(other, l.now) {
			return other == vm
		}
	}
	return false
}

// checkPlan records a view on which layers could be placed and in which a running target
// is missing.
func (l *linkSimulation) checkPlan(vm *linkVM) {
	for _, p := range vm.state.Placeable(l.now) {
		if len(p.Targets) == 0 {
			continue
		}
		for id, t := range l.targets {
			listed := slices.ContainsFunc(p.Targets, func(t fleet.Target) bool { return t.ID == id })
			if t.Kind != "" && !l.stopped[id] && !listed {
				l.partialPlans = append(l.partialPlans, fmt.Sprintf("%s at %s without %s", vm.id, l.elapsed, id))
			}
		}
	}
}

// served returns how many of the requests that arrived at VMs in a time were answered.
func (l *linkSimulation) served(from, to model.Instant, vms ...model.NodeID) (answered, all int) {
	for _, r := range l.requests {
		if r.arrivedAt < from || r.arrivedAt >= to || !slices.Contains(vms, r.vm.id) {
			continue
		}
		all++
		if r.answered {
			answered++
		}
	}
	return answered, all
}

// excessRuns returns the requests that ran on more targets, or more often, than their
// route allows.
func (l *linkSimulation) excessRuns() []string {
	var out []string
	for _, r := range l.requests {
		distinct := slices.Compact(slices.Sorted(slices.Values(r.ran)))
		if len(distinct) > 2 || r.path == "/p/x" && len(r.ran) > 1 {
			out = append(out, fmt.Sprint(r.id, " ", r.path, " at ", r.vm.id, " ran on ", r.ran))
		}
	}
	return out
}
