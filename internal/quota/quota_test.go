package quota_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/fakes"
	"tamarackreach/internal/model"
	"tamarackreach/internal/quota"
	"tamarackreach/internal/settings"
	"tamarackreach/internal/timer"
)

// wholeQuota is the full quota, in per mille.
const wholeQuota = 1000

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	// A fixed seed makes runs reproducible.
	Expect(flag.Set("rapid.seed", "7")).To(Succeed())
	RunSpecs(t, "quota")
}

// node is an entry VM with the effects that have not been answered.
type node struct {
	id          model.NodeID
	incarnation model.Incarnation
	shares      *quota.Shares
	c           *decision.Context
	unanswered  []event.Effect
}

// cluster is a set of entry VMs and a platform, with messages that may be lost,
// delayed or duplicated.
type cluster struct {
	now      model.Instant
	platform *fakes.Platform
	view     *settings.View
	nodes    []*node
	// delayed holds effects that their sender has abandoned and that may still be
	// executed.
	delayed    []event.Effect
	heartbeats []event.PeerHeartbeatReceived
	seed       uint64
	// fixedSlots is true when process settings assign a slot to each node.
	fixedSlots bool
}

func newCluster(nodes int, fixedSlots bool) *cluster {
	tree := settings.NewTree()
	tree.Teams["t"] = &settings.Team{Workspaces: make(map[model.WorkspaceID]*settings.Workspace)}
	for _, id := range []model.WorkspaceID{"w1", "w2"} {
		tree.Teams["t"].Workspaces[id] = &settings.Workspace{SharesTokensPerS: map[model.PipelineID]uint32{"p": 1000}}
	}
	w := &cluster{platform: fakes.NewPlatform(), view: settings.NewView(tree), fixedSlots: fixedSlots}
	for i := range nodes {
		w.nodes = append(w.nodes, &node{id: model.NodeID(fmt.Sprint("n", i))})
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	return w
}

// start starts a new incarnation of a node; effects of the previous one may still
// be executed.
func (w *cluster) start(n *node) {
	w.delayed = append(w.delayed, n.unanswered...)
	w.seed++
	n.incarnation++
	n.unanswered = nil
	n.c = &decision.Context{Now: w.now, Timers: timer.New(), Rand: rand.New(rand.NewPCG(w.seed, 0))}
	n.shares = quota.New(n.id, n.incarnation, uint32(len(w.nodes)), w.slotOf(n))
	n.shares.Start(n.c)
	n.collect()
}

// slotOf returns the slot that the process settings assign to a node, or NoSlot.
func (w *cluster) slotOf(n *node) uint32 {
	if !w.fixedSlots {
		return quota.NoSlot
	}
	var others []model.NodeID
	for _, other := range w.nodes {
		if other != n {
			others = append(others, other.id)
		}
	}
	return quota.FixedSlot(n.id, others, uint32(len(w.nodes)))
}

func (n *node) collect() {
	for _, effect := range n.c.Effects {
		if _, log := effect.(event.LogChange); !log {
			n.unanswered = append(n.unanswered, effect)
		}
	}
	n.c.Effects = nil
}

// answer answers an effect of a node. With the fate "answered" the effect is executed
// and answered, with "lost" it is executed and its answer is lost, and with "delayed"
// the node abandons it and it may be executed later.
func (w *cluster) answer(n *node, at int, fate string) {
	effect := n.unanswered[at]
	n.unanswered = slices.Delete(n.unanswered, at, at+1)
	answer := event.Event(event.ReadFailed{})
	if transact, ok := effect.(event.Transact); ok {
		answer = event.TransactionUnknown{Transaction: transact.Transaction}
	}
	if fate == "delayed" {
		w.delayed = append(w.delayed, effect)
	} else if real, ok := w.platform.Answer(effect); ok && fate == "answered" {
		answer = real
	}
	switch answer := answer.(type) {
	case event.RowsRead:
		n.shares.RowsRead(n.c, answer)
	case event.TransactionDone:
		n.shares.TransactionDone(n.c, answer)
	case event.TransactionUnknown:
		n.shares.TransactionUnknown(answer)
	}
	n.collect()
}

func (w *cluster) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, n := range w.nodes {
		n.c.Now = w.now
		if _, due := n.c.Timers.PopDue(w.now); due {
			n.shares.TimerDue(n.c, w.view)
		}
		n.collect()
	}
}

// settle advances time with every message and answer delivered, except for those
// of partitioned nodes.
func (w *cluster) settle(seconds int, partitioned map[model.NodeID]bool, consume func(n *node)) {
	for range seconds {
		w.advance(time.Second)
		for _, n := range w.nodes {
			consume(n)
			for len(n.unanswered) > 0 {
				w.answer(n, 0, map[bool]string{false: "answered", true: "delayed"}[partitioned[n.id]])
			}
			for _, peer := range w.nodes {
				if !partitioned[n.id] && !partitioned[peer.id] {
					peer.shares.MergeNotes(w.now, n.id, n.shares.Notes(w.now))
				}
			}
		}
	}
}

func (w *cluster) sendHeartbeat(n *node) {
	w.heartbeats = append(w.heartbeats, event.PeerHeartbeatReceived{From: n.id, Quotas: n.shares.Notes(w.now)})
}

