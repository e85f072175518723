package director_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/internal/retrybudget"
)

// simEvent is an action at a time of an admission simulation; order breaks ties.
type simEvent struct {
	at    model.Instant
	order int
	do    func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].order, e[j].order)) < 0
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simKind is a kind of requests and what became of them.
type simKind struct {
	path     string
	priority int
	goal     time.Duration
	key      string
	share    float64

	arrived, refused, late int
	retryAfter             time.Duration
}

// servedInTime returns the share of requests with a first event within the goal.
func (k *simKind) servedInTime() float64 { return 1 - float64(k.refused+k.late)/float64(k.arrived) }
func (k *simKind) refusedShare() float64 { return float64(k.refused) / float64(k.arrived) }

// lateShare is the share of late answers among those of all admitted requests.
func (k *simKind) lateShare() float64 {
	return float64(k.late) / max(float64(k.arrived-k.refused), 1)
}

// simRequest is a request at a target.
type simRequest struct {
	kind          *simKind
	vm            *director.State
	id            model.RequestID
	arrivedAt     model.Instant
	prompt, steps float64
}

// simTarget runs passes, each with decode steps of its running requests and one chunk of the
// most urgent waiting prompt.
type simTarget struct {
	waiting, running []*simRequest
	busy             bool
}

// admissionSimulation is a number of VMs that send requests of several kinds to the targets of
// one service, with messages between them that are up to 200 ms old.
type admissionSimulation struct {
	now     model.Instant
	events  simEvents
	order   int
	random  *rand.Rand
	config  *fleet.Config
	vms     []*director.State
	targets map[model.TargetID]*simTarget
	kinds   []*simKind
	// measuring is false while requests are not counted, and counted reports at which VMs they
	// are.
	measuring bool
	counted   func(*director.State) bool
	// partitioned is true while no message between VMs arrives.
	partitioned bool
}

const simEngineTargets = 4

// simHardware has memory for the weights of the model and 37 requests, of which it reads prompts
// as fast as it completes answers.
var simHardware = fleet.Hardware{MemoryMB: 160000, DecodeFactor: 2.4, PrefillFactor: 3.2}

// newAdmissionSimulation returns a simulation in which the routes have the priorities of the
// kinds when ordered is true, and one priority otherwise. The targets order by priority in
// both cases.
func newAdmissionSimulation(vms int, ordered bool, seed uint64, kinds ...*simKind) *admissionSimulation {
	a := &admissionSimulation{
		now: model.Instant(time.Hour), random: rand.New(rand.NewPCG(seed, 0)), config: config(7), targets: map[model.TargetID]*simTarget{}, kinds: kinds,
	}
	route := a.config.Routes[0]
	a.config.Routes, a.config.Workspaces = nil, nil
	a.config.Services[llm].Engine.Hardware = map[model.AcceleratorKind]fleet.Hardware{"big": simHardware}
	for _, k := range kinds {
		next := route
		next.Name, next.Prefix, next.LatencyGoal = k.path, k.path, k.goal
		if ordered {
			next.Priority = k.priority
		}
		if !slices.ContainsFunc(a.config.Routes, func(r fleet.Route) bool { return r.Prefix == k.path }) {
			a.config.Routes = append(a.config.Routes, next)
		}
		if !slices.ContainsFunc(a.config.Workspaces, func(w fleet.Workspace) bool { return w.Keys[0] == k.key }) {
			a.config.Workspaces = append(a.config.Workspaces, fleet.Workspace{ID: model.WorkspaceID("of-" + k.key), Keys: []string{k.key}})
		}
	}
	for i := range vms {
		a.vms = append(a.vms, a.newVM(i))
	}
	for i := range simEngineTargets {
		a.targets[model.TargetID(fmt.Sprint("t-", i))] = &simTarget{}
	}
	for i := range a.vms {
		a.start(i)
		a.after(time.Duration(i)*200*time.Millisecond/time.Duration(vms), func() { a.message(i) })
	}
	return a
}

// newVM returns a VM that has just started.
func (a *admissionSimulation) newVM(vm int) *director.State {
	return director.New(director.Settings{
		VM: model.NodeID(fmt.Sprint("vm-", vm)), Zone: "a", ConfigApply: time.Hour, Stall: 2500 * time.Millisecond,
		Retries: retrybudget.Settings{Ratio: 0.2, Slack: 20, Window: 10 * time.Second},
	})
}

