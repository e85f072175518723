package director_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

// outlierSimulation runs several VMs with the same targets and messages between them, with a
// simulated clock. The harness of the first VM holds configuration and targets.
type outlierSimulation struct {
	rng    *rand.Rand
	vms    []*harness
	events eventQueue
	// scheduled numbers the events.
	scheduled int
	now       model.Instant
	// errorRate returns the rate of errors of a target at a time since the start.
	errorRate func(model.TargetID, time.Duration) float64
	start     model.Instant
	pushed    []uint64
	pushedAt  []model.Instant
	// requests, lost and refused count requests; sends and errors count those at each target.
	// requests0 is the number of requests before the fault.
	requests, lost, refused, requests0 int
	sends, errors                      map[model.TargetID]int
	ejections                          int
	path                               string
	maxOut                             int
}

type simulatedEvent struct {
	at     model.Instant
	number int
	run    func()
}

type eventQueue []simulatedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].number < q[j].number
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simulatedEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	// errorTime is the time of an error, plainTime, headAfter and streamTime those of answers.
	errorTime, plainTime, headAfter, streamTime = 3 * time.Millisecond, 15 * time.Millisecond, 200 * time.Millisecond, 3 * time.Second
	messageInterval, messageDelay               = 200 * time.Millisecond, 2 * time.Millisecond
)

func newOutlierSimulation(vms int, path string, addTargets func(*harness)) *outlierSimulation {
	first := newHarness()
	addTargets(first)
	first.read()
	s := &outlierSimulation{
		rng: rand.New(rand.NewPCG(7, 1)), vms: []*harness{first}, now: first.now, start: first.now, path: path,
		errorRate: func(model.TargetID, time.Duration) float64 { return 0 },
		sends:     map[model.TargetID]int{}, errors: map[model.TargetID]int{}, pushed: make([]uint64, vms), pushedAt: make([]model.Instant, vms),
	}
	for i := 1; i < vms; i++ {
		s.vms = append(s.vms, first.peer(model.NodeID(fmt.Sprint("vm-", i+1))))
	}
	for i, vm := range s.vms {
		vm.state.Step(s.now.Add(-time.Minute), director.VMsCounted{Count: vms})
		s.after(time.Duration(s.rng.Int64N(int64(messageInterval))), func() { s.sendMessages(i) })
	}
	return s
}

func (s *outlierSimulation) after(d time.Duration, run func()) {
	heap.Push(&s.events, simulatedEvent{at: s.now.Add(d), number: s.scheduled, run: run})
	s.scheduled++
}

func (s *outlierSimulation) step(vm int, e director.Event) director.Effect {
	effects := s.vms[vm].state.Step(s.now, e)
	for _, effect := range effects {
		if c, ok := effect.(*director.StateChanged); ok && c.What == "target ejected" {
			s.ejections++
		}
	}
	s.maxOut = max(s.maxOut, len(s.vms[vm].state.EjectedTargets(s.now)))
	if learned := s.vms[vm].state.Learned(); learned != s.pushed[vm] && s.now.Sub(s.pushedAt[vm]) >= messageInterval/2 {
		s.pushed[vm], s.pushedAt[vm] = learned, s.now
		s.publish(vm)
	}
	return lastEffect(effects)
}

func (s *outlierSimulation) publish(vm int) {
	state := s.vms[vm].state.OwnPeerState(s.now)
	s.after(messageDelay, func() {
		for i := range s.vms {
			if i != vm {
				s.step(i, state)
			}
		}
	})
}

func (s *outlierSimulation) sendMessages(vm int) {
	s.vms[vm].now = s.now
	s.step(vm, director.ConfigRead{Started: s.now})
	s.publish(vm)
	s.after(messageInterval, func() { s.sendMessages(vm) })
}

func (s *outlierSimulation) arrive(vm int) {
	s.requests++
	id := model.RequestID(fmt.Sprint("r", s.requests))
	s.follow(vm, id, s.step(vm, director.RequestArrived{Random: s.rng.Float64(), Request: &fleet.Request{
		ID: id, Method: "POST", Host: "h", Path: s.path, Key: "key", HasKey: true, Deadline: 20 * time.Second, PromptTokens: 800, AnswerTokens: 200,
		Body: []byte(id),
	}}), false)
}

