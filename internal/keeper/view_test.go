package keeper

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/model"
)

func TestKeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "keeper")
}

var _ = Describe("view", func() {
	const start = model.Instant(time.Hour)
	rows := []model.Row{{Key: "a", Version: 1}, {Key: "b", Version: 2}}
	newView := func(row model.RowVersion, rows []model.Row) *view {
		v := &view{interval: time.Second}
		v.replaceConfig(v.reading(), row, start)
		v.replaceTargets(v.reading(), rows, start)
		return v
	}

	It("agrees with a lead that saw the same lately", func() {
		follower, lead := newView(4, rows), newView(4, rows)
		seen := lead.state(start.Add(500 * time.Millisecond))
		Expect(follower.sameConfig(seen)).To(BeTrue())
		Expect(follower.sameTargets(seen)).To(BeTrue())
	})

	It("does not rely on a lead that lost the store", func() {
		seen := newView(4, rows).state(start.Add(1500 * time.Millisecond))
		Expect(newView(4, rows).sameConfig(seen)).To(BeFalse())
		Expect(newView(4, rows).sameTargets(seen)).To(BeFalse())
	})

	It("reads the store when the lead saw something else", func() {
		seen := newView(5, []model.Row{{Key: "a", Version: 1}, {Key: "b", Version: 3}}).state(start)
		Expect(newView(4, rows).sameConfig(seen)).To(BeFalse())
		Expect(newView(4, rows).sameTargets(seen)).To(BeFalse())
	})

	It("never agrees before it has read for itself", func() {
		empty := &view{interval: time.Second}
		Expect(empty.sameConfig(empty.state(start))).To(BeFalse())
		Expect(empty.sameTargets(empty.state(start))).To(BeFalse())
	})

	It("dates what it saw by when its read began", func() {
		v := newView(4, rows)
		Expect(v.confirmConfig(4, start.Add(300*time.Millisecond))).To(BeTrue())
		Expect(v.state(start.Add(700 * time.Millisecond)).ConfigAgeMs).To(BeEquivalentTo(400))
		Expect(v.confirmConfig(5, start.Add(900*time.Millisecond))).To(BeFalse())
	})

	// Pattern: the store's address changes while a read of the old one is under way.
	It("takes nothing from a store that was left", func() {
		v := newView(4, rows)
		old := v.reading()
		v.forget()
		v.replaceConfig(old, 4, start)
		v.replaceTargets(old, rows, start)
		Expect(v.confirmConfig(4, start)).To(BeFalse())
		Expect(v.sameTargets(newView(4, rows).state(start))).To(BeFalse())
	})
})
