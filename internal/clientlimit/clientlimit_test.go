package clientlimit

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/model"
)

const mb = 1 << 20

// Guards against parts of the memory that together exceed it, and against more connections
// than descriptors, each with one to a target.
var _ = DescribeTable("the budget of a machine stays within its limits", func(memoryMB, maxFiles int) {
	b := BudgetFor(memoryMB, maxFiles)
	memory := int64(memoryMB) * mb
	Expect(b.GoBytes).To(BeNumerically("<", memory*3/4))
	Expect(b.HeldBytes + int64(b.Connections)*connectionBytes/2).To(BeNumerically("<", b.GoBytes*3/4))
	Expect(2*b.Connections + b.ReadyConnections).To(BeNumerically("<", maxFiles))
	Expect(b.HeldBytes*thresholds[LargeBody]/100).To(BeNumerically(">=", 6*4*mb), "six of the usual largest bodies")
},
	Entry("a test's machine", 96, 300),
	Entry("the smallest machine", 184, 4100),
	Entry("a usual machine", 414, 6150),
)

var _ = Describe("the account", func() {
	now := model.Instant(time.Hour)

	// Guards against large bodies that leave no memory for small ones and for the responses
	// of requests that have run.
	It("takes small bodies and responses while large ones and heads are refused", func() {
		a := NewAccount(100 * mb)
		body := a.OpenBody(now, "w", func() {})
		Expect(body.Reserve(now, 75*mb)).To(Equal(Reserved))
		Expect(a.OpenBody(now, "w", func() {}).Reserve(now, mb)).To(Equal(Full))
		Expect(a.Reserve(Head, mb)).To(BeFalse())
		Expect(a.Reserve(SmallBody, 10*mb)).To(BeTrue())
		Expect(a.Reserve(SmallBody, mb)).To(BeFalse())
		Expect(a.Reserve(Response, 15*mb)).To(BeTrue())
		Expect(a.Reserve(Response, mb)).To(BeFalse())
		Expect([]uint64{a.Refused(Head), a.Refused(SmallBody), a.Refused(Response)}).To(Equal([]uint64{1, 1, 1}))
		body.Close()
		a.Release(25 * mb)
		Expect(a.Held()).To(BeZero())
	})

	// Clients send bodies that stop just short of their end. Guards against bodies that hold
	// the memory of others without progress, and against the cancelling of those that progress.
	It("cancels the body that stalls longest, once its place is needed", func() {
		a := NewAccount(100 * mb)
		var cancelled []string
		open := func(name string) *Body {
			b := a.OpenBody(now, "w", func() { cancelled = append(cancelled, name) })
			Expect(b.Reserve(now, 25*mb)).To(Equal(Reserved))
			return b
		}
		first, second, third := open("first"), open("second"), open("third")
		later := now.Add(StallTime)
		first.Progressed(later)
		next := a.OpenBody(later, "w", func() {})
		Expect(next.Reserve(later-1, 20*mb)).To(Equal(Full))
		second.Progressed(now + 1)
		Expect(next.Reserve(later.Add(time.Millisecond), 20*mb)).To(Equal(Freeing))
		Expect(cancelled).To(Equal([]string{"third"}))
		Expect(third.Complete()).To(BeFalse())
		third.Close()
		Expect(next.Reserve(later, 20*mb)).To(Equal(Reserved))
		Expect(second.Complete()).To(BeTrue())
		Expect(a.Stalled()).To(Equal(uint64(1)))
	})

	// Guards against one workspace that holds all memory, and against a share that refuses a
	// workspace although there is no pressure or no other one.
	It("bounds the share of a workspace under pressure", func() {
		a := NewAccount(100 * mb)
		Expect(a.OpenBody(now, "other", func() {}).Reserve(now, 5*mb)).To(Equal(Reserved))
		Expect(a.OpenBody(now, "greedy", func() {}).Reserve(now, 44*mb)).To(Equal(Reserved))
		Expect(a.OpenBody(now, "greedy", func() {}).Reserve(now, 10*mb)).To(Equal(Full))
		Expect(a.OpenBody(now, "other", func() {}).Reserve(now, 10*mb)).To(Equal(Reserved))
		alone := NewAccount(100 * mb)
		Expect(alone.OpenBody(now, "greedy", func() {}).Reserve(now, 75*mb)).To(Equal(Reserved))
	})

	// Guards against reservations that are lost or counted twice in any order of calls.
	It("returns to zero after random histories", func() {
		random := rand.New(rand.NewPCG(1, 2))
		a := NewAccount(100 * mb)
		var open []*Body
		for range 5000 {
			now = now.Add(time.Duration(random.IntN(50)) * time.Millisecond)
			switch k := random.IntN(max(len(open), 1)); {
			case len(open) == 0 || random.IntN(3) == 0:
				open = append(open, a.OpenBody(now, model.WorkspaceID([]string{"", "x", "y"}[random.IntN(3)]), func() {}))
			case random.IntN(3) > 0:
				n := int64(random.IntN(8 * mb))
				if open[k].Reserve(now, n) == Reserved && random.IntN(4) == 0 {
					open[k].Shrink(n / 2)
				}
			default:
				open[k].Complete()
				open[k].Close()
				open = append(open[:k], open[k+1:]...)
			}
			Expect(a.Held()).To(BeNumerically("<=", 75*mb))
		}
		for _, b := range open {
			b.Close()
		}
		Expect(a.Held()).To(BeZero())
		Expect(a.byWorkspace).To(BeEmpty())
		Expect(a.reading).To(BeEmpty())
	})
})

var _ = Describe("the choice of connections to close", func() {
	now := model.Instant(time.Hour)
	conn := func(p Phase, age time.Duration, address string) Connection {
		return Connection{Phase: p, Since: now - model.Instant(age), Used: p == Idle, Address: address}
	}

	// Guards against closed connections whose request may run, and against idle callers that
	// are closed while others stall.
	It("takes stalled ones, then idle ones, and none with a request", func() {
		pipelining := conn(Forwarded, time.Hour, "a")
		pipelining.Pipelined = true
		connections := []Connection{
			conn(Forwarded, time.Hour, "a"), conn(Serving, time.Hour, "a"), conn(Idle, time.Minute, "a"), conn(Idle, time.Hour, "a"),
			conn(ReadingHead, time.Second, "a"), conn(ReadingBody, time.Minute, "a"), conn(ReadingHead, headStallTime-1, "a"),
			conn(ReadingBody, StallTime-1, "a"), conn(Closing, time.Hour, "a"), {Phase: Idle, Since: now - model.Instant(time.Second/2), Address: "a"},
			pipelining, conn(Refused, refusedTime, "a"), conn(Refused, refusedTime-1, "a"),
		}
		Expect(Choose(now, connections, 100)).To(Equal([]int{5, 4, 9, 11, 3, 2, 10}))
		Expect(Choose(now, connections, 1)).To(Equal([]int{5}))
	})

	// Guards against one address that takes the connections of all, where there are several.
	It("takes those of the address that holds most first", func() {
		connections := []Connection{conn(Idle, time.Hour, "few"), conn(Idle, time.Second, "many"), conn(Idle, time.Minute, "many")}
		Expect(Choose(now, connections, 3)).To(Equal([]int{2, 1, 0}))
	})
})

// Guards against reservations for usual heads, which would cost each request, and against
// heads of short fields that are charged by their bytes only.
var _ = It("charges heads beyond the usual ones, and their lines", func() {
	Expect(HeadCost(4000, 60)).To(BeZero())
	Expect(HeadCost(64<<10, 12000)).To(BeNumerically(">", 5*mb))
})
