package paths_test

import (
	"flag"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/internal/paths"
)

func TestPaths(t *testing.T) {
	RegisterFailHandler(Fail)
	// A fixed seed makes the result reproducible.
	Expect(flag.Set("rapid.seed", "7")).To(Succeed())
	RunSpecs(t, "paths")
}

var costs = paths.Costs{Hop: 0.3, ZoneChange: 60, RemoteZone: 3}

func holder(id string, zone model.AvailabilityZone, first, end uint32, cost float64) paths.Holder {
	return paths.Holder{
		ID: model.TargetID(id), Address: id, Zone: zone, Layers: model.LayerRange{First: first, End: end}, CostPerLayer: cost,
	}
}

// ids lists the targets of a path.
func ids(hops []fleet.Hop) []model.TargetID {
	var out []model.TargetID
	for _, h := range hops {
		out = append(out, h.Target)
	}
	return out
}

// expectComplete checks that hops run every layer once and in order, within the
// layers of each target, and that no target appears twice.
func expectComplete(g Gomega, hops []fleet.Hop, holders []paths.Holder, layers uint32) {
	at := uint32(0)
	seen := map[model.TargetID]bool{}
	for _, hop := range hops {
		g.Expect(hop.Layers.First).To(Equal(at))
		at = hop.Layers.End
		g.Expect(seen[hop.Target]).To(BeFalse())
		seen[hop.Target] = true
		for _, h := range holders {
			if h.ID == hop.Target {
				g.Expect(h.Layers.First).To(BeNumerically("<=", hop.Layers.First))
				g.Expect(h.Layers.End).To(BeNumerically(">=", hop.Layers.End))
			}
		}
	}
	g.Expect(at).To(Equal(layers))
	g.Expect(len(hops)).To(BeNumerically("<=", paths.MaxHops))
}

var _ = Describe("Find", func() {
	It("chooses the cheaper of two holders of a range", func() {
		hops, _, ok := paths.Find([]paths.Holder{
			holder("a", "z", 0, 40, 1), holder("b", "z", 40, 80, 2), holder("c", "z", 40, 80, 1),
		}, 80, "z", costs)
		Expect(ok).To(BeTrue())
		Expect(ids(hops)).To(Equal([]model.TargetID{"a", "c"}))
	})

	It("uses a part of the layers of a target", func() {
		hops, _, ok := paths.Find([]paths.Holder{holder("a", "z", 0, 50, 1), holder("b", "z", 30, 80, 2)}, 80, "z", costs)
		Expect(ok).To(BeTrue())
		Expect(hops).To(HaveLen(2))
		Expect(hops[0].Layers.End).To(BeNumerically("==", 50))
	})

	It("prefers a complete path in another zone to a path across zones", func() {
		hops, _, ok := paths.Find([]paths.Holder{
			holder("a1", "a", 0, 40, 1), holder("b1", "b", 0, 40, 1), holder("b2", "b", 40, 80, 1),
		}, 80, "a", costs)
		Expect(ok).To(BeTrue())
		Expect(ids(hops)).To(Equal([]model.TargetID{"b1", "b2"}))
	})

	It("uses several zones when no zone holds all layers", func() {
		hops, _, ok := paths.Find([]paths.Holder{holder("a1", "a", 0, 40, 1), holder("b2", "b", 40, 80, 1)}, 80, "a", costs)
		Expect(ok).To(BeTrue())
		Expect(ids(hops)).To(Equal([]model.TargetID{"a1", "b2"}))
	})

	It("finds no path when a layer has no holder", func() {
		_, _, ok := paths.Find([]paths.Holder{holder("a", "z", 0, 39, 1), holder("b", "z", 40, 80, 1)}, 80, "z", costs)
		Expect(ok).To(BeFalse())
		_, _, ok = paths.Find(nil, 80, "z", costs)
		Expect(ok).To(BeFalse())
	})

	It("returns only complete paths for random holders", func() {
		found := 0
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const layers = 12
			var holders []paths.Holder
			for i := range rapid.IntRange(1, 14).Draw(t, "holders") {
				first := rapid.Uint32Range(0, layers-1).Draw(t, "first")
				end := rapid.Uint32Range(first+1, layers).Draw(t, "end")
				zone := rapid.SampledFrom([]model.AvailabilityZone{"a", "b"}).Draw(t, "zone")
				holders = append(holders, holder(fmt.Sprint("t", i), zone, first, end, rapid.Float64Range(0.1, 3).Draw(t, "cost")))
			}
			hops, _, ok := paths.Find(holders, layers, "a", costs)
			if ok {
				found++
				expectComplete(NewWithT(t), hops, holders, layers)
			}
		})
		Expect(found).To(BeNumerically(">", 10))
	})

	It("costs no more than any path of two targets", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const layers = 10
			var holders []paths.Holder
			for i := range 8 {
				cut := rapid.Uint32Range(1, layers-1).Draw(t, "cut")
				cost := rapid.Float64Range(0.1, 3).Draw(t, "cost")
				if i%2 == 0 {
					holders = append(holders, holder(fmt.Sprint("h", i), "a", 0, cut, cost))
				} else {
					holders = append(holders, holder(fmt.Sprint("t", i), "a", cut, layers, cost))
				}
			}
			_, cost, ok := paths.Find(holders, layers, "a", costs)
			for _, head := range holders {
				for _, tail := range holders {
					if head.Layers.First != 0 || tail.Layers.End != layers || head.Layers.End != tail.Layers.First {
						continue
					}
					pair := 2*costs.Hop + float64(head.Layers.Len())*head.CostPerLayer + float64(tail.Layers.Len())*tail.CostPerLayer
					NewWithT(t).Expect(ok).To(BeTrue())
					NewWithT(t).Expect(cost).To(BeNumerically("<=", pair+1e-9))
				}
			}
		})
	})
})

func BenchmarkFindInAZoneOf30(b *testing.B) {
	var holders []paths.Holder
	for i := range uint32(30) {
		first := i * 8 % 80
		holders = append(holders, holder(fmt.Sprint(i), "z", first, min(first+8+i%3, 80), 1+float64(i%5)))
	}
	for b.Loop() {
		paths.Find(holders, 80, "z", costs)
	}
}
