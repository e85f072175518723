// Package operatorapi serves the RPCs of operators: it authenticates their team,
// posts changes as events and answers queries of the node's state.
package operatorapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"connectrpc.com/connect"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/gen/tamarack/v1/tamarackv1connect"
	"tamarackreach/internal/config"
	"tamarackreach/internal/event"
	"tamarackreach/internal/fault"
	"tamarackreach/internal/model"
	"tamarackreach/internal/reducer"
	"tamarackreach/internal/rpc"
)

const bearer = "Bearer "

// Server implements the operator API.
type Server struct {
	post     func(event.Event)
	query    func(func(*reducer.State))
	table    RowReader
	teams    map[string]model.TeamID
	sequence atomic.Uint64

	mu      sync.Mutex
	pending map[model.RequestID]chan event.AnswerChange
}

var _ tamarackv1connect.OperatorServiceHandler = (*Server)(nil)

// RowReader reads one row of the table service; the version of an absent row is 0.
type RowReader interface {
	ReadRow(ctx context.Context, key string) (model.Row, error)
}

// New returns a server for the teams of a configuration. Changes are passed to
// post; query runs a function on the node's state.
func New(operators []config.Operator, post func(event.Event), query func(func(*reducer.State)), table RowReader) *Server {
	teams := make(map[string]model.TeamID, len(operators))
	for _, operator := range operators {
		teams[strings.ToLower(operator.TokenSHA256)] = operator.Team
	}
	return &Server{post: post, query: query, table: table, teams: teams, pending: make(map[model.RequestID]chan event.AnswerChange)}
}

// Handler returns the HTTP handler.
func (s *Server) Handler(options ...connect.HandlerOption) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(tamarackv1connect.NewOperatorServiceHandler(s, options...))
	return mux
}

// team returns the team whose token the request carries.
func (s *Server) team(header http.Header) (model.TeamID, error) {
	token := strings.TrimPrefix(header.Get("Authorization"), bearer)
	hash := sha256.Sum256([]byte(token))
	team, ok := s.teams[hex.EncodeToString(hash[:])]
	if !ok {
		return "", rpc.Error(&fault.Fault{
			Kind: fault.NotRun, Code: fault.BadKey, Message: "the team token is not known",
			Remedy: "give the token of a team that the node's configuration lists",
		})
	}
	return team, nil
}

// postAndWait posts the event made for a new request id and waits for its answer.
func (s *Server) postAndWait(ctx context.Context, makeEvent func(model.RequestID) event.Event) (event.AnswerChange, error) {
	id := model.RequestID("operator-" + strconv.FormatUint(s.sequence.Add(1), 10))
	answers := make(chan event.AnswerChange, 1)
	s.mu.Lock()
	s.pending[id] = answers
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.pending, id)
		s.mu.Unlock()
	}()
	s.post(makeEvent(id))
	select {
	case <-ctx.Done():
		return event.AnswerChange{}, ctx.Err()
	case answer := <-answers:
		if answer.Fault != nil {
			return answer, rpc.Error(answer.Fault)
		}
		return answer, nil
	}
}

// Answer completes a pending change or drain with its outcome.
func (s *Server) Answer(effect event.AnswerChange) {
	s.mu.Lock()
	answers, ok := s.pending[effect.Request]
	s.mu.Unlock()
	if ok {
		answers <- effect
	}
}

// Apply proposes a change.
func (s *Server) Apply(ctx context.Context, request *connect.Request[tamarackv1.ApplyRequest]) (*connect.Response[tamarackv1.ApplyResponse], error) {
	team, err := s.team(request.Header())
	if err != nil {
		return nil, err
	}
	change := ChangeOf(request.Msg.GetChange())
	if refusal := checkChange(change, team); refusal != nil {
		return nil, rpc.Error(refusal)
	}
	answer, err := s.postAndWait(ctx, func(id model.RequestID) event.Event {
		return event.ChangeProposed{Request: id, Change: change}
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&tamarackv1.ApplyResponse{Revision: uint64(answer.Revision)}), nil
}

func checkChange(change event.Change, team model.TeamID) *fault.Fault {
	if change.Team != team {
		return &fault.Fault{
			Kind: fault.NotRun, Code: fault.WrongTeam, Message: "the token is of team " + string(team) + ", the change of team " + string(change.Team),
			Remedy: "change your own team's subtree only",
		}
	}
	if change.ID == "" || len(change.Edits) == 0 {
		return &fault.Fault{
			Kind: fault.NotRun, Code: fault.ChangeInvalid, Message: "the change has no id or no edits",
			Remedy: "give a change id of your own choice and at least one edit",
		}
	}
	return nil
}

// GetSettings returns the settings tree in force and its revision.
func (s *Server) GetSettings(_ context.Context, request *connect.Request[tamarackv1.GetSettingsRequest]) (*connect.Response[tamarackv1.GetSettingsResponse], error) {
	if _, err := s.team(request.Header()); err != nil {
		return nil, err
	}
	response := &tamarackv1.GetSettingsResponse{}
	var err error
	s.query(func(state *reducer.State) {
		response.Revision = uint64(state.Follower().Revision())
		response.TreeJson, err = treeJSON(state)
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

// defaultHistory is the number of changes listed when the request states no limit.
const defaultHistory = 20

// History lists accepted changes, newest first.
func (s *Server) History(_ context.Context, request *connect.Request[tamarackv1.HistoryRequest]) (*connect.Response[tamarackv1.HistoryResponse], error) {
	if _, err := s.team(request.Header()); err != nil {
		return nil, err
	}
	limit := int(request.Msg.Limit)
	if limit == 0 {
		limit = defaultHistory
	}
	response := &tamarackv1.HistoryResponse{}
	s.query(func(state *reducer.State) {
		history := state.Follower().History()
		for i := len(history) - 1; i >= 0 && len(response.Changes) < limit; i-- {
			if from := request.Msg.FromRevision; from == 0 || uint64(history[i].Revision) <= from {
				response.Changes = append(response.Changes, ChangeMessage(history[i]))
			}
		}
	})
	return connect.NewResponse(response), nil
}

// Drain marks a target as leaving.
func (s *Server) Drain(ctx context.Context, request *connect.Request[tamarackv1.DrainRequest]) (*connect.Response[tamarackv1.DrainResponse], error) {
	if _, err := s.team(request.Header()); err != nil {
		return nil, err
	}
	_, err := s.postAndWait(ctx, func(id model.RequestID) event.Event {
		return event.DrainRequested{Request: id, Target: model.TargetID(request.Msg.TargetId)}
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&tamarackv1.DrainResponse{}), nil
}

// Explain returns the routing steps of a request.
func (s *Server) Explain(_ context.Context, request *connect.Request[tamarackv1.ExplainRequest]) (*connect.Response[tamarackv1.ExplainResponse], error) {
	if _, err := s.team(request.Header()); err != nil {
		return nil, err
	}
	response := &tamarackv1.ExplainResponse{}
	s.query(func(state *reducer.State) {
		response.Steps = state.Explain(model.RequestID(request.Msg.RequestId))
	})
	return connect.NewResponse(response), nil
}
