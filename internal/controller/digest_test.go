package controller

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/ingress"
	"tamarackreach/internal/loadview"
	"tamarackreach/internal/model"
	"tamarackreach/internal/outlier"
	"tamarackreach/internal/zonedigest"
	"tamarackreach/platform"
)

var _ = Describe("the digest of a zone as a message", func() {
	digest := zonedigest.Digest{
		Zone: "b", Sender: "vm-1", Loads: loadview.Loads{"t": {Requests: 3, TokenLayers: 1e5, Waiting: 2, First: 1}},
		Members: []zonedigest.Member{
			{State: director.PeerState{VM: "vm-1", Zone: "b", Process: 7, Uptime: time.Hour, Isolated: true, Demand: map[model.ServiceID]float64{"llm": 12.5}, Suspects: map[model.TargetID]director.Suspicion{"s": {Remaining: time.Second}}}},
			{State: director.PeerState{VM: "vm-2", Zone: "b", Relay: director.Relay{VM: "vm-2", Address: "10.1.0.40:7340", Secret: "8f3a"}, Suspects: map[model.TargetID]director.Suspicion{}}, Age: 150 * time.Millisecond},
		},
	}
	encoded := func() []byte {
		text, err := encodeDigest(&digest, 99)
		Expect(err).NotTo(HaveOccurred())
		return text
	}
	newPeersOf := func(zone model.AvailabilityZone) (*peers, *ingress.Reducer) {
		reducer := ingress.NewReducer(director.New(director.Settings{VM: "vm-9", Zone: zone}))
		return newPeers(&platform.Settings{VM: "vm-9", Zone: zone}, reducer, nil, func([]director.Effect) {}), reducer
	}

	It("round-trips", func() {
		text := encoded()
		number, err := digestNumber(text)
		Expect(err).NotTo(HaveOccurred())
		Expect(number).To(BeEquivalentTo(99))
		decoded, err := decodeDigest(text)
		Expect(err).NotTo(HaveOccurred())
		Expect(*decoded).To(Equal(digest))
	})

	// Guards against a digest that a build without digests takes for the state of a VM, as it
	// does with any JSON object.
	It("is no JSON, so that earlier builds skip it", func() {
		var message peerMessage
		Expect(json.Unmarshal(encoded(), &message)).NotTo(Succeed())
	})

	It("is applied once, however many copies arrive", func() {
		p, reducer := newPeersOf("a")
		for range 3 {
			p.received(encoded(), nil)
		}
		Expect(p.counts.digestsReceived.Load()).To(BeEquivalentTo(1))
		var known int
		reducer.Read(func(s *director.State) { known, _ = s.KnownVMs(model.Instant(1)) })
		Expect(known).To(Equal(2))
	})

	It("says nothing to the VMs of its own zone", func() {
		p, reducer := newPeersOf("b")
		p.received(encoded(), nil)
		var known int
		reducer.Read(func(s *director.State) { known, _ = s.KnownVMs(model.Instant(1)) })
		Expect(known).To(BeZero())
	})

	DescribeTable("is skipped and counted when it cannot be read",
		func(text []byte, reason int) {
			p, reducer := newPeersOf("a")
			p.received(text, nil)
			Expect(p.counts.skipped[reason].Load()).To(BeEquivalentTo(1))
			var known int
			reducer.Read(func(s *director.State) { known, _ = s.KnownVMs(model.Instant(1)) })
			Expect(known).To(BeZero())
		},
		Entry("empty", []byte{}, skippedUnknownKind),
		Entry("a kind of a later build", []byte{9, 1, 2, 3}, skippedUnknownKind),
		Entry("cut in its number", []byte{digestKind, 1, 2}, skippedInvalid),
		Entry("cut in its body", func() []byte { text, _ := encodeDigest(&digest, 1); return text[:len(text)/2] }(), skippedInvalid),
		Entry("no digest in its body", append([]byte{digestKind}, make([]byte, 40)...), skippedInvalid),
		Entry("JSON without a sender", []byte(`{"zone":"a"}`), skippedInvalid),
		Entry("JSON cut short", []byte(`{"vm":"vm-1",`), skippedInvalid),
	)

	// Pattern: 34 VMs of a zone, each with load on all of its targets, during a crash that all
	// of them suspect, while more targets answer with errors than a VM states.
	It("fits into a datagram for the largest zone", func() {
		c := zonedigest.NewCollector()
		var own director.PeerState
		for i := range 34 {
			own = director.PeerState{VM: model.NodeID(jsonName("front-zone", i)), Zone: "b", Demand: map[model.ServiceID]float64{"llm": 12.34, "orders": 101.25}, Loads: map[model.TargetID]director.Load{}, Suspects: map[model.TargetID]director.Suspicion{}, Signs: map[model.TargetID]director.Sign{}}
			for k := range 1000 {
				own.Loads[model.TargetID(jsonName("i", k*7919))] = director.Load{Requests: 1 + (k*i)%120, TokenLayers: float64(k * 7919 % 1e6), First: k % 7}
			}
			for k := range 40 {
				own.Suspects[model.TargetID(jsonName("i", k*7919))] = director.Suspicion{Remaining: time.Duration(i*k) * time.Millisecond, Age: time.Second}
			}
			for k := range 16 {
				faulty := outlier.Target{ID: model.TargetID(jsonName("i", (50+k)*7919)), StartedMs: 1796374390000 + int64(k*977)}
				own.Outliers.Counts = append(own.Outliers.Counts, outlier.Count{
					Target: faulty, Results: outlier.Tallies{{Errors: i * k % 5, Results: 5 + i%7}, {Errors: i * k % 9, Results: 20 + i*k%13}}, LastError: time.Duration(i*k*31%4000) * time.Millisecond,
				})
				faulty.ID += "0"
				own.Outliers.Ejections = append(own.Outliers.Ejections, outlier.Ejection{
					Target: faulty, Level: 1 + i*k%4, Remaining: time.Duration(i*k*17%3200) * time.Millisecond, Age: time.Duration(i*k*13%3200) * time.Millisecond,
				})
			}
			own.Outliers.Good = map[outlier.Group][2]int{{Service: "llm"}: {i, 3 * i}, {Service: "llm", Later: true}: {2 * i, 5 * i}}
			c.Put(model.Instant(1), own)
		}
		d := c.Digest(model.Instant(1), own)
		text, err := encodeDigest(&d, 1)
		Expect(err).NotTo(HaveOccurred())
		AddReportEntry("bytes", len(text))
		Expect(len(text)).To(BeNumerically("<", maxMessageBytes))
	})
})

func jsonName(prefix string, i int) string {
	text, _ := json.Marshal(i) // integers always encode
	return prefix + "-" + string(text)
}
