package peers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/model"
)

// maxPartners is the maximum number of peers of the node's own zone, and again of
// the other zones, that a node sends messages to on its own initiative. A handshake
// costs as much as many messages, so a node keeps the same partners; information
// still reaches every node over a few hops.
const maxPartners = 16

// rankedNode is a node with its rank by rendezvous hashing.
type rankedNode struct {
	node model.NodeID
	rank uint64
}

// partners returns the partners of this node inside or outside its zone: the live
// peers with the lowest rank by rendezvous hashing, so that a change of membership
// changes few pairs.
func (m *Members) partners(sameZone bool) []model.NodeID {
	var candidates []rankedNode
	for _, id := range m.sortedIDs {
		peer := m.peers[id]
		if isLive(peer) && (peer.Zone == m.self.Zone) == sameZone {
			candidates = append(candidates, rankedNode{node: id, rank: xxhash.Sum64String(string(m.self.Node) + "/" + string(id))})
		}
	}
	slices.SortFunc(candidates, func(a, b rankedNode) int { return cmp.Compare(a.rank, b.rank) })
	chosen := make([]model.NodeID, 0, maxPartners)
	for _, candidate := range candidates[:min(maxPartners, len(candidates))] {
		chosen = append(chosen, candidate.node)
	}
	return chosen
}

// shuffledPartners returns the partners inside or outside the node's zone in random
// order. If there are none, it returns those of the other kind.
func (m *Members) shuffledPartners(c *decision.Context, sameZone bool) []model.NodeID {
	shuffled := m.partners(sameZone)
	if len(shuffled) == 0 {
		shuffled = m.partners(!sameZone)
	}
	c.Rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled
}
