package operatorapi

import (
	"context"
	"encoding/json"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/reducer"
	"tamarackreach/internal/targets"
)

// ChangeOf converts a message to a change.
func ChangeOf(message *tamarackv1.Change) event.Change {
	change := event.Change{
		ID:             model.ChangeID(message.GetId()),
		Team:           model.TeamID(message.GetTeam()),
		Author:         message.GetAuthor(),
		Reason:         message.GetReason(),
		BaseRevision:   model.Revision(message.GetBaseRevision()),
		Revision:       model.Revision(message.GetRevision()),
		AcceptedUnixMs: message.GetAcceptedUnixMs(),
	}
	for _, edit := range message.GetEdits() {
		change.Edits = append(change.Edits, event.Edit{Path: edit.Path, Value: json.RawMessage(edit.ValueJson)})
	}
	return change
}

// ChangeMessage converts a change to its message.
func ChangeMessage(change event.Change) *tamarackv1.Change {
	message := &tamarackv1.Change{
		Id:             string(change.ID),
		Team:           string(change.Team),
		Author:         change.Author,
		Reason:         change.Reason,
		BaseRevision:   uint64(change.BaseRevision),
		Revision:       uint64(change.Revision),
		AcceptedUnixMs: change.AcceptedUnixMs,
	}
	for _, edit := range change.Edits {
		message.Edits = append(message.Edits, &tamarackv1.Edit{Path: edit.Path, ValueJson: string(edit.Value)})
	}
	return message
}

func treeJSON(state *reducer.State) (string, error) {
	data, err := json.Marshal(state.Follower().View().Tree())
	if err != nil {
		return "", errors.Wrap(err, "encode settings tree")
	}
	return string(data), nil
}

// Status returns the revision in force on each node, the targets and the alarms.
func (s *Server) Status(_ context.Context, request *connect.Request[tamarackv1.StatusRequest]) (*connect.Response[tamarackv1.StatusResponse], error) {
	if _, err := s.team(request.Header()); err != nil {
		return nil, err
	}
	response := &tamarackv1.StatusResponse{}
	s.query(func(state *reducer.State) { fillStatus(state, response) })
	return connect.NewResponse(response), nil
}

func fillStatus(state *reducer.State, response *tamarackv1.StatusResponse) {
	follower := state.Follower()
	response.HeadRevision = uint64(follower.Head())
	response.PlatformUnavailable = !follower.PlatformUp()
	response.Alarms = follower.Alarms()
	response.Nodes = state.NodeStatuses()
	table := state.Targets()
	for _, id := range table.IDs() {
		target, _ := table.Get(id)
		response.Targets = append(response.Targets, targetStatus(target))
	}
}

func targetStatus(target *targets.Target) *tamarackv1.TargetStatus {
	return &tamarackv1.TargetStatus{
		TargetId:    string(target.ID),
		Incarnation: uint64(target.Incarnation),
		State:       stateName(target),
		Zone:        string(target.Zone),
		Accelerator: string(target.Accelerator),
		Model:       string(target.Model),
		Version:     string(target.Version),
		Layers:      &tamarackv1.LayerRange{First: target.Layers.First, End: target.Layers.End},
		Queued:      target.Queued,
	}
}

func stateName(target *targets.Target) string {
	switch target.Status {
	case event.TargetLeaving:
		return "leaving"
	case event.TargetGone:
		return "gone"
	case event.TargetLive:
	}
	if target.Usable() {
		return "live"
	}
	return "unreachable"
}
