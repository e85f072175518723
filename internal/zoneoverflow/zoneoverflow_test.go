package zoneoverflow_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/model"
	"tamarackreach/internal/zoneoverflow"
)

func TestZoneoverflow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "zoneoverflow")
}

const start = model.Instant(time.Hour)

type zone = zoneoverflow.ZoneState

var _ = Describe("the shares of other zones", func() {
	It("are those of their spare capacity, and together the excess of the home zone", func() {
		shares := zoneoverflow.Shares("a", []zone{
			{Zone: "a", Demand: 100, Capacity: 100}, {Zone: "b", Demand: 15, Capacity: 100}, {Zone: "c", Demand: 40, Capacity: 100},
		})
		Expect(shares["b"] + shares["c"]).To(BeNumerically("~", 0.35, 1e-9))
		Expect(shares["b"] / shares["c"]).To(BeNumerically("~", 2, 1e-9))
	})

	It("are none without an excess, without spare capacity, and for states that are too old or not finite", func() {
		busy := zone{Zone: "a", Demand: 100, Capacity: 100}
		Expect(zoneoverflow.Shares("a", []zone{{Zone: "a", Demand: 60, Capacity: 100}, {Zone: "b", Capacity: 100}})).To(BeEmpty())
		for _, other := range []zone{
			{Zone: "b", Demand: 70, Capacity: 100}, {Zone: "b", Capacity: 100, Age: zoneoverflow.Expiry + 1}, {Zone: "b", Capacity: 100, Age: -1},
			{Zone: "b", Capacity: math.Inf(1)}, {Zone: "b", Capacity: 100, Demand: math.NaN()}, {Zone: "b", Capacity: 100, Used: 1},
		} {
			Expect(zoneoverflow.Shares("a", []zone{busy, other})).To(BeEmpty(), "%+v", other)
		}
		Expect(zoneoverflow.Shares("a", []zone{{Zone: "b", Capacity: 100}})).To(BeEmpty(), "the home zone is unknown")
	})

	// Guards against several zones that each use all of the spare capacity of another one, or
	// that send each other what they receive.
	It("never fill a zone beyond what it has spare, whatever the demand of all", func() {
		random := rand.New(rand.NewPCG(3, 0))
		for range 2000 {
			var zones []zone
			for _, name := range []model.AvailabilityZone{"a", "b", "c", "d"} {
				zones = append(zones, zone{Zone: name, Demand: random.Float64() * 200, Capacity: random.Float64() * 200})
			}
			received := map[model.AvailabilityZone]float64{}
			for _, from := range zones {
				total := 0.0
				for to, share := range zoneoverflow.Shares(from.Zone, zones) {
					Expect(share).To(BeNumerically(">", 0))
					received[to] += share * from.Demand
					total += share
				}
				Expect(total).To(BeNumerically("<=", 1+1e-9))
				Expect(total == 0 || from.Spare() == 0).To(BeTrue(), "a zone with spare capacity sends nothing away")
			}
			for _, z := range zones {
				Expect(received[z.Zone]).To(BeNumerically("<=", z.Spare()+1e-6))
			}
		}
	})
})

var _ = Describe("the overflow over time", func() {
	var (
		plan zoneoverflow.Plan
		now  model.Instant
	)
	BeforeEach(func() { plan, now = zoneoverflow.Plan{}, start })
	run := func(d time.Duration, zones ...zone) {
		for end := now.Add(d); now < end; now = now.Add(100 * time.Millisecond) {
			plan.Update(now, "a", zones)
		}
	}
	other := zone{Zone: "b", Demand: 10, Capacity: 200}

	It("begins above one use of the home zone and ends below a lower one", func() {
		run(time.Second, zone{Zone: "a", Demand: 70, Capacity: 100, Used: 0.7}, other)
		Expect(plan.Active()).To(BeFalse())
		run(time.Second, zone{Zone: "a", Demand: 90, Capacity: 100, Used: 0.7}, other)
		Expect(plan.Active()).To(BeTrue())
		Expect(plan.Shares()["b"]).To(BeNumerically("~", 1-0.65/0.9, 0.03))
		run(time.Second, zone{Zone: "a", Demand: 70, Capacity: 100, Used: 0.7}, other)
		Expect(plan.Active()).To(BeTrue())
		run(8*time.Second, zone{Zone: "a", Demand: 50, Capacity: 100, Used: 0.5}, other)
		Expect(plan.Active()).To(BeFalse())
		Expect(plan.Shares()).To(BeEmpty())
	})

	// Guards against traffic between zones, which is charged, because a capacity was
	// estimated too low.
	It("does not begin while the targets of the home zone are seen to be idle", func() {
		run(5*time.Second, zone{Zone: "a", Demand: 300, Capacity: 100, Used: 0.2}, other)
		Expect(plan.Active()).To(BeFalse())
		Expect(plan.Draw("a", 0)).To(BeEquivalentTo("a"))
	})

	It("ends at once for a zone whose state no longer counts", func() {
		busy := zone{Zone: "a", Demand: 200, Capacity: 100, Used: 0.9}
		run(3*time.Second, busy, other)
		Expect(plan.Draw("a", 0.1)).To(BeEquivalentTo("b"))
		old := other
		old.Age = zoneoverflow.Expiry + 1
		plan.Update(now, "a", []zone{busy, old})
		Expect(plan.Draw("a", 0.1)).To(BeEquivalentTo("a"))
		Expect(plan.Active()).To(BeFalse())
	})

	It("draws each zone as often as its share says", func() {
		third := zone{Zone: "c", Demand: 10, Capacity: 200}
		run(5*time.Second, zone{Zone: "a", Demand: 130, Capacity: 100, Used: 0.9}, other, third)
		drawn := map[model.AvailabilityZone]float64{}
		for i := range 10000 {
			drawn[plan.Draw("a", float64(i)/10000)] += 1e-4
		}
		for name, share := range plan.Shares() {
			Expect(drawn[name]).To(BeNumerically("~", share, 0.001))
		}
		Expect(drawn["a"]).To(BeNumerically("~", 0.5, 0.02))
	})
})

var _ = Describe("the means", func() {
	It("follow a demand that doubles within a second or two, and one that ends", func() {
		var r zoneoverflow.Rate
		now := start
		arrive := func(perSecond int, d time.Duration) {
			for end := now.Add(d); now < end; now = now.Add(time.Second / time.Duration(perSecond)) {
				r.Count(now)
			}
		}
		arrive(50, 10*time.Second)
		Expect(r.At(now)).To(BeNumerically("~", 50, 2))
		arrive(100, 2*time.Second)
		Expect(r.At(now)).To(BeNumerically(">", 90))
		Expect(r.At(now.Add(10 * time.Second))).To(BeNumerically("<", 0.01))
		Expect(r.At(now.Add(-time.Second))).To(BeNumerically("<=", 101))
	})

	// Guards against requests that overflow to zones whose VMs have just started: their mean of
	// the demand rises for a second.
	It("state the whole rate within half a second of the first arrival", func() {
		var r zoneoverflow.Rate
		at := model.Instant(time.Hour)
		for range 25 {
			r.Count(at)
			at = at.Add(20 * time.Millisecond)
		}
		Expect(r.At(at)).To(BeNumerically("~", 50, 5))
	})
})
