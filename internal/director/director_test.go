package director_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/internal/retrybudget"
)

func TestDirector(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "director")
}

const (
	llm    model.ServiceID = "llm"
	orders model.ServiceID = "orders"
)

// harness is a reducer with a clock, a configuration and targets.
type harness struct {
	state    *director.State
	now      model.Instant
	targets  map[model.TargetID]*fleet.Target
	rows     map[model.TargetID]fleet.StoreVersion
	config   *fleet.Config
	requests int
}

var harnessSettings = director.Settings{
	VM: "vm-1", Zone: "a", ConfigApply: 2 * time.Second, Revoke: 5 * time.Second, Stall: 2500 * time.Millisecond,
	Retries: retrybudget.Settings{Ratio: 0.2, Slack: 20, Window: 10 * time.Second},
}

func newHarness() *harness { return newHarnessOf(harnessSettings.VM) }

func newHarnessOf(vm model.NodeID) *harness {
	settings := harnessSettings
	settings.VM = vm
	h := &harness{
		state:   director.New(settings),
		now:     model.Instant(time.Hour),
		targets: map[model.TargetID]*fleet.Target{}, rows: map[model.TargetID]fleet.StoreVersion{},
		config: config(7),
	}
	// The VM has known for long that it is the only one, and has the slack of the retry
	// budget.
	h.state.Step(h.now.Add(-time.Minute), director.VMsCounted{Count: 1})
	return h
}

// peer returns another VM that has just started, with the same configuration and
// targets.
func (h *harness) peer(vm model.NodeID) *harness {
	other := newHarnessOf(vm)
	other.now, other.config, other.targets, other.rows = h.now, h.config, h.targets, h.rows
	other.read()
	return other
}

// exchange sends the state of each VM to all others.
func exchange(vms []*harness) {
	for _, from := range vms {
		for _, to := range vms {
			if to != from {
				to.state.Step(to.now, from.state.OwnPeerState(from.now))
			}
		}
	}
}

func config(version model.Revision) *fleet.Config {
	return &fleet.Config{
		Version: version,
		Routes: []fleet.Route{
			{Name: "stream", Host: "h", Prefix: "/s/", Kind: fleet.Stream, Timeout: 20 * time.Second, LatencyGoal: 500 * time.Millisecond,
				EventGapGoal: 250 * time.Millisecond, MaxTargets: 2, Resumable: true, Split: []fleet.WeightedService{{Service: llm, Weight: 1}}},
			{Name: "read", Host: "h", Prefix: "/r/", Kind: fleet.Idempotent, Timeout: time.Second, MaxTargets: 2,
				Split: []fleet.WeightedService{{Service: orders, Weight: 1}}},
			{Name: "pay", Host: "h", Prefix: "/p/", Kind: fleet.NonIdempotent, Timeout: time.Second, MaxTargets: 1,
				Split: []fleet.WeightedService{{Service: orders, Weight: 1}}},
			{Name: "open", Host: "h", Prefix: "/r/open/", Kind: fleet.Idempotent, Timeout: time.Second, MaxTargets: 2, Public: true,
				Split: []fleet.WeightedService{{Service: orders, Weight: 1}}},
		},
		Services: map[model.ServiceID]*fleet.Service{
			llm: {ID: llm, Engine: &fleet.Engine{
				Slots: 192, KVBytesPerToken: 590000, StepMs: 1, StepMsPerSequence: 0.005, StepMsPerKToken: 0.006,
				PrefillTokensPerSecond: 160000, PrefillChunkTokens: 512, StepsPerPass: 4, MeanPromptTokens: 800, MeanAnswerTokens: 200,
				Layers: 80, LayerMB: 1750,
				Hardware: map[model.AcceleratorKind]fleet.Hardware{"big": {MemoryMB: 90000, DecodeFactor: 2.4, PrefillFactor: 3.2}},
			}},
			orders: {ID: orders},
		},
		Workspaces: []fleet.Workspace{{ID: "ws", Keys: []string{"key"}}},
	}
}

