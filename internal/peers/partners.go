package peers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/model"
)

// maxPartners is the number of peers of the own zone, and as many of the other
// zones, that a node starts to talk to. A handshake costs as much as many
// messages, so that a node keeps to the same partners; what they know reaches
// every node in a few steps.
const maxPartners = 16

type ranked struct {
	node model.NodeID
	rank uint64
}

// partners returns the live peers inside or outside the own zone that this node
// talks to: those with the lowest rank by rendezvous hashing, so that a change
// of the members changes few pairs.
func (m *Members) partners(sameZone bool) []model.NodeID {
	var candidates []ranked
	for _, id := range m.order {
		peer := m.peers[id]
		if isLive(peer) && (peer.Zone == m.self.Zone) == sameZone {
			candidates = append(candidates, ranked{node: id, rank: xxhash.Sum64String(string(m.self.Node) + "/" + string(id))})
		}
	}
	slices.SortFunc(candidates, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	chosen := make([]model.NodeID, 0, maxPartners)
	for _, candidate := range candidates[:min(maxPartners, len(candidates))] {
		chosen = append(chosen, candidate.node)
	}
	return chosen
}

// shuffled draws an order of the partners inside or outside the own zone. When
// there are none, the others take their place.
func (m *Members) shuffled(c *decision.Context, sameZone bool) []model.NodeID {
	wanted := m.partners(sameZone)
	if len(wanted) == 0 {
		wanted = m.partners(!sameZone)
	}
	c.Rand.Shuffle(len(wanted), func(i, j int) { wanted[i], wanted[j] = wanted[j], wanted[i] })
	return wanted
}
