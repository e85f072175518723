package zonedigest_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/loadview"
	"tamarackreach/internal/model"
	"tamarackreach/internal/outlier"
	"tamarackreach/internal/targetlimit"
	"tamarackreach/internal/zonedigest"
)

func TestZonedigest(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "zonedigest")
}

const start = model.Instant(time.Hour)

func state(vm model.NodeID, requests int) director.PeerState {
	return director.PeerState{
		VM: vm, Zone: "a", Uptime: time.Minute,
		Loads:       map[model.TargetID]director.Load{"t": {Requests: requests, TokenLayers: 10, Waiting: 1, First: 1}},
		Suspects:    map[model.TargetID]director.Suspicion{"s": {Remaining: time.Second, Age: time.Second}},
		Signs:       map[model.TargetID]director.Sign{"g": {Age: time.Second}},
		Limits:      map[model.TargetID]director.TargetLimit{"l": {Shared: targetlimit.Shared{PerSecond: 2, Age: time.Second}}},
		Quarantines: []director.Quarantine{{Cause: 3, Remaining: time.Second, Age: time.Second}},
		LostAnswers: []director.LostAnswer{{Cause: 4, Age: time.Second}},
		Answers:     []director.AnsweredPart{{Part: 5, Age: time.Second}},
		Backoffs:    []director.Backoff{{VM: vm, Target: "b", Remaining: time.Second}},
		Outliers: outlier.Observations{
			Counts:    []outlier.Count{{Target: outlier.Target{ID: "c"}, LastError: time.Second}, {Target: outlier.Target{ID: "d"}, LastError: -1}},
			Ejections: []outlier.Ejection{{Target: outlier.Target{ID: "c"}, Remaining: time.Second, Age: time.Second}},
		},
	}
}

var _ = Describe("the digest of a zone", func() {
	It("sums the loads of its VMs, and keeps the rest of each state", func() {
		c := zonedigest.NewCollector()
		c.Put(start, state("vm-1", 3))
		c.Put(start, state("vm-2", 4))
		c.Put(start.Add(time.Second), state("vm-2", 5))
		d := c.Digest(start.Add(time.Second), state("vm-3", 1))
		Expect(d.Sender).To(BeEquivalentTo("vm-3"))
		Expect(d.Loads).To(Equal(loadview.Loads{"t": {Requests: 9, TokenLayers: 30, Waiting: 3, First: 3}}))
		Expect(d.Members).To(HaveLen(3))
		for _, m := range d.Members {
			Expect(m.State.Loads).To(BeNil())
		}
		Expect(d.Members[1].Age).To(Equal(time.Second))
	})

	It("leaves out a VM that has sent nothing for a while", func() {
		c := zonedigest.NewCollector()
		c.Put(start, state("vm-1", 3))
		d := c.Digest(start.Add(loadview.Expiry+1), state("vm-3", 1))
		Expect(d.Loads["t"].Requests).To(Equal(1))
		Expect(d.Members).To(HaveLen(1))
	})

	// Guards against a suspicion, a quarantine or a backoff that lasts longer with each VM
	// that passes it on.
	It("counts the time at its sender for every duration in a state", func() {
		original := state("vm-1", 3)
		c := zonedigest.NewCollector()
		c.Put(start, original)
		const by = 300 * time.Millisecond
		d := c.Digest(start.Add(by), state("vm-3", 1))
		got := d.Received().Members[1]
		Expect(got.Age).To(Equal(by))
		Expect(got.Uptime).To(Equal(time.Minute + by))
		Expect(got.Suspects["s"]).To(Equal(director.Suspicion{Remaining: time.Second - by, Age: time.Second + by}))
		Expect(got.Signs["g"].Age).To(Equal(time.Second + by))
		Expect(got.Limits["l"].Age).To(Equal(time.Second + by))
		Expect(got.Quarantines[0].Remaining).To(Equal(time.Second - by))
		Expect(got.Quarantines[0].Age).To(Equal(time.Second + by))
		Expect(got.LostAnswers[0].Age).To(Equal(time.Second + by))
		Expect(got.Answers[0].Age).To(Equal(time.Second + by))
		Expect(got.Backoffs[0].Remaining).To(Equal(time.Second - by))
		Expect(got.Outliers.Counts[0].LastError).To(Equal(time.Second + by))
		Expect(got.Outliers.Counts[1].LastError).To(BeNumerically("<", 0), "without an error")
		Expect(got.Outliers.Ejections[0].Remaining).To(Equal(time.Second - by))
		Expect(got.Outliers.Ejections[0].Age).To(Equal(time.Second + by))
		Expect(original.Outliers.Ejections[0].Age).To(Equal(time.Second))
		Expect(original.Quarantines[0].Remaining).To(Equal(time.Second), "the collector's state is unchanged")
	})
})