func (h *harness) addTarget(id model.TargetID, service model.ServiceID, zone model.AvailabilityZone, first, end uint32) {
	kind, slots := model.AcceleratorKind(""), 6
	if service == llm {
		kind, slots = "big", 192
	}
	h.targets[id] = &fleet.Target{
		ID: id, Service: service, Address: "at-" + string(id), Zone: zone, State: fleet.TargetReady, Slots: slots, Kind: kind,
		Held: model.LayerRange{First: first, End: end}, StartedMs: 1,
	}
	h.rows[id] = fleet.StoreVersion{Row: 1}
}

// changeTarget replaces a registration.
func (h *harness) changeTarget(id model.TargetID, f func(*fleet.Target)) {
	t := *h.targets[id]
	f(&t)
	h.targets[id] = &t
	h.rows[id] = fleet.StoreVersion{Era: h.rows[id].Era, Row: h.rows[id].Row + 1}
}

// read applies a read of the configuration and the targets at the current time.
func (h *harness) read() {
	h.state.Step(h.now, director.ConfigRead{Config: h.config, Started: h.now})
	read := director.TargetsRead{Rows: map[model.TargetID]fleet.StoreVersion{}}
	for id, t := range h.targets {
		read.Targets = append(read.Targets, t)
		read.Rows[id] = h.rows[id]
	}
	h.state.Step(h.now, read)
}

func (h *harness) advance(d time.Duration) { h.now = h.now.Add(d) }

// arrive sends a request and returns its id and the last effect.
func (h *harness) arrive(path string) (model.RequestID, director.Effect) {
	return h.arriveWithKey(path, "key")
}

// arriveWithKey sends a request with a key, or with none for "".
func (h *harness) arriveWithKey(path, key string) (model.RequestID, director.Effect) {
	h.requests++
	id := model.RequestID(fmt.Sprint("q", h.requests))
	return id, lastEffect(h.state.Step(h.now, director.RequestArrived{Request: &fleet.Request{
		ID: id, Method: "GET", Host: "h", Path: path, Key: key, HasKey: key != "", Deadline: 20 * time.Second, PromptTokens: 800, AnswerTokens: 200,
	}, Random: float64(h.requests%97) / 97}))
}

// arriveWithParts sends a request whose content is its own and whose prompt has some shared
// parts, and returns its id and the last effect.
func (h *harness) arriveWithParts(parts ...model.PartID) (model.RequestID, director.Effect) {
	h.requests++
	id := model.RequestID(fmt.Sprint("part", h.requests))
	return id, lastEffect(h.state.Step(h.now, director.RequestArrived{Request: &fleet.Request{
		ID: id, Method: "GET", Host: "h", Path: "/r/" + string(id), Key: "key", HasKey: true, SharedParts: parts, Deadline: 20 * time.Second,
	}}))
}

func (h *harness) endSend(id model.RequestID, outcome director.Outcome) director.Effect {
	return lastEffect(h.state.Step(h.now, director.SendEnded{ID: id, Outcome: outcome, Random: 0.5}))
}

func lastEffect(effects []director.Effect) director.Effect {
	if len(effects) == 0 {
		return nil
	}
	return effects[len(effects)-1]
}

func expectSend(e director.Effect) *director.Send {
	send, ok := e.(*director.Send)
	ExpectWithOffset(1, ok).To(BeTrue(), "%#v", e)
	return send
}

func expectRefusal(e director.Effect) *director.Refuse {
	refusal, ok := e.(*director.Refuse)
	ExpectWithOffset(1, ok).To(BeTrue(), "%#v", e)
	return refusal
}

