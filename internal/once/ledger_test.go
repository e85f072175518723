package once_test

import (
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/fault"
	"tamarackreach/internal/model"
	"tamarackreach/internal/once"
)

// first takes every first option: no failures, in order.
func first() *chooser { return &chooser{} }

// send begins a call and returns at once.
func (w *world) send(n *node, call once.Call) {
	call.Deadline = w.now.Add(callDeadline)
	n.begun = append(n.begun, call.Request)
	w.reduce(n, func(c *decision.Context) { n.ledger.Begin(c, &call) })
}

// code returns the error code that a call was refused with.
func (w *world) code(id model.RequestID) fault.Code {
	refusal, ok := w.told[id].(event.RefuseRequest)
	Expect(ok).To(BeTrue(), "%v", w.told[id])
	return refusal.Fault.Code
}

var _ = Describe("the rows of the at-most-once ledger", func() {
	It("go into group transactions that carry what came up in between", func() {
		w := newWorld(first(), 0)
		n := w.addNode("a")
		const calls = 40
		for i := range calls {
			w.send(n, once.Call{Request: model.RequestID(fmt.Sprint("r", i)), Key: model.IdempotencyKey(fmt.Sprint("k", i))})
		}
		Expect(w.settles()).To(BeTrue())
		Expect(w.told).To(HaveLen(calls))
		Expect(w.transactions).To(BeNumerically("<", calls/4), "2 rows a call, one transaction each, would be %d", 2*calls)
	})

	It("differ for calls whose names only join to the same text", func() {
		w := newWorld(first(), 0)
		n := w.addNode("a")
		w.send(n, once.Call{Request: "r1", Service: "s", Method: "m/x", Key: "k"})
		w.send(n, once.Call{Request: "r2", Service: "s", Method: "m", Key: "x/k"})
		w.send(n, once.Call{Request: "r3", Service: "s/m", Method: "x", Key: "k"})
		Expect(w.settles()).To(BeTrue())
		Expect(w.runs).To(HaveLen(3))
	})

	It("refuse a key that was used with another body, on the same node and on another", func() {
		w := newWorld(first(), 0)
		a, b := w.addNode("a"), w.addNode("b")
		w.send(a, once.Call{Request: "first", Key: "k", Body: []byte("one")})
		w.send(a, once.Call{Request: "early", Key: "k", Body: []byte("two")})
		Expect(w.code("early")).To(Equal(fault.KeyReused))
		Expect(w.settles()).To(BeTrue())
		w.send(b, once.Call{Request: "late", Key: "k", Body: []byte("two")})
		Expect(w.settles()).To(BeTrue())
		Expect(w.code("late")).To(Equal(fault.KeyReused))
	})

	It("tell that a call ran whose answer is too long to be kept", func() {
		w := newWorld(first(), 0)
		w.body = make([]byte, once.MaxBodyBytes+1)
		a := w.addNode("a")
		w.send(a, once.Call{Request: "first", Key: "k"})
		Expect(w.settles()).To(BeTrue())
		Expect(w.told["first"]).To(HaveField("Body", HaveLen(once.MaxBodyBytes+1)))
		w.send(a, once.Call{Request: "repeat", Key: "k"})
		Expect(w.settles()).To(BeTrue())
		Expect(w.code("repeat")).To(Equal(fault.AnswerNotKept))
	})

	It("are in doubt for good when the owner died before it recorded an outcome", func() {
		w := newWorld(first(), 0)
		claim, err := json.Marshal(once.Claim{Nonce: "dead/1/r", State: once.Claimed, DeadlineUnixMs: 0})
		Expect(err).NotTo(HaveOccurred())
		w.table.Transact(nil, []event.Write{{Key: "once/w/s/m/k", Value: claim}})
		w.begin(w.addNode("a"), "at-once")
		Expect(w.settles()).To(BeTrue())
		Expect(w.code("at-once")).To(Equal(fault.KeyInUse))
		w.now = w.now.Add(time.Hour)
		w.begin(w.addNode("b"), "later")
		Expect(w.settles()).To(BeTrue())
		Expect(w.code("later")).To(Equal(fault.CallInDoubt))
		Expect(w.runs).To(BeEmpty())
	})

	It("are not waited for without bound while the table service is down", func() {
		w := newWorld(first(), 0)
		n := w.addNode("a")
		const calls = 3000
		for i := range calls {
			w.send(n, once.Call{Request: model.RequestID(fmt.Sprint("r", i)), Key: model.IdempotencyKey(fmt.Sprint("k", i))})
		}
		w.now = w.now.Add(callDeadline)
		w.reduce(n, func(c *decision.Context) { w.fireDue(n, c) })
		Expect(w.told).To(HaveLen(calls))
		const background = 1024
		Expect(n.ledger.InProgress()).To(BeNumerically("<=", background))
	})
})
