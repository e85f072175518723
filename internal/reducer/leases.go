package reducer

import (
	"maps"
	"slices"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/timer"
)

// trackLeases tracks one lease for each pipeline of the settings in force and
// schedules its reconciliation with what the targets hold, at once and then at
// regular intervals.
func (s *State) trackLeases(c *decision.Context) {
	view := s.follower.View()
	pipelines := slices.Sorted(maps.Keys(view.Pipelines()))
	s.leases.Track(c, pipelines)
	for _, id := range pipelines {
		c.After(timer.OrderRetry, string(id), 0)
	}
	s.orders.Prune(func(id model.TargetID) bool {
		_, known := s.targets.Get(id)
		return known
	})
}

// liveNodes returns the entry VMs that are considered alive, including this node.
func (s *State) liveNodes() []model.NodeID {
	nodes := []model.NodeID{s.config.Node}
	for _, peer := range s.peers.All() {
		if peer.Status == event.PeerAlive {
			nodes = append(nodes, peer.Node)
		}
	}
	return nodes
}
