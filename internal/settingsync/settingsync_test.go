package settingsync_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/event"
	"tamarackreach/internal/fakes/fakenet"
	"tamarackreach/internal/model"
	"tamarackreach/internal/settingsync"
)

func TestSettingsync(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settingsync")
}

// maxPropagation is the required bound on the time from the acceptance of a change
// until it is in force on every node.
const maxPropagation = 3 * time.Second

// propose sends a node a change that adds a model.
func propose(n *fakenet.Network, node int, id string) {
	n.Send(node, 0, event.ChangeProposed{Request: model.RequestID(id), Change: event.Change{
		ID: model.ChangeID(id), Team: "a", Author: "x", Reason: "y",
		Edits: []event.Edit{{Path: "models/" + id, Value: json.RawMessage(`{"versions":["1"],"layers":4}`)}},
	}})
}

// revisions returns the revision in force on each node; -1 for a node that is not
// ready.
func revisions(n *fakenet.Network) []int {
	var all []int
	for _, node := range n.Nodes {
		if !node.State.Ready() {
			all = append(all, -1)
			continue
		}
		all = append(all, int(node.State.Follower().Revision()))
	}
	return all
}

func expectNoFault(n *fakenet.Network) {
	GinkgoHelper()
	for _, node := range n.Nodes {
		Expect(node.Regression).To(BeEmpty())
	}
}

// startNetwork starts four nodes and returns them ready, with the given number of
// changes in force.
func startNetwork(changes int) *fakenet.Network {
	GinkgoHelper()
	n := fakenet.NewNetwork(4, 7)
	n.Run(5 * time.Second)
	Expect(revisions(n)).To(HaveEach(0), "nodes of a new cluster are ready at revision 0")
	for i := range changes {
		propose(n, i%4, fmt.Sprintf("c%d", i))
		n.Run(maxPropagation)
	}
	Expect(revisions(n)).To(HaveEach(changes))
	return n
}

