package director_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

const (
	// freeCrashes is the number of crashes after which, and after the stability window,
	// maxLateSends more requests with a part may reach targets.
	freeCrashes = 5
	// harmlessParts is the number of first parts that harmless requests share.
	harmlessParts = 12
	// firstEventTime, eventToCrash and answerDuration are the times of a send from its
	// start to its first event, from that to the crash, and to the end of its answer.
	firstEventTime = 60 * time.Millisecond
	eventToCrash   = 90 * time.Millisecond
	answerDuration = 1500 * time.Millisecond
)

// partTraffic is the traffic of a partSimulation. Rates are in requests per second over
// all VMs.
type partTraffic struct {
	harmlessRate, crashingRate float64
	// crashing returns the shared parts of the n-th crashing request.
	crashing func(n int) []model.PartID
	// ownParts gives each harmless request another shared part, of its own.
	ownParts bool
	// events is true where targets send an event before they crash.
	events bool
	// restarts has the VMs restart in turn.
	restarts bool
	// domainCrashes has half of the targets crash at once for another reason, at
	// intervals; 0 for none.
	domainCrashes time.Duration
}

// partRequest is a request in flight of a partSimulation.
type partRequest struct {
	id    model.RequestID
	vm    *simulatedVM
	parts []model.PartID
	// crashing is the part that crashes targets, empty for a harmless request.
	crashing model.PartID
	began    bool
	// at is when the request arrived, and send the number of its current send.
	at     model.Instant
	send   int
	target *simulatedTarget
}

// partSimulation is a crashSimulation with requests that declare parts of their prompts,
// some of which crash their targets.
type partSimulation struct {
	*crashSimulation
	traffic  partTraffic
	random   *rand.Rand
	running  map[model.RequestID]*partRequest
	harmless []*partRequest
	// sent counts the crashing requests, and refused those refused for crashes by whether
	// they crash targets.
	sent    int
	refused map[bool]int
	// crashTimes are the crashes that each crashing part caused, and reached the times at
	// which requests with it reached targets from VMs in touch.
	crashTimes, reached map[model.PartID][]model.Instant
}

func newPartSimulation(traffic partTraffic, vms int, seed uint64) *partSimulation {
	return &partSimulation{
		crashSimulation: newCrashSimulation(crashingRequest{}, vms, 4*time.Second), traffic: traffic,
		random: rand.New(rand.NewPCG(seed, 1)), running: map[model.RequestID]*partRequest{}, refused: map[bool]int{},
		crashTimes: map[model.PartID][]model.Instant{}, reached: map[model.PartID][]model.Instant{},
	}
}

// runTraffic runs the simulation; crashing requests come while crashing is true.
func (p *partSimulation) runTraffic(d time.Duration, crashing bool) {
	perStep := simulationStep.Seconds()
	for end := p.elapsed + d; p.elapsed < end; {
		if crashing && p.traffic.domainCrashes > 0 && p.every(p.traffic.domainCrashes, p.traffic.domainCrashes/2) {
			for n := range 3 {
				p.crashTarget(p.targets[model.TargetID(fmt.Sprint("l", n))])
			}
		}
		if p.random.Float64() < p.traffic.harmlessRate*perStep {
			parts := []model.PartID{firstPart(p.random.IntN(harmlessParts))}
			if p.traffic.ownParts {
				parts = append(parts, model.PartID(fmt.Sprint("own", p.requests)))
			}
			if r := p.arriveWith(parts); r != nil {
				p.harmless = append(p.harmless, r)
			}
		}
		if crashing && p.random.Float64() < p.traffic.crashingRate*perStep {
			p.sent++
			p.arriveWith(p.traffic.crashing(p.sent))
		}
		p.run(arrivals{none: true, restarts: p.traffic.restarts}, simulationStep)
	}
}

func firstPart(n int) model.PartID { return model.PartID(fmt.Sprint("first", n)) }

