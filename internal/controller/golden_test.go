package controller

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/model"
	"tamarackreach/internal/outlier"
	"tamarackreach/internal/placementlease"
	"tamarackreach/internal/targetlimit"
)

// protocol0 reads a message or a row as a build of protocol 0 writes it. The files were
// written by such a build and do not change.
func protocol0(name string) []byte {
	text, err := os.ReadFile(filepath.Join("testdata", "protocol0", name+".json"))
	Expect(err).NotTo(HaveOccurred())
	return text
}

// protocol0State is the state in protocol0("state").
func protocol0State() director.PeerState {
	return director.PeerState{
		VM: "vm-1", Process: 1<<32 - 1, Uptime: time.Hour,
		Loads:       map[model.TargetID]director.Load{"t1": {Requests: 3, TokenLayers: 12345, Waiting: 2, First: 1}},
		Suspects:    map[model.TargetID]director.Suspicion{"t2": {Remaining: time.Second, Age: 20 * time.Millisecond, RejectsRequests: true}},
		Paces:       map[model.TargetID]float64{"t3": 12},
		Crashes:     []director.Crash{{Cause: 7, Target: "t4", Born: 3}},
		Config:      9,
		Quarantines: []director.Quarantine{{Cause: 1<<64 - 1, Level: 3, Cleared: 1, Remaining: 40 * time.Second, Age: time.Second, Trial: true}},
		LostAnswers: []director.LostAnswer{{Cause: 1<<64 - 1, Target: "t5", Born: 1796374390000, Age: 300 * time.Millisecond}},
		Limits:      map[model.TargetID]director.TargetLimit{"t6": {Shared: targetlimit.Shared{PerSecond: 20.2, Age: time.Second, Sends: 1.5}, Born: 1796374390000}},
		Answers:     []director.AnsweredPart{{Part: 1<<64 - 1, Age: 9 * time.Minute}},
		Zone:        "a", Isolated: true,
		Unreachable: []model.TargetID{"t7", "t8"},
		Signs:       map[model.TargetID]director.Sign{"t9": {Born: 1796374390000, Age: 40 * time.Millisecond, Report: true}},
		Relay:       director.Relay{VM: "vm-1", Address: "10.1.0.40:7340", Secret: "8f3a"},
		InFlight:    17,
		Backoffs:    []director.Backoff{{VM: "vm-2", Target: "t11", Born: 1796374390000, Remaining: 2500 * time.Millisecond}},
		Leaving:     map[model.TargetID]int64{"t12": 1796374390000},
	}
}

// expectReadable expects that a build of protocol 0 reads from a text what it reads from the
// golden one: its fields are the same, and others are only those named.
func expectReadable(text, golden []byte, added ...string) {
	var now, then map[string]json.RawMessage
	Expect(json.Unmarshal(text, &now)).To(Succeed())
	Expect(json.Unmarshal(golden, &then)).To(Succeed())
	for name, value := range then {
		Expect(string(now[name])).To(MatchJSON(value), name)
	}
	for name := range now {
		Expect(then[name] != nil || slices.Contains(added, name)).To(BeTrue(), "field %q is new: a build of protocol 0 must be able to skip it", name)
	}
}

// Guards an upgrade and a rollback, in which builds of protocol 0 run beside this one.
var _ = Describe("messages and rows of builds of protocol 0", func() {
	encode := func(v any) []byte {
		text, err := json.Marshal(v)
		Expect(err).NotTo(HaveOccurred())
		return text
	}

	It("are read: the state of a VM", func() {
		var message peerMessage
		Expect(json.Unmarshal(protocol0("state"), &message)).To(Succeed())
		Expect(message.received()).To(Equal(protocol0State()))
	})

	It("are written: the state of a VM, with fields that they skip", func() {
		state := protocol0State()
		state.StoreFailing, state.Copies.Address, state.Age = true, "10.1.0.40:7341", time.Second
		state.Outliers.Ejections = []outlier.Ejection{{Target: outlier.Target{ID: "t13", StartedMs: 1}, Level: 1, Remaining: time.Second}}
		message := encodePeerState(state)
		message.Urgent, message.AgeMs = true, 3
		expectReadable(encode(message), protocol0("state"), "copies", "store_failing", "urgent", "age_ms", "outliers")
	})

	It("are answered: a query of the state of the store", func() {
		var query peerMessage
		Expect(json.Unmarshal(protocol0("query"), &query)).To(Succeed())
		Expect(query.Query).To(BeEquivalentTo(5))
		reply := peerMessage{VM: "vm-1", Query: query.Query, State: &state{Era: 2, ConfigRow: 7, ConfigAgeMs: 30, TargetsHash: 1<<64 - 1, TargetsAgeMs: 40}}
		expectReadable(encode(reply), protocol0("reply"))
	})

	It("are read and written: the row of a VM", func() {
		var record vmRecord
		Expect(json.Unmarshal(protocol0("vm-row"), &record)).To(Succeed())
		Expect(record).To(Equal(vmRecord{Zone: "a", PeerAddress: "10.1.0.40:7340"}))
		record.Protocol = 1
		expectReadable(encode(record), protocol0("vm-row"), "protocol")
	})

	It("are read and written: the row of the placement lease", func() {
		var record placementlease.Record
		Expect(json.Unmarshal(protocol0("lease-row"), &record)).To(Succeed())
		Expect(record).To(Equal(placementlease.Record{Holder: "vm-1", UntilMs: 12000, Era: 2}))
		expectReadable(encode(record), protocol0("lease-row"))
	})

	It("are read and written: the row of content that crashes targets", func() {
		var record contentRecord
		Expect(json.Unmarshal(protocol0("content-row"), &record)).To(Succeed())
		state := protocol0State()
		stored := director.StoredContent{Process: 7, Quarantines: state.Quarantines, LostAnswers: state.LostAnswers, Answers: state.Answers}
		want := encodeContent(stored, 2, 90*time.Second, time.UnixMilli(1796374390000))
		Expect(record).To(Equal(want))
		expectReadable(encode(want), protocol0("content-row"))
	})

	// Guards against a list of VMs that an upgraded VM leaves with its earlier protocol, or a
	// VM that was rolled back with the later one.
	It("state no protocol, so that the row of a VM changes with its build", func() {
		Expect(strings.Contains(string(protocol0("vm-row")), "protocol")).To(BeFalse())
		Expect(string(encode(vmRecord{Zone: "a", PeerAddress: "10.1.0.40:7340", Protocol: 1}))).NotTo(Equal(strings.TrimSpace(string(protocol0("vm-row")))))
	})
})
