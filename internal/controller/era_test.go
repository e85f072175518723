package controller

import (
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
	"tamarackreach/internal/ingress"
	"tamarackreach/internal/model"
	"tamarackreach/internal/placementlease"
	"tamarackreach/internal/storeera"
	"tamarackreach/internal/upstream"
	"tamarackreach/platform"
)

var _ = Describe("a new era of the store", func() {
	newController := func(vm model.NodeID, firstStart bool) *Controller {
		return New(&platform.Settings{VM: vm, Zone: "a", FirstStart: firstStart}, ingress.NewReducer(director.New(director.Settings{VM: vm})), upstream.Dial)
	}

	// Guards against a holder that acts on a lease whose row the restore lost.
	It("ends a lease of an earlier era, and delays the next until that has expired", func() {
		c := newController("vm-1", true)
		Expect(c.acceptEra(4, nil)).To(Succeed())
		now := bootclock.Now()
		Expect(c.mayAcquireLease(now)).To(BeTrue(), "nobody can hold an earlier lease at the first start")
		c.lease.Store(storeera.Hold(now, 4))
		Expect(c.holdsLease(now)).To(BeTrue())
		Expect(c.acceptEra(5, nil)).To(Succeed())
		now = bootclock.Now()
		Expect(c.holdsLease(now)).To(BeFalse())
		Expect(c.mayAcquireLease(now)).To(BeFalse())
		Expect(c.mayAcquireLease(now.Add(placementlease.LeaseDuration))).To(BeTrue())
	})

	// Guards against a VM that starts just after a restore and acquires the lease beside
	// a holder that has not observed the restore.
	It("delays the lease of a VM that starts in it", func() {
		c := newController("vm-1", false)
		Expect(c.acceptEra(5, nil)).To(Succeed())
		now := bootclock.Now()
		Expect(c.mayAcquireLease(now)).To(BeFalse())
		Expect(c.mayAcquireLease(now.Add(placementlease.LeaseDuration))).To(BeTrue())
	})

	// Guards against a VM of the first start that reaches the store only after a restore,
	// and acquires the lease beside a holder that has not observed it.
	It("delays the lease of a VM whose first response is late", func() {
		c := newController("vm-1", true)
		c.startedAt = c.startedAt.Add(-placementlease.LeaseDuration)
		Expect(c.acceptEra(5, nil)).To(Succeed())
		now := bootclock.Now()
		Expect(c.mayAcquireLease(now)).To(BeFalse())
		Expect(c.mayAcquireLease(now.Add(placementlease.LeaseDuration))).To(BeTrue())
	})

	It("delays no lease where the store states no era", func() {
		c := newController("vm-1", false)
		Expect(c.acceptEra(0, nil)).To(Succeed())
		Expect(c.mayAcquireLease(bootclock.Now())).To(BeTrue())
	})

	// Guards against a storm of writes after a restore, and against a VM that never
	// registers again.
	It("lets the VMs register again at different times", func() {
		dueAt := map[time.Duration]int{}
		for _, vm := range []model.NodeID{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6", "vm-7", "vm-8"} {
			c := newController(vm, true)
			Expect(c.acceptEra(1, nil)).To(Succeed())
			c.registered.Store(storeera.Hold(true, 1))
			Expect(c.registrationDue(bootclock.Now())).To(BeFalse())
			Expect(c.acceptEra(2, nil)).To(Succeed())
			now := bootclock.Now()
			Expect(c.registrationDue(now.Add(registrationSpread))).To(BeTrue())
			for after := time.Duration(0); after <= registrationSpread; after += 500 * time.Millisecond {
				if c.registrationDue(now.Add(after)) {
					dueAt[after]++
					break
				}
			}
		}
		Expect(len(dueAt)).To(BeNumerically(">=", 3))
	})

	// Guards against a response that is used although its era is earlier or unknown.
	It("discards and counts responses of an earlier era and with an invalid one", func() {
		c := newController("vm-1", true)
		Expect(c.acceptEra(4, nil)).To(Succeed())
		Expect(c.acceptEra(3, nil)).To(MatchError(storeera.ErrStale))
		Expect(c.acceptEra(0, nil)).To(MatchError(storeera.ErrStale), "a response without an era")
		invalid := errors.New("no number")
		Expect(c.acceptEra(0, invalid)).To(MatchError(invalid))
		Expect(c.EraCounts()).To(Equal(EraCounts{Current: 4, Stale: 2, Invalid: 1}))
	})
})