// arriveWith sends a request to a VM that runs; nil if there is none.
func (p *partSimulation) arriveWith(parts []model.PartID) *partRequest {
	var running []*simulatedVM
	for _, vm := range p.vms {
		if !vm.down && p.now >= vm.frozenUntil {
			running = append(running, vm)
		}
	}
	if len(running) == 0 {
		return nil
	}
	p.requests++
	r := &partRequest{id: model.RequestID(fmt.Sprint("q", p.requests)), vm: running[p.random.IntN(len(running))], parts: parts, at: p.now}
	if n := slices.IndexFunc(parts, func(part model.PartID) bool { return strings.HasPrefix(string(part), "bad") }); n >= 0 {
		r.crashing = parts[n]
	}
	p.handlePart(r, p.step(r.vm, director.RequestArrived{Request: &fleet.Request{
		ID: r.id, Method: "POST", Host: "h", Path: "/s/x", Key: "key", HasKey: true, Deadline: 20 * time.Second, PromptTokens: 800, AnswerTokens: 200,
		SharedParts: parts, Body: []byte(r.id),
	}, Random: p.random.Float64()}))
	return r
}

func (p *partSimulation) handlePart(r *partRequest, effects []director.Effect) {
	switch e := lastEffect(effects).(type) {
	case *director.Refuse:
		if strings.Contains(e.Reason, "crashed") {
			Expect(e.Detail).NotTo(BeEmpty(), "a refusal names its cause")
			p.refused[r.crashing != ""]++
		}
	case *director.Wait:
		p.after(e.For, r.vm, func() { p.handlePart(r, p.step(r.vm, director.WaitElapsed{ID: r.id, Random: 0.5})) })
	case *director.Send:
		p.sendPart(r, p.targets[e.Hops[0].Target])
	}
}

func (p *partSimulation) sendPart(r *partRequest, t *simulatedTarget) {
	r.send, r.target = r.send+1, t
	if t.down {
		p.after(simulationStep, r.vm, func() { p.endPart(r, director.NotSent) })
		return
	}
	if r.crashing != "" && p.inTouch(r.vm) {
		p.reached[r.crashing] = append(p.reached[r.crashing], p.now)
	}
	p.running[r.id] = r
	send := r.send
	runs := func() bool { return p.running[r.id] == r && r.send == send }
	during := func(d time.Duration, do func()) {
		p.after(d, r.vm, func() {
			if runs() {
				do()
			}
		})
	}
	if r.crashing != "" {
		if p.traffic.events {
			during(firstEventTime, func() { p.begin(r) })
		}
		p.scheduled = append(p.scheduled, scheduledAction{at: p.now.Add(firstEventTime + eventToCrash), do: func() {
			if runs() {
				p.crashTimes[r.crashing] = append(p.crashTimes[r.crashing], p.now)
				p.crashTarget(t)
			}
		}})
		return
	}
	during(firstEventTime, func() { p.begin(r) })
	during(firstEventTime+director.ProgressTime, func() { p.step(r.vm, director.StreamProgressed{ID: r.id}) })
	during(answerDuration, func() {
		delete(p.running, r.id)
		p.step(r.vm, director.RequestFinished{ID: r.id, Delivered: true})
	})
}

// inTouch reports whether a VM has run undisturbed, and the store has not returned, for
// startWindow, which is shorter than the stability window that the rules allow.
func (p *partSimulation) inTouch(vm *simulatedVM) bool {
	return p.now.Sub(max(vm.startedAt, vm.cutUntil, vm.frozenUntil, p.storeReturnedAt)) > startWindow
}

func (p *partSimulation) begin(r *partRequest) {
	r.began = true
	p.step(r.vm, director.AnswerStarted{ID: r.id})
}

func (p *partSimulation) endPart(r *partRequest, outcome director.Outcome) {
	p.handlePart(r, p.step(r.vm, director.SendEnded{ID: r.id, Outcome: outcome, Took: simulationStep, Random: 0.5}))
}

// crashTarget crashes a target and breaks off all requests that it runs.
func (p *partSimulation) crashTarget(t *simulatedTarget) {
	p.crash(t)
	for _, id := range slices.Sorted(maps.Keys(p.running)) {
		r := p.running[id]
		if r.target != t {
			continue
		}
		delete(p.running, id)
		outcome := director.Lost
		if r.began {
			outcome = director.Broken
		}
		p.after(simulationStep, r.vm, func() { p.endPart(r, outcome) })
	}
}