// follow carries out the effect for a request; sent is true after its first send.
func (s *outlierSimulation) follow(vm int, id model.RequestID, effect director.Effect, sent bool) {
	send, ok := effect.(*director.Send)
	switch {
	case !ok && sent:
		s.lost++
		return
	case !ok:
		s.refused++
		return
	}
	target := send.Hops[0].Target
	s.sends[target]++
	if s.rng.Float64() < s.errorRate(target, s.now.Sub(s.start)) {
		s.errors[target]++
		s.after(errorTime, func() {
			s.follow(vm, id, s.step(vm, director.SendEnded{ID: id, Outcome: director.Failed, Status: 500, Random: s.rng.Float64()}), true)
		})
		return
	}
	finish := func() { s.step(vm, director.RequestFinished{ID: id, Delivered: true, Status: 200}) }
	if !send.Layered() {
		s.after(plainTime, finish)
		return
	}
	s.after(headAfter, func() { s.step(vm, director.AnswerStarted{ID: id}) })
	s.after(streamTime, finish)
}

// run simulates a time with requests at a rate per second at all VMs together.
func (s *outlierSimulation) run(d time.Duration, perSecond float64) {
	end := s.now.Add(d)
	var next func()
	next = func() {
		if s.now < end {
			s.arrive(s.rng.IntN(len(s.vms)))
			s.after(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
		}
	}
	next()
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simulatedEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func plainTargets(n int) func(*harness) {
	return func(h *harness) {
		for i := range n {
			h.addTarget(model.TargetID(fmt.Sprintf("o%03d", i)), orders, "a", 0, 0)
		}
	}
}

// layeredTargets are paths of two hops: each zone has some first hops and later ones.
func layeredTargets(perZone int) func(*harness) {
	return func(h *harness) {
		for _, zone := range []string{"a", "b", "c"} {
			for i := range perZone {
				h.addTarget(model.TargetID(fmt.Sprint("first-", zone, i)), llm, model.AvailabilityZone(zone), 0, 40)
				h.addTarget(model.TargetID(fmt.Sprint("later-", zone, i)), llm, model.AvailabilityZone(zone), 40, 80)
			}
		}
	}
}

func failing(rate float64, ids ...model.TargetID) func(model.TargetID, time.Duration) float64 {
	return func(id model.TargetID, _ time.Duration) float64 {
		for _, faulty := range ids {
			if id == faulty {
				return rate
			}
		}
		return 0
	}
}

var _ = Describe("targets that answer with errors", func() {
	report := func(s *outlierSimulation) {
		AddReportEntry("figures", fmt.Sprintf("requests %d lost %d refused %d ejections %d most out %d errors %v", s.requests-s.requests0, s.lost, s.refused, s.ejections, s.maxOut, s.errors))
	}
	// The first ten are those to which the VMs send first.
	var ten []model.TargetID
	for n := range 10 {
		ten = append(ten, model.TargetID(fmt.Sprintf("o%03d", n)))
	}
	// The fault begins during steady traffic.
	failLater := func(s *outlierSimulation, d time.Duration, perSecond, rate float64, ids ...model.TargetID) {
		s.run(25*time.Second, perSecond)
		Expect(s.lost + s.refused).To(BeZero())
		s.requests0, s.errorRate = s.requests, failing(rate, ids...)
		s.run(d, perSecond)
		report(s)
		Expect(s.lost + s.refused).To(BeNumerically("<", float64(s.requests-s.requests0)/100))
	}

	// Load: ten of a hundred targets answer 500 to every request within 3 ms, so that they stay
	// the least loaded; their health checks and reports are good.
	It("lose under 1% of the requests: ten of a hundred plain targets", func() {
		s := newOutlierSimulation(20, "/r/x", plainTargets(100))
		failLater(s, 30*time.Second, 200, 1, ten...)
		Expect(s.maxOut).To(Equal(10))
	})

	It("lose under 1% of the requests: ten of a hundred that answer most requests with errors", func() {
		failLater(newOutlierSimulation(20, "/r/x", plainTargets(100)), 30*time.Second, 200, 0.8, ten...)
	})

	// The fault that was measured: 79 VMs, of which each has a request every second or so.
	It("lose under 1% of the requests: a first hop of a layered model", func() {
		failLater(newOutlierSimulation(79, "/s/x", layeredTargets(3)), 10*time.Second, 100, 1, "first-a0")
	})

	It("lose under 1% of the requests: the only first hop of a zone", func() {
		failLater(newOutlierSimulation(40, "/s/x", layeredTargets(1)), 10*time.Second, 30, 1, "first-a0")
	})

	// Guards against ejections in a service that has errors of its own.
	DescribeTable("are not ejected for errors that all targets have", func(path string, targets func(*harness), perSecond float64) {
		s := newOutlierSimulation(20, path, targets)
		s.errorRate = func(model.TargetID, time.Duration) float64 { return 0.14 }
		s.run(60*time.Second, perSecond)
		report(s)
		Expect(s.ejections).To(BeZero())
	},
		Entry("three plain targets", "/r/x", plainTargets(3), 60.0),
		Entry("a hundred plain targets with few requests each", "/r/x", plainTargets(100), 100.0),
		Entry("first hops of a layered model", "/s/x", layeredTargets(3), 60.0),
	)

	It("return after they have recovered, and stay", func() {
		s := newOutlierSimulation(20, "/r/x", plainTargets(10))
		s.errorRate = func(id model.TargetID, at time.Duration) float64 {
			if id == "o003" && at < 10*time.Second {
				return 1
			}
			return 0
		}
		s.run(10*time.Second, 200)
		Expect(s.maxOut).To(Equal(1))
		Expect(s.errors["o003"]).To(BeNumerically("<", 100))
		s.run(10*time.Second, 200)
		for _, vm := range s.vms {
			Expect(vm.state.EjectedTargets(s.now)).To(BeEmpty())
			Expect(vm.state.OutlierCounts().Trials).To(BeNumerically(">=", 2), "an ejection that ends without trials is forgotten")
		}
		s.sends, s.ejections = map[model.TargetID]int{}, 0
		s.run(10*time.Second, 200)
		report(s)
		Expect(s.ejections).To(BeZero())
		Expect(s.sends["o003"]).To(BeNumerically(">", s.sends["o004"]/2))
	})

	It("are ejected in a service that has errors of its own", func() {
		s := newOutlierSimulation(20, "/r/x", plainTargets(10))
		s.errorRate = func(id model.TargetID, at time.Duration) float64 {
			if id == "o001" && at > 25*time.Second {
				return 1
			}
			return 0.14
		}
		s.run(25*time.Second, 200)
		Expect(s.ejections).To(BeZero())
		own := float64(s.lost+s.refused) / float64(s.requests)
		s.errors, s.requests0, s.lost, s.refused = map[model.TargetID]int{}, s.requests, 0, 0
		s.run(20*time.Second, 200)
		report(s)
		Expect(s.maxOut).To(Equal(1))
		Expect(float64(s.lost+s.refused)/float64(s.requests-s.requests0)-own).To(BeNumerically("<", 0.01), "requests lost to the outlier")
	})

	// Guards against a service that its own errors take out of rotation.
	It("stay in rotation when all fail", func() {
		s := newOutlierSimulation(20, "/r/x", plainTargets(10))
		s.errorRate = func(model.TargetID, time.Duration) float64 { return 1 }
		s.run(20*time.Second, 200)
		report(s)
		Expect(s.refused).To(BeZero())
		Expect(s.maxOut).To(BeNumerically("<=", 5))
	})

	It("leave at most half of a service out of rotation", func() {
		s := newOutlierSimulation(20, "/r/x", plainTargets(10))
		s.errorRate = failing(1, "o000", "o001", "o002", "o003", "o004", "o005", "o006")
		s.run(20*time.Second, 200)
		report(s)
		Expect(s.refused).To(BeZero())
		Expect(s.maxOut).To(BeNumerically("<=", 5))
	})

	It("are ejected by a VM that is alone", func() {
		s := newOutlierSimulation(1, "/r/x", plainTargets(3))
		s.errorRate = failing(1, "o001")
		s.run(20*time.Second, 40)
		report(s)
		Expect(s.maxOut).To(Equal(1))
		Expect(s.errors["o001"]).To(BeNumerically("<", 40))
	})
})
