package priorityadmission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/model"
	"tamarackreach/internal/priorityadmission"
)

func TestPriorityAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "priorityadmission")
}

const (
	start                      = model.Instant(time.Hour)
	full                       = 0.92
	service    model.ServiceID = "s"
	goal                       = 500 * time.Millisecond
	histories                  = 200
	manyEvents                 = 400
)

func inTime(prefill, queue, goal time.Duration) bool { return goal == 0 || prefill+queue < goal }

func kinds(priorities ...int) []priorityadmission.Kind {
	var out []priorityadmission.Kind
	for _, p := range priorities {
		out = append(out, priorityadmission.Kind{Priority: p, Goal: goal})
	}
	return out
}

func newController(priorities ...int) *priorityadmission.Controller {
	c := priorityadmission.New(full, inTime)
	c.Configure(start, map[model.ServiceID][]priorityadmission.Kind{service: kinds(priorities...)})
	return c
}

func of(priority int) priorityadmission.Class { return priorityadmission.Class{Priority: priority} }

// randomRequest returns a request on a random path.
func randomRequest(random *rand.Rand) priorityadmission.Request {
	ms := func(n int) time.Duration { return time.Duration(random.IntN(n)) * time.Millisecond }
	return priorityadmission.Request{
		Service: service, Goal: goal, VMs: 1 + random.IntN(20),
		Capacity: priorityadmission.Capacity{Slots: float64(6 + random.IntN(500)), Cache: float64(6 + random.IntN(500)), Copies: 1 + 9*random.Float64()},
		Slots:    random.Float64(), Cache: random.Float64(), Prefill: ms(200), Queue: ms(1500), PromptTime: ms(60),
	}
}

// randomHistory applies arrivals, decisions and ends of random rates by priority and returns
// the time after them.
func randomHistory(c *priorityadmission.Controller, random *rand.Rand) model.Instant {
	now := start
	rates := []float64{random.Float64(), random.Float64(), random.Float64()}
	served := []float64{random.Float64(), random.Float64(), random.Float64()}
	for range random.IntN(manyEvents) {
		now = now.Add(time.Duration(random.IntN(60)) * time.Millisecond)
		for p := range 3 {
			if random.Float64() < rates[p] {
				class := priorityadmission.Class{Priority: p, Workspace: model.WorkspaceID(fmt.Sprint(random.IntN(3)))}
				c.Arrived(now, service, class, goal)
				admitted := random.Float64() < served[p]
				c.Decided(now, service, class, admitted)
				if admitted {
					c.Ended(now, service, class, time.Duration(random.IntN(2000))*time.Millisecond)
				}
			}
		}
	}
	return now
}

var _ = Describe("the order of kinds", func() {
	// Load: several kinds demand more than is served. Guards against an urgent request that is
	// refused where a less urgent one on the same path is admitted.
	It("admits the more urgent of two equal requests if it admits the other", func() {
		random := rand.New(rand.NewPCG(1, 0))
		compared := 0
		for range histories {
			c := newController(0, 1, 2)
			now := randomHistory(c, random)
			for range 100 {
				r := randomRequest(random)
				verdicts := make([]priorityadmission.Verdict, 3)
				for p := range verdicts {
					r.Class = priorityadmission.Class{Priority: p, Workspace: "0"}
					verdicts[p] = c.Decide(now, r)
				}
				for p := 1; p < 3; p++ {
					if verdicts[p].Admit && !verdicts[p].Starved {
						compared++
						Expect(verdicts[p-1].Admit).To(BeTrue(), "%+v: %+v, %+v", r, verdicts[p-1], verdicts[p])
					}
				}
			}
		}
		Expect(compared).To(BeNumerically(">", 1000))
	})

	// Load: a kind with a long goal beside an urgent one with a short goal. Guards against a
	// longer goal as an advantage.
	It("holds a request to the goals of the more urgent kinds that arrived recently", func() {
		c := priorityadmission.New(full, inTime)
		long := 2 * goal
		c.Configure(start, map[model.ServiceID][]priorityadmission.Kind{service: {{Priority: 0, Goal: goal}, {Priority: 1, Goal: long}}})
		now := start.Add(4 * time.Second)
		r := priorityadmission.Request{Service: service, Class: of(1), Goal: long, Prefill: 100 * time.Millisecond, Queue: goal}
		Expect(c.Decide(now, r).Reason).To(Equal(priorityadmission.Late), "configured kinds count at the start")
		now = start.Add(6 * time.Second)
		Expect(c.Decide(now, r).Admit).To(BeTrue(), "none arrived")
		c.Arrived(now, service, of(0), goal)
		Expect(c.Decide(now, r).Reason).To(Equal(priorityadmission.Late))
	})

	// Load: prompts of less urgent kinds wait at a target. Guards against an urgent request that
	// is refused because of prompts that are served after it.
	It("counts only the waiting prompts that are at least as urgent", func() {
		c := newController(0, 1)
		now := start.Add(time.Minute)
		for range 100 {
			c.Decided(now, service, of(0), true)
			c.Decided(now, service, of(1), true)
			c.Decided(now, service, of(1), true)
		}
		r := priorityadmission.Request{Service: service, Goal: goal, Queue: 900 * time.Millisecond}
		Expect(c.Decide(now, r).Queue).To(BeNumerically("~", 300*time.Millisecond, 10*time.Millisecond))
		r.Class = of(1)
		Expect(c.Decide(now, r).Queue).To(Equal(900 * time.Millisecond))
	})
})

