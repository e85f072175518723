package loadestimate_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/loadestimate"
	"tamarackreach/internal/loadview"
)

func TestLoadestimate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loadestimate")
}

func load(n int) loadview.Load {
	return loadview.Load{Requests: n, First: n, TokenLayers: float64(n), Waiting: n}
}

var _ = Describe("the estimate of a load", func() {
	const plain, stream = 15 * time.Millisecond, 3500 * time.Millisecond

	// Guards against all VMs sending to the target that was empty one message interval ago.
	It("is the mean where the requests that were stated have ended", func() {
		none := loadestimate.Estimate(load(2), load(0), 200*time.Millisecond, plain, load(5))
		many := loadestimate.Estimate(load(2), load(10), 200*time.Millisecond, plain, load(5))
		Expect(many.TokenLayers).To(BeNumerically("~", none.TokenLayers, 0.001))
		many.TokenLayers = none.TokenLayers
		Expect(many).To(Equal(none))
		Expect(none.Requests).To(Equal(2 + 5))
	})

	It("counts what was stated while most of it still runs", func() {
		Expect(loadestimate.Estimate(load(2), load(30), 200*time.Millisecond, stream, load(20)).Requests).To(Equal(2 + 29))
	})

	It("counts all loads in full while the stay is unknown or the statement is new", func() {
		Expect(loadestimate.Estimate(load(2), load(3), time.Second, 0, load(9))).To(Equal(load(5)))
		Expect(loadestimate.Estimate(load(2), load(3), -time.Second, plain, load(9))).To(Equal(load(5)))
	})

	It("always counts the own load in full", func() {
		Expect(loadestimate.Estimate(load(4), load(0), time.Hour, plain, load(0))).To(Equal(load(4)))
	})

	// Guards against random numbers that hide the own load where the others' is not known.
	It("spreads requests only as far as stated loads cause a common choice", func() {
		Expect(loadestimate.HerdWidth(100, 0, stream)).To(BeZero())
		Expect(loadestimate.HerdWidth(100, 200*time.Millisecond, plain)).To(BeNumerically("<", 0.001))
		Expect(loadestimate.HerdWidth(100, 200*time.Millisecond, stream)).To(BeNumerically("~", 5.2, 0.1))
	})
})

var _ = Describe("the choice by weight", func() {
	It("chooses in proportion to the weights", func() {
		random := rand.New(rand.NewPCG(1, 0))
		counts := make([]int, 4)
		for range 10000 {
			counts[loadestimate.Pick([]float64{1, 0, 3, -2}, random.Float64())]++
		}
		Expect(counts[0]).To(BeNumerically("~", 2500, 200))
		Expect(counts[2]).To(BeNumerically("~", 7500, 200))
	})

	It("chooses evenly where no weight is positive, and nothing without weights", func() {
		Expect(loadestimate.Pick([]float64{0, -1, math.NaN()}, 0.99)).To(Equal(2))
		Expect(loadestimate.Pick([]float64{0, math.Inf(1)}, 0)).To(Equal(0))
		Expect(loadestimate.Pick(nil, 0.5)).To(Equal(-1))
	})

	It("returns an index of a positive weight for any random number", func() {
		Expect(loadestimate.Pick([]float64{0.1, 0.2, 0}, math.Nextafter(1, 0))).To(Equal(1))
	})
})

var _ = Describe("the mean stay", func() {
	It("takes the stay of the first requests, and does not follow a single one later", func() {
		var s loadestimate.Stay
		Expect(s.Mean()).To(BeZero())
		s.Add(time.Second)
		s.Add(3 * time.Second)
		Expect(s.Mean()).To(Equal(2 * time.Second))
		for range 100 {
			s.Add(2 * time.Second)
		}
		s.Add(20 * time.Second)
		Expect(s.Mean()).To(BeNumerically("<", 3*time.Second))
	})
})
