// Package leases decides which entry VM gives orders to the targets of a
// pipeline. Each pipeline has one lease, a row of the platform's table with a
// fencing number that grows with each new holder.
//
// The holder counts the lease from before it sent the write; everyone else
// counts it from when they saw the written row, plus a margin for clock drift.
// A holder that was paused therefore finds its lease lapsed before anyone else
// can take it over.
package leases

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/timer"
)

const (
	rowPrefix = "lease/"
	// duration is how long a lease holds after the write that renewed it.
	duration = 6 * time.Second
	// renewInterval is the time between two renewals, and between two looks at
	// a lease that another node holds.
	renewInterval = 2 * time.Second
	// driftMargin is added to a lease by those who wait for it to lapse.
	driftMargin = time.Second
	// candidates is the number of nodes that look at a lease. It bounds the
	// reads of the table by the number of pipelines, not of nodes.
	candidates = 3
)

// Row is the value of a lease row.
type Row struct {
	Holder model.NodeID      `json:"holder"`
	Life   model.Incarnation `json:"life"`
	// Fencing grows by one with each new holder.
	Fencing model.FencingNumber `json:"fencing"`
	// Renewal numbers the writes of one life of a node, so that a write whose
	// answer was lost is recognised.
	Renewal uint64 `json:"renewal"`
}

// lease is what this node knows of one lease.
type lease struct {
	row     Row
	version model.RowVersion
	// seen is when this node first saw the row at this version.
	seen model.Instant
	// known is true once the row, or its absence, was read.
	known bool
	// heldUntil is when this node's own lease lapses; 0 when it never held it.
	heldUntil model.Instant
	// acquired is when this node took the lease over from another holder.
	acquired model.Instant
	// writing is the write without an answer yet.
	writing *write
}

type write struct {
	row Row
	// on is the row version that the write requires.
	on   model.RowVersion
	sent model.Instant
	// takeover is true when the row had another holder before.
	takeover bool
}

// Table holds the leases of all pipelines, as this node knows them.
type Table struct {
	node    model.NodeID
	life    model.Incarnation
	renewal uint64
	leases  map[model.PipelineID]*lease
}

// New returns an empty table for one life of a node.
func New(node model.NodeID, life model.Incarnation) *Table {
	return &Table{node: node, life: life, leases: make(map[model.PipelineID]*lease)}
}

// Owns is true for the transactions and reads that a table issued.
func Owns(id string) bool { return strings.HasPrefix(id, rowPrefix) }

// RowKey returns the row key of a pipeline's lease.
func RowKey(pipeline model.PipelineID) string { return rowPrefix + string(pipeline) }

func pipelineOf(id string) model.PipelineID {
	return model.PipelineID(strings.TrimPrefix(id, rowPrefix))
}

// Track makes the leases those of the given pipelines.
func (t *Table) Track(c *decision.Context, pipelines []model.PipelineID) {
	for _, id := range pipelines {
		if _, ok := t.leases[id]; !ok {
			t.leases[id] = &lease{}
			c.After(timer.LeaseRenew, string(id), 0)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(t.leases)) {
		if !slices.Contains(pipelines, id) {
			delete(t.leases, id)
			c.Stop(timer.LeaseRenew, string(id))
		}
	}
}

// HeldFor returns how long this node may still give orders for a pipeline, and
// the fencing number to give them under; 0 when it does not hold the lease.
func (t *Table) HeldFor(now model.Instant, id model.PipelineID) (time.Duration, model.FencingNumber) {
	l, ok := t.leases[id]
	if !ok || now >= l.heldUntil {
		return 0, 0
	}
	return l.heldUntil.Sub(now), l.row.Fencing
}

// HeldSince returns when this node took the lease over.
func (t *Table) HeldSince(id model.PipelineID) model.Instant { return t.leases[id].acquired }

// RenewDue renews a lease that this node holds, or looks at one that it may
// take over. Live are the entry VMs taken for alive, this node included; an
// empty list means that they are not known.
func (t *Table) RenewDue(c *decision.Context, id model.PipelineID, live []model.NodeID) {
	l, ok := t.leases[id]
	if !ok {
		return
	}
	c.After(timer.LeaseRenew, string(id), c.Jitter(renewInterval))
	holding := c.Now < l.heldUntil
	if !holding && !t.isCandidate(id, live) {
		return
	}
	mayWrite := l.known && l.writing == nil && (holding || l.lapsed(c.Now))
	if !mayWrite {
		c.Emit(event.ReadRows{Read: RowKey(id), Keys: []string{RowKey(id)}})
		return
	}
	t.write(c, id, l)
}

// isCandidate is true for the few nodes that rank first for the pipeline by
// rendezvous hashing.
func (t *Table) isCandidate(id model.PipelineID, live []model.NodeID) bool {
	own := rank(id, t.node)
	before := 0
	for _, node := range live {
		if node != t.node && rank(id, node) > own {
			before++
		}
	}
	return before < candidates
}

func rank(id model.PipelineID, node model.NodeID) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + string(node))
}

