// Package commit commits proposed settings changes with optimistic concurrency
// control. One table transaction advances the head row and writes the change and
// a row under the change's ID; that row shows whether a transaction with an
// unknown result was committed.
//
// A change is accepted if no change after its base revision wrote a path that it
// writes, and if the whole settings tree passes its checks with the change
// applied to the head that the transaction replaces. The condition on the head
// row makes the validation and the write atomic.
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
	"tamarackreach/internal/settingsync"
	"tamarackreach/internal/timer"
)

const (
	transactionPrefix = "commit/"
	// decisionTimeout bounds the time until an operator gets the result of a change.
	decisionTimeout = 10 * time.Second
	// readRetryInterval is the time between two attempts to learn the result of a
	// transaction whose response was lost.
	readRetryInterval = 300 * time.Millisecond
	// platformRetryAfter is the retry delay that operators are given during an
	// outage of the table service.
	platformRetryAfter = 5 * time.Second
)

// proposal is a change whose result is not known yet.
type proposal struct {
	request  model.RequestID
	change   event.Change
	deadline model.Instant
	// revision is the revision of the change if the latest transaction commits; row is
	// the row that the transaction writes for it.
	revision model.Revision
	row      []byte
	// awaitedHead is the revision that must be in force on this node before the
	// next attempt; 0 when the proposal waits for none.
	awaitedHead model.Revision
}

// Committer holds the proposals whose result is not known yet.
type Committer struct {
	follower  *settingsync.Follower
	proposals map[model.ChangeID]*proposal
}

// New returns a committer that validates changes against the follower's settings.
func New(follower *settingsync.Follower) *Committer {
	return &Committer{follower: follower, proposals: make(map[model.ChangeID]*proposal)}
}

// Owns reports whether a committer issued the transaction or read with this ID.
func Owns(id string) bool { return strings.HasPrefix(id, transactionPrefix) }

// Propose starts the commit of a change that an operator sent.
func (m *Committer) Propose(c *decision.Context, ev event.ChangeProposed) {
	if _, busy := m.proposals[ev.Change.ID]; busy {
		answer(c, ev.Request, &fault.Fault{
			Kind: fault.InDoubt, Code: fault.ChangeInDoubt,
			Message:    "a change with this id is being decided",
			Remedy:     "ask for its fate with tamarackctl change -id " + string(ev.Change.ID),
			RetryAfter: readRetryInterval,
		})
		return
	}
	change := ev.Change
	if change.BaseRevision == 0 {
		change.BaseRevision = m.follower.Revision()
	}
	p := &proposal{request: ev.Request, change: change, deadline: c.Now.Add(decisionTimeout)}
	m.proposals[change.ID] = p
	m.attempt(c, p)
}

// attempt validates the change against the settings in force and sends the
// transaction that commits it. If this node is behind the head, it waits until
// the head is in force.
func (m *Committer) attempt(c *decision.Context, p *proposal) {
	if revision, found := m.acceptedRevision(p); found {
		m.accept(c, p, revision)
		return
	}
	if head := m.follower.Head(); head > m.follower.Revision() {
		p.awaitedHead = head
		c.After(timer.ChangeRetry, string(p.change.ID), decisionTimeout)
		m.follower.ObserveRevision(c, head)
		return
	}
	if refusal := m.validate(p); refusal != nil {
		m.refuse(c, p, refusal)
		return
	}
	next := p.change
	next.Revision = m.follower.Revision() + 1
	next.AcceptedUnixMs = c.UnixMs
	p.revision = next.Revision
	p.row = encode(next)
	c.After(timer.ChangeRetry, string(p.change.ID), decisionTimeout)
	c.Emit(event.Transact{
		Transaction: transactionPrefix + string(p.change.ID),
		Conditions: []event.Condition{
			{Key: settingsync.HeadKey, Version: m.follower.HeadVersion()},
			{Key: settingsync.IDKey(next.ID)},
			{Key: settingsync.ChangeKey(next.Revision)},
		},
		Writes: []event.Write{
			{Key: settingsync.HeadKey, Value: encode(settingsync.RevisionRow{Revision: next.Revision})},
			{Key: settingsync.IDKey(next.ID), Value: encode(settingsync.RevisionRow{Revision: next.Revision})},
			{Key: settingsync.ChangeKey(next.Revision), Value: p.row},
		},
	})
}

// acceptedRevision returns the revision of the change if it is already in force: a
// transaction whose response was lost may have committed it.
func (m *Committer) acceptedRevision(p *proposal) (model.Revision, bool) {
	later, _ := m.follower.Since(p.change.BaseRevision)
	for i := range later {
		if later[i].ID == p.change.ID {
			return later[i].Revision, true
		}
	}
	return 0, false
}

// validate checks the change against the settings in force. It returns nil if
// the change can be accepted.
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

