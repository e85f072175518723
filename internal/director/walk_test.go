package director_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/internal/quarantine"
)

const (
	// walks is the number of random histories, and steps the number of events of each.
	walks = 150
	steps = 1500
)

// walkRequest is a request of a walk as observed by its caller and the targets.
type walkRequest struct {
	id            model.RequestID
	path          string
	sent          *director.Send
	sentAt        model.Instant
	expiresAt     model.Instant
	mayHaveRun    bool
	answerStarted bool
	divert        bool
}

// walk applies a random history of callers, targets, peers and the store to the
// reducer and checks the invariants after each event.
type walk struct {
	*harness
	rand     *rand.Rand
	inFlight []*walkRequest
	seed     uint64
	step     int
	// confirmed is when the last read of the configuration began.
	confirmed model.Instant
}

func newWalk(seed uint64) *walk {
	w := &walk{harness: newHarness(), rand: rand.New(rand.NewPCG(seed, 1)), seed: seed}
	w.config.Routes = append(w.config.Routes, fleet.Route{
		Name: "once-stream", Host: "h", Prefix: "/o/", Kind: fleet.Stream, Timeout: 20 * time.Second,
		LatencyGoal: 500 * time.Millisecond, MaxTargets: 2, Split: []fleet.WeightedService{{Service: llm, Weight: 1}},
	}, fleet.Route{
		Name: "plain-stream", Host: "h", Prefix: "/e/", Kind: fleet.Stream, Timeout: 20 * time.Second, Resumable: true,
		LatencyGoal: 500 * time.Millisecond, MaxTargets: 3, Split: []fleet.WeightedService{{Service: orders, Weight: 1}},
	})
	for _, zone := range []model.AvailabilityZone{"a", "b"} {
		for n, r := range [][2]uint32{{0, 40}, {0, 30}, {30, 80}, {40, 80}, {20, 60}} {
			w.addTarget(model.TargetID(fmt.Sprint(zone, n)), llm, zone, r[0], r[1])
		}
		w.addTarget(model.TargetID(fmt.Sprint("o-", zone)), orders, zone, 0, 0)
	}
	return w
}

func (w *walk) position() string { return fmt.Sprint("seed ", w.seed, ", step ", w.step) }

func (w *walk) randomTarget() model.TargetID {
	ids := make([]model.TargetID, 0, len(w.targets))
	for id := range w.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids[w.rand.IntN(len(ids))]
}

// randomEvent applies one random event.
func (w *walk) randomEvent() {
	w.step++
	w.advance(time.Duration(w.rand.IntN(40)) * time.Millisecond)
	switch n := w.rand.IntN(100); {
	case n < 30:
		w.randomArrival()
	case n < 75 && len(w.inFlight) > 0:
		w.randomRequestEvent(w.inFlight[w.rand.IntN(len(w.inFlight))])
	case n < 80:
		if w.rand.IntN(4) == 0 {
			w.readWithout(w.randomTarget())
		} else {
			w.read()
		}
		w.confirmed = w.now
	case n < 84:
		w.randomTargetChange()
	case n < 88:
		w.randomReport()
	case n < 92:
		w.state.Step(w.now, director.PeerState{
			VM:    model.NodeID(fmt.Sprint("vm-", 2+w.rand.IntN(3))),
			Loads: map[model.TargetID]director.Load{w.randomTarget(): {Requests: w.rand.IntN(50), Waiting: w.rand.IntN(4), First: w.rand.IntN(20)}},
			Suspects: map[model.TargetID]director.Suspicion{w.randomTarget(): {
				Remaining: time.Duration(w.rand.IntN(900)) * time.Millisecond, Age: time.Duration(w.rand.IntN(900)) * time.Millisecond,
			}},
			Paces: map[model.TargetID]float64{w.randomTarget(): 1 + 4*w.rand.Float64()},
			Quarantines: []director.Quarantine{{
				Cause: director.ContentCause(quarantine.FingerprintOf("ws", model.ModelName(w.randomPath()), "")), Level: 1 + w.rand.IntN(3), Cleared: w.rand.IntN(4),
				Remaining: time.Duration(w.rand.IntN(900)) * time.Millisecond, Trial: w.rand.IntN(4) == 0,
			}},
		})
	case n < 94:
		w.state.Step(w.now, director.StoreFailed{})
	case n < 98:
		w.state.Step(w.now, director.ProbeDue{All: w.rand.IntN(2) == 0, Lead: w.rand.IntN(2) == 0})
	case n < 99:
		w.advance(time.Duration(w.rand.IntN(4000)) * time.Millisecond) // a suspension
	default:
		w.state.Step(w.now, director.VMsCounted{Count: w.rand.IntN(5)})
	}
}

