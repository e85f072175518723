package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/ingress"
	"tamarackreach/internal/membership"
	"tamarackreach/internal/model"
	"tamarackreach/internal/storereplica"
	"tamarackreach/internal/upstream"
	"tamarackreach/platform"
	"tamarackreach/platform/platformtest"
)

func TestController(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "controller")
}

// copyFixture is VMs that take copies from each other, over real connections, and a store.
type copyFixture struct {
	store *platformtest.Store
	ctx   context.Context
	// heartbeat is the interval of the targets' renewals that VMs know; 0 for unknown.
	heartbeat time.Duration
	// firstStart is true where the VMs start for the first time, and so use a configuration at
	// once.
	firstStart bool
}

func newCopyFixture() *copyFixture {
	store, err := platformtest.NewStore()
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(func() { cancel(); Expect(store.Close()).To(Succeed()) })
	Expect(store.Put("op", "config", platformtest.Config(1, "key"))).To(Succeed())
	for _, id := range []string{"a", "b"} {
		Expect(store.Put("servers", id, map[string]any{
			"service": "desk", "address": "127.0.0.1:9", "zone": "a", "slots": 8, "state": "ready", "sequence": 1, "born": 1,
		})).To(Succeed())
	}
	return &copyFixture{store: store, ctx: ctx}
}

// lastHost numbers the host addresses of VMs: listeners of an earlier spec may still be open.
var lastHost int

// start returns a VM that passes on its copies.
func (f *copyFixture) start(vm model.NodeID) *Controller {
	lastHost++
	host := fmt.Sprintf("127.77.%d.%d", lastHost/250, 1+lastHost%250)
	s, err := platform.ParseSettings([]byte(platformtest.Settings(string(vm), "a", host, f.store.Address())))
	Expect(err).NotTo(HaveOccurred())
	c := New(s, ingress.NewReducer(director.New(director.Settings{VM: vm, Zone: "a", ConfigApply: s.Bounds.ConfigApply, Revoke: s.Bounds.Revoke, Heartbeat: f.heartbeat, FirstStart: f.firstStart})), upstream.Dial)
	Expect(c.peers.listen(f.ctx)).To(Succeed())
	Expect(c.serveCopies(f.ctx)).To(Succeed())
	return c
}

// readAll has a VM read all tables of the store.
func (f *copyFixture) readAll(c *Controller) {
	for i, t := range c.tables {
		Expect(c.readTable(f.ctx, t, c.reader(i))).To(Succeed())
	}
}

// takeAll has a VM take all tables from another one, and returns which were used.
func (f *copyFixture) takeAll(c, from *Controller) (used [tableCount]bool) {
	for i, t := range c.tables {
		used[i] = c.take(f.ctx, t, c.reader(i), from.settings.VM, from.peers.copies)
	}
	return used
}

