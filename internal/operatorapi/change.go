package operatorapi

import (
	"context"
	"encoding/json"
	"time"

	"connectrpc.com/connect"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/event"
	"tamarackreach/internal/fault"
	"tamarackreach/internal/model"
	"tamarackreach/internal/reducer"
	"tamarackreach/internal/rpc"
	"tamarackreach/internal/settingsync"
)

// tableRetryAfter is the retry delay given to operators while the table is
// unreachable.
const tableRetryAfter = 5 * time.Second

// GetChange returns one accepted change. A change that this node does not hold in
// memory is read from the table, so that the answer settles a change in doubt.
func (s *Server) GetChange(ctx context.Context, request *connect.Request[tamarackv1.GetChangeRequest]) (*connect.Response[tamarackv1.GetChangeResponse], error) {
	if _, err := s.team(request.Header()); err != nil {
		return nil, err
	}
	id, revision := model.ChangeID(request.Msg.ChangeId), model.Revision(request.Msg.Revision)
	change, found := s.changeInMemory(id, revision)
	if !found {
		var refusal *fault.Fault
		change, refusal = s.changeInTable(ctx, id, revision)
		if refusal != nil {
			return nil, rpc.Error(refusal)
		}
	}
	return connect.NewResponse(&tamarackv1.GetChangeResponse{Change: ChangeMessage(change)}), nil
}

func (s *Server) changeInMemory(id model.ChangeID, revision model.Revision) (change event.Change, found bool) {
	s.query(func(state *reducer.State) {
		for _, accepted := range state.Follower().History() {
			if id != "" && accepted.ID == id || revision != 0 && accepted.Revision == revision {
				change, found = accepted, true
			}
		}
	})
	return change, found
}

func (s *Server) changeInTable(ctx context.Context, id model.ChangeID, revision model.Revision) (event.Change, *fault.Fault) {
	if id != "" {
		var row settingsync.RevisionRow
		if refusal := s.decodeRow(ctx, settingsync.IDKey(id), &row); refusal != nil {
			return event.Change{}, refusal
		}
		revision = row.Revision
	}
	var change event.Change
	refusal := s.decodeRow(ctx, settingsync.ChangeKey(revision), &change)
	return change, refusal
}

// decodeRow reads a settings row from the table and decodes it into a value.
func (s *Server) decodeRow(ctx context.Context, key string, into any) *fault.Fault {
	row, err := s.table.ReadRow(ctx, key)
	switch {
	case err != nil:
		return &fault.Fault{
			Kind: fault.InDoubt, Code: fault.PlatformDown, Message: "the table service did not answer: " + err.Error(),
			Remedy: "ask again", RetryAfter: tableRetryAfter,
		}
	case row.Version == 0:
		return &fault.Fault{
			Kind: fault.NotRun, Code: fault.UnknownRevision, Message: "the table holds no such change",
			Remedy: "see tamarackctl history; a change proposed in the last seconds may still arrive, so ask again before you propose it anew",
		}
	}
	if err := json.Unmarshal(row.Value, into); err != nil {
		return &fault.Fault{
			Kind: fault.InDoubt, Code: fault.UnknownRevision, Message: "row " + key + " is unreadable: " + err.Error(),
			Remedy: "restore the platform's table",
		}
	}
	return nil
}
