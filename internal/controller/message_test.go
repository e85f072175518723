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
		}
		text, err := json.Marshal(encodePeerState(peerState))
		Expect(err).NotTo(HaveOccurred())
		var message peerMessage
		Expect(json.Unmarshal(text, &message)).To(Succeed())
		Expect(message.received()).To(Equal(peerState))
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