var _ = Describe("copies of the store's tables", func() {
	var f *copyFixture
	var source, follower *Controller
	all := [tableCount]bool{true, true, true}
	BeforeEach(func() {
		f = newCopyFixture()
		source, follower = f.start("vm-1"), f.start("vm-2")
	})
	status := func(c *Controller) (out director.Status) {
		c.reducer.Read(func(s *director.State) { out = s.Status(bootclock.Now()) })
		return out
	}
	reads := func() int { return f.store.Calls(time.Time{}, time.Now()).Reads }

	It("serve a VM that never reads the store", func() {
		f.readAll(source)
		f.readAll(source) // with the row that the first one wrote
		before := reads()
		Expect(f.takeAll(follower, source)).To(Equal(all))
		Expect(reads()).To(Equal(before))
		Expect(status(follower).Configuration).To(BeEquivalentTo(1))
		Expect(status(follower).Targets).To(HaveLen(2))
		Expect(follower.RegisteredVMs()).To(Equal(2))
	})

	It("carry only what has changed, and removals", func() {
		f.readAll(source)
		f.takeAll(follower, source)
		f.store.Remove("servers", "a")
		Expect(f.store.Put("op", "config", platformtest.Config(2, "key"))).To(Succeed())
		f.readAll(source)
		cursor := follower.tables[targetsTable].cursor
		_, body, compressed, err := source.encodedCopy(source.tables[targetsTable], cursor)
		Expect(err).NotTo(HaveOccurred())
		Expect(compressed).To(BeFalse())
		var delta copyBody
		Expect(json.Unmarshal(body, &delta)).To(Succeed())
		Expect(delta.Full).To(BeFalse())
		Expect(delta.Rows).To(BeEmpty())
		Expect(delta.Removed).To(HaveLen(1))
		Expect(f.takeAll(follower, source)).To(Equal(all))
		Expect(status(follower).Targets).To(HaveLen(1))
		Expect(status(follower).Configuration).To(BeEquivalentTo(2))
	})

	// Pattern: 300 VMs and 3,000 targets start at once. Guards against a source that encodes all
	// registrations for each VM of its zone and exceeds its memory (fleetbench's sweep).
	It("are encoded once for all VMs that ask for the same, and compressed", func() {
		for i := range 3000 {
			Expect(f.store.Put("servers", fmt.Sprintf("i-%05d", i), map[string]any{
				"service": "desk", "address": fmt.Sprintf("10.0.%d.%d:9", i/250, i%250), "zone": "a", "slots": 8, "state": "ready", "sequence": 1, "born": 1,
			})).To(Succeed())
		}
		f.readAll(source)
		t := source.tables[targetsTable]
		_, first, compressed, err := source.encodedCopy(t, storereplica.Cursor{})
		Expect(err).NotTo(HaveOccurred())
		Expect(compressed).To(BeTrue())
		Expect(len(first)).To(BeNumerically("<", 100<<10))
		perCopy := testing.AllocsPerRun(10, func() { _, _, _, _ = source.encodedCopy(t, storereplica.Cursor{}) })
		Expect(perCopy).To(BeNumerically("<", 100))
		Expect(f.takeAll(follower, source)).To(Equal(all))
		Expect(status(follower).Targets).To(HaveLen(3002))
		f.store.Remove("servers", "i-00000")
		f.readAll(source)
		Expect(f.takeAll(follower, source)).To(Equal(all))
		Expect(status(follower).Targets).To(HaveLen(3001), "what was encoded before the change is not used")
	})

	// Guards against a removed key that stays in force because a chain of VMs makes the
	// configuration seem younger than the read that returned it.
	It("keep the age of the read that the source made, counted from the question", func() {
		f.readAll(source)
		time.Sleep(120 * time.Millisecond)
		f.takeAll(follower, source)
		_, _, confirmed, _ := source.tables[configTable].snapshot()
		_, _, copied, _ := follower.tables[configTable].snapshot()
		Expect(copied).To(BeNumerically("<=", confirmed))
		Expect(confirmed.Sub(copied)).To(BeNumerically("<", 50*time.Millisecond))
		Expect(status(follower).ConfirmedMs).To(BeNumerically(">=", 120))
	})

	It("are not used where the source has not read the store, or reads another one", func() {
		Expect(f.takeAll(follower, source)).To(Equal([tableCount]bool{}))
		f.readAll(source)
		source.store.SetAddress("127.0.0.1:1")
		Expect(f.takeAll(follower, source)).To(Equal([tableCount]bool{}))
	})

	It("are refused without the secret of the process", func() {
		f.readAll(source)
		endpoint := membership.Endpoint{Address: source.peers.copies.Address, Secret: "guess"}
		Expect(follower.take(f.ctx, follower.tables[configTable], follower.reader(configTable), "vm-1", endpoint)).To(BeFalse())
	})

	// Pattern: the store comes back from an older copy, and the follower does not read it.
	It("begin a new era at a VM that takes them, and none of an earlier one is used", func() {
		f.readAll(source)
		f.readAll(follower)
		f.store.Restore(f.store.Copy())
		f.readAll(source)
		Expect(f.takeAll(follower, source)).To(Equal(all))
		Expect(follower.era.current()).To(Equal(source.era.current()))
		stale := f.start("vm-0")
		Expect(stale.acceptEra(1, nil)).To(Succeed())
		stale.tables[configTable].replace(stale.tables[configTable].storeGeneration(), platform.Snapshot{Newest: fleet.StoreVersion{Era: 1, Row: 99}}, bootclock.Now())
		Expect(f.takeAll(follower, stale)).To(Equal([tableCount]bool{}))
	})

	// Pattern: registrations lapse while the store is away, and the follower never reads it.
	// Guards against all targets being dropped by a VM that did not notice the outage.
	It("tell of an outage of the store", func() {
		f.readAll(source)
		f.takeAll(follower, source)
		f.store.Fail(http.StatusServiceUnavailable)
		Expect(source.readTable(f.ctx, source.tables[configTable], source.reader(configTable))).NotTo(Succeed())
		f.store.Fail(0)
		f.store.Remove("servers", "a")
		f.store.Remove("servers", "b")
		f.readAll(source)
		Expect(status(source).Targets).To(HaveLen(2))
		f.takeAll(follower, source)
		Expect(status(follower).Targets).To(HaveLen(2), "they may register again")
	})

	It("of a VM that does not answer are given up within their time", func() {
		f.readAll(source)
		started := time.Now()
		Expect(follower.take(f.ctx, follower.tables[configTable], follower.reader(configTable), "vm-9", membership.Endpoint{Address: "127.77.0.9:1", Secret: "s"})).To(BeFalse())
		Expect(time.Since(started)).To(BeNumerically("<", 2*takeTimeout))
	})

	// Pattern: all VMs are upgraded while the store comes back from older copies (soak -earlier
	// -restores, seed 92012). Guards against a storm of writes of rows that differ only in the
	// protocol.
	It("of VMs are written at their own times after an upgrade", func() {
		c := source
		record := vmRecord{Zone: "a", PeerAddress: c.peers.address()}
		Expect(f.store.Put(coordinationTable, vmPrefix+"vm-1", record)).To(Succeed())
		writes := func() int { return f.store.Calls(time.Time{}, time.Now()).Writes }
		Expect(c.acceptEra(1, nil)).To(Succeed())
		lease := writes()
		f.readAll(c)
		Expect(c.registrationDue(bootclock.Now())).To(BeTrue())
		Expect(writes()).To(Equal(lease), "neither the row nor the lease")
		c.startedAt = c.startedAt.Add(-registrationSpread)
		f.readAll(c)
		Expect(c.registrationDue(bootclock.Now())).To(BeFalse())
		row := vmRecord{}
		rows, _, _, _ := c.tables[vmsTable].snapshot()
		Expect(rows).To(HaveLen(1))
		f.readAll(c)
		rows, _, _, _ = c.tables[vmsTable].snapshot()
		Expect(json.Unmarshal(rows[0].Value, &row)).To(Succeed())
		Expect(row.Protocol).To(Equal(membership.DigestProtocol))
	})

	// Guards against the look-up of a name, under the lock that all tables need, because another
	// writer left a row among those of the VMs.
	It("of VMs whose addresses are no IP:PORT are skipped at once", func() {
		for i, address := range []string{"no-such-host.example:7003", "127.0.0.1:70000", "127.0.0.1", ":7003", "", "[::1]:7003", "127.0.0.1:http"} {
			Expect(f.store.Put(coordinationTable, fmt.Sprint(vmPrefix, "vm-odd-", i), vmRecord{Zone: "a", PeerAddress: address})).To(Succeed())
		}
		Expect(f.store.Put(coordinationTable, vmPrefix+"vm-7", vmRecord{Zone: "a", PeerAddress: "127.0.0.1:7003"})).To(Succeed())
		started := time.Now()
		f.readAll(source)
		Expect(time.Since(started)).To(BeNumerically("<", 100*time.Millisecond))
		Expect(source.RegisteredVMs()).To(Equal(2))
	})

	It("are described in the status", func() {
		f.readAll(source)
		f.takeAll(follower, source)
		s := follower.StoreStatus()
		Expect(s.Tables).To(HaveLen(tableCount))
		Expect(s.Tables[0].FromVMs).To(BeEquivalentTo(1))
		Expect(source.StoreStatus().Tables[0].FromStore).To(BeEquivalentTo(1))
	})
})

