package controller

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/model"
)

func TestController(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "controller")
}

var _ = Describe("view", func() {
	const start = model.Instant(time.Hour)
	rows := []model.Row{{Key: "a", Version: 1}, {Key: "b", Version: 2}}
	newView := func(row model.RowVersion, rows []model.Row) *view {
		v := &view{interval: time.Second}
		v.replaceConfig(v.storeGeneration(), row, start)
		v.replaceTargets(v.storeGeneration(), rows, start)
		return v
	}

	It("accepts a leader's recent state that equals its own", func() {
		follower, leader := newView(4, rows), newView(4, rows)
		state := leader.snapshot(start.Add(500 * time.Millisecond))
		Expect(follower.sameConfig(state)).To(BeTrue())
		Expect(follower.sameTargets(state)).To(BeTrue())
	})

	It("rejects the state of a leader that cannot reach the store", func() {
		state := newView(4, rows).snapshot(start.Add(1500 * time.Millisecond))
		Expect(newView(4, rows).sameConfig(state)).To(BeFalse())
		Expect(newView(4, rows).sameTargets(state)).To(BeFalse())
	})

	It("rejects a leader's state that differs from its own", func() {
		state := newView(5, []model.Row{{Key: "a", Version: 1}, {Key: "b", Version: 3}}).snapshot(start)
		Expect(newView(4, rows).sameConfig(state)).To(BeFalse())
		Expect(newView(4, rows).sameTargets(state)).To(BeFalse())
	})

	It("rejects every state before its own first read", func() {
		empty := &view{interval: time.Second}
		Expect(empty.sameConfig(empty.snapshot(start))).To(BeFalse())
		Expect(empty.sameTargets(empty.snapshot(start))).To(BeFalse())
	})

	It("counts the age from the start of the read", func() {
		v := newView(4, rows)
		Expect(v.confirmConfig(4, start.Add(300*time.Millisecond))).To(BeTrue())
		Expect(v.snapshot(start.Add(700 * time.Millisecond)).ConfigAgeMs).To(BeEquivalentTo(400))
		Expect(v.confirmConfig(5, start.Add(900*time.Millisecond))).To(BeFalse())
	})

	// Pattern: the store's address changes while a read from the old one is in flight.
	It("discards reads from a replaced store", func() {
		v := newView(4, rows)
		oldGeneration := v.storeGeneration()
		v.reset()
		v.replaceConfig(oldGeneration, 4, start)
		v.replaceTargets(oldGeneration, rows, start)
		Expect(v.confirmConfig(4, start)).To(BeFalse())
		Expect(v.sameTargets(newView(4, rows).snapshot(start))).To(BeFalse())
	})
})
