// Package fakenet is a fake network of entry VMs: real reducers over a fake
// platform, with delay, loss, cuts and frozen nodes.
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
	oneWay        = time.Millisecond
	platformDelay = 2 * time.Millisecond
	frozenRetry   = 50 * time.Millisecond
	// epochMs is a wall clock of today, so that encoded times have their size.
	epochMs = 1_764_000_000_000
)

type delivery struct {
	to   int
	life model.Incarnation
	ev   event.Event
}

// Node is an entry VM of a fake network.
type Node struct {
	State  *reducer.State
	Frozen bool
	// Floor is the highest revision that the node ever served under.
	Floor model.Revision
	// Fault tells how the node broke that floor.
	Fault string
	armed model.Instant
}

// Network runs entry VMs in one goroutine on a fake clock, with delay and loss
// between them and one platform.
type Network struct {
	Now      model.Instant
	Nodes    []*Node
	Platform *fakes.Platform
	// LossPerMille is the part of the messages between nodes that is lost.
	LossPerMille int
	// Cut is true for zones that reach neither the others nor the platform.
	Cut map[model.AvailabilityZone]bool
	// PlatformDelay is added to each answer of the platform.
	PlatformDelay time.Duration
	// Messages, Bytes and Reads count messages, their encoded bytes and reads.
	Messages, Bytes, Reads int
	// Effect is called for each effect of a node.
	Effect func(node int, effect event.Effect)

	order    *timer.Set
	waiting  map[string]delivery
	sequence uint64
	rand     *rand.Rand
	life     model.Incarnation
}

// NewNetwork starts nodes in three zones; each knows the first few as seeds.
func NewNetwork(nodes int, seed uint64) *Network {
	n := &Network{
		Platform: fakes.NewPlatform(), rand: rand.New(rand.NewPCG(seed, 0)),
		order: timer.New(), life: epochMs, waiting: make(map[string]delivery), Cut: make(map[model.AvailabilityZone]bool),
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

// Start replaces a node by a new incarnation that knows nothing.
func (n *Network) Start(i, nodes int) {
	const seeds = 4
	n.life++
	cfg := reducer.Config{Node: nodeID(i), Zone: Zone(i), Incarnation: n.life, PeerAddress: address(i), Seed: uint64(i + 1)}
	for j := range min(seeds, nodes) {
		cfg.Seeds = append(cfg.Seeds, peers.Contact{Node: nodeID(j), Address: address(j)})
	}
	*n.Nodes[i] = Node{State: reducer.New(cfg), Floor: n.Nodes[i].Floor}
	n.Send(i, time.Duration(n.rand.Int64N(int64(time.Second))), event.NodeStarted{})
}

// Send hands an event to the present incarnation of a node after a delay.
func (n *Network) Send(to int, after time.Duration, ev event.Event) {
	n.sequence++
	id := strconv.FormatUint(n.sequence, 10)
	n.waiting[id] = delivery{to: to, life: n.Nodes[to].State.Config().Incarnation, ev: ev}
	n.order.Put(timer.Key{ID: id}, n.Now.Add(after))
}

// Run lets time pass.
func (n *Network) Run(d time.Duration) {
	end := n.Now.Add(d)
	for at, ok := n.order.Next(); ok && at <= end; at, ok = n.order.Next() {
		key, _ := n.order.PopDue(at)
		n.Now = at
		n.deliver(n.waiting[key.ID])
		delete(n.waiting, key.ID)
	}
	n.Now = end
}

func (n *Network) deliver(next delivery) {
	node := n.Nodes[next.to]
	if next.life != node.State.Config().Incarnation {
		return
	}
	if node.Frozen {
		n.Send(next.to, frozenRetry, next.ev)
		return
	}
	if _, tick := next.ev.(event.Tick); tick {
		node.armed = 0
	}
	for _, effect := range node.State.Reduce(n.Now, epochMs+time.Duration(n.Now).Milliseconds(), next.ev) {
		n.carryOut(next.to, effect)
	}
	node.check()
	if due, ok := node.State.NextTimer(); ok && (node.armed == 0 || due < node.armed) {
		node.armed = max(due, n.Now)
		n.Send(next.to, max(0, due.Sub(n.Now)), event.Tick{})
	}
}

// check notes a node that serves below a revision it has served under, in this
// incarnation or an earlier one.
func (node *Node) check() {
	revision := node.State.Follower().Revision()
	if !node.State.Ready() {
		return
	}
	if revision < node.Floor {
		node.Fault = fmt.Sprintf("%s served at %d after %d", node.State.Config().Node, revision, node.Floor)
	}
	node.Floor = max(node.Floor, revision)
}

func (n *Network) carryOut(from int, effect event.Effect) {
	if n.Effect != nil {
		n.Effect(from, effect)
	}
	cfg := n.Nodes[from].State.Config()
	if to, message := peerlink.Encode(cfg.Node, cfg.Incarnation, effect); message != nil {
		n.transmit(from, to, message, cfg.PeerAddress)
		return
	}
	down := n.Platform.Down
	n.Platform.Down = down || n.Cut[Zone(from)]
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
	separated := Zone(from) != Zone(target) && (n.Cut[Zone(from)] || n.Cut[Zone(target)])
	if err != nil || separated || n.rand.IntN(1000) < n.LossPerMille {
		return
	}
	n.Send(target, oneWay+time.Duration(n.rand.Int64N(int64(oneWay))), peerlink.Decode(message, address))
}
