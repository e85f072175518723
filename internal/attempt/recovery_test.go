package attempt_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/event"
	"tamarackreach/internal/fault"
	"tamarackreach/internal/model"
)

func rebuiltTargets(open event.OpenChain) (ids []model.TargetID) {
	for _, hop := range open.Chain {
		if hop.Rebuild {
			ids = append(ids, hop.Target)
		}
	}
	return ids
}

func count[T event.Effect](effects []event.Effect) (n int) {
	for _, effect := range effects {
		if _, ok := effect.(T); ok {
			n++
		}
	}
	return n
}

var _ = Describe("a request that loses part of its chain", func() {
	var b *bench
	var first event.OpenChain

	BeforeEach(func() {
		b = newBench(GinkgoTB(), 3)
		first = b.request("r1", "listing")
		Expect(first.Chain).To(HaveLen(3), "%+v %v", b.refused, b.state.Follower().Revision())
		b.deliverToken("r1")
	})

	DescribeTable("replaces only the failed stage", func(stage int) {
		b.crash(first.Chain[stage].Target)
		next := b.open["r1"]
		Expect(next.Attempt).To(Equal(first.Attempt + 1))
		Expect(next.Tokens).To(HaveLen(1))
		Expect(rebuiltTargets(next)).To(ConsistOf(next.Chain[stage].Target))
		Expect(next.Chain[stage].Target).NotTo(Equal(first.Chain[stage].Target))
		b.reduce(frame(first, 1))
		Expect(b.tokens["r1"]).To(Equal(1))
		b.deliverToken("r1")
		Expect(b.tokens["r1"]).To(Equal(2))
	}, Entry("the first", 0), Entry("a middle one", 1), Entry("the last", 2))

	It("continues when two stages fail at once and then a replacement fails", func() {
		b.down[first.Chain[1].Target] = true
		b.crash(first.Chain[0].Target)
		b.crash(first.Chain[1].Target)
		b.deliverToken("r1")
		b.crash(b.open["r1"].Chain[0].Target)
		next := b.open["r1"]
		Expect(rebuiltTargets(next)).To(ContainElement(next.Chain[0].Target))
		Expect(rebuiltTargets(next)).NotTo(ContainElement(first.Chain[2].Target))
		b.deliverToken("r1")
		Expect(b.tokens["r1"]).To(Equal(3))
	})

	It("fails at once when a stage has no target left", func() {
		for i := 0; i < 9; i += 3 {
			b.down[engineID(i)] = true
		}
		for i := 0; i < 9; i += 3 {
			b.crash(engineID(i))
		}
		Expect(b.refused["r1"].Fault.Kind).To(Equal(fault.Failed))
		Expect(b.refused["r1"].Fault.Code).To(Equal(fault.NoCapacity))
		Expect(b.refused["r1"].Fault.RetryAfter).To(BeNumerically(">", 0))
	})

	It("is not disturbed by a broken watch of a live target", func() {
		b.reduce(event.TargetLost{Target: first.Chain[1].Target})
		Expect(count[event.WatchTarget](b.effects)).To(Equal(1))
		Expect(b.open["r1"].Attempt).To(Equal(first.Attempt))
		target, _ := b.state.Targets().Get(first.Chain[1].Target)
		Expect(target.Usable()).To(BeTrue())
	})

	It("continues without a target whose process stopped within 1.5 s", func() {
		stopped := first.Chain[1].Target
		b.advance(200*time.Millisecond, "r1")
		b.deliverToken("r1")
		b.silent[stopped] = true
		b.advance(1500*time.Millisecond, "r1")
		Expect(b.open["r1"].Attempt).To(Equal(first.Attempt + 1))
		Expect(b.open["r1"].Chain[1].Target).NotTo(Equal(stopped))
	})

	It("continues from the next token when a step is lost and heartbeats continue", func() {
		b.advance(2*time.Second, "r1")
		next := b.open["r1"]
		Expect(next.Attempt).To(Equal(first.Attempt + 1))
		Expect(rebuiltTargets(next)).To(BeEmpty())
		b.advance(4*time.Second, "r1")
		Expect(b.open["r1"].Attempt).To(Equal(first.Attempt + 2))
		Expect(rebuiltTargets(b.open["r1"])).To(HaveLen(3))
	})

	It("rebuilds at a target that refused and quarantines no request", func() {
		refuser := first.Chain[1].Target
		b.reduce(event.StreamBroken{Request: "r1", Attempt: first.Attempt, FailedTarget: refuser, Refused: true})
		Expect(rebuiltTargets(b.open["r1"])).To(ConsistOf(refuser))
		b.reduce(event.StreamBroken{Request: "r1", Attempt: first.Attempt + 1, FailedTarget: refuser, Refused: true})
		Expect(b.open["r1"].Chain[1].Target).NotTo(Equal(refuser))
		b.reduce(event.CallerGone{Request: "r1"})
		Expect(b.request("r2", "listing").Attempt).To(BeNumerically("==", 1))
	})

	It("reopens every stream of a silent connection once", func() {
		last := first.Chain[2].Target
		others := 0
		for _, id := range []model.RequestID{"r2", "r3", "r4", "r5"} {
			if b.request(id, "other "+string(id)).Chain[2].Target == last {
				others++
			}
		}
		b.advance(time.Second)
		Expect(b.retired[last]).To(Equal(1))
		Expect(others).To(BeNumerically(">", 0))
		Expect(b.state.Counters().StreamsRedialled).To(BeNumerically(">=", others+1))
		Expect(b.state.Counters().StagesReplaced).To(BeZero())
	})

	It("stays within 1.1 times the delivered work plus the reserve", func() {
		for n := range 200 {
			id := model.RequestID(string(rune('A'+n%26)) + string(rune('a'+n/26)))
			open := b.request(id, "budget "+string(id))
			if open.Attempt == 0 {
				continue
			}
			for range 4 {
				b.deliverToken(id)
				b.reduce(event.StreamBroken{Request: id, Attempt: b.open[id].Attempt, FailedTarget: open.Chain[0].Target, OwnConnection: true})
			}
			b.reduce(event.CallerGone{Request: id})
		}
		const stages, reserve = 3, 500
		delivered := int(b.state.Counters().TokensForwarded) * stages
		Expect(b.extra).To(BeNumerically("<=", delivered/10+reserve))
		Expect(b.state.Counters().RetriesRefused).To(BeNumerically(">", 0))
	})
})

func BenchmarkTokenArrived(b *testing.B) {
	bench := newBench(b, 1)
	open := bench.request("r1", "listing")
	ev := frame(open, 0)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		if n%4000 == 0 {
			b.StopTimer()
			bench.reduce(event.CallerGone{Request: "r1"})
			bench.advance(50 * time.Millisecond)
			bench.reduce(event.RequestArrived{Request: "r1", WorkspaceKey: key, Model: "directory-assistant", Prompt: "listing", MaxTokens: 4096})
			ev = frame(bench.open["r1"], 0)
			b.StartTimer()
		}
		ev.Index = model.TokenIndex(n % 4000)
		bench.state.Reduce(bench.now, 0, ev)
	}
}
