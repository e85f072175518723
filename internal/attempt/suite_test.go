package attempt_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/deployment"
	"tamarackreach/internal/event"
	"tamarackreach/internal/fakes"
	"tamarackreach/internal/model"
	"tamarackreach/internal/reducer"
)

func TestAttempt(t *testing.T) {
	RegisterFailHandler(Fail)
	// A fixed seed makes runs reproducible.
	Expect(flag.Set("rapid.seed", "7")).To(Succeed())
	RunSpecs(t, "attempt")
}

const (
	seed = 7
	key  = "key-callcentre-1"
)

// bench is a reducer with a fake platform and engines that answer watches.
type bench struct {
	state    *reducer.State
	platform *fakes.Platform
	shape    deployment.Shape
	now      model.Instant
	// incarnations holds the incarnation of each engine; engines in down or silent
	// send no reports.
	incarnations map[model.TargetID]model.Incarnation
	down, silent map[model.TargetID]bool
	// effects are the effects of the last event and of the events that it caused.
	effects []event.Effect
	open    map[model.RequestID]event.OpenChain
	refused map[model.RequestID]event.RefuseRequest
	tokens  map[model.RequestID]int
	reports uint64
	vms     []event.VM
	// extra counts the steps of single stages of attempts after the first.
	extra   int
	retired map[model.TargetID]int
}

// newBench returns a bench of three stages with perStage engines each.
func newBench(tb testing.TB, perStage int) *bench {
	shape := deployment.LinhaDourada(20000)
	shape.Stages, shape.Layers, shape.Engines, shape.EngineProcesses, shape.Workspaces = 3, 12, 3*perStage, 1, 1
	d, err := deployment.Write(shape, tb.TempDir())
	if err != nil {
		tb.Fatal(err)
	}
	b := &bench{
		state:    reducer.New(reducer.Config{Node: "entry-1", Incarnation: 1, Zone: "lisboa", EntryNodes: 1, Seed: seed}),
		platform: fakes.NewPlatform(), shape: shape, now: 1,
		incarnations: make(map[model.TargetID]model.Incarnation), down: make(map[model.TargetID]bool), silent: make(map[model.TargetID]bool),
		open: make(map[model.RequestID]event.OpenChain), refused: make(map[model.RequestID]event.RefuseRequest),
		tokens: make(map[model.RequestID]int), retired: make(map[model.TargetID]int),
	}
	changes, err := d.InitialChanges()
	if err != nil {
		tb.Fatal(err)
	}
	b.reduce(event.NodeStarted{})
	b.advance(3 * time.Second)
	for _, change := range changes {
		b.reduce(event.ChangeProposed{Request: model.RequestID(change.ID), Change: change})
		b.advance(2 * time.Second)
	}
	b.listVMs(d)
	return b
}

func (b *bench) listVMs(d *deployment.Deployment) {
	for _, vm := range d.VMs {
		b.vms = append(b.vms, event.VM{ID: vm.Id, Incarnation: 1, Role: event.Role(vm.Role), Zone: model.AvailabilityZone(vm.Zone), Address: vm.Address})
		b.incarnations[model.TargetID(vm.Id)] = 1
	}
	b.reduce(event.VMsListed{VMs: b.vms})
}

// replaceVM lists a new incarnation of an engine's VM.
func (b *bench) replaceVM(id model.TargetID) {
	b.incarnations[id]++
	for i := range b.vms {
		if b.vms[i].ID == string(id) {
			b.vms[i].Incarnation = b.incarnations[id]
		}
	}
	b.reduce(event.VMsListed{VMs: b.vms})
}

// reduce reduces an event and then the events that answer its effects
// immediately.
func (b *bench) reduce(ev event.Event) {
	b.effects = nil
	queue := []event.Event{ev}
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		for _, effect := range b.state.Reduce(b.now, 0, next) {
			b.effects = append(b.effects, effect)
			if answer, ok := b.platform.Answer(effect); ok {
				queue = append(queue, answer)
			}
			queue = append(queue, b.handle(effect)...)
		}
	}
}