func conflictFault(conflicting *event.Change, path string) *fault.Fault {
	return &fault.Fault{
		Kind: fault.NotRun, Code: fault.ChangeConflict,
		Message: fmt.Sprintf("change %s by team %s, accepted as revision %d, wrote %s", conflicting.ID, conflicting.Team, conflicting.Revision, path),
		Remedy:  fmt.Sprintf("look at it with tamarackctl change -revision %d and propose again", conflicting.Revision),
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

// TransactionDone handles the response to a commit transaction.
func (m *Committer) TransactionDone(c *decision.Context, ev event.TransactionDone) {
	p, ok := m.proposals[changeID(ev.Transaction)]
	if !ok {
		return
	}
	if ev.Committed {
		m.putInForce(c, p)
		m.follower.ObserveHead(c, p.revision, ev.Version)
		m.accept(c, p, p.revision)
		return
	}
	for _, row := range ev.Conflicts {
		if row.Key == settingsync.IDKey(p.change.ID) && row.Version != 0 {
			m.acceptFromRow(c, p, row)
			return
		}
	}
	for _, row := range ev.Conflicts {
		if row.Key == settingsync.HeadKey {
			m.headConflict(c, p, row)
			return
		}
	}
	m.follower.Poll(c)
}

// putInForce puts a committed change in force on this node, which may be the only one
// that can supply it to peers if the platform fails now. The change is decoded from
// the row, so that it is the one that other nodes read.
func (m *Committer) putInForce(c *decision.Context, p *proposal) {
	var change event.Change
	if err := json.Unmarshal(p.row, &change); err != nil {
		return // the follower reads the row, as on the other nodes
	}
	m.follower.Advance(c, change)
}

// headConflict handles a transaction that failed because the head row has changed.
// It retries once that head is in force on this node. If the table returned an
// older head than this node knows of, it retries after readRetryInterval.
func (m *Committer) headConflict(c *decision.Context, p *proposal, row model.Row) {
	var head settingsync.RevisionRow
	if err := json.Unmarshal(row.Value, &head); err != nil {
		m.refuse(c, p, inDoubtFault(p.change.ID))
		return
	}
	if !m.follower.ObserveHead(c, head.Revision, row.Version) {
		c.After(timer.ChangeRetry, string(p.change.ID), readRetryInterval)
		return
	}
	m.attempt(c, p)
}

// accept reports to the operator that the change was accepted. If it is not in force
// on this node yet, the follower fetches it.
func (m *Committer) accept(c *decision.Context, p *proposal, revision model.Revision) {
	m.remove(c, p)
	c.Emit(event.AnswerChange{Request: p.request, Revision: revision})
	m.follower.ObserveRevision(c, revision)
}

// acceptFromRow accepts a change at the revision that its ID row holds.
func (m *Committer) acceptFromRow(c *decision.Context, p *proposal, row model.Row) {
	var found settingsync.RevisionRow
	if err := json.Unmarshal(row.Value, &found); err != nil {
		m.refuse(c, p, inDoubtFault(p.change.ID))
		return
	}
	m.accept(c, p, found.Revision)
}

// TransactionUnknown handles a commit transaction whose result is unknown.
func (m *Committer) TransactionUnknown(c *decision.Context, ev event.TransactionUnknown) {
	p, ok := m.proposals[changeID(ev.Transaction)]
	if !ok {
		return
	}
	m.readBack(c, p)
}

// readBack reads the ID row of the change, which exists if the change was accepted.
func (m *Committer) readBack(c *decision.Context, p *proposal) {
	c.Emit(event.ReadRows{
		Read: transactionPrefix + string(p.change.ID),
		Keys: []string{settingsync.IDKey(p.change.ID)},
	})
}

// RowsRead handles the ID row that was read back. If the row is absent, the
// earlier transaction may still commit. The change is sent again; the condition on
// the ID row prevents it from being accepted twice.
func (m *Committer) RowsRead(c *decision.Context, ev event.RowsRead) {
	p, ok := m.proposals[changeID(ev.Read)]
	if !ok {
		return
	}
	if len(ev.Rows) > 0 && ev.Rows[0].Version != 0 {
		m.acceptFromRow(c, p, ev.Rows[0])
		return
	}
	m.attempt(c, p)
}

// ReadFailed handles a failed read of an ID row. It retries until the deadline.
func (m *Committer) ReadFailed(c *decision.Context, ev event.ReadFailed) {
	p, ok := m.proposals[changeID(ev.Read)]
	if !ok {
		return
	}
	if c.Now >= p.deadline {
		m.refuse(c, p, inDoubtFault(p.change.ID))
		return
	}
	c.After(timer.ChangeRetry, string(p.change.ID), readRetryInterval)
}

// RetryDue handles the retry timer of a proposal. It reads the ID row again, or
// reports the change as in doubt once the deadline has passed.
func (m *Committer) RetryDue(c *decision.Context, id model.ChangeID) {
	p, ok := m.proposals[id]
	if !ok {
		return
	}
	if c.Now >= p.deadline {
		m.refuse(c, p, inDoubtFault(id))
		return
	}
	m.readBack(c, p)
}

// RevisionInForce retries the proposals that waited for this revision.
func (m *Committer) RevisionInForce(c *decision.Context, revision model.Revision) {
	for _, id := range slices.Sorted(maps.Keys(m.proposals)) {
		p := m.proposals[id]
		if p.awaitedHead == 0 || revision < p.awaitedHead || revision < m.follower.Head() {
			continue
		}
		p.awaitedHead = 0
		m.attempt(c, p)
	}
}

func (m *Committer) refuse(c *decision.Context, p *proposal, refusal *fault.Fault) {
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

func inDoubtFault(id model.ChangeID) *fault.Fault {
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

// encode marshals a row value. Marshalling the row types cannot fail.
func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
