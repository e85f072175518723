package controller

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
)

// Guards against targets that get new requests after their registrations were removed, at VMs
// that read the store all the while: the VM whose copies they take was cut off from the store,
// and they took that for an outage of the store (review/1).
var _ = Describe("a VM whose reads of the store succeed, while those of its source fail", func() {
	var f *copyFixture
	var source, vm *Controller
	BeforeEach(func() {
		f = newCopyFixture()
		f.heartbeat = 1200 * time.Millisecond
		source, vm = f.start("vm-1"), f.start("vm-2")
		f.readAll(source)
		f.takeAll(vm, source)
	})
	targets := func(c *Controller) int {
		var status director.Status
		c.reducer.Read(func(s *director.State) { status = s.Status(bootclock.Now()) })
		return len(status.Targets)
	}
	failedRead := func(c *Controller) {
		f.store.Fail(http.StatusServiceUnavailable)
		Expect(c.readTable(f.ctx, c.tables[targetsTable], c.reader(targetsTable))).NotTo(Succeed())
		f.store.Fail(0)
	}

	It("drops a removed target at its next read", func() {
		failedRead(source)
		f.readAll(vm)
		f.takeAll(vm, source)
		f.store.Remove("servers", "a")
		f.readAll(vm)
		Expect(targets(vm)).To(Equal(1))
	})

	It("drops a removed target at its next read after the source has recovered", func() {
		failedRead(source)
		f.readAll(vm)
		f.store.Remove("servers", "a")
		f.readAll(source)
		f.takeAll(vm, source)
		Expect(targets(vm)).To(Equal(1))
	})

	It("passes on no outage to the VMs that take its copies", func() {
		third := f.start("vm-3")
		f.takeAll(third, vm)
		failedRead(source)
		f.readAll(vm)
		f.takeAll(vm, source)
		f.store.Remove("servers", "a")
		f.readAll(vm)
		f.takeAll(third, vm)
		Expect(targets(third)).To(Equal(1))
	})

	It("ignores an outage that ends in the future, by the word of a faulty VM", func() {
		vm.noteRecovery(bootclock.Now(), "vm-1", &copyResponse{copyState: copyState{RecoveredMs: -1e9}})
		f.store.Remove("servers", "a")
		f.readAll(vm)
		Expect(targets(vm)).To(Equal(1))
	})
})