func (w *cluster) sum(id model.WorkspaceID) (sum uint32) {
	for _, n := range w.nodes {
		sum += n.shares.PerMille(id)
	}
	return sum
}

var _ = Describe("shares of a quota", func() {
	It("never sum to more than the quota when messages are lost, delayed or duplicated and nodes replaced", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newCluster(rapid.IntRange(2, 4).Draw(t, "nodes"), rapid.Bool().Draw(t, "fixed"))
			w.settle(5, nil, func(*node) {})
			replaced := 0
			seldom := func(t *rapid.T) bool { return rapid.IntRange(0, 9).Draw(t, "seldom") == 0 }
			pick := func() *node { return rapid.SampledFrom(w.nodes).Draw(t, "node") }
			answer := func(t *rapid.T) {
				n := pick()
				if len(n.unanswered) > 0 {
					fate := rapid.SampledFrom([]string{"answered", "answered", "answered", "lost", "delayed"}).Draw(t, "fate")
					w.answer(n, rapid.IntRange(0, len(n.unanswered)-1).Draw(t, "at"), fate)
				}
			}
			t.Repeat(map[string]func(*rapid.T){
				"answer": answer, "answer2": answer, "answer3": answer, "answer4": answer, "answer5": answer,
				"pass": func(t *rapid.T) { w.advance(time.Duration(rapid.IntRange(1, 5).Draw(t, "s")) * time.Second) },
				"consume": func(t *rapid.T) {
					id := rapid.SampledFrom([]model.WorkspaceID{"w1", "w1", "w1", "w2"}).Draw(t, "workspace")
					n := pick()
					n.shares.Take(w.now, id, "p", 1000, rapid.Uint32Range(1000, 8000).Draw(t, "tokens"))
					w.sendHeartbeat(n)
				},
				"deliver all": func(*rapid.T) {
					for _, n := range w.nodes {
						for _, note := range w.heartbeats[max(0, len(w.heartbeats)-len(w.nodes)):] {
							n.shares.MergeNotes(w.now, note.From, note.Quotas)
						}
					}
					w.advance(5 * time.Second)
				},
				"send": func(*rapid.T) { w.sendHeartbeat(pick()) },
				"deliver": func(t *rapid.T) {
					if len(w.heartbeats) > 0 {
						note := rapid.SampledFrom(w.heartbeats).Draw(t, "note")
						pick().shares.MergeNotes(w.now, note.From, note.Quotas)
					}
				},
				"late effect": func(t *rapid.T) {
					if len(w.delayed) > 0 {
						at := rapid.IntRange(0, len(w.delayed)-1).Draw(t, "at")
						w.platform.Answer(w.delayed[at])
						w.delayed = slices.Delete(w.delayed, at, at+1)
					}
				},
				"restart": func(t *rapid.T) {
					if seldom(t) {
						w.start(pick())
					}
				},
				"replace": func(t *rapid.T) {
					if !seldom(t) {
						return
					}
					n := pick()
					n.shares.Release(n.c)
					n.collect()
					replaced++
					n.id = model.NodeID(fmt.Sprint("new", replaced))
					w.start(n)
				},
				"": func(t *rapid.T) {
					for _, id := range []model.WorkspaceID{"w1", "w2"} {
						if w.sum(id) > wholeQuota {
							t.Fatalf("shares of %s sum to %d of %d", id, w.sum(id), wholeQuota)
						}
					}
				},
			})
		})
	})

	consumeAt := func(busy model.NodeID) func(n *node) {
		return func(n *node) {
			if n.id == busy {
				n.shares.Take(n.c.Now, "w1", "p", 1000, 700)
			}
		}
	}

	It("move to the node with the demand and back", func() {
		w := newCluster(4, false)
		w.settle(40, nil, consumeAt("n0"))
		Expect(w.nodes[0].shares.PerMille("w1")).To(BeNumerically(">=", 700))
		Expect(w.sum("w1")).To(BeNumerically("<=", wholeQuota))
		w.settle(60, nil, consumeAt("n2"))
		Expect(w.nodes[2].shares.PerMille("w1")).To(BeNumerically(">=", 700))
	})

	It("give a replaced node the minimum share of a fixed slot while the platform is down", func() {
		for fixed, want := range map[bool]uint32{true: 62, false: 0} {
			w := newCluster(4, fixed)
			w.settle(5, nil, func(*node) {})
			w.platform.Down = true
			w.start(w.nodes[1])
			Expect(w.nodes[1].shares.PerMille("w1")).To(Equal(want))
		}
	})

	It("stay with a partitioned node", func() {
		w := newCluster(4, false)
		w.settle(5, nil, func(*node) {})
		partitioned := map[model.NodeID]bool{"n3": true}
		w.settle(60, partitioned, consumeAt("n0"))
		Expect(w.nodes[3].shares.PerMille("w1")).To(Equal(uint32(250)))
		Expect(w.sum("w1")).To(BeNumerically("<=", wholeQuota))
		Expect(w.nodes[0].shares.PerMille("w1")).To(BeNumerically(">", 500))
	})
})