// countOnly counts only the requests at some VMs, and returns the kinds.
func (a *admissionSimulation) countOnly(at func(*director.State) bool) []*simKind {
	a.counted = at
	return a.kinds
}

// counts reports whether a request at a VM is counted.
func (a *admissionSimulation) counts(vm *director.State) bool {
	return a.measuring && (a.counted == nil || a.counted(vm))
}

// start gives a VM the configuration and the targets.
func (a *admissionSimulation) start(vm int) {
	a.vms[vm].Step(a.now, director.ConfigRead{Config: a.config, Started: a.now})
	read := director.TargetsRead{Rows: map[model.TargetID]fleet.StoreVersion{}}
	for i := range simEngineTargets {
		id := model.TargetID(fmt.Sprint("t-", i))
		read.Targets = append(read.Targets, &fleet.Target{
			ID: id, Service: llm, Address: "at-" + string(id), Zone: "a", State: fleet.TargetReady, Slots: 192, Kind: "big", Held: model.LayerRange{End: 80}, StartedMs: 1,
		})
		read.Rows[id] = fleet.StoreVersion{Row: 1}
	}
	a.vms[vm].Step(a.now, read)
}

func (a *admissionSimulation) after(d time.Duration, do func()) {
	a.order++
	heap.Push(&a.events, simEvent{at: a.now.Add(d), order: a.order, do: do})
}

// run advances the simulation.
func (a *admissionSimulation) run(d time.Duration) {
	for until := a.now.Add(d); len(a.events) > 0 && a.events[0].at <= until; {
		e := heap.Pop(&a.events).(simEvent)
		a.now = e.at
		e.do()
	}
}

// message sends the state of a VM to all others every 200 ms.
func (a *admissionSimulation) message(from int) {
	state := a.vms[from].OwnPeerState(a.now)
	for i, vm := range a.vms {
		if i != from && !a.partitioned {
			vm.Step(a.now, state)
		}
	}
	a.after(200*time.Millisecond, func() { a.message(from) })
}

// load lets requests of a kind arrive, at a number per second from now on.
func (a *admissionSimulation) load(k *simKind, perSecond func() float64) {
	a.after(time.Duration(a.random.ExpFloat64()/perSecond()*float64(time.Second)), func() {
		a.arrive(k)
		a.load(k, perSecond)
	})
}

func (a *admissionSimulation) arrive(k *simKind) {
	a.order++
	r := &simRequest{
		kind: k, vm: a.vms[a.random.IntN(len(a.vms))], id: model.RequestID(fmt.Sprint("q", a.order)), arrivedAt: a.now,
		prompt: 400 + 800*a.random.Float64(), steps: 100 + 200*a.random.Float64(),
	}
	effect := lastEffect(r.vm.Step(a.now, director.RequestArrived{Request: &fleet.Request{
		ID: r.id, Method: "POST", Host: "h", Path: k.path, Key: k.key, HasKey: true, Deadline: 20 * time.Second, PromptTokens: int(r.prompt), AnswerTokens: int(r.steps),
	}, Random: a.random.Float64()}))
	if a.counts(r.vm) {
		k.arrived++
	}
	switch e := effect.(type) {
	case *director.Refuse:
		if a.counts(r.vm) {
			k.refused++
			k.retryAfter += e.RetryAfter
		}
	case *director.Send:
		t := a.targets[e.Hops[0].Target]
		t.waiting = append(t.waiting, r)
		a.pass(t)
	}
}

// pass begins the next pass of a target that is idle.
func (a *admissionSimulation) pass(t *simTarget) {
	if t.busy || len(t.waiting)+len(t.running) == 0 {
		return
	}
	t.busy = true
	engine := a.config.Services[llm].Engine
	ms := engine.StepsPerPass * 2.4 * engine.StepMsAt(float64(len(t.running)))
	var first *simRequest
	if len(t.waiting) > 0 {
		first = slices.MinFunc(t.waiting, func(x, y *simRequest) int { return cmp.Compare(x.kind.priority, y.kind.priority) })
		ms = engine.PassMs(engine.Hardware["big"], engine.Layers, float64(len(t.running)))
	}
	a.after(time.Duration(ms*float64(time.Millisecond)), func() {
		t.busy = false
		a.endPass(t, first)
		a.pass(t)
	})
}