var _ = Describe("settings replication", func() {
	It("is not ready while neither the platform nor a peer supplies settings", func() {
		n := fakenet.NewNetwork(4, 7)
		n.Platform.Down = true
		n.Run(time.Minute)
		Expect(revisions(n)).To(HaveEach(-1))
		n.Platform.Down = false
		n.Run(5 * time.Second)
		Expect(revisions(n)).To(HaveEach(0))
	})

	It("brings a change into force within the bound on a slow platform", func() {
		n := startNetwork(1)
		n.PlatformDelay = 500 * time.Millisecond
		propose(n, 0, "slow")
		n.Run(maxPropagation)
		Expect(revisions(n)).To(HaveEach(2))
		expectNoFault(n)
	})

	// Guards against a change that was reported as accepted and is in force nowhere: the
	// node that committed it still had to read it back when the platform failed.
	It("brings an accepted change into force when the platform fails at that moment", func() {
		n := startNetwork(1)
		n.Effect = func(_ int, effect event.Effect) {
			switch effect := effect.(type) {
			case event.AnswerChange:
				Expect(effect.Fault).To(BeNil())
				n.Platform.Down = true
			case event.ReadRows:
				readsChanges := effect.Prefix != ""
				n.Platform.Down = n.Platform.Down || readsChanges
			}
		}
		propose(n, 0, "last")
		n.Run(maxPropagation)
		Expect(n.Platform.Down).To(BeTrue())
		Expect(revisions(n)).To(HaveEach(2))
		n.Platform.Down = false
		n.Effect = nil
		propose(n, 1, "next")
		n.Run(maxPropagation)
		Expect(revisions(n)).To(HaveEach(3))
		for _, node := range n.Nodes {
			Expect(node.State.Follower().Alarms()).To(BeEmpty())
			Expect(node.State.Follower().Digest()).To(Equal(n.Nodes[0].State.Follower().Digest()))
		}
		expectNoFault(n)
	})

	It("starts a replacement node from its peers during a long platform outage", func() {
		n := startNetwork(3)
		n.Platform.Down = true
		n.Run(time.Hour)
		n.Start(2, 4)
		n.Run(maxPropagation)
		Expect(revisions(n)).To(HaveEach(3))
		age := n.Now.Sub(n.Nodes[2].State.Follower().ConfirmedAt())
		Expect(age).To(BeNumerically(">=", 59*time.Minute), "settings from a peer keep the age reported by the peer")
		expectNoFault(n)
	})

	It("starts a replacement node from the snapshot and later changes", func() {
		n := fakenet.NewNetwork(1, 7)
		n.Run(5 * time.Second)
		for i := range 258 {
			propose(n, 0, fmt.Sprintf("c%d", i))
			n.Run(10 * time.Millisecond)
		}
		n.Run(maxPropagation)
		Expect(revisions(n)).To(HaveEach(258))
		rows := 0
		n.Effect = func(_ int, effect event.Effect) {
			if read, ok := effect.(event.ReadRows); ok && read.Prefix != "" {
				rows += len(n.Platform.Table.Scan(read.Prefix, read.StartKey, int(read.Limit)))
			}
		}
		digest := n.Nodes[0].State.Follower().Digest()
		n.Start(0, 1)
		n.Run(5 * time.Second)
		Expect(revisions(n)).To(HaveEach(258))
		Expect(n.Nodes[0].State.Follower().Digest()).To(Equal(digest))
		Expect(rows).To(BeNumerically("<=", 6))
	})

	It("does not follow a platform restored with an older head", func() {
		n := startNetwork(2)
		old := n.Platform.Table.Read([]string{settingsync.HeadKey})[0]
		propose(n, 1, "newest")
		n.Run(maxPropagation)
		now := n.Platform.Table.Read([]string{settingsync.HeadKey})[0]
		_, conflicts := n.Platform.Table.Transact(nil, []event.Write{
			{Key: settingsync.HeadKey, Value: old.Value}, {Key: settingsync.ChangeKey(3), Delete: true},
		})
		Expect(conflicts).To(BeEmpty())
		n.Start(3, 4)
		n.Run(10 * time.Second)
		Expect(revisions(n)).To(HaveEach(3))
		for _, node := range n.Nodes {
			Expect(node.State.Follower().Alarms()).NotTo(BeEmpty())
		}
		var refusal *event.AnswerChange
		n.Effect = func(_ int, effect event.Effect) {
			if answer, ok := effect.(event.AnswerChange); ok {
				refusal = &answer
			}
		}
		propose(n, 0, "refused")
		n.Run(maxPropagation)
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Fault.Code).To(BeEquivalentTo("settings_diverged"))
		n.Platform.Table.Transact(nil, []event.Write{{Key: settingsync.HeadKey, Value: now.Value}})
		n.Run(10 * time.Second)
		Expect(n.Nodes[0].State.Follower().Alarms()).To(BeEmpty())
		expectNoFault(n)
	})

	It("answers an operator when a known revision cannot be fetched from anywhere", func() {
		n := startNetwork(1)
		n.Send(0, 0, event.PeerHeartbeatReceived{From: "entry-gone", Incarnation: 1, Reply: true, Revision: 9})
		n.Run(time.Second)
		var refusal *event.AnswerChange
		n.Effect = func(_ int, effect event.Effect) {
			if answer, ok := effect.(event.AnswerChange); ok {
				refusal = &answer
			}
		}
		propose(n, 0, "behind")
		n.Run(11 * time.Second)
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Fault).NotTo(BeNil())
	})

	It("exchanges no changes between nodes with different changes under the same revision", func() {
		n := startNetwork(2)
		digest := n.Nodes[2].State.Follower().Digest()
		row := n.Platform.Table.Read([]string{settingsync.ChangeKey(2)})[0]
		var change event.Change
		Expect(json.Unmarshal(row.Value, &change)).To(Succeed())
		change.ID = "other"
		other, err := json.Marshal(change)
		Expect(err).NotTo(HaveOccurred())
		n.Platform.Table.Transact(nil, []event.Write{{Key: settingsync.ChangeKey(2), Value: other}})
		n.Run(maxPropagation)
		for _, node := range n.Nodes {
			Expect(node.State.Follower().Alarms()).To(ContainElement(ContainSubstring("another change")))
			Expect(node.State.Follower().Digest()).To(Equal(digest))
		}
		n.Partitioned[fakenet.Zone(2)] = true
		for _, i := range []int{0, 1, 3} {
			n.Start(i, 4)
		}
		n.Run(10 * time.Second)
		delete(n.Partitioned, fakenet.Zone(2))
		propose(n, 0, "on-the-other")
		n.Run(time.Minute)
		Expect(revisions(n)).To(Equal([]int{3, 3, 2, 3}))
		Expect(n.Nodes[2].State.Follower().Digest()).To(Equal(digest))
		for _, node := range n.Nodes {
			Expect(node.State.Follower().Alarms()).To(ContainElement(ContainSubstring("differ")))
		}
		expectNoFault(n)
	})

	It("keeps serving in a partitioned zone and catches up after the partition heals", func() {
		n := startNetwork(2)
		n.Partitioned[fakenet.Zone(1)] = true
		propose(n, 0, "during")
		n.Run(time.Minute)
		Expect(revisions(n)).To(Equal([]int{3, 2, 3, 3}))
		partitioned := n.Nodes[1].State.NodeStatuses()[0]
		Expect(partitioned.SettingsAgeMs).To(BeNumerically(">=", 59*1000))
		Expect(n.Nodes[0].State.NodeStatuses()[1].State).To(Equal("dead"))
		delete(n.Partitioned, fakenet.Zone(1))
		n.Run(maxPropagation)
		Expect(revisions(n)).To(HaveEach(3))
		n.Run(10 * time.Second)
		Expect(n.Nodes[0].State.NodeStatuses()[1].State).To(Equal("alive"))
		expectNoFault(n)
	})

	It("catches up on a node that was frozen", func() {
		n := startNetwork(1)
		n.Nodes[2].Frozen = true
		n.Run(20 * time.Second)
		propose(n, 0, "while-frozen")
		n.Run(20 * time.Second)
		n.Nodes[2].Frozen = false
		n.Run(maxPropagation)
		Expect(revisions(n)).To(HaveEach(2))
		expectNoFault(n)
	})
})