func (b *bench) handle(effect event.Effect) []event.Event {
	switch effect := effect.(type) {
	case event.OpenChain:
		b.open[effect.Request] = effect
		if effect.Attempt > 1 {
			b.extra += len(effect.Chain) + len(rebuiltTargets(effect))
		}
		return b.brokenStreams(effect)
	case event.RetireConnections:
		b.retired[effect.Target]++
	case event.RefuseRequest:
		b.refused[effect.Request] = effect
	case *event.ForwardToken:
		b.tokens[effect.Request]++
	case event.WatchTarget:
		switch {
		case b.down[effect.Target]:
			return []event.Event{event.TargetLost{Target: effect.Target, Watch: effect.Watch, NotListening: true}}
		case !b.silent[effect.Target]:
			return []event.Event{b.report(effect.Target, effect.Watch)}
		}
	}
	return nil
}

// brokenStreams returns a broken stream at the first target of a chain that is
// down.
func (b *bench) brokenStreams(open event.OpenChain) []event.Event {
	for i, hop := range open.Chain {
		if b.down[hop.Target] {
			return []event.Event{event.StreamBroken{
				Request: open.Request, Attempt: open.Attempt, FailedTarget: hop.Target, OwnConnection: i == 0, NotListening: i == 0,
			}}
		}
	}
	return nil
}

func (b *bench) report(id model.TargetID, watch uint64) event.EngineReported {
	stage := uint32(0)
	for i := range b.shape.Engines {
		if engineID(i) == id {
			stage = uint32(i % b.shape.Stages)
		}
	}
	b.reports++
	per := b.shape.Layers / uint32(b.shape.Stages)
	return event.EngineReported{
		Target: id, Incarnation: b.incarnations[id], Sequence: b.reports, Watch: watch, Model: deployment.ModelName,
		Version: deployment.ModelVersion, Layers: model.LayerRange{First: stage * per, End: (stage + 1) * per},
		StepTime: 3 * time.Millisecond, MaxBatch: 8,
	}
}

// advance advances time in small steps, with reports from all engines that run and
// heartbeats on the streams in alive.
func (b *bench) advance(d time.Duration, alive ...model.RequestID) {
	const step = 50 * time.Millisecond
	for end := b.now.Add(d); b.now < end; {
		b.now = b.now.Add(step)
		b.reduce(event.Tick{})
		for id := range b.incarnations {
			if !b.down[id] && !b.silent[id] {
				b.reduce(b.report(id, 0))
			}
		}
		for _, id := range alive {
			b.reduce(event.StreamHeartbeat{Request: id, Attempt: b.open[id].Attempt})
		}
	}
}

func (b *bench) request(id model.RequestID, prompt string) event.OpenChain {
	b.reduce(event.RequestArrived{Request: id, WorkspaceKey: key, Model: deployment.ModelName, Prompt: prompt, MaxTokens: 64})
	return b.open[id]
}

// deliverToken delivers the next token of a request's current chain.
func (b *bench) deliverToken(id model.RequestID) { b.reduce(frame(b.open[id], b.tokens[id])) }

func frame(open event.OpenChain, index int) *event.TokenArrived {
	ev := &event.TokenArrived{Request: open.Request, Attempt: open.Attempt, Index: model.TokenIndex(index), Text: "t"}
	for _, hop := range open.Chain {
		ev.Receipts = append(ev.Receipts, model.Receipt{Target: hop.Target, Layers: hop.Layers, Version: open.Version})
	}
	return ev
}

// crash ends the incarnation of an engine and breaks its watch.
func (b *bench) crash(id model.TargetID) {
	b.down[id] = true
	b.incarnations[id]++
	b.reduce(event.TargetLost{Target: id})
}

func engineID(i int) model.TargetID {
	return model.TargetID([]string{
		"engine-01", "engine-02", "engine-03", "engine-04", "engine-05", "engine-06", "engine-07", "engine-08", "engine-09",
	}[i])
}
