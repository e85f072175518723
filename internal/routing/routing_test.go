package routing

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/settings"
	"tamarackreach/internal/targets"
	"tamarackreach/internal/timer"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	// A fixed seed makes runs reproducible.
	Expect(flag.Set("rapid.seed", "7")).To(Succeed())
	RunSpecs(t, "routing")
}

// engineSpec is a target with the report that it sends.
type engineSpec struct {
	id     model.TargetID
	zone   model.AvailabilityZone
	layers model.LayerRange
	report event.EngineReported
}

func newContext() *decision.Context {
	return &decision.Context{Timers: timer.New(), Rand: rand.New(rand.NewPCG(1, 1))}
}

// newTable returns a table of engines that have reported, and a pipeline whose
// stages name all of them.
func newTable(layers uint32, engines []engineSpec) (*targets.Table, *settings.Pipeline) {
	c, table := newContext(), targets.New()
	pipeline := &settings.Pipeline{Model: "m", Version: "v1", Stages: []settings.Stage{{Layers: model.LayerRange{End: layers}}}}
	for _, engine := range engines {
		table.ApplyVMList(c, []event.VM{{ID: string(engine.id), Incarnation: 1, Zone: engine.zone, Role: event.RoleEngine}})
		pipeline.Stages[0].Targets = append(pipeline.Stages[0].Targets, engine.id)
		report := engine.report
		report.Target, report.Incarnation, report.Sequence = engine.id, 1, 1
		report.Model, report.Layers = "m", engine.layers
		if report.Version == "" {
			report.Version = "v1"
		}
		table.Reported(c, report)
	}
	return table, pipeline
}

// cheapest returns the least weighted time of any chain by exhaustive search.
func cheapest(g *graph, end uint32, last, first *candidate, soFar time.Duration) (time.Duration, bool) {
	if end == g.layers() {
		return soFar + g.linkCost(last, first), true
	}
	best, found := time.Duration(0), false
	for _, s := range g.spans {
		if s.layers.First != end {
			continue
		}
		for at := s.from; at < s.to; at++ {
			c, from, cost := &g.candidates[at], first, soFar+g.candidates[at].ownCost
			if last == nil {
				from = c
			} else {
				cost += g.linkCost(last, c)
			}
			if total, ok := cheapest(g, s.layers.End, c, from, cost); ok && (!found || total < best) {
				best, found = total, true
			}
		}
	}
	return best, found
}

