package idempotency_test

import (
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/fault"
	"tamarackreach/internal/idempotency"
	"tamarackreach/internal/model"
)

// withoutFailures returns a chooser that always takes the first option: no failures,
// messages in order.
func withoutFailures() *chooser { return &chooser{} }

// send begins a call without waiting for its answer.
func (w *world) send(n *node, call idempotency.Call) {
	call.Deadline = w.now.Add(callDeadline)
	n.begunCalls = append(n.begunCalls, call.Request)
	w.reduce(n, func(c *decision.Context) { n.ledger.Begin(c, &call) })
}

// code returns the fault code with which a call was refused.
func (w *world) code(id model.RequestID) fault.Code {
	refusal, ok := w.answered[id].(event.RefuseRequest)
	Expect(ok).To(BeTrue(), "%v", w.answered[id])
	return refusal.Fault.Code
}

var _ = Describe("the rows of the at-most-once ledger", func() {
	It("are written in batched transactions", func() {
		w := newWorld(withoutFailures(), 0)
		n := w.addNode("a")
		const calls = 40
		for i := range calls {
			w.send(n, idempotency.Call{Request: model.RequestID(fmt.Sprint("r", i)), Key: model.IdempotencyKey(fmt.Sprint("k", i))})
		}
		Expect(w.runUntilIdle()).To(BeTrue())
		Expect(w.answered).To(HaveLen(calls))
		Expect(w.transactions).To(BeNumerically("<", calls/4), "2 rows per call, one transaction each, would be %d", 2*calls)
	})

	It("differ for calls whose concatenated names are equal", func() {
		w := newWorld(withoutFailures(), 0)
		n := w.addNode("a")
		w.send(n, idempotency.Call{Request: "r1", Service: "s", Method: "m/x", Key: "k"})
		w.send(n, idempotency.Call{Request: "r2", Service: "s", Method: "m", Key: "x/k"})
		w.send(n, idempotency.Call{Request: "r3", Service: "s/m", Method: "x", Key: "k"})
		Expect(w.runUntilIdle()).To(BeTrue())
		Expect(w.runs).To(HaveLen(3))
	})

	It("refuse a key that was used with another body, on the same node and on another", func() {
		w := newWorld(withoutFailures(), 0)
		a, b := w.addNode("a"), w.addNode("b")
		w.send(a, idempotency.Call{Request: "first", Key: "k", Body: []byte("one")})
		w.send(a, idempotency.Call{Request: "early", Key: "k", Body: []byte("two")})
		Expect(w.code("early")).To(Equal(fault.KeyReused))
		Expect(w.runUntilIdle()).To(BeTrue())
		w.send(b, idempotency.Call{Request: "late", Key: "k", Body: []byte("two")})
		Expect(w.runUntilIdle()).To(BeTrue())
		Expect(w.code("late")).To(Equal(fault.KeyReused))
	})

	It("show that a call ran whose answer is too long to be stored", func() {
		w := newWorld(withoutFailures(), 0)
		w.body = make([]byte, idempotency.MaxBodyBytes+1)
		a := w.addNode("a")
		w.send(a, idempotency.Call{Request: "first", Key: "k"})
		Expect(w.runUntilIdle()).To(BeTrue())
		Expect(w.answered["first"]).To(HaveField("Body", HaveLen(idempotency.MaxBodyBytes+1)))
		w.send(a, idempotency.Call{Request: "repeat", Key: "k"})
		Expect(w.runUntilIdle()).To(BeTrue())
		Expect(w.code("repeat")).To(Equal(fault.AnswerNotKept))
	})

	It("stay in doubt when the owner crashed before it recorded an outcome", func() {
		w := newWorld(withoutFailures(), 0)
		claim, err := json.Marshal(idempotency.Claim{Nonce: "dead/1/r", State: idempotency.Claimed, DeadlineUnixMs: 0})
		Expect(err).NotTo(HaveOccurred())
		w.table.Transact(nil, []event.Write{{Key: "once/w/s/m/k", Value: claim}})
		w.begin(w.addNode("a"), "at-once")
		Expect(w.runUntilIdle()).To(BeTrue())
		Expect(w.code("at-once")).To(Equal(fault.KeyInUse))
		w.now = w.now.Add(time.Hour)
		w.begin(w.addNode("b"), "later")
		Expect(w.runUntilIdle()).To(BeTrue())
		Expect(w.code("later")).To(Equal(fault.CallInDoubt))
		Expect(w.runs).To(BeEmpty())
	})

	It("keep a bounded number of calls in progress while the table service is down", func() {
		w := newWorld(withoutFailures(), 0)
		n := w.addNode("a")
		const calls = 3000
		for i := range calls {
			w.send(n, idempotency.Call{Request: model.RequestID(fmt.Sprint("r", i)), Key: model.IdempotencyKey(fmt.Sprint("k", i))})
		}
		w.now = w.now.Add(callDeadline)
		w.reduce(n, func(c *decision.Context) { w.fireDue(n, c) })
		Expect(w.answered).To(HaveLen(calls))
		const background = 1024
		Expect(n.ledger.InProgress()).To(BeNumerically("<=", background))
	})
})
