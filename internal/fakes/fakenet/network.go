// Package fakenet simulates a network of entry VMs: real reducers over a fake
// platform, with message delay and loss, partitions and frozen nodes.
package fakenet

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/event"
	"tamarackreach/internal/fakes"
	"tamarackreach/internal/model"
	"tamarackreach/internal/peerlink"
	"tamarackreach/internal/peers"
	"tamarackreach/internal/reducer"
	"tamarackreach/internal/timer"
)

const (
	minOneWayDelay      = time.Millisecond
	platformDelay       = 2 * time.Millisecond
	frozenRetryInterval = 50 * time.Millisecond
	// epochMs is the wall clock at the start, a present-day time so that encoded
	// times have a realistic size.
	epochMs = 1_764_000_000_000
)

// delivery is an event for one incarnation of a node.
type delivery struct {
	to          int
	incarnation model.Incarnation
	ev          event.Event
}

// Node is an entry VM of a fake network.
type Node struct {
	State  *reducer.State
	Frozen bool
	// MaxServedRevision is the highest settings revision at which the node was
	// ready, over all its incarnations.
	MaxServedRevision model.Revision
	// Regression describes a time at which the node was ready at a lower revision.
	Regression string
	// nextTick is the time of the earliest scheduled tick; 0 when there is none.
	nextTick model.Instant
}

// Network runs entry VMs in one goroutine on a fake clock, with message delay
// and loss between them and a common platform.
type Network struct {
	Now      model.Instant
	Nodes    []*Node
	Platform *fakes.Platform
	// LossPerMille is the loss rate of messages between nodes, per thousand.
	LossPerMille int
	// Partitioned is true for zones that are partitioned from the other zones and
	// the platform.
	Partitioned map[model.AvailabilityZone]bool
	// PlatformDelay is added to the delay of each response of the platform.
	PlatformDelay time.Duration
	// Messages, Bytes and Reads count the messages between nodes, their encoded
	// bytes and the table reads.
	Messages, Bytes, Reads int
	// Effect is called for each effect of a node.
	Effect func(node int, effect event.Effect)

	queue       *timer.Set
	pending     map[string]delivery
	sequence    uint64
	rand        *rand.Rand
	incarnation model.Incarnation
}

// NewNetwork starts nodes in three zones, with the first nodes as the seeds of
// all.
func NewNetwork(nodes int, seed uint64) *Network {
	n := &Network{
		Platform: fakes.NewPlatform(), rand: rand.New(rand.NewPCG(seed, 0)),
		queue: timer.New(), incarnation: epochMs, pending: make(map[string]delivery), Partitioned: make(map[model.AvailabilityZone]bool),
	}
	for i := range nodes {
		n.Nodes = append(n.Nodes, &Node{})
		n.Start(i, nodes)
	}
	return n
}

// Zone returns the zone of a node.
func Zone(i int) model.AvailabilityZone {
	return model.AvailabilityZone("zone-" + string(rune('a'+i%3)))
}

func nodeID(i int) model.NodeID { return model.NodeID(fmt.Sprintf("entry-%03d", i)) }

func address(i int) string { return fmt.Sprintf("10.20.30.%d:7003", i) }

// Start replaces a node with a new incarnation with empty state, which starts
// within a second. nodes is the size of the network.
func (n *Network) Start(i, nodes int) {
	const seeds = 4
	n.incarnation++
	cfg := reducer.Config{Node: nodeID(i), Zone: Zone(i), Incarnation: n.incarnation, PeerAddress: address(i), Seed: uint64(i + 1)}
	for j := range min(seeds, nodes) {
		cfg.Seeds = append(cfg.Seeds, peers.Contact{Node: nodeID(j), Address: address(j)})
	}
	*n.Nodes[i] = Node{State: reducer.New(cfg), MaxServedRevision: n.Nodes[i].MaxServedRevision}
	n.Send(i, time.Duration(n.rand.Int64N(int64(time.Second))), event.NodeStarted{})
}

// Send schedules an event for the current incarnation of a node after a delay.
func (n *Network) Send(to int, after time.Duration, ev event.Event) {
	n.sequence++
	id := strconv.FormatUint(n.sequence, 10)
	n.pending[id] = delivery{to: to, incarnation: n.Nodes[to].State.Config().Incarnation, ev: ev}
	n.queue.Put(timer.Key{ID: id}, n.Now.Add(after))
}

// Run advances the clock by d and delivers the events that are due.
func (n *Network) Run(d time.Duration) {
	end := n.Now.Add(d)
	for at, ok := n.queue.Next(); ok && at <= end; at, ok = n.queue.Next() {
		key, _ := n.queue.PopDue(at)
		n.Now = at
		n.deliver(n.pending[key.ID])
		delete(n.pending, key.ID)
	}
	n.Now = end
}

func (n *Network) deliver(next delivery) {
	node := n.Nodes[next.to]
	if next.incarnation != node.State.Config().Incarnation {
		return
	}
	if node.Frozen {
		n.Send(next.to, frozenRetryInterval, next.ev)
		return
	}
	if _, tick := next.ev.(event.Tick); tick {
		node.nextTick = 0
	}
	for _, effect := range node.State.Reduce(n.Now, epochMs+time.Duration(n.Now).Milliseconds(), next.ev) {
		n.execute(next.to, effect)
	}
	node.checkRevision()
	if due, ok := node.State.NextTimer(); ok && (node.nextTick == 0 || due < node.nextTick) {
		node.nextTick = max(due, n.Now)
		n.Send(next.to, max(0, due.Sub(n.Now)), event.Tick{})
	}
}

// checkRevision sets Regression if the node is ready at a lower revision than
// before, in this incarnation or an earlier one.
func (node *Node) checkRevision() {
	revision := node.State.Follower().Revision()
	if !node.State.Ready() {
		return
	}
	if revision < node.MaxServedRevision {
		node.Regression = fmt.Sprintf("%s was ready at revision %d after revision %d", node.State.Config().Node, revision, node.MaxServedRevision)
	}
	node.MaxServedRevision = max(node.MaxServedRevision, revision)
}

func (n *Network) execute(from int, effect event.Effect) {
	if n.Effect != nil {
		n.Effect(from, effect)
	}
	cfg := n.Nodes[from].State.Config()
	if to, message := peerlink.Encode(cfg.Node, cfg.Incarnation, effect); message != nil {
		n.transmit(from, to, message, cfg.PeerAddress)
		return
	}
	down := n.Platform.Down
	n.Platform.Down = down || n.Partitioned[Zone(from)]
	answer, ok := n.Platform.Answer(effect)
	n.Platform.Down = down
	if ok {
		n.Send(from, platformDelay+n.PlatformDelay, answer)
	}
	if _, read := effect.(event.ReadRows); read {
		n.Reads++
	}
}

func (n *Network) transmit(from int, to model.NodeID, message *tamarackv1.PeerMessage, address string) {
	n.Messages++
	n.Bytes += proto.Size(message)
	target, err := strconv.Atoi(string(to[len("entry-"):]))
	separated := Zone(from) != Zone(target) && (n.Partitioned[Zone(from)] || n.Partitioned[Zone(target)])
	if err != nil || separated || n.rand.IntN(1000) < n.LossPerMille {
		return
	}
	n.Send(target, minOneWayDelay+time.Duration(n.rand.Int64N(int64(minOneWayDelay))), peerlink.Decode(message, address))
}