// lateReached returns how many requests with a part reached targets later than the
// stability window after the crash that freeCrashes counts.
func (p *partSimulation) lateReached(part model.PartID) int {
	crashes := p.crashTimes[part]
	if len(crashes) < freeCrashes {
		return 0
	}
	bound := crashes[freeCrashes-1].Add(stabilityWindow)
	n := 0
	for _, at := range p.reached[part] {
		if at > bound {
			n++
		}
	}
	return n
}

// lastFreeCrash returns the time of the crash that freeCrashes counts, or of the last one.
func (p *partSimulation) lastFreeCrash(part model.PartID) model.Instant {
	crashes := p.crashTimes[part]
	return crashes[min(len(crashes), freeCrashes)-1]
}

// harmlessBetween returns the number of harmless requests between two times, with a first
// part or any, and the share of them that began.
func (p *partSimulation) harmlessBetween(from, to model.Instant, first model.PartID) (int, float64) {
	began, all := 0, 0
	for _, r := range p.harmless {
		if r.at < from || r.at >= to || first != "" && r.parts[0] != first {
			continue
		}
		all++
		if r.began {
			began++
		}
	}
	return all, float64(began) / float64(max(all, 1))
}

// Requests that differ in everything but one part of their prompts crash their targets.
// Guards against crashes that are attributed to whole requests only, of which none comes
// twice, and against refusing the harmless requests that share the other parts.
var _ = Describe("requests that share a part which crashes its targets", func() {
	const (
		calm     = 8 * time.Second
		crashing = 40 * time.Second
		// settled is when harmless requests are served again, whenever the last crash was.
		settled = 12 * time.Second
		// minCompared is the number of requests from which their share is compared.
		minCompared = 20
	)
	second := func(n int) []model.PartID { return []model.PartID{firstPart(n % 3), "bad"} }
	DescribeTable("reach at most three targets after the stability window, and others are served",
		func(traffic partTraffic) {
			for _, vms := range []int{1, 4, 12} {
				for seed := range uint64(3) {
					p := newPartSimulation(traffic, vms, seed)
					p.runTraffic(calm, false)
					start := p.now
					p.runTraffic(crashing, true)
					report := fmt.Sprintf("%d VMs, seed %d: %d crashes, refused %v", vms, seed, len(p.crashTimes["bad"]), p.refused)
					Expect(len(p.crashTimes["bad"])).To(BeNumerically(">=", 3), report)
					Expect(p.lateReached("bad")).To(BeNumerically("<=", maxLateSends), report)
					_, usual := p.harmlessBetween(start.Add(-calm), start, "")
					for _, from := range []model.Instant{p.lastFreeCrash("bad").Add(2 * stabilityWindow), start.Add(settled)} {
						for _, first := range []model.PartID{"", firstPart(0)} {
							if n, began := p.harmlessBetween(from, p.now, first); n >= minCompared {
								Expect(began).To(BeNumerically(">=", usual/2), report)
							}
						}
					}
				}
			}
		},
		Entry("part in second place", partTraffic{harmlessRate: 30, crashingRate: 3, crashing: second}),
		Entry("part in second place, after one event", partTraffic{harmlessRate: 30, crashingRate: 3, crashing: second, events: true}),
		Entry("part in first place", partTraffic{harmlessRate: 30, crashingRate: 3, crashing: func(n int) []model.PartID {
			return []model.PartID{"bad", firstPart(n % 3), firstPart(n%3 + 4)}
		}, events: true}),
		Entry("part between new parts", partTraffic{harmlessRate: 30, crashingRate: 3, crashing: func(n int) []model.PartID {
			return []model.PartID{firstPart(0), model.PartID(fmt.Sprint("new", n)), "bad", model.PartID(fmt.Sprint("last", n))}
		}}),
		Entry("few harmless requests", partTraffic{harmlessRate: 6, crashingRate: 2, crashing: second, events: true}),
		Entry("many crashing requests", partTraffic{harmlessRate: 30, crashingRate: 15, crashing: second, events: true}),
		Entry("while the VMs restart in turn", partTraffic{harmlessRate: 30, crashingRate: 3, crashing: second, events: true, restarts: true}),
		Entry("while harmless requests have parts of their own", partTraffic{harmlessRate: 30, crashingRate: 3, crashing: second, events: true, ownParts: true}),
		Entry("while targets crash for another reason", partTraffic{harmlessRate: 30, crashingRate: 3, crashing: second, events: true, domainCrashes: 9 * time.Second}),
	)
})
