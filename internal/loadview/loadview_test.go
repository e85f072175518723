package loadview_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/loadview"
	"tamarackreach/internal/model"
)

func TestLoadview(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "loadview")
}

const start = model.Instant(time.Hour)

func requests(n int) loadview.Loads { return loadview.Loads{"t": {Requests: n, First: n}} }

var _ = Describe("the view of other VMs' loads", func() {
	sum := func(v *loadview.View, now model.Instant) int {
		v.Expire(now)
		return v.Sum("t").Requests
	}

	It("replaces what a VM stated before", func() {
		v := loadview.New()
		v.SetVM(start, "vm-1", "a", requests(3))
		v.SetVM(start, "vm-2", "a", requests(4))
		v.SetVM(start, "vm-1", "a", requests(1))
		Expect(sum(v, start)).To(Equal(5))
	})

	It("discards what is too old, each source at its own time", func() {
		v := loadview.New()
		v.SetVM(start, "vm-1", "a", requests(3))
		v.SetZone(start.Add(time.Second), "b", []model.NodeID{"vm-2"}, 0, requests(4))
		Expect(sum(v, start.Add(loadview.Expiry))).To(Equal(7))
		Expect(sum(v, start.Add(loadview.Expiry+1))).To(Equal(4))
		Expect(v.VMs(start.Add(loadview.Expiry + 1))).To(Equal(1))
		Expect(sum(v, start.Add(loadview.Expiry+time.Second+1))).To(BeZero())
	})

	// Pattern: an upgrade, in which VMs of the earlier build state their loads themselves and
	// are in the digest of their zone as well.
	It("counts a VM once that is in a digest and sends messages itself", func() {
		v := loadview.New()
		v.SetVM(start, "vm-1", "b", requests(3))
		v.SetZone(start, "b", []model.NodeID{"vm-1", "vm-2"}, 0, requests(7))
		Expect(sum(v, start)).To(Equal(7))
		v.SetVM(start, "vm-1", "b", requests(3))
		v.SetVM(start, "vm-3", "b", requests(2))
		Expect(sum(v, start)).To(Equal(9))
		later := start.Add(loadview.Expiry + 1)
		v.SetVM(later, "vm-1", "b", requests(3))
		Expect(sum(v, later)).To(Equal(3), "the digest has expired")
	})

	// Guards against an age that drifts when loads of a digest are replaced or expire.
	It("dates each load by its own source", func() {
		v := loadview.New()
		ms := int64(start) / int64(time.Millisecond)
		v.SetVM(start, "vm-1", "a", requests(3))
		v.SetZone(start.Add(time.Second), "b", []model.NodeID{"vm-2"}, 300*time.Millisecond, requests(4))
		Expect(v.Sum("t").StatedMs).To(Equal(3*ms + 4*(ms+700)))
		v.SetVM(start.Add(time.Second), "vm-1", "a", requests(1))
		Expect(v.Sum("t").StatedMs).To(Equal(ms + 1000 + 4*(ms+700)))
		v.Expire(start.Add(time.Hour))
		Expect(v.Sum("t").StatedMs).To(BeZero())
		Expect(v.Any(start.Add(time.Hour))).To(BeFalse())
	})

	It("keeps the sum of a target that other VMs still use", func() {
		v := loadview.New()
		v.SetVM(start, "vm-1", "a", requests(3))
		v.Forget("t")
		Expect(sum(v, start)).To(Equal(3))
	})

	It("equals the sum over all sources after any history", func() {
		random := rand.New(rand.NewPCG(7, 0))
		v := loadview.New()
		now := start
		vms := map[model.NodeID]model.Instant{}
		last := map[model.NodeID]int{}
		for range 5000 {
			now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
			vm := model.NodeID(fmt.Sprint("vm-", random.IntN(40)))
			last[vm], vms[vm] = random.IntN(9), now
			v.SetVM(now, vm, "a", requests(last[vm]))
			want := 0
			for name, at := range vms {
				if now.Sub(at) <= loadview.Expiry {
					want += last[name]
				}
			}
			Expect(sum(v, now)).To(Equal(want))
		}
	})
})

// BenchmarkMessage measures a message of another VM with load on 200 targets.
func BenchmarkMessage(b *testing.B) {
	v := loadview.New()
	loads := loadview.Loads{}
	for i := range 200 {
		loads[model.TargetID(fmt.Sprint("t-", i))] = loadview.Load{Requests: 2, TokenLayers: 1e4}
	}
	for i := range b.N {
		v.SetVM(start.Add(time.Duration(i)), model.NodeID(fmt.Sprint("vm-", i%117)), "a", loads)
	}
}
