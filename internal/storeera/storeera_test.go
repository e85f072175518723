package storeera_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/storeera"
)

func TestStoreEra(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "store era")
}

var _ = Describe("eras of the store", func() {
	// Guards against a late response of an earlier era that is believed.
	It("never go back", func() {
		var t storeera.Tracker
		restored, err := t.Observe(3)
		Expect(restored, err).To(BeFalse())
		restored, err = t.Observe(5)
		Expect(restored, err).To(BeTrue())
		_, err = t.Observe(3)
		Expect(err).To(MatchError(storeera.ErrStale))
		_, err = t.Observe(0)
		Expect(err).To(MatchError(storeera.ErrStale))
		restored, err = t.Observe(5)
		Expect(restored, err).To(BeFalse())
		Expect(t.Restored()).To(BeTrue())
	})

	It("begin none with the first response of a store that states no era", func() {
		var t storeera.Tracker
		restored, err := t.Observe(0)
		Expect(restored, err).To(BeFalse())
		Expect(t.Restored()).To(BeFalse())
	})

	// Guards against a version that is sent as a precondition in a later era, and a write
	// that counts as done by a response of a later era.
	It("separate what is written in them", func() {
		var t storeera.Tracker
		_, err := t.Observe(3)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.Check(fleet.StoreVersion{Era: 3, Row: 7})).To(Succeed())
		Expect(t.Check(fleet.StoreVersion{Era: 2, Row: 7})).To(MatchError(storeera.ErrStale))
		Expect(storeera.Acknowledges(3, fleet.StoreVersion{Era: 3})).To(BeTrue())
		Expect(storeera.Acknowledges(4, fleet.StoreVersion{Era: 3})).To(BeFalse())
	})

	// Guards against a lease or a version of an earlier era that still counts.
	It("end what is believed in them", func() {
		lease := storeera.Hold("held", 4)
		value, ok := lease.In(4)
		Expect(ok).To(BeTrue())
		Expect(value).To(Equal("held"))
		_, ok = lease.In(5)
		Expect(ok).To(BeFalse())
		var none *storeera.Belief[string]
		_, ok = none.In(0)
		Expect(ok).To(BeFalse())
	})
})