// endPass applies the results of a pass that read a chunk of a prompt.
func (a *admissionSimulation) endPass(t *simTarget, read *simRequest) {
	engine := a.config.Services[llm].Engine
	t.running = slices.DeleteFunc(t.running, func(r *simRequest) bool {
		if r.steps -= engine.StepsPerPass; r.steps > 0 {
			return false
		}
		r.vm.Step(a.now, director.RequestFinished{ID: r.id, Delivered: true})
		return true
	})
	if read == nil {
		return
	}
	if read.prompt -= engine.PrefillChunkTokens; read.prompt > 0 {
		return
	}
	t.waiting = slices.DeleteFunc(t.waiting, func(r *simRequest) bool { return r == read })
	t.running = append(t.running, read)
	read.vm.Step(a.now, director.AnswerStarted{ID: read.id})
	if a.counts(read.vm) && a.now.Sub(read.arrivedAt) > read.kind.goal {
		read.kind.late++
	}
}

// simCapacity returns how many requests a second all targets complete that always have
// waiting ones.
func simCapacity() float64 { return simCapacityOf(simHardware) }

// simCapacityOf is simCapacity for targets of a kind of hardware.
func simCapacityOf(hardware fleet.Hardware) float64 {
	const goal, measured = time.Hour, 60 * time.Second
	k := &simKind{path: "/s/", goal: goal, key: "key"}
	a := newAdmissionSimulation(1, false, 1, k)
	a.config.Services[llm].Engine.Hardware["big"] = hardware
	a.load(k, func() float64 { return 500 })
	a.run(10 * time.Second)
	a.measuring = true
	a.run(measured)
	return float64(k.arrived-k.refused) / measured.Seconds()
}

// overload runs kinds at a multiple of the capacity for a minute, after ten seconds at half of
// the capacity.
func (a *admissionSimulation) overload(capacity, multiple float64) {
	current := 0.5
	for _, k := range a.kinds {
		a.load(k, func() float64 { return current * capacity * k.share })
	}
	a.run(10 * time.Second)
	current, a.measuring = multiple, true
	a.run(time.Minute)
}

// report prints what became of each kind.
func (a *admissionSimulation) report(title string) {
	_, _ = fmt.Fprintln(GinkgoWriter, title)
	for _, k := range a.kinds {
		_, _ = fmt.Fprintf(GinkgoWriter, "  priority %d goal %v key %s: %d arrived, %d refused (%.3f), %d late (%.3f of admitted), %.3f in time, mean Retry-After %v\n",
			k.priority, k.goal, k.key, k.arrived, k.refused, k.refusedShare(), k.late, k.lateShare(), k.servedInTime(), k.retryAfter/time.Duration(max(k.refused, 1)))
	}
}

func simKinds() []*simKind {
	return []*simKind{
		{path: "/s/0/", priority: 0, goal: 500 * time.Millisecond, key: "key", share: 1. / 3},
		{path: "/s/1/", priority: 1, goal: 500 * time.Millisecond, key: "key", share: 1. / 3},
		{path: "/s/2/", priority: 2, goal: time.Second, key: "key", share: 1. / 3},
	}
}

var _ = Describe("kinds of requests of one service beyond its capacity", func() {
	for _, vms := range []int{1, 4, 16} {
		It(fmt.Sprintf("are refused and late in the order of their priorities with %d VMs", vms), func() {
			capacity := simCapacity()
			before := newAdmissionSimulation(vms, false, 5, simKinds()...)
			before.overload(capacity, 1.5)
			before.report(fmt.Sprintf("%d VMs, %.1f requests/s capacity, one priority (as before)", vms, capacity))
			after := newAdmissionSimulation(vms, true, 5, simKinds()...)
			after.overload(capacity, 1.5)
			after.report(fmt.Sprintf("%d VMs, priorities in force", vms))
			all := 0.0
			for _, k := range after.kinds {
				all += (1 - k.refusedShare()) / 3
			}
			Expect(after.kinds[0].refusedShare()).To(BeNumerically("<=", after.kinds[1].refusedShare()))
			Expect(after.kinds[1].refusedShare()).To(BeNumerically("<=", after.kinds[2].refusedShare()))
			Expect(after.kinds[0].lateShare()).To(BeNumerically("<=", after.kinds[1].lateShare()))
			Expect(after.kinds[1].lateShare()).To(BeNumerically("<=", after.kinds[2].lateShare()))
			Expect(1-after.kinds[2].refusedShare()).To(BeNumerically(">=", all/4), "no kind starves")
		})
	}
})
