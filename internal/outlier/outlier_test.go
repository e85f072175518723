package outlier_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/model"
	"tamarackreach/internal/outlier"
)

func TestOutlier(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "outlier")
}

const start = model.Instant(time.Hour)

func targetOf(i int) outlier.Target {
	return outlier.Target{ID: model.TargetID(fmt.Sprint("t", i)), StartedMs: 1}
}

func tracker(vm model.NodeID) *outlier.Tracker {
	t := outlier.New(vm)
	var members []outlier.Member
	for i := range 4 {
		members = append(members, outlier.Member{Target: targetOf(i), Capacity: 6})
	}
	t.SetTargets(map[model.ServiceID][]outlier.Member{"s": members})
	return t
}

func record(t *outlier.Tracker, now model.Instant, target, n int, ok bool) {
	for range n {
		t.Record(now, outlier.Result{Target: targetOf(target), SentAt: now, OK: ok})
	}
}

// standing is that of the target that fails.
func standing(t *outlier.Tracker, now model.Instant) outlier.Standing {
	return t.Standing(now, targetOf(0), true)
}

var _ = Describe("a target that answers with errors", func() {
	It("is not ejected for two errors of two results, nor without good results of others", func() {
		t := tracker("vm-1")
		for i := 1; i < 4; i++ {
			record(t, start, i, 20, true)
		}
		record(t, start, 0, 2, false)
		Expect(standing(t, start)).To(Equal(outlier.InRotation))
		alone := tracker("vm-1")
		record(alone, start, 0, 5, false)
		Expect(standing(alone, start)).To(Equal(outlier.InRotation))
	})

	It("is ejected for twice as long each time, until two trials in a row succeed", func() {
		t := tracker("vm-1")
		for i := 1; i < 4; i++ {
			record(t, start, i, 20, true)
		}
		record(t, start, 0, 5, false)
		now, first := start, time.Duration(0)
		for range 2 {
			ejectedAt := now
			Expect(standing(t, now)).To(Equal(outlier.Ejected))
			for standing(t, now) == outlier.Ejected {
				now = now.Add(10 * time.Millisecond)
			}
			Expect(now.Sub(ejectedAt)).To(BeNumerically(">=", max(400*time.Millisecond, 2*first)))
			first = 400 * time.Millisecond
			t.BeginTrial(now, targetOf(0))
			Expect(standing(t, now)).To(Equal(outlier.Ejected), "one trial at a time")
			record(t, now, 0, 1, false)
		}
		for standing(t, now) == outlier.Ejected {
			now = now.Add(10 * time.Millisecond)
		}
		record(t, now, 0, 1, true)
		Expect(standing(t, now)).To(Equal(outlier.TrialDue))
		record(t, now, 0, 1, true)
		Expect(standing(t, now)).To(Equal(outlier.InRotation))
		record(t, now, 0, 2, false)
		Expect(standing(t, now)).To(Equal(outlier.InRotation), "errors before the return do not count")
	})

	It("gets a trial that may not be repeated only after it waited for one that may", func() {
		t := tracker("vm-1")
		for i := 1; i < 4; i++ {
			record(t, start, i, 20, true)
		}
		record(t, start, 0, 5, false)
		now := start
		for standing(t, now) == outlier.Ejected {
			now = now.Add(10 * time.Millisecond)
		}
		Expect(t.Standing(now.Add(900*time.Millisecond), targetOf(0), false)).To(Equal(outlier.Ejected))
		Expect(t.Standing(now.Add(time.Second), targetOf(0), false)).To(Equal(outlier.TrialDue))
		Expect(t.Standing(now.Add(20*time.Second), targetOf(0), false)).To(Equal(outlier.InRotation), "no request needs it")
	})

	It("is judged by the results of all VMs, and a row that is not stated again expires", func() {
		vms := []*outlier.Tracker{tracker("vm-1"), tracker("vm-2"), tracker("vm-3")}
		for _, t := range vms {
			for i := 1; i < 4; i++ {
				record(t, start, i, 5, true)
			}
			record(t, start, 0, 2, false)
			Expect(standing(t, start)).To(Equal(outlier.InRotation))
		}
		vms[0].Adopt(start, "vm-2", vms[1].Observations(start))
		expired := start.Add(2500 * time.Millisecond)
		vms[0].Adopt(expired, "vm-4", outlier.Observations{})
		Expect(vms[0].RecentErrorRate(expired, targetOf(0))).To(BeZero())
		vms[2].Adopt(start, "vm-1", vms[0].Observations(start))
		vms[2].Adopt(start, "vm-2", vms[1].Observations(start))
		Expect(standing(vms[2], start)).To(Equal(outlier.Ejected))
	})

	// Guards against VMs that keep an ejection alive by passing it on to each other.
	It("is not stated by a VM that adopted its ejection, nor adopted after a good response", func() {
		t, other := tracker("vm-1"), tracker("vm-2")
		for i := 1; i < 4; i++ {
			record(t, start, i, 20, true)
		}
		record(t, start, 0, 5, false)
		stated := t.Observations(start)
		Expect(stated.Ejections).To(HaveLen(1))
		later := start.Add(100 * time.Millisecond)
		other.Adopt(later, "vm-1", stated.Delayed(100*time.Millisecond))
		Expect(standing(other, later)).To(Equal(outlier.Ejected))
		Expect(other.Observations(later).Ejections).To(BeEmpty())
		third := tracker("vm-3")
		record(third, start.Add(50*time.Millisecond), 0, 1, true)
		third.Adopt(later, "vm-1", stated.Delayed(100*time.Millisecond))
		Expect(standing(third, later)).To(Equal(outlier.InRotation))
	})

	It("is unknown in another incarnation", func() {
		t := tracker("vm-1")
		for i := 1; i < 4; i++ {
			record(t, start, i, 20, true)
		}
		record(t, start, 0, 5, false)
		members := []outlier.Member{{Target: outlier.Target{ID: "t0", StartedMs: 2}, Capacity: 6}, {Target: targetOf(1), Capacity: 6}}
		t.SetTargets(map[model.ServiceID][]outlier.Member{"s": members})
		Expect(t.Out(start)).To(BeEmpty())
		record(t, start, 0, 5, false)
		Expect(t.RecentErrorRate(start, members[0].Target)).To(BeZero())
	})

	It("is not judged by impossible figures of another VM", func() {
		t := tracker("vm-1")
		for i := 1; i < 4; i++ {
			record(t, start, i, 20, true)
		}
		for _, sum := range []outlier.Tally{{Errors: 9, Results: 3}, {Errors: -9, Results: 3}, {Errors: 1 << 40, Results: 1 << 40}} {
			t.Adopt(start, "vm-2", outlier.Observations{Counts: []outlier.Count{{Target: targetOf(0), Results: outlier.Tallies{sum, sum}}}})
		}
		t.Adopt(start, "vm-3", outlier.Observations{Counts: []outlier.Count{{Target: targetOf(9), Results: outlier.Tallies{{Errors: 9, Results: 9}, {Errors: 9, Results: 9}}}}})
		t.Adopt(start, "vm-4", outlier.Observations{Ejections: []outlier.Ejection{{Target: targetOf(0), Level: 1, Remaining: -1}, {Target: targetOf(1), Level: -1, Remaining: time.Second}}})
		Expect(t.Out(start)).To(BeEmpty())
	})
})
