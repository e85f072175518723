package storereads_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/model"
	"tamarackreach/internal/storereads"
)

func TestStorereads(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "storereads")
}

const interval = 1300 * time.Millisecond

var _ = Describe("whether a VM reads the store", func() {
	running := storereads.Input{Known: true, Age: time.Second, Interval: interval, InZone: 22, SinceStart: time.Hour}
	with := func(change func(*storereads.Input)) storereads.Input {
		in := running
		change(&in)
		return in
	}

	DescribeTable("rests on its copy",
		func(change func(*storereads.Input), want bool) {
			Expect(storereads.Read(with(change))).To(Equal(want))
		},
		Entry("a recent copy of another VM suffices", func(*storereads.Input) {}, false),
		Entry("the VM that reads for others reads at its interval", func(in *storereads.Input) { in.Reader, in.WholeInterval = true, time.Second }, true),
		Entry("and not before", func(in *storereads.Input) { in.Reader, in.WholeInterval = true, 1200*time.Millisecond }, false),
		Entry("a VM that has just started reads at once", func(in *storereads.Input) { in.Known, in.SinceStart = false, 0 }, true),
		Entry("all that start together for the first time wait for another's copy", func(in *storereads.Input) { in.Known, in.FirstStart, in.SinceStart = false, true, 500*time.Millisecond }, false),
		Entry("but not for long", func(in *storereads.Input) { in.Known, in.FirstStart, in.SinceStart = false, true, 2*time.Second }, true),
		Entry("an old copy is read again by some", func(in *storereads.Input) { in.Age, in.Random = 2*time.Second, 0.01 }, true),
		Entry("and not by all", func(in *storereads.Input) { in.Age, in.Random = 2*time.Second, 0.5 }, false),
		Entry("unless the zone is small", func(in *storereads.Input) { in.Age, in.Random, in.InZone = 2*time.Second, 0.99, 1 }, true),
		Entry("a very old copy is read again by every VM", func(in *storereads.Input) { in.Age, in.Random = 3*time.Second, 0.99 }, true),
	)

	// Pattern: the store serves nobody for a while and 300 VMs find their copies too old.
	It("spreads the reads of a zone whose source is silent", func() {
		random := rand.New(rand.NewPCG(3, 0))
		reads := 0
		for range 100 {
			for range 100 {
				if storereads.Read(with(func(in *storereads.Input) { in.Age, in.InZone, in.Random = 2*time.Second, 99, random.Float64() })) {
					reads++
				}
			}
		}
		Expect(reads).To(BeNumerically("~", 200, 60), "two each time")
	})
})

var _ = Describe("failing reads", func() {
	It("are spaced until one succeeds, at most by an interval at the VM that reads for others", func() {
		var f storereads.Failures
		now := model.Instant(time.Hour)
		Expect(f.Allow(now)).To(BeTrue())
		f.Record(now, false, true, interval)
		Expect(f.Allow(now.Add(interval/2 - 1))).To(BeFalse())
		Expect(f.Allow(now.Add(interval / 2))).To(BeTrue())
		for range 9 {
			f.Record(now, false, true, interval)
		}
		Expect(f.Allow(now.Add(interval - 1))).To(BeFalse())
		Expect(f.Allow(now.Add(interval))).To(BeTrue())
		f.Record(now, true, true, interval)
		Expect(f.Allow(now)).To(BeTrue())
	})

	// Pattern: the store is silent for eight seconds, and 117 VMs find their copies too old.
	It("of the other VMs are few while the store is away for long", func() {
		var f storereads.Failures
		now := model.Instant(time.Hour)
		reads := 0
		for end := now.Add(8 * time.Second); now < end; now = now.Add(interval / 2) {
			if f.Allow(now) {
				reads++
				f.Record(now, false, false, interval)
			}
		}
		Expect(reads).To(BeNumerically("<=", 4))
	})
})
