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

// engine is a model of 140 GB on three kinds of card.
func engine() *fleet.Engine {
	return &fleet.Engine{
		Slots: 192, StateBytesPerToken: 590000, StepMs: 1, StepMsPerSequence: 0.005, StepMsPerKToken: 0.006,
		ReadTokensPerSecond: 160000, ReadTokensPerPass: 512, StepsPerPass: 4, UsualPrompt: 800, UsualAnswer: 200,
		Layers: layers, LayerMB: 1750,
		Hardware: map[model.AcceleratorKind]fleet.Hardware{
			"big":   {MemoryMB: 72000, StepFactor: 2.4, ReadFactor: 3.2},
			"small": {MemoryMB: 14400, StepFactor: 5.3, ReadFactor: 7.9},
			"slow":  {MemoryMB: 21600, StepFactor: 16, ReadFactor: 8.2},
		},
	}
}

// zone returns empty members of one zone.
func zone(name model.AvailabilityZone, big, small, slow int) []placement.Member {
	var out []placement.Member
	for _, part := range []struct {
		kind  model.AcceleratorKind
		count int
	}{{"big", big}, {"small", small}, {"slow", slow}} {
		for i := range part.count {
			id := model.TargetID(fmt.Sprintf("%s-%s-%02d", name, part.kind, i))
			out = append(out, placement.Member{ID: id, Zone: name, Kind: part.kind, Pace: 1})
		}
	}
	return out
}