var _ = Describe("the store's feed", func() {
	// Pattern: the operator removes a key between two reads of the configuration.
	It("brings a change at once, without confirming anything", func() {
		f := newCopyFixture()
		c := f.start("vm-1")
		f.readAll(c)
		t, r := c.tables[configTable], c.reader(configTable)
		_, version, confirmed, _ := t.snapshot()
		changed := make(chan error, 1)
		go func() {
			_, err := c.readFeed(f.ctx, t, r, version)
			changed <- err
		}()
		time.Sleep(50 * time.Millisecond)
		Expect(f.store.Put("op", "config", platformtest.Config(2, "key"))).To(Succeed())
		Eventually(changed, time.Second).Should(Receive(BeNil()))
		var inForce model.Revision
		c.reducer.Read(func(s *director.State) { inForce = s.Config().Version })
		Expect(inForce).To(BeEquivalentTo(2))
		_, _, after, _ := t.snapshot()
		Expect(after).To(Equal(confirmed))
	})

	It("is read on after it has discarded its history, and after it was silent", func() {
		f := newCopyFixture()
		c := f.start("vm-1")
		f.readAll(c)
		t, r := c.tables[targetsTable], c.reader(targetsTable)
		_, version, _, _ := t.snapshot()
		f.store.Remove("servers", "a")
		f.store.DiscardHistory()
		_, err := c.readFeed(f.ctx, t, r, version)
		Expect(err).To(MatchError(platform.ErrHistoryGone))
		f.store.SilenceFeed(true)
		f.store.Remove("servers", "b")
		f.readAll(c)
		rows, _, _, _ := t.snapshot()
		Expect(rows).To(BeEmpty())
	})

	It("ends with the era in which it was asked", func() {
		f := newCopyFixture()
		c := f.start("vm-1")
		f.readAll(c)
		t, r := c.tables[targetsTable], c.reader(targetsTable)
		_, version, _, _ := t.snapshot()
		copied := f.store.Copy()
		f.store.Remove("servers", "a")
		f.store.Restore(copied)
		_, err := c.readFeed(f.ctx, t, r, version)
		Expect(err).To(HaveOccurred())
		Expect(c.era.current()).To(BeEquivalentTo(2))
		Expect(t.copied.Read()).To(BeFalse(), "the copy of the earlier era is empty")
	})

	// Pattern: the settings name another store, whose rows have the same versions by chance.
	It("and rows of a replaced store are applied, also with versions that are known", func() {
		f, other := newCopyFixture(), newCopyFixture()
		c := f.start("vm-1")
		f.readAll(c)
		Expect(other.store.Put("op", "config", platformtest.Config(9, "key"))).To(Succeed())
		for range 3 {
			Expect(f.store.Put("op", "config", platformtest.Config(2, "key"))).To(Succeed())
			f.readAll(c)
		}
		next := *c.settings
		next.StoreAddress = other.store.Address()
		Expect(other.store.Put("servers", "c", map[string]any{"service": "desk", "address": "127.0.0.1:8", "zone": "a", "slots": 8, "state": "ready", "born": 1})).To(Succeed())
		c.Apply(&next)
		c.applied.mu.Lock()
		Expect(c.applied.config).To(BeZero())
		c.applied.mu.Unlock()
		other.readAll(c)
		var status director.Status
		c.reducer.Read(func(s *director.State) { status = s.Status(bootclock.Now()) })
		Expect(status.Configuration).To(BeEquivalentTo(9))
		Expect(status.Targets).To(HaveLen(3))
	})

	// Pattern: the store's address changes while a read from the old one is in flight.
	It("and reads from a replaced store are discarded", func() {
		f := newCopyFixture()
		c := f.start("vm-1")
		t := c.tables[targetsTable]
		generation := t.storeGeneration()
		t.replaceStore()
		Expect(t.replace(generation, platform.Snapshot{Rows: []fleet.StoreRow{{Key: "a"}}}, bootclock.Now())).To(BeFalse())
		Expect(t.copied.Read()).To(BeFalse())
	})
})