// readWithout applies a read that lacks the registration of a target; the next read
// has it again.
func (w *walk) readWithout(id model.TargetID) {
	t := w.targets[id]
	delete(w.targets, id)
	w.read()
	w.targets[id] = t
}

func (w *walk) randomTargetChange() {
	w.changeTarget(w.randomTarget(), func(t *fleet.Target) {
		switch w.rand.IntN(4) {
		case 0:
			t.StartedMs, t.Held = t.StartedMs+1, model.LayerRange{}
		case 1:
			t.State = fleet.TargetDraining
		case 2:
			t.State = fleet.TargetReady
		case 3:
			if t.Service == llm {
				first := uint32(10 * w.rand.IntN(5))
				t.Held = model.LayerRange{First: first, End: first + 40}
			}
		}
	})
}

func (w *walk) randomReport() {
	id := w.randomTarget()
	r := director.ReportRead{Target: id}
	if w.rand.IntN(3) > 0 {
		r.Report = &fleet.Report{Slowdown: 1 + w.rand.Float64()}
		if w.rand.IntN(2) == 0 {
			r.Report.Stalled = []string{"at-" + string(w.randomTarget()), "nowhere"}
		}
	}
	w.state.Step(w.now, r)
}

func (w *walk) randomPath() string {
	paths := []string{"/s/x", "/s/x", "/o/x", "/e/x", "/r/x", "/p/x", "/r/open/x", "/none"}
	return paths[w.rand.IntN(len(paths))]
}

func (w *walk) randomArrival() {
	path := w.randomPath()
	id, e := w.arrive(path)
	w.handle(&walkRequest{id: id, path: path}, e)
}

// handle checks and applies the reducer's decision for a request.
func (w *walk) handle(r *walkRequest, e director.Effect) {
	w.inFlight = slices.DeleteFunc(w.inFlight, func(o *walkRequest) bool { return o == r })
	switch e := e.(type) {
	case *director.Refuse:
		if r.mayHaveRun || r.answerStarted {
			Expect(e.Status).NotTo(BeElementOf(http.StatusServiceUnavailable, http.StatusTooManyRequests), w.position())
		}
		if e.Status == http.StatusServiceUnavailable {
			Expect(e.RetryAfter).To(BeNumerically(">", 0), w.position())
		}
	case *director.Wait:
		Expect(r.answerStarted).To(BeTrue(), w.position())
		w.advance(e.For)
		w.handle(r, lastEffect(w.state.Step(w.now, director.WaitElapsed{ID: r.id, Random: w.rand.Float64()})))
	case *director.Send:
		w.checkSend(r, e)
		r.sent, r.sentAt, r.divert = e, w.now, false
		w.inFlight = append(w.inFlight, r)
	default:
		Fail(fmt.Sprintf("%s: %s is neither sent nor refused: %#v", w.position(), r.path, e))
	}
}

