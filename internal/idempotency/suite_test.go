package idempotency_test

import (
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestIdempotency(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "idempotency")
}

// maxSteps bounds one run. Every step is a message, a failure or a timer; two
// calls with a bounded number of failures need far fewer.
const maxSteps = 200

// exploreRun runs calls with the same key on two nodes, with failures, and then on a
// third node without failures. It returns the violation found, if any.
func exploreRun(choose *chooser, faults int) (string, *world) {
	w := newWorld(choose, faults)
	a, b := w.addNode("a"), w.addNode("b")
	w.begin(a, "call-a")
	w.begin(b, "call-b")
	if !w.runUntilIdle() {
		return "still active after the failures", w
	}
	w.faults = 0
	w.begin(w.addNode("c"), "repeat")
	if !w.runUntilIdle() {
		return "still active after the repeat", w
	}
	return w.check("repeat"), w
}

// runUntilIdle runs steps until nothing is left to run. It returns false if maxSteps
// are not enough.
func (w *world) runUntilIdle() bool {
	for range maxSteps {
		if !w.step() {
			return true
		}
	}
	return false
}

// reportViolation fails the spec with the trace of the run, if there is a violation.
func reportViolation(violation string, w *world) {
	if violation != "" {
		Fail(violation + "\n" + strings.Join(w.trace, "\n"))
	}
}

// exploreAll runs every interleaving with at most the given number of failures and
// returns their number.
func exploreAll(faults, maxWalks int) int {
	choose := &chooser{}
	for walks := 1; walks <= maxWalks; walks++ {
		reportViolation(exploreRun(choose, faults))
		if !choose.next() {
			return walks
		}
	}
	Fail("more interleavings than maxWalks")
	return 0
}

var _ = Describe("the at-most-once ledger", func() {
	It("runs a call at most once over all interleavings with two failures", func() {
		const maxWalks = 200_000
		walks := exploreAll(2, maxWalks)
		AddReportEntry("interleavings", walks)
	})

	It("runs a call at most once over random walks with six failures", func() {
		seed := uint64(7)
		AddReportEntry("seed", seed)
		const walks = 20_000
		choose := &chooser{random: rand.New(rand.NewPCG(seed, 0))}
		for range walks {
			reportViolation(exploreRun(choose, 6))
		}
	})
})
