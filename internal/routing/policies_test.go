package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/admission"
	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/settings"
	"tamarackreach/internal/targets"
	"tamarackreach/internal/timer"
)

const (
	fleetSize, fleetBatch, entryNodes = 40, 8, 4
	reportEvery, reportLag            = 500 * time.Millisecond, 200 * time.Millisecond
	warmUp, degradeAt, runFor         = 5 * time.Second, 10 * time.Second, 15 * time.Second
	meanAnswerTokens                  = 64
)

// policies are routing policies that select a path from the same candidates.
var policies = []struct {
	name string
	pick func(g *graph) ([]int, bool)
}{
	{"least-loaded", func(g *graph) ([]int, bool) {
		return g.pickPerStage(func(s span) []int { return g.indexes(s) }, func(at int) float64 { return g.utilisation(g.candidates[at].target, plannedTokenInterval) })
	}},
	{"two-choices", func(g *graph) ([]int, bool) {
		return g.pickPerStage(func(s span) []int {
			r := g.request.Rand
			return []int{s.from + r.IntN(s.to-s.from), s.from + r.IntN(s.to-s.from)}
		}, func(at int) float64 { return g.utilisation(g.candidates[at].target, plannedTokenInterval) })
	}},
	{"rendezvous", func(g *graph) ([]int, bool) {
		return g.pickPerStage(func(s span) []int { return g.indexes(s) }, func(at int) float64 {
			hash := xxhash.Sum64String(g.request.PrefixKey + string(g.candidates[at].target.ID))
			full := 0.0
			if g.utilisation(g.candidates[at].target, plannedTokenInterval) >= 1 {
				full = 1
			}
			return full + float64(hash>>12)/float64(1<<52)
		})
	}},
	{"shortest-path", func(g *graph) ([]int, bool) {
		best, ok := g.shortest()
		if !ok {
			return nil, false
		}
		return g.path(best), true
	}},
}

func (g *graph) indexes(s span) (indexes []int) {
	for at := s.from; at < s.to; at++ {
		indexes = append(indexes, at)
	}
	return indexes
}

func (g *graph) pickPerStage(draw func(span) []int, cost func(int) float64) ([]int, bool) {
	var path []int
	for _, s := range g.spans {
		path = append(path, slices.MinFunc(draw(s), func(a, b int) int {
			if cost(a) < cost(b) {
				return -1
			}
			return 1
		}))
	}
	return path, len(path) == len(g.request.Pipeline.Stages)
}

// simulation is a discrete-event simulation of engines with continuous batching,
// one queue each, and of entry VMs that route and admit requests with the code
// under test.
type simulation struct {
	now      time.Duration
	pending  callQueue
	rand     *rand.Rand
	engines  []*engine
	nodes    []*node
	pipeline *settings.Pipeline
	pick     func(g *graph) ([]int, bool)
	// workload returns the workspace of the next request; shares are the quotas.
	workload func(b *simulation) model.WorkspaceID
	shares   map[model.WorkspaceID]uint32

	tokens, arrived, refused        int
	firstTokenTimes, tokenIntervals []time.Duration
	sentTokens, doneTokens          map[model.WorkspaceID]int
}

// pending is a function that is to run at a simulated time; seq orders those of
// the same time.
type pending struct {
	at  time.Duration
	seq int
	do  func()
}

type callQueue struct {
	items []pending
	seq   int
}

