package reducer

import (
	"fmt"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/peers"
)

// NodeStatuses returns the known state of the entry VMs, this node first.
func (s *State) NodeStatuses() []*tamarackv1.NodeStatus {
	own := event.PeerAlive
	if s.shuttingDown {
		own = event.PeerLeaving
	}
	statuses := []*tamarackv1.NodeStatus{{
		NodeId:        string(s.config.Node),
		Zone:          string(s.config.Zone),
		Incarnation:   uint64(s.config.Incarnation),
		Revision:      uint64(s.follower.Revision()),
		InForceUnixMs: s.follower.InForceUnixMs(),
		State:         peers.StatusName(own),
		SettingsAgeMs: uint64(s.settingsAge(s.follower.ConfirmedAt()).Milliseconds()),
	}}
	for _, peer := range s.peers.All() {
		statuses = append(statuses, &tamarackv1.NodeStatus{
			NodeId:        string(peer.Node),
			Zone:          string(peer.Zone),
			Incarnation:   uint64(peer.Incarnation),
			Revision:      uint64(peer.Revision),
			InForceUnixMs: peer.InForceUnixMs,
			State:         peers.StatusName(peer.Status),
			SettingsAgeMs: uint64(s.settingsAge(peer.ConfirmedAt).Milliseconds()),
		})
	}
	return statuses
}

// Explain describes how a request in progress was routed; nil if the request is
// unknown.
func (s *State) Explain(id model.RequestID) []string {
	request, ok := s.requests[id]
	if !ok {
		return nil
	}
	steps := []string{fmt.Sprintf("attempt %d on pipeline %s, %d tokens delivered", request.CurrentAttempt, request.Pipeline, len(request.Tokens))}
	for _, hop := range request.Chain {
		steps = append(steps, fmt.Sprintf("layers %s on %s (incarnation %d)", hop.Layers, hop.Target, hop.Incarnation))
	}
	return steps
}