var _ = Describe("Pick", func() {
	It("finds the shortest of all chains for any layer ranges", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			layers := rapid.Uint32Range(1, 6).Draw(t, "layers")
			var engines []engineSpec
			for i := range rapid.IntRange(1, 14).Draw(t, "engines") {
				first := rapid.Uint32Range(0, layers-1).Draw(t, "first")
				version := rapid.SampledFrom([]model.ModelVersion{"v1", "v1", "v1", "v2"}).Draw(t, "version")
				engines = append(engines, engineSpec{
					id:     model.TargetID(fmt.Sprintf("t%d", i)),
					layers: model.LayerRange{First: first, End: rapid.Uint32Range(first+1, layers).Draw(t, "end")},
					report: event.EngineReported{
						Version: version, MaxBatch: 4, Queued: rapid.Uint32Range(0, 20).Draw(t, "queued"),
						StepTime: time.Duration(rapid.IntRange(1, 9).Draw(t, "step")) * time.Millisecond,
					},
				})
			}
			table, pipeline := newTable(layers, engines)
			request := &Request{Pipeline: pipeline, PromptBytes: 600, Rand: rand.New(rand.NewPCG(1, 2))}
			g := newGraph(table, request)
			want, exists := cheapest(g, 0, nil, nil, 0)
			best, ok := g.shortest()
			if ok != exists {
				t.Fatalf("Pick found a chain: %t; a chain exists: %t", ok, exists)
			}
			if !ok {
				return
			}
			chain := g.chain(g.path(best))
			next := uint32(0)
			for _, hop := range chain.Hops {
				if target, _ := table.Get(hop.Target); hop.Layers.First != next || target.Version != "v1" {
					t.Fatalf("%s with %s does not continue the chain at layer %d", hop.Target, hop.Layers, next)
				}
				next = hop.Layers.End
			}
			c := &g.candidates[best]
			if got := c.pathCost + g.linkCost(c, &g.candidates[c.first]); next != layers || got != want {
				t.Fatalf("chain %v costs %s, the shortest chain costs %s", chain.Hops, got, want)
			}
		})
	})

	halves := func(report func(i int) event.EngineReported) (*targets.Table, *settings.Pipeline) {
		var engines []engineSpec
		for i := range 4 {
			half := uint32(i / 2)
			engines = append(engines, engineSpec{
				id: model.TargetID(fmt.Sprintf("t%d", i)), report: report(i),
				layers: model.LayerRange{First: half * 4, End: half*4 + 4},
			})
		}
		return newTable(8, engines)
	}
	names := func(chain Chain) (ids []model.TargetID) {
		for _, hop := range chain.Hops {
			ids = append(ids, hop.Target)
		}
		return ids
	}
	plain := func(int) event.EngineReported {
		return event.EngineReported{StepTime: 4 * time.Millisecond, MaxBatch: 4}
	}

	It("avoids a link as soon as a report shows it degraded", func() {
		latency := func(i int) event.EngineReported {
			report := plain(i)
			report.Links = []event.Link{{To: "t2", Latency: 100 * time.Microsecond}, {To: "t3", Latency: 10 * time.Millisecond}}
			return report
		}
		table, pipeline := halves(latency)
		chain, _ := Pick(table, &Request{Pipeline: pipeline})
		Expect(names(chain)[1]).To(Equal(model.TargetID("t2")))
		for _, id := range []model.TargetID{"t0", "t1"} {
			target, _ := table.Get(id)
			target.Links["t2"] = 100 * time.Millisecond
		}
		chain, _ = Pick(table, &Request{Pipeline: pipeline})
		Expect(names(chain)[1]).To(Equal(model.TargetID("t3")))
	})

	It("prefers the target that caches the prefix until its event sequence has a gap", func() {
		table, pipeline := halves(plain)
		report := plain(1)
		report.Target, report.Incarnation, report.Sequence, report.Model, report.Version = "t1", 1, 2, "m", "v1"
		report.Layers, report.Cache = model.LayerRange{End: 4}, []event.CacheEvent{{PrefixKey: "p"}}
		table.Reported(newContext(), report)
		request := &Request{Pipeline: pipeline, PrefixKey: "p", PromptBytes: 4000}
		chain, _ := Pick(table, request)
		Expect(names(chain)[0]).To(Equal(model.TargetID("t1")))
		report.Sequence, report.Cache = 4, nil
		table.Reported(newContext(), report)
		chain, _ = Pick(table, request)
		Expect(names(chain)[0]).To(Equal(model.TargetID("t0")))
	})

	It("uses all kept targets again or returns no chain", func() {
		table, pipeline := halves(plain)
		request := &Request{Pipeline: pipeline, Keep: map[int]model.TargetID{0: "t1"}, Avoid: map[model.TargetID]bool{"t2": true}}
		chain, ok := Pick(table, request)
		Expect(ok).To(BeTrue())
		Expect(names(chain)).To(Equal([]model.TargetID{"t1", "t3"}))
		request.Keep[0] = "t9"
		_, ok = Pick(table, request)
		Expect(ok).To(BeFalse())
	})
})

// fleet returns a large pipeline of four stages over three zones.
func fleet(size int) (*targets.Table, *settings.Pipeline) {
	const stages, zones = 4, 3
	engines := make([]engineSpec, size)
	for i := range engines {
		stage := uint32(i % stages)
		engines[i] = engineSpec{
			id:     model.TargetID(fmt.Sprintf("target-%05d", i)),
			zone:   model.AvailabilityZone(fmt.Sprintf("z%d", i/stages%zones)),
			layers: model.LayerRange{First: stage * 8, End: stage*8 + 8},
			report: event.EngineReported{StepTime: time.Duration(3+i%3) * time.Millisecond, MaxBatch: 8},
		}
		for link := range 16 {
			to := model.TargetID(fmt.Sprintf("target-%05d", (i+link)%size))
			engines[i].report.Links = append(engines[i].report.Links, event.Link{To: to, Latency: time.Millisecond})
		}
	}
	return newTable(32, engines)
}

// BenchmarkPick measures one routing decision for pipelines of several sizes.
func BenchmarkPick(b *testing.B) {
	for _, size := range []int{40, 1000, 12000} {
		b.Run(fmt.Sprintf("targets=%d", size), func(b *testing.B) {
			table, pipeline := fleet(size)
			request := &Request{Pipeline: pipeline, PrefixKey: "p", Zone: "z1", Nodes: 4, Rand: rand.New(rand.NewPCG(1, 1))}
			table.Pool(pipeline)
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := Pick(table, request); !ok {
					b.Fatal("no chain")
				}
			}
		})
	}
}