var _ = Describe("reserved capacity", func() {
	// Load: less urgent kinds alone, or a target with much free capacity. Guards against
	// capacity that is held idle.
	It("is none for kinds that did not arrive recently", func() {
		random := rand.New(rand.NewPCG(2, 0))
		for range histories {
			c := newController(0, 1, 2)
			now := randomHistory(c, random).Add(5001 * time.Millisecond)
			for range 20 {
				r := randomRequest(random)
				r.Class = of(random.IntN(3))
				v := c.Decide(now, r)
				Expect(v.Limits.SlotsBelow).To(Equal(1.0))
				Expect(v.Limits.CacheLeft).To(BeZero())
				Expect(v.Limits.Urgent).To(BeZero())
			}
		}
	})

	It("leaves at least half of a target to every kind", func() {
		random := rand.New(rand.NewPCG(3, 0))
		for range histories {
			c := newController(0, 1, 2)
			now := randomHistory(c, random)
			for range 20 {
				r := randomRequest(random)
				r.Class, r.Slots, r.Cache, r.Queue, r.Prefill = of(random.IntN(3)), r.Slots*0.49, r.Cache*0.42, 0, goal/5
				Expect(c.Decide(now, r).Admit).To(BeTrue())
			}
		}
	})

	It("covers the arrivals of more urgent kinds at all VMs within the reaction time that find no ended request", func() {
		c := newController(0, 1)
		now := start.Add(time.Minute)
		for range 1000 {
			now = now.Add(100 * time.Millisecond)
			c.Arrived(now, service, of(0), goal)
			c.Decided(now, service, of(0), true)
			c.Ended(now, service, of(0), 4*time.Second)
		}
		// Ten a second at each of five VMs: 20 within 400 ms, and two deviations of 4.5. Of 100
		// slots 10 become free in this time, of 200 cached requests 20.
		r := priorityadmission.Request{Service: service, Class: of(1), VMs: 5, Capacity: priorityadmission.Capacity{Slots: 100, Cache: 200}}
		limits := c.Decide(now, r).Limits
		Expect(limits.SlotsBelow).To(BeNumerically("~", 0.81, 0.01))
		Expect(limits.CacheLeft).To(BeNumerically("~", 0.045, 0.005))
		r.Class = of(0)
		Expect(c.Decide(now, r).Limits.SlotsBelow).To(Equal(1.0))
	})

	// Load: a restart during an overload. Guards against a VM without a history that admits
	// the least urgent like the others.
	It("is for all configured kinds after a start", func() {
		c := newController(0, 1, 2)
		r := priorityadmission.Request{Service: service, VMs: 4, Capacity: priorityadmission.Capacity{Slots: 50}}
		last := 1.1
		for p := range 3 {
			r.Class = of(p)
			limits := c.Decide(start, r).Limits
			Expect(limits.SlotsBelow).To(BeNumerically("<", last))
			Expect(limits.Ahead).To(BeNumerically("~", float64(p+1)/3))
			last = limits.SlotsBelow
		}
	})
})