// carryOut applies orders to members.
func carryOut(members []placement.Member, orders []placement.Order) []placement.Member {
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

// missing counts the layers that nobody holds.
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

// fits is true when every member's layers fit its card.
func fits(members []placement.Member) bool {
	for _, m := range members {
		if float64(m.Held.Len())*engine().LayerMB > engine().Hardware[m.Kind].MemoryMB {
			return false
		}
	}
	return true
}

// settle plans until nothing is left to order.
func settle(members []placement.Member) []placement.Member {
	for range 50 {
		orders := placement.Plan(engine(), members)
		if len(orders) == 0 {
			return members
		}
		members = carryOut(members, orders)
	}
	Fail("the plan does not settle")
	return nil
}

var _ = Describe("Plan", func() {
	DescribeTable("gives every zone that can hold one a whole path of its own",
		func(big, small, slow int) {
			members := carryOut(zone("a", big, small, slow), placement.Plan(engine(), zone("a", big, small, slow)))
			Expect(missing(members)).To(BeZero())
			Expect(fits(members)).To(BeTrue())
		},
		Entry("two big cards", 2, 4, 4), Entry("one big card", 1, 6, 6), Entry("many small cards", 1, 10, 4),
		Entry("several paths", 4, 10, 11), Entry("no big card", 0, 16, 8),
	)

	It("leaves memory for requests on each card that holds layers", func() {
		members := carryOut(zone("a", 2, 4, 4), placement.Plan(engine(), zone("a", 2, 4, 4)))
		for _, m := range members {
			free := engine().Hardware[m.Kind].MemoryMB - float64(m.Held.Len())*engine().LayerMB
			Expect(free).To(BeNumerically(">", 0.15*engine().Hardware[m.Kind].MemoryMB), string(m.ID))
		}
	})

	It("orders nothing once its plan is carried out", func() {
		settled := settle(zone("a", 2, 4, 4))
		Expect(placement.Plan(engine(), settled)).To(BeEmpty())
	})

	It("plans each zone by itself", func() {
		a, b := zone("a", 2, 4, 4), zone("b", 1, 6, 6)
		both := placement.Plan(engine(), append(append([]placement.Member(nil), a...), b...))
		alone := append(placement.Plan(engine(), a), placement.Plan(engine(), b)...)
		Expect(both).To(ConsistOf(alone))
	})

	// Pattern: a card is lost for good while its zone serves.
	DescribeTable("closes the hole that a lost card leaves",
		func(big, small, slow int) {
			settled := settle(zone("a", big, small, slow))
			for lost := range settled {
				left := append(append([]placement.Member(nil), settled[:lost]...), settled[lost+1:]...)
				Expect(missing(settle(left))).To(BeZero(), string(settled[lost].ID))
			}
		},
		Entry("two big cards", 2, 4, 4), Entry("many small cards", 1, 10, 4), Entry("several paths", 4, 10, 11),
	)

	// Pattern: a small card is lost; moving a big card there would cost the zone
	// its fastest layers, as on a day with three crashes in a row.
	It("never shrinks a big card to close a small hole", func() {
		settled := settle(zone("a", 2, 4, 4))
		for lost, m := range settled {
			if m.Kind != "small" {
				continue
			}
			left := append(append([]placement.Member(nil), settled[:lost]...), settled[lost+1:]...)
			before := map[model.TargetID]uint32{}
			for _, k := range left {
				before[k.ID] = k.Held.Len()
			}
			for _, k := range settle(left) {
				if k.Kind == "big" {
					Expect(k.Held.Len()).To(BeNumerically(">=", before[k.ID]), "%s after %s", k.ID, m.ID)
				}
			}
		}
	})

	// Pattern: runners are replaced one after the other; the new one starts empty.
	It("gives a card that came back empty its share again", func() {
		settled := settle(zone("a", 2, 4, 4))
		for i, m := range settled {
			if m.Kind != "big" {
				continue
			}
			back := append([]placement.Member(nil), settled...)
			back[i].Held = model.LayerRange{}
			back = settle(back)
			Expect(missing(back)).To(BeZero())
			Expect(back[i].Held.Len()).To(BeNumerically(">=", m.Held.Len()*3/4))
		}
	})

	It("moves no member that alone holds a layer, other than to widen it", func() {
		settled := settle(zone("a", 2, 4, 4))
		left := settled[1:]
		for _, order := range placement.Plan(engine(), left) {
			for _, m := range left {
				if m.ID != order.Target || m.Held.Len() == 0 {
					continue
				}
				widened := order.Layers.First <= m.Held.First && order.Layers.End >= m.Held.End
				others := append([]placement.Member(nil), left...)
				for i := range others {
					if others[i].ID == m.ID {
						others[i].Held = model.LayerRange{}
					}
				}
				Expect(widened || missing(others) == missing(left)).To(BeTrue(), string(m.ID))
			}
		}
	})

	It("leaves a member alone that is busy with an order", func() {
		members := zone("a", 2, 4, 4)
		for i := range members {
			members[i].Fixed = true
		}
		Expect(placement.Plan(engine(), members)).To(BeEmpty())
	})

	// Pattern: some targets turn slower, and moving those that serve would
	// interrupt more streams than the gain is worth (lacing-fleet-grown, scale-1).
	It("moves a member that serves for a large gain only", func() {
		slowed := func(members []placement.Member, id model.TargetID) []placement.Order {
			members = append([]placement.Member(nil), members...)
			for i := range members {
				if members[i].ID == id {
					members[i].Pace = 12
				}
			}
			return placement.Plan(engine(), members)
		}
		few := settle(zone("a", 1, 6, 6))
		Expect(slowed(few, "a-slow-05")).To(BeEmpty(), "others hold its layers; paths go around it")
		many := settle(zone("a", 1, 10, 4))
		Expect(slowed(many, "a-small-04")).To(HaveLen(1), "it alone holds its layers")
	})

	// Pattern: some targets turn many times slower for a while.
	It("plans around a slow card when others can hold its layers", func() {
		members := zone("a", 2, 4, 4)
		for i := range members {
			if members[i].ID == "a-small-00" {
				members[i].Pace = 12
			}
		}
		planned := carryOut(members, placement.Plan(engine(), members))
		Expect(missing(planned)).To(BeZero())
		for i, m := range planned {
			if m.Pace == 12 {
				others := append(append([]placement.Member(nil), planned[:i]...), planned[i+1:]...)
				Expect(missing(others)).To(BeZero())
			}
		}
	})
})

func BenchmarkPlanOfAZone(b *testing.B) {
	members := zone("a", 3, 14, 16)
	for b.Loop() {
		placement.Plan(engine(), members)
	}
}

func BenchmarkPlanOfAHole(b *testing.B) {
	members := carryOut(zone("a", 3, 14, 16), placement.Plan(engine(), zone("a", 3, 14, 16)))[1:]
	for b.Loop() {
		placement.Plan(engine(), members)
	}
}
