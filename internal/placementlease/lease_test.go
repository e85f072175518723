package placementlease_test

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/internal/placementlease"
)

func TestPlacementLease(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement lease")
}

func row(holder model.NodeID, until time.Duration) fleet.StoreRow {
	value, err := json.Marshal(placementlease.Record{Holder: holder, UntilMs: until.Milliseconds()})
	Expect(err).NotTo(HaveOccurred())
	return fleet.StoreRow{Value: value, Version: fleet.StoreVersion{Row: 7}}
}

var _ = Describe("Decide", func() {
	DescribeTable("decides by the store's clock", func(r fleet.StoreRow, clock time.Duration, want placementlease.Action) {
		action, _ := placementlease.Decide("self", r, clock)
		Expect(action).To(Equal(want))
	},
		Entry("no holder", fleet.StoreRow{}, 5*time.Second, placementlease.Acquire),
		Entry("held by another VM", row("other", 6*time.Second), 5*time.Second, placementlease.Wait),
		Entry("another VM's lease expires now", row("other", 5*time.Second), 5*time.Second, placementlease.Acquire),
		Entry("another VM's lease expires in one millisecond", row("other", 5001*time.Millisecond), 5*time.Second, placementlease.Wait),
		Entry("this VM has just renewed it", row("self", 8*time.Second), 5*time.Second, placementlease.Wait),
		Entry("this VM's renewal is due", row("self", 6*time.Second), 5*time.Second, placementlease.Acquire),
		Entry("the record does not decode", fleet.StoreRow{Value: []byte("{"), Version: fleet.StoreVersion{Row: 1}}, 5*time.Second, placementlease.Acquire),
	)

	// Guards against a write of an earlier era that is performed late on a row whose
	// version was assigned again: it replaces the record of the holder by an expired one.
	It("lets a lease duration pass after a record of another era", func() {
		value, err := json.Marshal(placementlease.Record{Holder: "other", UntilMs: 4000, Era: 1})
		Expect(err).NotTo(HaveOccurred())
		overwritten := fleet.StoreRow{Value: value, Version: fleet.StoreVersion{Era: 2, Row: 7}}
		action, barrier := placementlease.Decide("self", overwritten, 5*time.Second)
		Expect(action).To(Equal(placementlease.Suspend))
		Expect(barrier).To(Equal(placementlease.Record{UntilMs: 8000, Era: 2}))
		value, err = json.Marshal(barrier)
		Expect(err).NotTo(HaveOccurred())
		row := fleet.StoreRow{Value: value, Version: fleet.StoreVersion{Era: 2, Row: 8}}
		action, _ = placementlease.Decide("self", row, 7999*time.Millisecond)
		Expect(action).To(Equal(placementlease.Wait))
		action, next := placementlease.Decide("self", row, 8*time.Second)
		Expect(action).To(Equal(placementlease.Acquire))
		Expect(next).To(Equal(placementlease.Record{Holder: "self", UntilMs: 11000, Era: 2}))
	})

	// Pattern: the store is slow; a VM's write is applied long after its read.
	It("never lets two VMs hold the lease at a time, however long their calls take", func() {
		type call struct {
			read    fleet.StoreRow
			began   time.Duration
			clock   time.Duration
			pending bool
		}
		for seed := range uint64(300) {
			random := rand.New(rand.NewPCG(seed, 2))
			current, names := fleet.StoreRow{}, []model.NodeID{"a", "b", "c"}
			calls, renewed := map[model.NodeID]*call{"a": {}, "b": {}, "c": {}}, map[model.NodeID]model.Instant{}
			for now := time.Second; now < 60*time.Second; now += time.Duration(random.IntN(700)) * time.Millisecond {
				vm := names[random.IntN(len(names))]
				c := calls[vm]
				if !c.pending {
					// The store samples its clock some time after the call began.
					*c = call{read: current, began: now - time.Duration(random.IntN(300))*time.Millisecond, clock: now, pending: true}
				} else {
					c.pending = false
					action, record := placementlease.Decide(vm, c.read, c.clock)
					if action == placementlease.Acquire && c.read.Version == current.Version {
						value, err := json.Marshal(record)
						Expect(err).NotTo(HaveOccurred())
						current = fleet.StoreRow{Value: value, Version: fleet.StoreVersion{Row: current.Version.Row + 1}}
						renewed[vm] = model.Instant(c.began)
					}
				}
				holders := 0
				for _, name := range names {
					if placementlease.Held(renewed[name], model.Instant(now)) {
						holders++
					}
				}
				Expect(holders).To(BeNumerically("<=", 1), "seed %d at %s", seed, now)
			}
		}
	})

	It("never lets two VMs hold the lease at a time, whatever the order of their writes", func() {
		for seed := range uint64(300) {
			random := rand.New(rand.NewPCG(seed, 1))
			current := fleet.StoreRow{}
			names := []model.NodeID{"a", "b", "c"}
			renewed := map[model.NodeID]model.Instant{}
			for now := time.Second; now < 60*time.Second; now += time.Duration(random.IntN(400)) * time.Millisecond {
				vm := names[random.IntN(len(names))]
				read := current
				started := model.Instant(now)
				action, record := placementlease.Decide(vm, read, now)
				if action == placementlease.Acquire && random.IntN(4) > 0 && read.Version == current.Version {
					value, err := json.Marshal(record)
					Expect(err).NotTo(HaveOccurred())
					current = fleet.StoreRow{Value: value, Version: fleet.StoreVersion{Row: current.Version.Row + 1}}
					renewed[vm] = started
				}
				holders := 0
				for _, name := range names {
					if placementlease.Held(renewed[name], started) {
						holders++
					}
				}
				Expect(holders).To(BeNumerically("<=", 1), "seed %d at %s", seed, now)
			}
		}
	})
})