var _ = Describe("a request's route and key", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.addTarget("o1", orders, "a", 0, 0)
		h.addTarget("o2", orders, "b", 0, 0)
	})

	It("is refused with a Retry-After before the first configuration", func() {
		_, e := h.arrive("/r/x")
		Expect(expectRefusal(e).Status).To(Equal(http.StatusServiceUnavailable))
		Expect(expectRefusal(e).RetryAfter).To(BeNumerically(">", 0))
		Expect(h.state.Ready(h.now)).To(BeFalse())
	})

	It("uses the route with the longest prefix", func() {
		h.read()
		_, e := h.arrive("/r/open/x")
		Expect(expectSend(e).Route.Name).To(Equal("open"))
		Expect(expectSend(e).Workspace).To(BeEmpty())
	})

	It("answers 404 and 401 only on a confirmed configuration", func() {
		h.read()
		_, e := h.arrive("/nowhere/")
		Expect(expectRefusal(e).Status).To(Equal(http.StatusNotFound))
		h.advance(3 * time.Second)
		_, e = h.arrive("/nowhere/")
		Expect(expectRefusal(e).Status).To(Equal(http.StatusServiceUnavailable))
	})

	It("refuses a removed key once the new configuration is read", func() {
		h.read()
		h.config = config(8)
		h.config.Workspaces[0].Keys = []string{"another"}
		h.read()
		_, e := h.arrive("/r/x")
		Expect(expectRefusal(e).Status).To(Equal(http.StatusUnauthorized))
	})

	// Guards against a configuration without a key that opens the routes.
	It("refuses every key and none once the last workspace is removed", func() {
		h.read()
		h.config = config(8)
		h.config.Workspaces = nil
		h.read()
		_, e := h.arrive("/r/x")
		Expect(expectRefusal(e).Status).To(Equal(http.StatusUnauthorized))
		_, e = h.arriveWithKey("/r/x", "")
		Expect(expectRefusal(e).Status).To(Equal(http.StatusUnauthorized))
		_, e = h.arriveWithKey("/r/open/x", "")
		expectSend(e)
	})

	// Guards against a removed key that is accepted because no key is needed any more.
	It("needs no key where there is no list of workspaces, and refuses those that it gets", func() {
		h.read()
		h.config = config(8)
		h.config.Workspaces, h.config.AllowAnonymous = nil, true
		h.read()
		_, e := h.arriveWithKey("/r/x", "")
		Expect(expectSend(e).Workspace).To(BeEmpty())
		_, e = h.arrive("/r/x")
		Expect(expectRefusal(e).Status).To(Equal(http.StatusUnauthorized))
	})

	It("never reverts to an older configuration", func() {
		h.read()
		h.config = config(6)
		h.config.Routes = nil
		h.read()
		_, e := h.arrive("/r/x")
		expectSend(e)
	})

	// Pattern: a VM is partitioned from the store, or resumes after a suspension,
	// while a key is revoked.
	It("accepts no key on a configuration confirmed longer ago than the bound", func() {
		h.read()
		h.advance(4700 * time.Millisecond)
		_, e := h.arrive("/r/x")
		expectSend(e)
		h.advance(200 * time.Millisecond)
		_, e = h.arrive("/r/x")
		Expect(expectRefusal(e).Status).To(Equal(http.StatusServiceUnavailable))
		Expect(h.state.Ready(h.now)).To(BeFalse())
		_, e = h.arrive("/r/open/x")
		expectSend(e)
	})

	It("dates a confirmation by the start of its read", func() {
		h.read()
		started := h.now
		h.advance(4 * time.Second)
		h.state.Step(h.now, director.ConfigRead{Started: started.Add(100 * time.Millisecond)})
		h.advance(time.Second)
		_, e := h.arrive("/r/x")
		Expect(expectRefusal(e).Status).To(Equal(http.StatusServiceUnavailable))
	})
})

