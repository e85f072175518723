// Package commit gets proposed settings changes accepted: one table transaction
// advances the head, writes the change and a row that settles a lost answer.
//
// A change is accepted if no change since the revision its author looked at
// wrote a path that it writes, and if the whole tree passes its checks with the
// change made on the head that the transaction replaces. The condition on the
// head row makes the check and the write one step.
package commit

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/fault"
	"tamarackreach/internal/model"
	"tamarackreach/internal/settings"
	"tamarackreach/internal/spread"
	"tamarackreach/internal/timer"
)

const (
	transactionPrefix = "commit/"
	// settleWithin is how long an operator waits for the fate of a change.
	settleWithin = 10 * time.Second
	// readRetry is the time between two reads that settle a lost answer.
	readRetry = 300 * time.Millisecond
	// platformRetryAfter tells operators when to come back after an outage.
	platformRetryAfter = 5 * time.Second
)

type proposal struct {
	request  model.RequestID
	change   event.Change
	deadline model.Instant
	// revision is what the change becomes if the transaction sent last commits.
	revision model.Revision
	// waitingFor is the head that must be in force here before the next try.
	waitingFor model.Revision
}

// Committer holds the changes whose fate is not known yet.
type Committer struct {
	follower  *spread.Follower
	proposals map[model.ChangeID]*proposal
}

// New returns a committer over the settings of a follower.
func New(follower *spread.Follower) *Committer {
	return &Committer{follower: follower, proposals: make(map[model.ChangeID]*proposal)}
}

// Owns is true for the transactions and reads that a committer issued.
func Owns(id string) bool { return strings.HasPrefix(id, transactionPrefix) }

// Propose takes in a change from an operator.
func (m *Committer) Propose(c *decision.Context, ev event.ChangeProposed) {
	if _, busy := m.proposals[ev.Change.ID]; busy {
		answer(c, ev.Request, &fault.Fault{
			Kind: fault.InDoubt, Code: fault.ChangeInDoubt,
			Message:    "a change with this id is being decided",
			Remedy:     "ask for its fate with tamarackctl change -id " + string(ev.Change.ID),
			RetryAfter: readRetry,
		})
		return
	}
	change := ev.Change
	if change.BaseRevision == 0 {
		change.BaseRevision = m.follower.Revision()
	}
	p := &proposal{request: ev.Request, change: change, deadline: c.Now.Add(settleWithin)}
	m.proposals[change.ID] = p
	m.try(c, p)
}

// try validates the change against the settings in force and sends it.
func (m *Committer) try(c *decision.Context, p *proposal) {
	if revision, found := m.ownRevision(p); found {
		m.accepted(c, p, revision)
		return
	}
	if head := m.follower.Head(); head > m.follower.Revision() {
		p.waitingFor = head
		c.After(timer.ChangeRetry, string(p.change.ID), settleWithin)
		m.follower.Heard(c, head)
		return
	}
	if refusal := m.validate(p); refusal != nil {
		m.end(c, p, refusal)
		return
	}
	next := p.change
	next.Revision = m.follower.Revision() + 1
	next.AcceptedUnixMs = c.UnixMs
	p.revision = next.Revision
	c.After(timer.ChangeRetry, string(p.change.ID), settleWithin)
	c.Emit(event.Transact{
		Transaction: transactionPrefix + string(p.change.ID),
		Conditions: []event.Condition{
			{Key: spread.HeadKey, Version: m.follower.HeadVersion()},
			{Key: spread.IDKey(next.ID)},
			{Key: spread.ChangeKey(next.Revision)},
		},
		Writes: []event.Write{
			{Key: spread.HeadKey, Value: encode(spread.RevisionRow{Revision: next.Revision})},
			{Key: spread.IDKey(next.ID), Value: encode(spread.RevisionRow{Revision: next.Revision})},
			{Key: spread.ChangeKey(next.Revision), Value: encode(next)},
		},
	})
}

// ownRevision finds the change among those in force: a transaction whose answer
// was lost may have committed it.
func (m *Committer) ownRevision(p *proposal) (model.Revision, bool) {
	later, _ := m.follower.Since(p.change.BaseRevision)
	for i := range later {
		if later[i].ID == p.change.ID {
			return later[i].Revision, true
		}
	}
	return 0, false
}

// validate returns why the change cannot be accepted on the settings in force.
func (m *Committer) validate(p *proposal) *fault.Fault {
	tree := m.follower.View().Tree()
	later, ok := m.follower.Since(p.change.BaseRevision)
	if !ok {
		return &fault.Fault{
			Kind: fault.NotRun, Code: fault.ChangeConflict,
			Message: fmt.Sprintf("base revision %d is too old to compare with", p.change.BaseRevision),
			Remedy:  "read the settings again and propose the change on them",
		}
	}
	written := settings.WriteSet(&p.change)
	for i := range later {
		if path, conflict := settings.FirstConflict(written, &later[i]); conflict {
			return conflictFault(&later[i], path)
		}
	}
	candidate, problems := tree.Apply(&p.change)
	if len(problems) == 0 {
		problems = candidate.Check()
	}
	if len(problems) > 0 {
		return invalidFault(problems)
	}
	return nil
}

func conflictFault(winner *event.Change, path string) *fault.Fault {
	return &fault.Fault{
		Kind: fault.NotRun, Code: fault.ChangeConflict,
		Message: fmt.Sprintf("change %s by team %s, accepted as revision %d, wrote %s", winner.ID, winner.Team, winner.Revision, path),
		Remedy:  fmt.Sprintf("look at it with tamarackctl change -revision %d and propose again", winner.Revision),
	}
}