func (w *walk) checkSend(r *walkRequest, e *director.Send) {
	if r.mayHaveRun {
		Expect(e.Route.Repeatable()).To(BeTrue(), w.position())
	}
	if r.sent == nil && r.path != "/r/open/x" {
		Expect(w.now.Sub(w.confirmed)).To(BeNumerically("<=", 5*time.Second), w.position())
	}
	Expect(e.TimeLeft).To(BeNumerically(">", 0), w.position())
	if r.expiresAt == 0 {
		r.expiresAt = w.now.Add(e.TimeLeft)
	}
	Expect(w.now.Add(e.TimeLeft)).To(Equal(r.expiresAt), "the deadline is that of the first send, "+w.position())
	Expect(e.Hops).NotTo(BeEmpty(), w.position())
	if !e.Layered() {
		Expect(e.Hops).To(HaveLen(1), w.position())
		return
	}
	w.checkPath(e.Hops)
}

// checkPath checks that the hops run each layer once and in order, and that no
// target appears twice.
func (w *walk) checkPath(hops []fleet.Hop) {
	at := uint32(0)
	seen := map[model.TargetID]bool{}
	for _, hop := range hops {
		Expect(hop.Layers.First).To(Equal(at), w.position())
		Expect(hop.Layers.Len()).To(BeNumerically(">", 0), w.position())
		Expect(seen[hop.Target]).To(BeFalse(), w.position())
		at, seen[hop.Target] = hop.Layers.End, true
	}
	Expect(at).To(BeEquivalentTo(80), w.position())
}

// randomRequestEvent applies a random event to a request in flight.
func (w *walk) randomRequestEvent(r *walkRequest) {
	switch n := w.rand.IntN(10); {
	case n < 2:
		w.state.Step(w.now, director.AnswerStarted{ID: r.id})
		r.answerStarted, r.mayHaveRun = true, true
	case n < 5:
		e := lastEffect(w.state.Step(w.now, director.StreamIdle{ID: r.id, For: time.Duration(w.rand.IntN(900)) * time.Millisecond}))
		if _, ok := e.(*director.Divert); ok {
			number := r.sent.Number
			w.endRequest(r, director.Diverted)
			Expect(r.sent.Number).To(Equal(number+1), "cancelled and not sent again, "+w.position())
		}
	case n < 7:
		w.state.Step(w.now, director.RequestFinished{ID: r.id, Delivered: w.rand.IntN(2) == 0})
		w.inFlight = slices.DeleteFunc(w.inFlight, func(o *walkRequest) bool { return o == r })
	default:
		outcomes := []director.Outcome{director.NotSent, director.Rejected, director.Lost, director.Failed, director.TimedOut}
		if r.answerStarted {
			outcomes = []director.Outcome{director.Broken, director.TimedOut}
		}
		w.endRequest(r, outcomes[w.rand.IntN(len(outcomes))])
	}
}

func (w *walk) endRequest(r *walkRequest, outcome director.Outcome) {
	if outcome != director.NotSent && outcome != director.Rejected {
		r.mayHaveRun = true
	}
	fault := ""
	if w.rand.IntN(3) == 0 {
		fault = "at-" + string(w.randomTarget())
	}
	w.handle(r, lastEffect(w.state.Step(w.now, director.SendEnded{
		ID: r.id, Outcome: outcome, FaultAt: fault, Took: w.now.Sub(r.sentAt), Random: w.rand.Float64(),
	})))
}

var _ = Describe("a random history", func() {
	// Pattern: all kinds of events combined, such as a plain request on an idle target
	// under suspicion, the first fault found (lacing-fleet, trouble-2).
	It("keeps at-most-once execution, correct refusals, complete paths, no remaining load and no reserved retry", func() {
		for seed := range uint64(walks) {
			w := newWalk(seed)
			for range steps {
				w.randomEvent()
			}
			for _, r := range w.inFlight {
				w.state.Step(w.now, director.RequestFinished{ID: r.id})
			}
			Expect(w.state.InFlight()).To(BeZero(), w.position())
			Expect(w.state.OwnPeerState(w.now).Loads).To(BeEmpty(), w.position())
			for _, b := range w.state.RetryBudgets(w.now) {
				Expect(b.Reserved).To(BeZero(), w.position())
			}
		}
	})
})
