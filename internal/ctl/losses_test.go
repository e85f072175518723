package ctl

import (
	"io"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/controller"
	"tamarackreach/internal/director"
	"tamarackreach/internal/frontdaemon"
)

const lossLog = `{"id":"vm-1","msg":"started","time":"2026-06-29T08:14:16Z","zone":"faro"}
{"id":"vm-1","msg":"request ended","outcome":"answered","first_ms":80,"longest_pause_ms":40,"sends":1,"time":"2026-06-29T08:14:30Z"}
{"id":"vm-1","msg":"request ended","outcome":"answered","first_ms":700,"sends":2,"time":"2026-06-29T08:14:31Z"}
{"id":"vm-1","msg":"request ended","outcome":"answered","first_ms":80,"longest_pause_ms":301,"sends":1,"time":"2026-06-29T08:14:32Z"}
 0.5 vm-1 {"id":"vm-1","msg":"request ended","outcome":"refused","status":503,"reason":"not confirmed for 1.25s","sends":0,"time":"2026-06-29T08:14:33Z"}
{"id":"vm-1","msg":"request ended","outcome":"refused","status":503,"reason":"not confirmed for 2.5s","sends":0,"time":"2026-06-29T08:14:33Z"}
{"id":"vm-2","msg":"request ended","outcome":"broken off","reason":"the retry budget is spent","sends":2,"time":"2026-06-29T08:14:34Z"}
{"id":"vm-2","msg":"request ended","outcome":"refused","status":404,"reason":"no route","sends":0,"time":"2026-06-29T08:14:34Z"}
{"id":"vm-2","msg":"request ended","outcome":"abandoned by the caller","sends":1,"time":"2026-06-29T08:14:34Z"}
half a line {"id":
`

var _ = Describe("losses", func() {
	goals := lossGoals{first: 600 * time.Millisecond, pause: 300 * time.Millisecond}
	It("counts by cause, zone and time", func() {
		l, err := countLosses([]io.Reader{strings.NewReader(lossLog)}, goals)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.total).To(Equal(endCounts{1, 2, 2, 2}))
		Expect(l.causes).To(Equal(map[string]int{
			"late: first part, sent again": 1, "late: pause": 1, "refused with 503: not confirmed for N": 2,
			"broken off after 2 sends: the retry budget is spent": 1, "abandoned by the caller after 1 send": 1,
		}))
		Expect(*l.byZone["faro"]).To(Equal(endCounts{1, 2, 2, 0}))
		Expect(*l.byZone["unknown"]).To(Equal(endCounts{0, 0, 0, 2}))
		Expect(*l.bySlice[1]).To(Equal(endCounts{0, 1, 2, 0}))
		var out strings.Builder
		l.print(&out)
		Expect(out.String()).To(ContainSubstring("| refused with 503: not confirmed for N | 2 |"))
		Expect(out.String()).To(ContainSubstring("| 4 | 0 | 0 | 0 | 2 |"))
	})

	It("names what is missing", func() {
		var out, errOut strings.Builder
		Expect(Run([]string{"losses"}, &out, &errOut)).To(Equal(ExitUsage))
		Expect(errOut.String()).To(ContainSubstring("-log"))
		_, err := countLosses([]io.Reader{strings.NewReader("no log")}, goals)
		Expect(err).To(MatchError(ContainSubstring("logs of every VM")))
	})
})

var _ = Describe("fleet", func() {
	It("says from whom the store's state is taken, and which VMs are heard", func() {
		var out strings.Builder
		printFleet(&session{out: &out}, &frontdaemon.Status{
			Status: director.Status{VM: "vm-2", Zone: "faro"}, VMsRegistered: 5, VMsHeard: 3, OldestMessageMs: 420,
			Store: controller.StoreStatus{Source: "vm-1", Tables: []controller.TableStatus{{Name: "config", Version: 9, AgeMs: 31, FromVMs: 4}}},
		})
		Expect(out.String()).To(ContainSubstring("takes the copies of vm-1"))
		Expect(out.String()).To(ContainSubstring("hears 3 of 4 other VMs"))
	})
})
