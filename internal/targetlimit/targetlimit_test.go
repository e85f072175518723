package targetlimit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/model"
	"tamarackreach/internal/targetlimit"
)

func TestTargetLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "targetlimit")
}

const (
	target = "t"
	step   = 10 * time.Millisecond
	// messageInterval is the interval of the VMs' messages, and window that in which the
	// requests that a target gets are bounded.
	messageInterval = 600 * time.Millisecond
	window          = 4 * time.Second
	// told is when the limit binds after it was first named.
	told = 3 * time.Second
)

// sender is a VM with its demand, in requests a second.
type sender struct {
	id     model.NodeID
	limits *targetlimit.Limits
	demand float64
	heard  map[model.NodeID]model.Instant
	since  model.Instant
}

// simulation is a target that names a limit to several VMs.
type simulation struct {
	now       model.Instant
	random    *rand.Rand
	perSecond float64
	vms       []*sender
	// sends are the times of the requests that count: of VMs that have run for told.
	sends []model.Instant
}

func newSimulation(vms int, perSecond, demand float64, seed uint64) *simulation {
	s := &simulation{now: model.Instant(time.Hour), random: rand.New(rand.NewPCG(seed, 1)), perSecond: perSecond}
	total := 0.0
	for n := range vms {
		v := &sender{id: model.NodeID(fmt.Sprint("vm-", n)), demand: 0.2 + s.random.Float64()}
		if s.random.IntN(4) == 0 {
			v.demand = 0.05
		}
		total += v.demand
		s.vms = append(s.vms, v)
		s.restart(v)
	}
	for _, v := range s.vms {
		v.demand *= demand / total
	}
	return s
}

func (s *simulation) restart(v *sender) {
	v.limits, v.heard, v.since = targetlimit.New(), map[model.NodeID]model.Instant{}, s.now
}

func (s *simulation) vmsOf(v *sender) targetlimit.VMs {
	out := targetlimit.VMs{Self: v.id, Count: len(s.vms)}
	for _, other := range s.vms {
		if at, found := v.heard[other.id]; found && s.now.Sub(at) < 10*time.Second {
			out.Heard = append(out.Heard, other.id)
		}
	}
	return out
}

func (s *simulation) run(d time.Duration, exchange bool) {
	for end := s.now.Add(d); s.now < end; s.now = s.now.Add(step) {
		for n, v := range s.vms {
			if s.random.Float64() < v.demand*step.Seconds() && v.limits.Allow(s.now, target, s.vmsOf(v)) {
				v.limits.Sent(s.now, target)
				v.limits.Observe(s.now, s.now, target, s.perSecond)
				if s.now.Sub(v.since) > told {
					s.sends = append(s.sends, s.now)
				}
			}
			if exchange && (time.Duration(s.now)+time.Duration(n)*step)%messageInterval == 0 {
				for _, other := range s.vms {
					if other == v {
						continue
					}
					other.heard[v.id] = s.now
					if told, found := v.limits.Share(s.now)[target]; found {
						other.limits.ObservePeer(s.now, v.id, target, told)
					}
				}
			}
		}
	}
}

func (s *simulation) mostInWindow() int {
	most, first := 0, 0
	for i, at := range s.sends {
		for at.Sub(s.sends[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against VMs that each take the whole rate, and against a rate that is not used.
var _ = Describe("a limit that a target names", func() {
	DescribeTable("is kept by all VMs together, and used",
		func(vms int, perSecond float64) {
			for seed := range uint64(1 + 60/(vms+10)) {
				for _, restarts := range []bool{false, true} {
					s := newSimulation(vms, perSecond, 10*perSecond+4, seed)
					s.run(told+time.Second, true)
					for range 6 {
						if restarts {
							s.restart(s.vms[s.random.IntN(vms)])
						}
						s.run(3*time.Second, true)
					}
					text := fmt.Sprintf("seed %d, restarts %t", seed, restarts)
					Expect(s.mostInWindow()).To(BeNumerically("<=", 1.5*perSecond*window.Seconds()+5), text)
					if !restarts && perSecond >= 5 {
						Expect(float64(len(s.sends))).To(BeNumerically(">=", 0.5*perSecond*18), text)
					}
				}
			}
		},
		Entry("1 VM", 1, 20.0), Entry("4 VMs", 4, 20.0), Entry("4 VMs, a low rate", 4, 0.5), Entry("27 VMs", 27, 30.0),
		Entry("27 VMs, a low rate", 27, 1.0), Entry("27 VMs, a rate below their number", 27, 9.0), Entry("100 VMs", 100, 40.0),
	)

	// Pattern: the callers pause, and come back at once.
	It("is kept after a pause", func() {
		s := newSimulation(4, 20, 200, 1)
		s.run(told+time.Second, true)
		demand := map[*sender]float64{}
		for range 3 {
			for _, v := range s.vms {
				demand[v], v.demand = v.demand, 0
			}
			s.run(6*time.Second, true)
			for _, v := range s.vms {
				v.demand = demand[v]
			}
			s.run(6*time.Second, true)
		}
		Expect(s.mostInWindow()).To(BeNumerically("<=", 125))
	})

	It("is kept by VMs that receive no messages", func() {
		s := newSimulation(4, 20, 200, 1)
		s.run(15*time.Second, false)
		Expect(s.mostInWindow()).To(BeNumerically("<=", 125))
	})

	Context("of one VM", func() {
		var l *targetlimit.Limits
		now := model.Instant(time.Hour)
		vms := targetlimit.VMs{Self: "vm-1", Count: 1}
		BeforeEach(func() { l = targetlimit.New() })

		It("ends with the first answer that names none, and not with an older one", func() {
			Expect(l.Observe(now, now, target, 2)).To(Equal(targetlimit.Named))
			Expect(l.Allow(now, target, vms)).To(BeFalse())
			Expect(l.Wait(now, target, vms)).To(Equal(500 * time.Millisecond))
			Expect(l.Observe(now, now.Add(-time.Second), target, 0)).To(Equal(targetlimit.Unchanged))
			Expect(l.Limited(target)).To(BeTrue())
			Expect(l.Observe(now, now.Add(time.Second), target, 0)).To(Equal(targetlimit.Ended))
			Expect(l.Allow(now, target, vms)).To(BeTrue())
			Expect(l.Share(now)[target].PerSecond).To(BeZero(), "the others learn of the end")
			Expect(l.Share(now.Add(time.Minute))).To(BeEmpty())
		})

		It("lets single requests through that may show its end, however low it is", func() {
			l.Observe(now, now, target, 1e-9)
			Expect(l.Allow(now.Add(6*time.Second), target, vms)).To(BeTrue())
		})

		It("may be huge", func() {
			l.Observe(now, now, target, math.Inf(1))
			Expect(l.Allow(now.Add(step), target, vms)).To(BeTrue())
			Expect(l.Share(now)[target].PerSecond).To(BeNumerically("<", 1e9), "it is sent as an integer")
		})

		It("gives back what was not sent", func() {
			l.Observe(now, now, target, 1)
			later := now.Add(time.Second)
			Expect(l.Allow(later, target, vms)).To(BeTrue())
			l.Sent(later, target)
			Expect(l.Allow(later, target, vms)).To(BeFalse())
			l.NotSent(later, target)
			Expect(l.Allow(later, target, vms)).To(BeTrue())
		})
	})
})