var _ = Describe("at most once", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.addTarget("o1", orders, "a", 0, 0)
		h.addTarget("o2", orders, "a", 0, 0)
		h.read()
	})

	It("sends a non-idempotent request again only after it was not sent or rejected", func() {
		h.addTarget("o3", orders, "a", 0, 0)
		h.addTarget("o4", orders, "a", 0, 0)
		h.read()
		for _, outcome := range []director.Outcome{director.NotSent, director.Rejected} {
			id, e := h.arrive("/p/x")
			first := expectSend(e).Hops[0].Target
			Expect(expectSend(h.endSend(id, outcome)).Hops[0].Target).NotTo(Equal(first))
			h.state.Step(h.now, director.RequestFinished{ID: id, Delivered: true})
		}
	})

	DescribeTable("never reports a request that may have run as not run",
		func(outcome director.Outcome, status int) {
			id, e := h.arrive("/p/x")
			expectSend(e)
			answer := expectRefusal(h.endSend(id, outcome))
			Expect(answer.Status).To(Equal(status))
			Expect(answer.RetryAfter).To(BeZero())
		},
		Entry("its answer was lost", director.Lost, http.StatusBadGateway),
		Entry("its deadline passed", director.TimedOut, http.StatusGatewayTimeout),
	)

	It("accounts for an earlier send that may have run", func() {
		id, e := h.arrive("/r/x")
		expectSend(e)
		expectSend(h.endSend(id, director.Lost))
		for target := range h.targets {
			h.changeTarget(target, func(t *fleet.Target) { t.State = fleet.TargetDraining })
		}
		h.read()
		Expect(expectRefusal(h.endSend(id, director.Rejected)).Status).To(Equal(http.StatusBadGateway))
	})

	It("uses no more targets than the route allows", func() {
		h.addTarget("o3", orders, "a", 0, 0)
		h.read()
		id, e := h.arrive("/r/x")
		expectSend(e)
		expectSend(h.endSend(id, director.Lost))
		expectRefusal(h.endSend(id, director.Lost))
	})

	// Pattern: targets unregister without draining and continue to serve while the
	// paths of a zone fail (linha-dourada, trouble-3).
	It("counts an unregistered target against the route's bound", func() {
		h.addTarget("o3", orders, "a", 0, 0)
		h.read()
		id, e := h.arrive("/r/x")
		delete(h.targets, expectSend(e).Hops[0].Target)
		h.read()
		delete(h.targets, expectSend(h.endSend(id, director.Lost)).Hops[0].Target)
		h.read()
		expectRefusal(h.endSend(id, director.Lost))
	})

	// Pattern: a target is suspected while it runs a request that no other target may
	// run.
	It("cancels no idle request that its route forbids to send again", func() {
		h.addTarget("o3", orders, "a", 0, 0)
		h.read()
		id, e := h.arrive("/r/x")
		idleWithoutReport := func(send *director.Send) director.Effect {
			h.state.Step(h.now, director.ReportRead{Target: send.Hops[0].Target})
			return lastEffect(h.state.Step(h.now, director.StreamIdle{ID: id, For: 400 * time.Millisecond}))
		}
		Expect(idleWithoutReport(expectSend(e))).To(BeAssignableToTypeOf(&director.Divert{}))
		Expect(idleWithoutReport(expectSend(h.endSend(id, director.Diverted)))).To(BeNil())
	})

	It("refuses a request that has not run with a Retry-After", func() {
		for id := range h.targets {
			h.changeTarget(id, func(t *fleet.Target) { t.State = fleet.TargetDraining })
		}
		h.read()
		_, e := h.arrive("/p/x")
		Expect(expectRefusal(e).Status).To(Equal(http.StatusServiceUnavailable))
		Expect(expectRefusal(e).RetryAfter).To(BeNumerically(">", 500*time.Millisecond))
	})

	// Guards against a target that is given the time in which the caller sent the body.
	It("counts the deadline from the head of the request", func() {
		arrive := func(after time.Duration) director.Effect {
			return lastEffect(h.state.Step(h.now, director.RequestArrived{At: h.now.Add(-after), Request: &fleet.Request{
				ID: model.RequestID(after.String()), Method: "GET", Host: "h", Path: "/r/x", Key: "key", HasKey: true, Deadline: time.Second,
			}}))
		}
		Expect(expectSend(arrive(400 * time.Millisecond)).TimeLeft).To(Equal(600 * time.Millisecond))
		Expect(expectRefusal(arrive(time.Second)).Status).To(Equal(http.StatusRequestTimeout))
	})

	It("jitters the Retry-After of refused requests", func() {
		h.targets = map[model.TargetID]*fleet.Target{}
		h.read()
		times := map[time.Duration]bool{}
		for range 20 {
			_, e := h.arrive("/p/x")
			times[expectRefusal(e).RetryAfter] = true
		}
		Expect(len(times)).To(BeNumerically(">", 15))
	})
})

