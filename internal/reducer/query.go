package reducer

import (
	"fmt"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/model"
)

// NodeStatuses returns what this node knows of the entry VMs.
func (s *State) NodeStatuses() []*tamarackv1.NodeStatus {
	age := s.context.Now.Sub(s.follower.Confirmed())
	return []*tamarackv1.NodeStatus{{
		NodeId:        string(s.config.Node),
		Zone:          string(s.config.Zone),
		Incarnation:   uint64(s.config.Incarnation),
		Revision:      uint64(s.follower.Revision()),
		InForceUnixMs: s.follower.InForceUnixMs(),
		State:         "alive",
		SettingsAgeMs: uint64(age.Milliseconds()),
	}}
}

// Explain tells how a request in progress was routed.
func (s *State) Explain(id model.RequestID) []string {
	request, ok := s.requests[id]
	if !ok {
		return nil
	}
	steps := []string{fmt.Sprintf("attempt %d on pipeline %s, %d tokens delivered", request.Number, request.Pipeline, len(request.Tokens))}
	for _, hop := range request.Chain {
		steps = append(steps, fmt.Sprintf("layers %s on %s (incarnation %d)", hop.Layers, hop.Target, hop.Incarnation))
	}
	return steps
}