func (t *callQueue) Len() int { return len(t.items) }
func (t *callQueue) Less(i, j int) bool {
	a, b := t.items[i], t.items[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (t *callQueue) Swap(i, j int) { t.items[i], t.items[j] = t.items[j], t.items[i] }
func (t *callQueue) Push(x any)    { t.items = append(t.items, x.(pending)) }
func (t *callQueue) Pop() any {
	last := t.items[len(t.items)-1]
	t.items = t.items[:len(t.items)-1]
	return last
}

type engine struct {
	engineSpec
	links   []time.Duration
	waiting []func()
	running int
}

type node struct {
	table            *targets.Table
	admissionControl *admission.Controller
	c                *decision.Context
}

func (b *simulation) schedule(d time.Duration, do func()) {
	b.pending.seq++
	heap.Push(&b.pending, pending{at: b.now + d, seq: b.pending.seq, do: do})
}

// newSimulation returns a simulation with 4 stages of 10 engines, 3 step times and
// link latencies that differ by a factor of 100.
func newSimulation(seed uint64) *simulation {
	b := &simulation{rand: rand.New(rand.NewPCG(seed, 0)), sentTokens: make(map[model.WorkspaceID]int), doneTokens: make(map[model.WorkspaceID]int)}
	speeds := []time.Duration{3 * time.Millisecond, 4 * time.Millisecond, 6 * time.Millisecond}
	latencies := []time.Duration{100 * time.Microsecond, 100 * time.Microsecond, time.Millisecond, time.Millisecond, 10 * time.Millisecond}
	var static []engineSpec
	for i := range fleetSize {
		e := &engine{engineSpec: engineSpec{
			id: model.TargetID(fmt.Sprintf("t%02d", i)), zone: model.AvailabilityZone(fmt.Sprint("z", i%3)),
			layers: model.LayerRange{First: uint32(i % 4), End: uint32(i%4) + 1},
			report: event.EngineReported{StepTime: speeds[i/4%3], MaxBatch: fleetBatch},
		}}
		for j := range fleetSize {
			e.links = append(e.links, latencies[b.rand.IntN(len(latencies))])
			e.report.Links = append(e.report.Links, event.Link{To: model.TargetID(fmt.Sprintf("t%02d", j)), Latency: e.links[j]})
		}
		b.engines = append(b.engines, e)
		static = append(static, e.engineSpec)
	}
	for i := range entryNodes {
		n := &node{admissionControl: admission.New(), c: &decision.Context{Timers: timer.New(), Rand: rand.New(rand.NewPCG(seed, uint64(i)+1))}}
		n.table, b.pipeline = newTable(4, static)
		b.nodes = append(b.nodes, n)
	}
	b.pipeline.Stages = make([]settings.Stage, 4)
	for i, e := range b.engines {
		b.pipeline.Stages[i%4].Layers = e.layers
		b.pipeline.Stages[i%4].Targets = append(b.pipeline.Stages[i%4].Targets, e.id)
	}
	return b
}

// maxTokensPerSecond returns the maximum flow in tokens/s. It is the least
// capacity of any stage, because every request passes through all stages.
func (b *simulation) maxTokensPerSecond() float64 {
	var stages [4]float64
	for i, e := range b.engines {
		stages[i%4] += fleetBatch / e.report.StepTime.Seconds()
	}
	return slices.Min(stages[:])
}

func (b *simulation) run(load float64) {
	rate := load * b.maxTokensPerSecond() / meanAnswerTokens
	var arrive func()
	arrive = func() {
		b.arrive()
		b.schedule(time.Duration(b.rand.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	b.schedule(0, arrive)
	for i, e := range b.engines {
		b.schedule(reportEvery*time.Duration(i)/fleetSize, func() { b.report(e, 2) })
	}
	b.schedule(degradeAt, func() { b.engines[0].links[b.fastestNext(0)] *= 100 })
	for b.pending.Len() > 0 && b.now < runFor {
		next := heap.Pop(&b.pending).(pending)
		b.now = next.at
		next.do()
	}
}

// fastestNext returns the engine of the next stage with the fastest link.
func (b *simulation) fastestNext(from int) int {
	best := from + 1
	for to := from + 1; to < fleetSize; to += 4 {
		if b.engines[from].links[to] < b.engines[from].links[best] {
			best = to
		}
	}
	return best
}

func (b *simulation) report(e *engine, sequence uint64) {
	report := e.report
	report.Target, report.Incarnation, report.Sequence = e.id, 1, sequence
	report.Model, report.Version, report.Layers = "m", "v1", e.layers
	report.Running, report.Queued = uint32(e.running), uint32(len(e.waiting))
	report.Links = nil
	for j, latency := range e.links {
		report.Links = append(report.Links, event.Link{To: b.engines[j].id, Latency: latency})
	}
	b.schedule(reportLag, func() {
		for _, n := range b.nodes {
			n.table.Reported(n.c, report)
		}
	})
	b.schedule(reportEvery, func() { b.report(e, sequence+1) })
}

func (b *simulation) arrive() {
	n := b.nodes[b.rand.IntN(entryNodes)]
	workspace := model.WorkspaceID("w")
	if b.workload != nil {
		workspace = b.workload(b)
	}
	counted := b.now >= warmUp
	request := &Request{
		Pipeline: b.pipeline, PrefixKey: fmt.Sprint("p", b.rand.IntN(20)), PromptBytes: 1000,
		Tokens: uint32(meanAnswerTokens/2 + b.rand.IntN(meanAnswerTokens+1)), Zone: "z0", Nodes: entryNodes, Rand: n.c.Rand,
	}
	g := newGraph(n.table, request)
	path, ok := b.pick(g)
	if !ok {
		panic("no chain")
	}
	chain := g.chain(path)
	n.c.Now = model.Instant(b.now)
	refusal := n.admissionControl.Admit(n.c, admission.RequestInfo{
		Pipeline: "p", Workspace: workspace, Share: b.shares[workspace], Within: 1900 * time.Millisecond,
		FirstToken: chain.FirstToken, PerToken: chain.PerToken, IdlePerToken: chain.IdlePerToken, Utilisation: chain.Utilisation,
	})
	if counted {
		b.arrived++
		b.sentTokens[workspace] += int(request.Tokens)
		if refusal != nil {
			b.refused++
		}
	}
	if refusal != nil {
		return
	}
	n.admissionControl.CountStarted("p", workspace)
	n.table.CountSent(chain.Hops)
	b.runRequest(n, workspace, chain, int(request.Tokens))
}

// runRequest simulates a request token by token along its chain.
func (b *simulation) runRequest(n *node, workspace model.WorkspaceID, chain Chain, tokens int) {
	var hops []*engine
	var index []int
	prefill := time.Duration(0)
	for _, hop := range chain.Hops {
		at := slices.IndexFunc(b.engines, func(e *engine) bool { return e.id == hop.Target })
		hops, index = append(hops, b.engines[at]), append(index, at)
		prefill = max(prefill, 2*b.engines[at].report.StepTime)
	}
	start, last := b.now, time.Duration(-1)
	var step func(at int)
	step = func(at int) {
		b.submit(hops[at], func() {
			if at == len(hops)-1 {
				b.recordToken(workspace, start, last)
				last = b.now
				if tokens--; tokens == 0 {
					n.table.CountEnded(chain.Hops)
					n.admissionControl.CountEnded(model.Instant(b.now), "p", workspace)
					return
				}
			}
			next := (at + 1) % len(hops)
			b.schedule(hops[at].links[index[next]], func() { step(next) })
		})
	}
	b.schedule(prefill, func() { step(0) })
}

func (b *simulation) recordToken(workspace model.WorkspaceID, start, last time.Duration) {
	if b.now < warmUp {
		return
	}
	b.tokens++
	b.doneTokens[workspace]++
	if last < 0 {
		b.firstTokenTimes = append(b.firstTokenTimes, b.now-start)
	} else {
		b.tokenIntervals = append(b.tokenIntervals, b.now-last)
	}
}

func (b *simulation) submit(e *engine, done func()) {
	e.waiting = append(e.waiting, done)
	if e.running == 0 {
		b.startBatch(e)
	}
}

func (b *simulation) startBatch(e *engine) {
	e.running = min(fleetBatch, len(e.waiting))
	if e.running == 0 {
		return
	}
	jobs := slices.Clone(e.waiting[:e.running])
	e.waiting = slices.Delete(e.waiting, 0, e.running)
	b.schedule(e.report.StepTime, func() {
		e.running = 0
		for _, done := range jobs {
			done()
		}
		if e.running == 0 {
			b.startBatch(e)
		}
	})
}

func p95(times []time.Duration) float64 {
	slices.Sort(times)
	return float64(times[len(times)*95/100]) / float64(time.Millisecond)
}

var _ = Describe("a pipeline at 1.2 times its capacity", func() {
	overload := func(load float64, workload func(b *simulation) model.WorkspaceID, shares map[model.WorkspaceID]uint32) *simulation {
		b := newSimulation(7)
		b.workload, b.shares = workload, shares
		b.pick = policies[len(policies)-1].pick
		b.run(load)
		return b
	}
	window := (runFor - warmUp).Seconds()

	It("delivers at least 0.95 of its capacity within the deadline and the inter-token time", func() {
		nearly, over := overload(0.9, nil, nil), overload(1.2, nil, nil)
		Expect(float64(over.tokens) / window).To(BeNumerically(">=", 0.95*over.maxTokensPerSecond()))
		Expect(over.tokens).To(BeNumerically(">=", nearly.tokens))
		Expect(p95(over.firstTokenTimes)).To(BeNumerically("<=", 1900))
		Expect(p95(over.tokenIntervals)).To(BeNumerically("<=", 49))
	})

	It("serves a light workspace in full beside a heavy one", func() {
		b := overload(1.2, func(b *simulation) model.WorkspaceID {
			return []model.WorkspaceID{"light", "heavy"}[min(1, b.rand.IntN(6))]
		}, map[model.WorkspaceID]uint32{"light": 100, "heavy": 100})
		Expect(float64(b.doneTokens["light"])).To(BeNumerically(">=", 0.95*float64(b.sentTokens["light"])))
		Expect(float64(b.tokens) / window).To(BeNumerically(">=", 0.95*b.maxTokensPerSecond()))
	})

	It("divides capacity among heavy workspaces by their shares", func() {
		b := overload(2, func(b *simulation) model.WorkspaceID {
			return []model.WorkspaceID{"small", "large"}[b.rand.IntN(2)]
		}, map[model.WorkspaceID]uint32{"small": 100, "large": 200})
		Expect(float64(b.doneTokens["large"]) / float64(b.doneTokens["small"])).To(BeNumerically("~", 2, 0.3))
	})
})

// BenchmarkPolicies compares the policies at several loads, relative to the
// capacity of the pipeline, with seed 7.
func BenchmarkPolicies(b *testing.B) {
	for _, load := range []float64{0.5, 0.9, 1.2} {
		for _, policy := range policies {
			b.Run(fmt.Sprintf("load=%.1f/%s", load, policy.name), func(b *testing.B) {
				var run *simulation
				for b.Loop() {
					run = newSimulation(7)
					run.pick = policy.pick
					run.run(load)
				}
				window := (runFor - warmUp).Seconds()
				b.ReportMetric(float64(run.tokens)/window/run.maxTokensPerSecond(), "of-bound")
				b.ReportMetric(p95(run.firstTokenTimes), "p95-first-ms")
				b.ReportMetric(p95(run.tokenIntervals), "p95-gap-ms")
				b.ReportMetric(float64(run.refused)/float64(run.arrived), "refused")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
