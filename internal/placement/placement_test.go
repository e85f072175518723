package placement_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/internal/placement"
)

func TestPlacement(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

const layers = 80

// engine returns a model of 140 GB on three kinds of accelerator.
func engine() *fleet.Engine {
	return &fleet.Engine{
		Slots: 192, KVBytesPerToken: 590000, StepMs: 1, StepMsPerSequence: 0.005, StepMsPerKToken: 0.006,
		PrefillTokensPerSecond: 160000, PrefillChunkTokens: 512, StepsPerPass: 4, MeanPromptTokens: 800, MeanAnswerTokens: 200,
		Layers: layers, LayerMB: 1750,
		Hardware: map[model.AcceleratorKind]fleet.Hardware{
			"big":   {MemoryMB: 72000, DecodeFactor: 2.4, PrefillFactor: 3.2},
			"small": {MemoryMB: 14400, DecodeFactor: 5.3, PrefillFactor: 7.9},
			"slow":  {MemoryMB: 21600, DecodeFactor: 16, PrefillFactor: 8.2},
		},
	}
}

// emptyMembers returns members of one zone that hold nothing.
func emptyMembers(name model.AvailabilityZone, big, small, slow int) []placement.Member {
	var out []placement.Member
	for _, part := range []struct {
		kind  model.AcceleratorKind
		count int
	}{{"big", big}, {"small", small}, {"slow", slow}} {
		for i := range part.count {
			id := model.TargetID(fmt.Sprintf("%s-%s-%02d", name, part.kind, i))
			out = append(out, placement.Member{ID: id, Zone: name, Kind: part.kind, Slowdown: 1})
		}
	}
	return out
}

// applyOrders returns a copy of the members with the orders in effect.
func applyOrders(members []placement.Member, orders []placement.Order) []placement.Member {
	out := append([]placement.Member(nil), members...)
	for _, order := range orders {
		for i := range out {
			if out[i].ID == order.Target {
				out[i].Held = order.Layers
			}
		}
	}
	return out
}

// missing returns the number of layers without a holder.
func missing(members []placement.Member) int {
	var held [layers]bool
	for _, m := range members {
		for l := m.Held.First; l < m.Held.End; l++ {
			held[l] = true
		}
	}
	n := 0
	for _, h := range held {
		if !h {
			n++
		}
	}
	return n
}

// fitsMemory reports whether every member's layers fit in its memory.
func fitsMemory(members []placement.Member) bool {
	for _, m := range members {
		if float64(m.Held.Len())*engine().LayerMB > engine().Hardware[m.Kind].MemoryMB {
			return false
		}
	}
	return true
}

// planUntilStable plans and applies until a plan has no orders.
func planUntilStable(members []placement.Member) []placement.Member {
	for range 50 {
		orders := placement.Plan(engine(), members)
		if len(orders) == 0 {
			return members
		}
		members = applyOrders(members, orders)
	}
	Fail("the plan does not converge")
	return nil
}

var _ = Describe("Plan", func() {
	DescribeTable("covers all layers in every zone with enough memory",
		func(big, small, slow int) {
			members := applyOrders(emptyMembers("a", big, small, slow), placement.Plan(engine(), emptyMembers("a", big, small, slow)))
			Expect(missing(members)).To(BeZero())
			Expect(fitsMemory(members)).To(BeTrue())
		},
		Entry("two big accelerators", 2, 4, 4), Entry("one big accelerator", 1, 6, 6), Entry("many small accelerators", 1, 10, 4),
		Entry("several replicas", 4, 10, 11), Entry("no big accelerator", 0, 16, 8),
	)

	It("leaves KV cache memory on each target that holds layers", func() {
		members := applyOrders(emptyMembers("a", 2, 4, 4), placement.Plan(engine(), emptyMembers("a", 2, 4, 4)))
		for _, m := range members {
			free := engine().Hardware[m.Kind].MemoryMB - float64(m.Held.Len())*engine().LayerMB
			Expect(free).To(BeNumerically(">", 0.15*engine().Hardware[m.Kind].MemoryMB), string(m.ID))
		}
	})

	It("returns no orders once its plan has been applied", func() {
		stable := planUntilStable(emptyMembers("a", 2, 4, 4))
		Expect(placement.Plan(engine(), stable)).To(BeEmpty())
	})

	It("plans each zone independently", func() {
		a, b := emptyMembers("a", 2, 4, 4), emptyMembers("b", 1, 6, 6)
		both := placement.Plan(engine(), append(append([]placement.Member(nil), a...), b...))
		alone := append(placement.Plan(engine(), a), placement.Plan(engine(), b)...)
		Expect(both).To(ConsistOf(alone))
	})

	// Pattern: a target is lost permanently while its zone serves.
	DescribeTable("covers the layers of a lost target",
		func(big, small, slow int) {
			stable := planUntilStable(emptyMembers("a", big, small, slow))
			for lost := range stable {
				remaining := append(append([]placement.Member(nil), stable[:lost]...), stable[lost+1:]...)
				Expect(missing(planUntilStable(remaining))).To(BeZero(), string(stable[lost].ID))
			}
		},
		Entry("two big accelerators", 2, 4, 4), Entry("many small accelerators", 1, 10, 4), Entry("several replicas", 4, 10, 11),
	)

	// Pattern: a small accelerator is lost, for example in a series of three crashes;
	// reassigning a big one to its layers would cost the zone its fastest holders.
	It("never shrinks the range of a big accelerator to cover a small gap", func() {
		stable := planUntilStable(emptyMembers("a", 2, 4, 4))
		for lost, m := range stable {
			if m.Kind != "small" {
				continue
			}
			remaining := append(append([]placement.Member(nil), stable[:lost]...), stable[lost+1:]...)
			before := map[model.TargetID]uint32{}
			for _, k := range remaining {
				before[k.ID] = k.Held.Len()
			}
			for _, k := range planUntilStable(remaining) {
				if k.Kind == "big" {
					Expect(k.Held.Len()).To(BeNumerically(">=", before[k.ID]), "%s after %s", k.ID, m.ID)
				}
			}
		}
	})

	// Pattern: a rolling update restarts targets one at a time; each restarts empty.
	It("assigns layers to a target that has restarted empty", func() {
		stable := planUntilStable(emptyMembers("a", 2, 4, 4))
		for i, m := range stable {
			if m.Kind != "big" {
				continue
			}
			restarted := append([]placement.Member(nil), stable...)
			restarted[i].Held = model.LayerRange{}
			restarted = planUntilStable(restarted)
			Expect(missing(restarted)).To(BeZero())
			Expect(restarted[i].Held.Len()).To(BeNumerically(">=", m.Held.Len()*3/4))
		}
	})

	It("moves no sole holder of a layer except to extend its range", func() {
		stable := planUntilStable(emptyMembers("a", 2, 4, 4))
		remaining := stable[1:]
		for _, order := range placement.Plan(engine(), remaining) {
			for _, m := range remaining {
				if m.ID != order.Target || m.Held.Len() == 0 {
					continue
				}
				extended := order.Layers.First <= m.Held.First && order.Layers.End >= m.Held.End
				others := append([]placement.Member(nil), remaining...)
				for i := range others {
					if others[i].ID == m.ID {
						others[i].Held = model.LayerRange{}
					}
				}
				Expect(extended || missing(others) == missing(remaining)).To(BeTrue(), string(m.ID))
			}
		}
	})

	It("excludes a member with a pending order", func() {
		members := emptyMembers("a", 2, 4, 4)
		for i := range members {
			members[i].Fixed = true
		}
		Expect(placement.Plan(engine(), members)).To(BeEmpty())
	})

	// Pattern: some targets become slower, and moving serving targets would interrupt
	// more streams than the gain is worth (lacing-fleet-grown, scale-1).
	It("moves a serving member only for a large gain", func() {
		slowed := func(members []placement.Member, id model.TargetID) []placement.Order {
			members = append([]placement.Member(nil), members...)
			for i := range members {
				if members[i].ID == id {
					members[i].Slowdown = 12
				}
			}
			return placement.Plan(engine(), members)
		}
		few := planUntilStable(emptyMembers("a", 1, 6, 6))
		Expect(slowed(few, "a-slow-05")).To(BeEmpty(), "its layers are replicated; paths avoid it")
		many := planUntilStable(emptyMembers("a", 1, 10, 4))
		Expect(slowed(many, "a-small-04")).To(HaveLen(1), "it is the sole holder of its layers")
	})

	// Pattern: some targets become many times slower for a while.
	It("replicates the layers of a slow target where others can hold them", func() {
		members := emptyMembers("a", 2, 4, 4)
		for i := range members {
			if members[i].ID == "a-small-00" {
				members[i].Slowdown = 12
			}
		}
		planned := applyOrders(members, placement.Plan(engine(), members))
		Expect(missing(planned)).To(BeZero())
		for i, m := range planned {
			if m.Slowdown == 12 {
				others := append(append([]placement.Member(nil), planned[:i]...), planned[i+1:]...)
				Expect(missing(others)).To(BeZero())
			}
		}
	})
})

func BenchmarkPlanEmptyZone(b *testing.B) {
	members := emptyMembers("a", 3, 14, 16)
	for b.Loop() {
		placement.Plan(engine(), members)
	}
}

func BenchmarkPlanAfterLoss(b *testing.B) {
	members := applyOrders(emptyMembers("a", 3, 14, 16), placement.Plan(engine(), emptyMembers("a", 3, 14, 16)))[1:]
	for b.Loop() {
		placement.Plan(engine(), members)
	}
}
