package controller

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/platform"
)

func TestController(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "controller")
}

var _ = Describe("view", func() {
	const start = model.Instant(time.Hour)
	version := func(row model.RowVersion) fleet.StoreVersion { return fleet.StoreVersion{Row: row} }
	snapshot := func(a, b model.RowVersion) platform.Snapshot {
		return platform.Snapshot{Rows: []fleet.StoreRow{{Key: "a", Version: version(a)}, {Key: "b", Version: version(b)}}}
	}
	rows := snapshot(1, 2)
	newView := func(row model.RowVersion, rows platform.Snapshot) *view {
		v := &view{interval: time.Second}
		v.replaceConfig(v.storeGeneration(), version(row), start)
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
		state := newView(5, snapshot(1, 3)).snapshot(start)
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
		Expect(v.confirmConfig(version(4), start.Add(300*time.Millisecond))).To(BeTrue())
		Expect(v.snapshot(start.Add(700 * time.Millisecond)).ConfigAgeMs).To(BeEquivalentTo(400))
		Expect(v.confirmConfig(version(5), start.Add(900*time.Millisecond))).To(BeFalse())
	})

	// Pattern: the store's address changes while a read from the old one is in flight.
	It("discards reads from a replaced store", func() {
		v := newView(4, rows)
		oldGeneration := v.storeGeneration()
		v.reset(0)
		v.replaceConfig(oldGeneration, version(4), start)
		v.replaceTargets(oldGeneration, rows, start)
		Expect(v.confirmConfig(version(4), start)).To(BeFalse())
		Expect(v.sameTargets(newView(4, rows).snapshot(start))).To(BeFalse())
	})

	// Guards against versions that a restored store has assigned a second time.
	It("discards everything read in an earlier era of the store", func() {
		v := newView(4, rows)
		v.reset(1)
		Expect(v.confirmConfig(fleet.StoreVersion{Era: 1, Row: 4}, start)).To(BeFalse())
		v.replaceConfig(v.storeGeneration(), version(4), start)
		Expect(v.confirmConfig(fleet.StoreVersion{Era: 1, Row: 4}, start)).To(BeFalse())
		v.replaceConfig(v.storeGeneration(), fleet.StoreVersion{Era: 1, Row: 4}, start)
		Expect(v.confirmConfig(version(4), start)).To(BeFalse())
		Expect(v.sameConfig(newView(4, rows).snapshot(start))).To(BeFalse())
		Expect(newView(4, rows).sameConfig(v.snapshot(start))).To(BeFalse())
	})
})