// lapsed is true when the last row seen holds for nobody any more.
func (l *lease) lapsed(now model.Instant) bool {
	return l.version == 0 || now >= l.seen.Add(duration+driftMargin)
}

// write renews or takes over the lease on the row version seen last.
func (t *Table) write(c *decision.Context, id model.PipelineID, l *lease) {
	t.renewal++
	mine := l.row.Holder == t.node && l.row.Life == t.life
	next := Row{Holder: t.node, Life: t.life, Fencing: l.row.Fencing, Renewal: t.renewal}
	if !mine || c.Now >= l.heldUntil {
		next.Fencing++
	}
	l.writing = &write{row: next, on: l.version, sent: c.Now, takeover: next.Fencing != l.row.Fencing}
	l.send(c, id)
}

// send sends the write; sending it again is safe, because it requires the row
// version that it replaces.
func (l *lease) send(c *decision.Context, id model.PipelineID) {
	c.Emit(event.Transact{
		Transaction: RowKey(id),
		Conditions:  []event.Condition{{Key: RowKey(id), Version: l.writing.on}},
		Writes:      []event.Write{{Key: RowKey(id), Value: encode(l.writing.row)}},
	})
}

// TransactionDone takes in the answer of a write.
func (t *Table) TransactionDone(c *decision.Context, ev event.TransactionDone) {
	l, ok := t.leases[pipelineOf(ev.Transaction)]
	if !ok || l.writing == nil {
		return
	}
	if ev.Committed {
		l.observe(c.Now, l.writing.row, ev.Version)
		l.confirm(c)
		return
	}
	l.take(c, pipelineOf(ev.Transaction), ev.Conflicts)
}

// TransactionUnknown takes in that the answer of a write was lost; the next
// read of the row settles it.
func (t *Table) TransactionUnknown(c *decision.Context, ev event.TransactionUnknown) {
	id := pipelineOf(ev.Transaction)
	l, ok := t.leases[id]
	if !ok || l.writing == nil {
		return
	}
	if ev.NotSent {
		l.writing = nil
		return
	}
	c.Emit(event.ReadRows{Read: RowKey(id), Keys: []string{RowKey(id)}})
}

// RowsRead takes in a lease row.
func (t *Table) RowsRead(c *decision.Context, ev event.RowsRead) {
	if l, ok := t.leases[pipelineOf(ev.Read)]; ok {
		l.take(c, pipelineOf(ev.Read), ev.Rows)
	}
}

// take takes in the row and settles by it the write without an answer.
func (l *lease) take(c *decision.Context, id model.PipelineID, rows []model.Row) {
	if len(rows) == 0 {
		return
	}
	var found Row
	if rows[0].Version != 0 && json.Unmarshal(rows[0].Value, &found) != nil {
		return
	}
	l.observe(c.Now, found, rows[0].Version)
	switch {
	case l.writing == nil:
	case found == l.writing.row:
		l.confirm(c)
	case rows[0].Version != l.writing.on || c.Now >= l.writing.sent.Add(duration):
		// Another write replaced the row version, so that ours never commits;
		// or it is too late to be of use.
		l.writing = nil
	default:
		l.send(c, id)
	}
}

// observe takes in the row at a version.
func (l *lease) observe(now model.Instant, row Row, version model.RowVersion) {
	if l.known && version <= l.version {
		return
	}
	l.known = true
	l.row = row
	l.version = version
	l.seen = now
}

// confirm counts the lease from before its write was sent.
func (l *lease) confirm(c *decision.Context) {
	l.heldUntil = l.writing.sent.Add(duration)
	if l.writing.takeover {
		l.acquired = c.Now
		c.Emit(event.LogChange{Message: "lease acquired"})
	}
	l.writing = nil
}

// encode marshals a lease row, which always marshals.
func encode(row Row) []byte {
	data, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	return data
}
