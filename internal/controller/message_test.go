package controller

import (
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/membership"
	"tamarackreach/internal/model"
	"tamarackreach/internal/outlier"
	"tamarackreach/internal/targetlimit"
)

var _ = Describe("peerMessage", func() {
	It("round-trips the shared state", func() {
		peerState := director.PeerState{
			VM:           "vm-1",
			Process:      1<<32 - 1,
			Uptime:       time.Hour,
			Loads:        map[model.TargetID]director.Load{"t1": {Requests: 3, TokenLayers: 12345, Waiting: 2, First: 1}},
			Suspects:     map[model.TargetID]director.Suspicion{"t2": {Remaining: time.Second, Age: 20 * time.Millisecond, RejectsRequests: true}},
			Paces:        map[model.TargetID]float64{"t3": 12},
			Crashes:      []director.Crash{{Cause: 7, Target: "t4", Born: 3}},
			Quarantines:  []director.Quarantine{{Cause: 1<<64 - 1, Level: 3, Cleared: 1, Remaining: 40 * time.Second, Age: time.Second, Trial: true}},
			LostAnswers:  []director.LostAnswer{{Cause: 1<<64 - 1, Target: "t5", Born: 1796374390000, Age: 300 * time.Millisecond}},
			Limits:       map[model.TargetID]director.TargetLimit{"t6": {Shared: targetlimit.Shared{PerSecond: 20.2, Age: time.Second, Sends: 1.5}, Born: 1796374390000}},
			Answers:      []director.AnsweredPart{{Part: 1<<64 - 1, Age: 9 * time.Minute}},
			Zone:         "a",
			Isolated:     true,
			Unreachable:  []model.TargetID{"t7", "t8"},
			Signs:        map[model.TargetID]director.Sign{"t9": {Born: 1796374390000, Age: 40 * time.Millisecond, Report: true}, "t10": {Born: 2, Age: time.Second}},
			Relay:        director.Relay{VM: "vm-1", Address: "10.1.0.40:7340", Secret: "8f3a"},
			InFlight:     17,
			StoreFailing: true,
			Copies:       membership.Endpoint{Address: "10.1.0.40:7341", Secret: "9e2c"},
			Backoffs:     []director.Backoff{{VM: "vm-2", Target: "t11", Born: 1796374390000, Remaining: 2500 * time.Millisecond}},
			Leaving:      map[model.TargetID]int64{"t12": 1796374390000},
			Outliers: outlier.Observations{
				Counts:    []outlier.Count{{Target: outlier.Target{ID: "t13", StartedMs: 1796374390000}, Results: outlier.Tallies{{Errors: 2, Results: 3}, {Errors: 4, Results: 9}}, LastError: 30 * time.Millisecond}},
				Good:      map[outlier.Group][2]int{{Service: "s"}: {3, 4}, {Service: "s", Later: true}: {0, 6}},
				Ejections: []outlier.Ejection{{Target: outlier.Target{ID: "t14", StartedMs: 1796374390000}, Level: 3, Remaining: time.Second, Age: 600 * time.Millisecond}},
			},
			Demand: map[model.ServiceID]float64{"llm": 55.25, "orders": 0.01},
		}
		text, err := json.Marshal(encodePeerState(peerState))
		Expect(err).NotTo(HaveOccurred())
		var message peerMessage
		Expect(json.Unmarshal(text, &message)).To(Succeed())
		Expect(message.received()).To(Equal(peerState))
	})

	// Guards against zones that send requests to each other because of a demand that no VM has,
	// and against an idle VM that is taken for one of an earlier build.
	DescribeTable("reads a demand that is in range, and tells none from an unknown one",
		func(field string, want map[model.ServiceID]float64) {
			var message peerMessage
			Expect(json.Unmarshal([]byte(`{"vm":"vm-1"`+field+`}`), &message)).To(Succeed())
			Expect(message.received().Demand).To(Equal(want))
		},
		Entry("absent", ``, nil),
		Entry("null", `,"demand":null`, nil),
		Entry("none", `,"demand":{}`, map[model.ServiceID]float64{}),
		Entry("some", `,"demand":{"llm":150}`, map[model.ServiceID]float64{"llm": 1.5}),
		Entry("negative", `,"demand":{"llm":150,"orders":-1}`, nil),
		Entry("too large", `,"demand":{"llm":100000001}`, nil),
		Entry("of no service", `,"demand":{"":1}`, nil),
	)

	It("states the demand of a VM that has none", func() {
		text, err := json.Marshal(encodePeerState(director.PeerState{VM: "vm-1", Demand: map[model.ServiceID]float64{}}))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(ContainSubstring(`"demand":{}`))
	})

	// Pattern: a VM has requests on every target of a large zone.
	It("fits into a datagram with load on a thousand targets, many of which are not reached", func() {
		peerState := director.PeerState{VM: "front-zone-a-12", Loads: map[model.TargetID]director.Load{}, Signs: map[model.TargetID]director.Sign{}}
		for i := range 1000 {
			id := model.TargetID(fmt.Sprintf("i-%010d", i))
			peerState.Loads[id] = director.Load{Requests: 120, TokenLayers: 1e6, Waiting: 10, First: 60}
			if i < 256 {
				peerState.Unreachable = append(peerState.Unreachable, id)
				peerState.Signs[id] = director.Sign{Born: 1796374390000, Age: 1999 * time.Millisecond, Report: true}
			}
			if i < 64 {
				peerState.Backoffs = append(peerState.Backoffs, director.Backoff{VM: "front-zone-a-12", Target: id, Born: 1796374390000, Remaining: 9 * time.Minute})
			}
		}
		text, err := json.Marshal(encodePeerState(peerState))
		Expect(err).NotTo(HaveOccurred())
		Expect(len(text)).To(BeNumerically("<", maxMessageBytes))
	})
})
