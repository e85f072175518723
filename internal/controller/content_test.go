package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/ingress"
	"tamarackreach/internal/model"
	"tamarackreach/internal/upstream"
	"tamarackreach/platform"
	"tamarackreach/platform/platformtest"
)

var _ = Describe("the rows of content that crashes targets", func() {
	// maxRecordBytes is an eighth of the largest value of a row, in base64.
	const maxRecordBytes = 65536 / 8 * 3 / 4

	var store *platformtest.Store
	ctx := context.Background()
	BeforeEach(func() {
		var err error
		store, err = platformtest.NewStore()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(store.Close)
	})

	quarantine := director.Quarantine{Cause: 1<<64 - 1, Level: 2, Cleared: 1, Remaining: 8 * time.Second, Age: time.Second}
	lost := director.LostAnswer{Cause: 7, Target: "i-668ed18c97", Born: 1796374390000, Age: 300 * time.Millisecond}

	// start returns a VM with its reducer; it has read the rows.
	start := func(vm model.NodeID) *Controller {
		c := New(&platform.Settings{VM: vm, Zone: "a", StoreAddress: store.Address()}, ingress.NewReducer(director.New(director.Settings{VM: vm})), upstream.Dial)
		Expect(c.readContent(ctx)).To(Succeed())
		c.reducer.Step(director.VMsCounted{Count: 1})
		c.reducer.Step(director.ProbeDue{})
		return c
	}
	// own makes a VM the owner of a quarantine, by its row of another process.
	own := func(c *Controller, q director.Quarantine) {
		c.reducer.Step(director.ContentRead{Stored: []director.StoredContent{{VM: c.settings.VM, Process: 5, Quarantines: []director.Quarantine{q}}}})
		c.reducer.Step(director.ProbeDue{})
	}
	known := func(c *Controller) (out []director.Quarantine) {
		c.reducer.Read(func(s *director.State) { out = s.OwnPeerState(bootclock.Now()).Quarantines })
		return out
	}
	writes := func() int { return store.Calls(time.Time{}, time.Now()).Writes }

	It("round-trip, with the time since they were written", func() {
		stored := director.StoredContent{VM: "vm-1", Process: 1<<32 - 1, Quarantines: []director.Quarantine{quarantine}, LostAnswers: []director.LostAnswer{lost}, Answers: []director.AnsweredPart{{Part: 3, Age: time.Second}}}
		written := time.Now()
		record := encodeContent(stored, 4, 10*time.Second, written)
		Expect(record.decode("vm-1", 4, 10*time.Second, written)).To(Equal(stored))
		stored.Elapsed = 3 * time.Second
		Expect(record.decode("vm-1", 4, 13*time.Second, written.Add(time.Hour))).To(Equal(stored), "the time of day has jumped")
		stored.Elapsed = 0
		Expect(record.decode("vm-1", 4, 9*time.Second, written)).To(Equal(stored), "the clock of the reader is earlier")
	})

	// Guards against clocks of two eras that are compared, and against the row of a VM that
	// is gone, which counts as just written at each later start.
	It("of another era have their age by the time of day", func() {
		written := time.Now().Truncate(time.Millisecond)
		record := encodeContent(director.StoredContent{VM: "vm-1"}, 4, 10*time.Second, written)
		for _, era := range []fleet.StoreEra{0, 3, 5} {
			older := director.StoredContent{VM: "vm-1", EarlierEra: true}
			Expect(record.decode("vm-1", era, time.Minute, written.Add(-time.Second))).To(Equal(older), "era %d, a clock that is behind", era)
			older.Elapsed = 24 * time.Hour
			Expect(record.decode("vm-1", era, time.Minute, written.Add(24*time.Hour))).To(Equal(older), "era %d", era)
		}
	})

	It("fit into a fraction of the largest row", func() {
		stored := director.StoredContent{VM: "vm-1", Process: 1<<32 - 1}
		for range 16 {
			stored.Quarantines = append(stored.Quarantines, director.Quarantine{Cause: 1<<64 - 1, Level: 20, Cleared: 19, Remaining: 10 * time.Minute, Age: 10 * time.Minute})
		}
		for n := range 32 {
			l := lost
			l.Cause, l.Target, l.Age = 1<<64-1, model.TargetID(fmt.Sprintf("i-%030d", n)), 9999*time.Millisecond
			stored.LostAnswers = append(stored.LostAnswers, l)
		}
		for range 32 {
			stored.Answers = append(stored.Answers, director.AnsweredPart{Part: 1<<64 - 1, Age: 10 * time.Minute})
		}
		text, err := json.Marshal(encodeContent(stored, 99, time.Hour, time.Now()))
		Expect(err).NotTo(HaveOccurred())
		Expect(len(text)).To(BeNumerically("<", maxRecordBytes))
	})

	// Guards against a VM that starts and knows nothing of what the others have learned.
	It("are read by a VM that starts", func() {
		c := start("vm-1")
		own(c, quarantine)
		Expect(c.writeContent(ctx)).To(BeTrue())
		other := known(start("vm-2"))
		Expect(other).To(HaveLen(1))
		Expect(other[0].Cause).To(Equal(quarantine.Cause))
		Expect(other[0].Remaining).To(BeNumerically("~", 8*time.Second, 500*time.Millisecond))
		Expect(writes()).To(Equal(1))
	})

	It("are not written while there is nothing to store, nor by a VM that only reads", func() {
		c := start("vm-1")
		Expect(c.writeContent(ctx)).To(BeTrue())
		own(c, quarantine)
		Expect(c.writeContent(ctx)).To(BeTrue())
		Expect(start("vm-2").writeContent(ctx)).To(BeTrue())
		Expect(writes()).To(Equal(1))
	})

	// Pattern: the store is away when a VM learns, and comes back.
	It("are written once the store is reachable, at an interval", func() {
		c := start("vm-1")
		Expect(c.readContent(ctx)).To(Succeed())
		own(c, quarantine)
		store.Fail(http.StatusServiceUnavailable)
		Expect(c.writeContent(ctx)).To(BeFalse())
		store.Fail(0)
		c.content.lost <- struct{}{}
		running, stop := context.WithCancel(ctx)
		defer stop()
		go c.storeContent(running)
		Eventually(writes).Should(Equal(1))
		c.content.lost <- struct{}{}
		Consistently(writes, contentWriteInterval/2).Should(Equal(1))
		Eventually(writes, contentWriteInterval).Should(Equal(2))
	})

	readVMs := func(c *Controller) { Expect(c.readTable(ctx, c.tables[vmsTable], c.reader(vmsTable))).To(Succeed()) }

	// Guards against a storm of writes when several rows of each VM are lost in a restore
	// (soak seeds 19029, 19036).
	It("are not written within a second of the VM's registration", func() {
		c := start("vm-1")
		readVMs(c)
		registered := writes()
		Expect(store.Count(coordinationTable, vmPrefix)).To(Equal(1))
		own(c, quarantine)
		running, stop := context.WithCancel(ctx)
		defer stop()
		c.content.lost <- struct{}{}
		go c.storeContent(running)
		Consistently(writes, ownRowsInterval*7/10).Should(Equal(registered))
		Eventually(writes, ownRowsInterval).Should(Equal(registered + 1))
		c.registered.Store(nil)
		store.Remove(coordinationTable, vmPrefix+"vm-1")
		readVMs(c)
		Expect(store.Count(coordinationTable, vmPrefix)).To(BeZero())
		Eventually(func() int { readVMs(c); return store.Count(coordinationTable, vmPrefix) }, 2*ownRowsInterval, 100*time.Millisecond).Should(Equal(1))
	})

	// Guards against a row that a restore has lost, and that is missing when all VMs
	// restart later.
	It("are written again in a new era, at a time within the spread, and only if they were written", func() {
		copied := store.Copy()
		c, idle := start("vm-1"), start("vm-2")
		own(c, quarantine)
		Expect(c.writeContent(ctx)).To(BeTrue())
		store.Restore(copied)
		Expect(store.Count(contentTable, "")).To(BeZero())
		Expect(c.readContent(ctx)).To(Succeed())
		Expect(idle.readContent(ctx)).To(Succeed())
		Eventually(c.content.lost, registrationSpread+time.Second, 10*time.Millisecond).Should(Receive())
		Expect(c.writeContent(ctx)).To(BeTrue())
		Expect(store.Count(contentTable, "")).To(Equal(1))
		Expect(idle.content.lost).NotTo(Receive())
		Expect(known(start("vm-3"))).To(HaveLen(1))
	})

	// Pattern: a VM restarts, and the store then comes back from a copy without its row.
	// Guards against a row that a restore has lost and that the next process, which has
	// read it, does not write again.
	It("are written again by a process that has read its VM's row", func() {
		copied := store.Copy()
		c := start("vm-1")
		own(c, quarantine)
		Expect(c.writeContent(ctx)).To(BeTrue())
		next := start("vm-1")
		store.Restore(copied)
		Expect(next.readContent(ctx)).To(Succeed())
		Eventually(next.content.lost, registrationSpread+time.Second, 10*time.Millisecond).Should(Receive())
		Expect(next.writeContent(ctx)).To(BeTrue())
		Expect(known(start("vm-3"))).To(HaveLen(1))
	})

	// Pattern: the store comes back from a copy in which the content was released.
	It("of an older copy release nothing", func() {
		c := start("vm-1")
		released := quarantine
		released.Cleared = released.Level
		own(c, released)
		Expect(c.writeContent(ctx)).To(BeTrue())
		store.Restore(store.Copy())
		other := start("vm-2")
		Expect(known(other)).To(BeEmpty())
	})
})
