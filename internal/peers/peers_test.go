package peers_test

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/event"
	"tamarackreach/internal/fakes/fakenet"
	"tamarackreach/internal/model"
)

func TestPeers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peers")
}

// recorder counts how often the nodes of a network log a peer as suspected or dead, and
// measures the time from the acceptance of a change until it is in force.
type recorder struct {
	*fakenet.Network
	suspected, dead int
	accepted        map[model.Revision]model.Instant
	inForce         []time.Duration
}

func newRecorder(nodes int, seed uint64) *recorder {
	r := &recorder{Network: fakenet.NewNetwork(nodes, seed), accepted: make(map[model.Revision]model.Instant)}
	arrivals := make(map[model.Revision][]model.Instant)
	r.Effect = func(_ int, effect event.Effect) {
		switch effect := effect.(type) {
		case event.LogChange:
			if effect.Message == "peer is suspect" {
				r.suspected++
			}
			if effect.Message == "peer is dead" {
				r.dead++
			}
		case event.AnswerChange:
			r.accepted[effect.Revision] = r.Now
			for _, at := range arrivals[effect.Revision] {
				r.inForce = append(r.inForce, max(0, at.Sub(r.Now)))
			}
		case event.SettingsInForce:
			if at, ok := r.accepted[effect.Revision]; ok {
				r.inForce = append(r.inForce, r.Now.Sub(at))
				return
			}
			arrivals[effect.Revision] = append(arrivals[effect.Revision], r.Now)
		}
	}
	return r
}

// makeChanges proposes changes at a rate per day to random nodes.
func (r *recorder) makeChanges(length time.Duration, perDay int, random *rand.Rand) {
	gap := 24 * time.Hour / time.Duration(perDay)
	for i := range int(length / gap) {
		id := fmt.Sprintf("m%d", i)
		r.Send(random.IntN(len(r.Nodes)), 0, event.ChangeProposed{Request: model.RequestID(id), Change: event.Change{
			ID: model.ChangeID(id), Team: "a", Author: "operator", Reason: "a change of the day",
			Edits: []event.Edit{{Path: "models/" + id, Value: json.RawMessage(`{"versions":["2025-01","2025-02"],"layers":80}`)}},
		}})
		r.Run(gap)
	}
}

// detectionTime freezes a node and returns how long it takes until no other node
// considers it alive; the limit if it takes longer.
func (r *recorder) detectionTime(frozenNode int) time.Duration {
	const step, limit = 50 * time.Millisecond, 30 * time.Second
	r.Nodes[frozenNode].Frozen = true
	start := r.Now
	for r.Now.Sub(start) < limit {
		r.Run(step)
		consideredAlive := slices.ContainsFunc(r.Nodes, func(n *fakenet.Node) bool {
			peer, known := n.State.Peers().Get(r.Nodes[frozenNode].State.Config().Node)
			return n != r.Nodes[frozenNode] && known && peer.Status == event.PeerAlive
		})
		if !consideredAlive {
			break
		}
	}
	return r.Now.Sub(start)
}

var _ = Describe("membership", func() {
	It("finds all entry VMs, detects a dead one and removes it", func() {
		r := newRecorder(40, 7)
		r.LossPerMille = 10
		r.Run(time.Minute)
		for _, node := range r.Nodes {
			Expect(node.State.Peers().All()).To(HaveLen(39))
		}
		r.Nodes[7].Frozen = true
		r.Run(2 * time.Second)
		r.Nodes[7].Frozen = false
		r.Run(time.Minute)
		Expect(r.dead).To(BeZero(), "neither message loss nor a short pause marks a node dead")
		Expect(r.detectionTime(9)).To(BeNumerically("<", 10*time.Second))
		r.Run(3 * time.Minute)
		for i, node := range r.Nodes {
			if i != 9 {
				Expect(node.State.Peers().All()).To(HaveLen(38))
			}
		}
	})
})

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// wireOverheadBytes is the size of headers, acknowledgements and encryption of one
// message, as reported by BenchmarkPings of package peerlink.
const wireOverheadBytes = 115

// BenchmarkScaling reports the cost of heartbeats and the time until settings are in
// force for 4, 40 and 410 nodes. With all messages lost, each node polls the
// platform on its own.
func BenchmarkScaling(b *testing.B) {
	const seed, length, changesPerDay = 1, time.Minute, 48_000
	for _, nodes := range []int{4, 40, 410} {
		for _, lossPerMille := range []int{0, 10, 1000} {
			b.Run(fmt.Sprintf("nodes=%d/loss=%d‰", nodes, lossPerMille), func(b *testing.B) {
				for range b.N {
					heap := heapBytes()
					r := newRecorder(nodes, seed)
					r.LossPerMille = lossPerMille
					r.Run(time.Minute)
					r.Messages, r.Bytes, r.Reads, r.suspected = 0, 0, 0, 0
					cpu := cpuTime()
					r.makeChanges(length, changesPerDay, rand.New(rand.NewPCG(seed, seed)))
					cpu = cpuTime() - cpu
					perNodeS := float64(nodes) * length.Seconds()
					b.ReportMetric(float64(r.Messages)/perNodeS, "msg/s/node")
					b.ReportMetric(float64(r.Bytes)/perNodeS, "B/s/node")
					b.ReportMetric(float64(r.Bytes+r.Messages*wireOverheadBytes)/perNodeS, "wire-B/s/node")
					b.ReportMetric(float64(r.Reads)/length.Seconds(), "reads/s")
					b.ReportMetric(100*cpu.Seconds()/perNodeS, "%core/node")
					b.ReportMetric(float64(int64(heapBytes()-heap)/int64(nodes))/1024, "KiB/node")
					b.ReportMetric(float64(r.suspected), "suspicions/min")
					slices.Sort(r.inForce)
					for _, part := range []float64{0.5, 0.99, 1} {
						at := int(math.Ceil(part*float64(len(r.inForce)))) - 1
						b.ReportMetric(float64(r.inForce[at].Milliseconds()), fmt.Sprintf("ms-in-force-p%g", 100*part))
					}
					b.ReportMetric(float64(len(r.inForce))/float64(nodes*len(r.accepted)), "in-force/expected")
					if lossPerMille < 1000 {
						r.suspected = 0
						r.Nodes[nodes-1].Frozen = true
						r.Run(2 * time.Second)
						r.Nodes[nodes-1].Frozen = false
						r.Run(10 * time.Second)
						b.ReportMetric(float64(r.suspected), "suspicions/2s-pause")
						b.ReportMetric(r.detectionTime(nodes-1).Seconds(), "s-detection")
					}
				}
			})
		}
	}
}