// pool is a service whose requests each take one of its slots for a time.
type pool struct {
	slots, used int
	ends        map[model.Instant][]priorityadmission.Class
}

// overload lets classes arrive at rates per second at a pool for a time, in steps of 5 ms, and
// returns the numbers of arrivals and admissions.
func overload(c *priorityadmission.Controller, random *rand.Rand, slots int, rates map[priorityadmission.Class]float64) (arrived, admitted map[priorityadmission.Class]int) {
	const step, stay, duration = 5 * time.Millisecond, 500 * time.Millisecond, 2 * time.Minute
	arrived, admitted = map[priorityadmission.Class]int{}, map[priorityadmission.Class]int{}
	p := pool{slots: slots, ends: map[model.Instant][]priorityadmission.Class{}}
	var order []priorityadmission.Class
	for class := range rates {
		order = append(order, class)
	}
	for now := start; now < start.Add(duration); now = now.Add(step) {
		for _, class := range p.ends[now] {
			p.used--
			c.Ended(now, service, class, stay)
		}
		delete(p.ends, now)
		random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		for _, class := range order {
			if random.Float64() >= rates[class]*step.Seconds() {
				continue
			}
			arrived[class]++
			c.Arrived(now, service, class, goal)
			v := c.Decide(now, priorityadmission.Request{
				Service: service, Class: class, Goal: goal, VMs: 1, Capacity: priorityadmission.Capacity{Slots: float64(slots)}, Slots: float64(p.used) / float64(slots),
			})
			c.Decided(now, service, class, v.Admit)
			if v.Admit {
				Expect(p.used).To(BeNumerically("<", slots))
				p.used++
				admitted[class]++
				p.ends[now.Add(stay)] = append(p.ends[now.Add(stay)], class)
			}
		}
	}
	return arrived, admitted
}

var _ = Describe("kinds and workspaces under overload", func() {
	share := func(arrived, admitted map[priorityadmission.Class]int, class priorityadmission.Class) float64 {
		return float64(admitted[class]) / float64(arrived[class])
	}

	// Load: urgent kinds that demand the whole capacity alone. Guards against a least urgent kind
	// or a workspace that is served less than a quarter as often as all.
	It("do not starve", func() {
		random := rand.New(rand.NewPCG(4, 0))
		for range 10 {
			c := newController(0, 1, 2)
			rates := map[priorityadmission.Class]float64{}
			for p := range 3 {
				for w := range 3 {
					rates[priorityadmission.Class{Priority: p, Workspace: model.WorkspaceID(fmt.Sprint(w))}] = 3 + 30*random.Float64()
				}
			}
			total := 0.0
			for _, rate := range rates {
				total += rate
			}
			slots := int(total / 2 / (1.2 + 2*random.Float64()))
			arrived, admitted := overload(c, random, slots, rates)
			all, allAdmitted := 0, 0
			for class := range rates {
				all, allAdmitted = all+arrived[class], allAdmitted+admitted[class]
			}
			for class := range rates {
				Expect(share(arrived, admitted, class)).To(BeNumerically(">=", 0.25*float64(allAdmitted)/float64(all)), "%v of %v on %d slots", class, rates, slots)
			}
		}
	})

	// Load: one workspace sends ten times as much as each of the others. Guards against a share
	// in proportion to the demand.
	It("have max-min fair shares of one priority", func() {
		random := rand.New(rand.NewPCG(5, 0))
		of := func(w string) priorityadmission.Class {
			return priorityadmission.Class{Priority: 1, Workspace: model.WorkspaceID(w)}
		}
		rates := map[priorityadmission.Class]float64{of("large"): 200, of("a"): 20, of("b"): 20, {Priority: 0}: 5}
		arrived, admitted := overload(newController(0, 1), random, 50, rates)
		Expect(share(arrived, admitted, of("a"))).To(BeNumerically(">", 0.9))
		Expect(share(arrived, admitted, of("b"))).To(BeNumerically(">", 0.9))
		Expect(admitted[of("large")]).To(BeNumerically(">", 30*120), "unused shares go to others")
	})

	It("divide a total by the max-min level", func() {
		random := rand.New(rand.NewPCG(6, 0))
		for range 1000 {
			demands, sum := make([]float64, 1+random.IntN(8)), 0.0
			for i := range demands {
				demands[i] = 10 * random.Float64()
				sum += demands[i]
			}
			total := sum * random.Float64()
			level, given := priorityadmission.FairLevel(demands, total), 0.0
			for _, d := range demands {
				given += min(d, level)
			}
			Expect(given).To(BeNumerically("~", total, 1e-9))
		}
	})
})

