package soak

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/platform/platformtest"
)

var _ = Describe("the checks of restores", func() {
	It("find a removed key that runs, unless no process may know of it", func() {
		run := newRun("r-1", "r", 1, 200)
		c := newCall("r", "r-1", &run, "whole body")
		c.key = "old"
		r := &records{started: start, vms: []string{"vm-1", "vm-2"}, calls: []call{c}, arrivals: []platformtest.Arrival{run}, removed: map[string]time.Time{"old": at(-1600)}}
		r.spans = []span{{configSubject, at(-1000), at(100)}, {restartOf("vm-1"), at(-500), at(-400)}, {restartOf("vm-2"), at(-1300), at(-1200)}}
		Expect(r.check()).To(HaveExactElements(ContainSubstring("revoked")))
		r.violations, r.spans[2] = nil, span{restartOf("vm-2"), at(-300), at(-200)}
		Expect(r.check()).To(BeEmpty())
		r.spans[0].to = at(-700)
		Expect(r.check()).To(HaveExactElements(ContainSubstring("revoked")))
		r.violations, r.spans = nil, []span{{configSubject, at(-1100), at(100)}}
		Expect(r.check()).To(BeEmpty(), "the store lost the removal before a VM had to know it")
	})

	It("expect a VM to write its lost rows again, except of content that its process does not know of", func() {
		r := &run{Options: Options{VMs: 1}, restoredAt: []time.Time{at(0), at(500)}}
		r.spans.spans = []span{{restartOf("vm-1"), at(-300), at(-200)}, {restartOf("vm-2"), at(100), at(200)}, {"vm-1", at(100), at(200)}}
		row := func(table, key string) platformtest.Row { return platformtest.Row{Table: table, Key: key} }
		Expect(r.forgottenContent(row(contentTable, "vm-1"))).To(BeFalse())
		Expect(r.forgottenContent(row(contentTable, "vm-2"))).To(BeTrue())
		Expect(r.forgottenContent(row("tamarackreach", "vm-2"))).To(BeFalse())
		Expect(r.forgottenContent(row("tamarackreach", "vm/vm-2"))).To(BeFalse())
		r.restoredAt = nil
		Expect(r.forgottenContent(row(contentTable, "vm-2"))).To(BeFalse())
	})

	// Pattern: a VM is rolled back, and a restore loses the row of its later build (soak
	// -earlier 45726cd -restores, seeds 95008 and 95014).
	It("expect no VM to write the registration of a build from which it was rolled back", func() {
		store, err := platformtest.NewStore()
		Expect(err).NotTo(HaveOccurred())
		defer func() { Expect(store.Close()).To(Succeed()) }()
		registration := func(address string, protocol int) map[string]any {
			out := map[string]any{"zone": "a", "peer_address": address}
			if protocol > 0 {
				out["protocol"] = protocol
			}
			return out
		}
		put := func(address string, protocol int) {
			Expect(store.Put("tamarackreach", "vm/vm-1", registration(address, protocol))).To(Succeed())
		}
		put("10.0.0.1:7", 0)
		copied := store.Copy()
		put("10.0.0.1:7", 1)
		store.Restore(copied)
		v := &vm{name: "vm-1", binary: "earlier"}
		r := &run{Options: Options{Earlier: "earlier"}, store: store, vms: []*vm{v}}
		lost := store.Lost()
		Expect(lost).To(HaveLen(1))
		Expect(r.writtenByLaterBuild(lost[0])).To(BeTrue())
		v.binary = "later"
		Expect(r.writtenByLaterBuild(lost[0])).To(BeFalse(), "it runs the later build")
		v.binary, r.Earlier = "earlier", ""
		Expect(r.writtenByLaterBuild(lost[0])).To(BeFalse(), "no build was replaced")
		r.Earlier = "earlier"
		put("10.0.0.2:7", 0)
		copied = store.Copy()
		put("10.0.0.1:7", 1)
		store.Restore(copied)
		Expect(r.writtenByLaterBuild(store.Lost()[0])).To(BeFalse(), "the address differs too")
		store.Remove("tamarackreach", "vm/vm-1")
		put("10.0.0.1:7", 1)
		copied = store.Copy()
		put("10.0.0.3:7", 1)
		store.Restore(copied)
		Expect(r.writtenByLaterBuild(store.Lost()[0])).To(BeFalse(), "the row in the store is of the later build as well")
	})

	DescribeTable("find a request at a target whose drain its VM has read",
		func(drained time.Time, fault span, found bool) {
			run := newRun("r-1", "r", 1, 200)
			r := &records{
				started: start, calls: []call{newCall("r", "r-1", &run, "whole body")}, arrivals: []platformtest.Arrival{run},
				drained: map[string]time.Time{"i-1": drained}, spans: []span{fault},
			}
			if found {
				Expect(r.check()).To(HaveExactElements(ContainSubstring("drained")))
			} else {
				Expect(r.check()).To(BeEmpty())
			}
		},
		Entry("after the bound", at(-700), span{}, true),
		Entry("within the bound", at(-500), span{}, false),
		Entry("also after a restore", at(-700), span{storeSubject, at(-50), at(-20)}, true),
		Entry("unless the store was away in the bound", at(-700), span{storeSubject, at(-300), at(-20)}, false),
		Entry("unless the VM restarted", at(-700), span{"vm-1", at(-50), at(-20)}, false),
	)

	DescribeTable("find a request that fails because of a restore",
		func(status int, lost time.Time, found bool) {
			c := call{id: "r-1", kind: "r", path: "/r/x", key: permanentKey, vm: "vm-1", sent: at(0), ended: at(10), status: status}
			r := &records{started: start, calls: []call{c}, restoresOnly: true, served: at(-5000), spans: []span{{configSubject, lost, at(0)}}}
			if found {
				Expect(r.check()).To(HaveExactElements(ContainSubstring("restore")))
			} else {
				Expect(r.check()).To(BeEmpty())
			}
		},
		Entry("refused although the configuration could be confirmed", 503, at(-500), true),
		Entry("refused because it could not be confirmed", 503, at(-1000), false),
		Entry("failed", 502, at(-1000), true),
		Entry("cut off", 0, at(-1000), true),
	)
})