func invalidFault(problems []settings.Problem) *fault.Fault {
	lines := make([]string, 0, len(problems))
	for _, problem := range problems {
		lines = append(lines, problem.String())
	}
	return &fault.Fault{
		Kind: fault.NotRun, Code: fault.ChangeInvalid,
		Message: strings.Join(lines, "\n"),
		Remedy:  "correct each path named and propose again",
	}
}

// TransactionDone takes in the answer of a commit.
func (m *Committer) TransactionDone(c *decision.Context, ev event.TransactionDone) {
	p, ok := m.proposals[changeID(ev.Transaction)]
	if !ok {
		return
	}
	if ev.Committed {
		m.follower.SawHead(c, p.revision, ev.Version)
		m.accepted(c, p, p.revision)
		return
	}
	for _, row := range ev.Conflicts {
		if row.Key == spread.IDKey(p.change.ID) && row.Version != 0 {
			m.acceptedAs(c, p, row)
			return
		}
	}
	for _, row := range ev.Conflicts {
		if row.Key == spread.HeadKey {
			m.headMoved(c, p, row)
			return
		}
	}
	m.follower.Poll(c)
}

// headMoved tries again once the head that won is in force here, and later when
// the table holds an older head than this node knows of.
func (m *Committer) headMoved(c *decision.Context, p *proposal, row model.Row) {
	var head spread.RevisionRow
	if err := json.Unmarshal(row.Value, &head); err != nil {
		m.end(c, p, doubtFault(p.change.ID))
		return
	}
	if !m.follower.SawHead(c, head.Revision, row.Version) {
		c.After(timer.ChangeRetry, string(p.change.ID), readRetry)
		return
	}
	m.try(c, p)
}

// accepted answers the operator. The follower fetches the change itself, so
// that what is in force is always what the table holds.
func (m *Committer) accepted(c *decision.Context, p *proposal, revision model.Revision) {
	m.remove(c, p)
	c.Emit(event.AnswerChange{Request: p.request, Revision: revision})
	m.follower.Heard(c, revision)
}

func (m *Committer) acceptedAs(c *decision.Context, p *proposal, row model.Row) {
	var found spread.RevisionRow
	if err := json.Unmarshal(row.Value, &found); err != nil {
		m.end(c, p, doubtFault(p.change.ID))
		return
	}
	m.accepted(c, p, found.Revision)
}

// TransactionUnknown takes in that the answer of a commit was lost.
func (m *Committer) TransactionUnknown(c *decision.Context, ev event.TransactionUnknown) {
	p, ok := m.proposals[changeID(ev.Transaction)]
	if !ok {
		return
	}
	m.readBack(c, p)
}

func (m *Committer) readBack(c *decision.Context, p *proposal) {
	c.Emit(event.ReadRows{
		Read: transactionPrefix + string(p.change.ID),
		Keys: []string{spread.IDKey(p.change.ID)},
	})
}

// RowsRead takes in the row that settles a lost answer. An absent row leaves
// the change undecided: the same transaction is sent again, and its condition
// on the id row keeps it from being accepted twice.
func (m *Committer) RowsRead(c *decision.Context, ev event.RowsRead) {
	p, ok := m.proposals[changeID(ev.Read)]
	if !ok {
		return
	}
	if len(ev.Rows) > 0 && ev.Rows[0].Version != 0 {
		m.acceptedAs(c, p, ev.Rows[0])
		return
	}
	m.try(c, p)
}

// ReadFailed takes in that a settling read got no answer.
func (m *Committer) ReadFailed(c *decision.Context, ev event.ReadFailed) {
	p, ok := m.proposals[changeID(ev.Read)]
	if !ok {
		return
	}
	if c.Now >= p.deadline {
		m.end(c, p, doubtFault(p.change.ID))
		return
	}
	c.After(timer.ChangeRetry, string(p.change.ID), readRetry)
}

// RetryDue fires for a change whose fate is still open.
func (m *Committer) RetryDue(c *decision.Context, id model.ChangeID) {
	p, ok := m.proposals[id]
	if !ok {
		return
	}
	if c.Now >= p.deadline {
		m.end(c, p, doubtFault(id))
		return
	}
	m.readBack(c, p)
}

// RevisionInForce goes on with the changes that waited for a newer revision.
func (m *Committer) RevisionInForce(c *decision.Context, revision model.Revision) {
	for _, id := range slices.Sorted(maps.Keys(m.proposals)) {
		p := m.proposals[id]
		if p.waitingFor == 0 || revision < p.waitingFor || revision < m.follower.Head() {
			continue
		}
		p.waitingFor = 0
		m.try(c, p)
	}
}

func (m *Committer) end(c *decision.Context, p *proposal, refusal *fault.Fault) {
	m.remove(c, p)
	answer(c, p.request, refusal)
}

func (m *Committer) remove(c *decision.Context, p *proposal) {
	delete(m.proposals, p.change.ID)
	c.Stop(timer.ChangeRetry, string(p.change.ID))
}

func answer(c *decision.Context, request model.RequestID, refusal *fault.Fault) {
	c.Emit(event.AnswerChange{Request: request, Fault: refusal})
}

func doubtFault(id model.ChangeID) *fault.Fault {
	return &fault.Fault{
		Kind: fault.InDoubt, Code: fault.ChangeInDoubt,
		Message:    "the table service did not say whether the change was accepted",
		Remedy:     "ask for its fate with tamarackctl change -id " + string(id),
		RetryAfter: platformRetryAfter,
	}
}

func changeID(transaction string) model.ChangeID {
	return model.ChangeID(strings.TrimPrefix(transaction, transactionPrefix))
}

// encode marshals a row value; the row types always marshal.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