var _ = Describe("Retry-After", func() {
	It("rises with the backlog of the priority, within its bounds", func() {
		c := newController(0, 1)
		now, last := start, time.Duration(0)
		for range 100 {
			c.Decided(now, service, of(1), true)
			c.Ended(now, service, of(1), time.Second)
		}
		for range 60 {
			for range 20 {
				c.Decided(now, service, of(1), false)
			}
			after := c.RetryAfter(now, service, of(1), time.Hour)
			Expect(after).To(BeNumerically(">=", last))
			Expect(after/2).To(BeNumerically(">=", 250*time.Millisecond), "with the least factor")
			Expect(after*3/2).To(BeNumerically("<=", 10*time.Second), "with the largest factor")
			last = after
		}
		Expect(last).To(BeNumerically(">", 6*time.Second))
		Expect(c.RetryAfter(now, service, of(0), time.Hour)).To(Equal(500*time.Millisecond), "the other priority has no backlog")
	})

	It("stays under a third of the time left", func() {
		c := newController(0, 1)
		for range 100 {
			c.Decided(start, service, of(1), false)
		}
		for _, left := range []time.Duration{time.Second, 3 * time.Second, 20 * time.Second} {
			Expect(c.RetryAfter(start, service, of(1), left) * 3 / 2).To(BeNumerically("<=", left/3))
		}
	})
})

var _ = Describe("a service whose kinds have one priority", func() {
	It("admits all that are in time", func() {
		random := rand.New(rand.NewPCG(7, 0))
		for range histories {
			c := newController(3, 3)
			now := randomHistory(c, random)
			Expect(c.Enabled(service)).To(BeFalse())
			Expect(c.RetryAfter(now, service, of(3), time.Second)).To(BeZero())
			r := randomRequest(random)
			r.Class = of(random.IntN(4))
			Expect(c.Decide(now, r).Admit).To(Equal(inTime(r.Prefill, r.Queue, r.Goal)))
			Expect(c.Decide(now, r).Queue).To(Equal(r.Queue))
		}
	})

	It("is one again after a change of the configuration, which keeps the history of the others", func() {
		c := newController(0, 1)
		for range 50 {
			c.Decided(start, service, of(1), false)
		}
		before := c.RetryAfter(start, service, of(1), time.Hour)
		c.Configure(start, map[model.ServiceID][]priorityadmission.Kind{service: kinds(0, 1, 2)})
		Expect(c.RetryAfter(start, service, of(1), time.Hour)).To(Equal(before))
		c.Configure(start, map[model.ServiceID][]priorityadmission.Kind{service: kinds(1)})
		Expect(c.Enabled(service)).To(BeFalse())
	})
})

// BenchmarkDecide measures a decision on a service with ten priorities and 50 workspaces each.
func BenchmarkDecide(b *testing.B) {
	priorities := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}
	c := newController(priorities...)
	class := func(i int) priorityadmission.Class {
		return priorityadmission.Class{Priority: i % 10, Workspace: model.WorkspaceID(fmt.Sprint(i / 10 % 50))}
	}
	classes := make([]priorityadmission.Class, 500)
	for i := range classes {
		classes[i] = class(i)
	}
	r := randomRequest(rand.New(rand.NewPCG(8, 0)))
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Millisecond)
		r.Class = classes[i%500]
		c.Arrived(now, service, r.Class, goal)
		c.Decided(now, service, r.Class, c.Decide(now, r).Admit)
	}
}