var _ = Describe("targets that become unavailable", func() {
	var h *harness
	BeforeEach(func() {
		h = newHarness()
		h.addTarget("o1", orders, "a", 0, 0)
		h.read()
	})

	It("receive no requests once they are draining", func() {
		h.changeTarget("o1", func(t *fleet.Target) { t.State = fleet.TargetDraining })
		h.read()
		_, e := h.arrive("/r/x")
		expectRefusal(e)
	})

	It("are removed as soon as their registration is", func() {
		delete(h.targets, "o1")
		h.read()
		_, e := h.arrive("/r/x")
		expectRefusal(e)
	})

	// Pattern: registrations lapse while the store is unreachable.
	It("are kept while lapsed registrations may return", func() {
		h.state.Step(h.now, director.StoreFailed{})
		h.advance(8 * time.Second)
		kept := h.targets
		h.targets = map[model.TargetID]*fleet.Target{}
		h.read()
		_, e := h.arrive("/r/x")
		expectSend(e)
		h.advance(2800 * time.Millisecond)
		h.read()
		_, e = h.arrive("/r/x")
		expectRefusal(e)
		h.targets = kept
		h.read()
		_, e = h.arrive("/r/x")
		expectSend(e)
	})

	// Pattern: a target unregisters without draining shortly after the store was
	// unreachable for this VM only (linha-dourada: 2,079 ms against a bound of 2,000).
	It("are removed at once when they were listed since the store's recovery", func() {
		h.state.Step(h.now, director.StoreFailed{})
		h.advance(8 * time.Second)
		h.read()
		h.advance(600 * time.Millisecond)
		delete(h.targets, "o1")
		h.read()
		_, e := h.arrive("/r/x")
		expectRefusal(e)
	})

	It("are used under suspicion only when all are suspected", func() {
		h.addTarget("o2", orders, "a", 0, 0)
		h.read()
		id, e := h.arrive("/r/x")
		first := expectSend(e).Hops[0].Target
		h.endSend(id, director.NotSent)
		for range 5 {
			_, e = h.arrive("/r/x")
			Expect(expectSend(e).Hops[0].Target).NotTo(Equal(first))
		}
		h.changeTarget(expectSend(e).Hops[0].Target, func(t *fleet.Target) { t.State = fleet.TargetDraining })
		h.read()
		_, e = h.arrive("/r/x")
		Expect(expectSend(e).Hops[0].Target).To(Equal(first))
	})

	It("lose their suspicion with a new incarnation under the same id", func() {
		h.addTarget("l1", llm, "a", 0, 40)
		h.addTarget("l2", llm, "a", 40, 80)
		h.read()
		id, e := h.arrive("/s/x")
		expectSend(e)
		h.endSend(id, director.NotSent)
		_, e = h.arrive("/s/x")
		expectRefusal(e)
		h.changeTarget("l1", func(t *fleet.Target) { t.StartedMs++ })
		h.read()
		_, e = h.arrive("/s/x")
		expectSend(e)
	})
})
