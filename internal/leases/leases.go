// Package leases elects, for each pipeline, the entry VM that sends orders to its
// targets. Each pipeline has one lease: a row of the platform's table with a
// fencing number that increases with each new holder.
//
// The holder measures the lease from before it sent the write; every other node
// measures it from when it first observed the written row, and adds a margin for
// clock drift. The lease of a paused holder therefore expires on its own clock
// before another node can take it over.
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
	// leaseDuration is how long a lease is valid after the write that renewed it.
	leaseDuration = 6 * time.Second
	// renewInterval is the time between two renewals, and between two reads of a
	// lease that another node holds.
	renewInterval = 2 * time.Second
	// clockDriftMargin is added to leaseDuration by nodes that wait for the lease of
	// another node to expire.
	clockDriftMargin = time.Second
	// maxCandidates is the number of nodes that compete for a lease. It makes the
	// reads of the table scale with the number of pipelines, not of nodes.
	maxCandidates = 3
)

// Row is the value of a lease row.
type Row struct {
	Holder            model.NodeID      `json:"holder"`
	HolderIncarnation model.Incarnation `json:"life"`
	// Fencing increases by one with each new holder.
	Fencing model.FencingNumber `json:"fencing"`
	// Renewal numbers the writes of one incarnation of a node, so that the node can
	// identify a write whose response was lost.
	Renewal uint64 `json:"renewal"`
}

// lease is this node's view of one lease.
type lease struct {
	row     Row
	version model.RowVersion
	// observedAt is when this node first observed the row at this version.
	observedAt model.Instant
	// known is true once the row has been read, even if it did not exist.
	known bool
	// heldUntil is when this node's own lease expires; 0 if it has never held it.
	heldUntil model.Instant
	// acquiredAt is when this node last acquired the lease with a new fencing number.
	acquiredAt model.Instant
	// pendingWrite is the write whose result is not known yet, if any.
	pendingWrite *write
}

// write is a write of a lease row.
type write struct {
	row Row
	// expectedVersion is the row version that the write requires.
	expectedVersion model.RowVersion
	sentAt          model.Instant
	// takeover is true if the write increases the fencing number.
	takeover bool
}

// Table holds this node's view of the leases of all pipelines.
type Table struct {
	node        model.NodeID
	incarnation model.Incarnation
	renewal     uint64
	leases      map[model.PipelineID]*lease
}

// New returns an empty table for one incarnation of a node.
func New(node model.NodeID, incarnation model.Incarnation) *Table {
	return &Table{node: node, incarnation: incarnation, leases: make(map[model.PipelineID]*lease)}
}

// Owns reports whether a table issued the transaction or read with this ID.
func Owns(id string) bool { return strings.HasPrefix(id, rowPrefix) }

// RowKey returns the row key of a pipeline's lease.
func RowKey(pipeline model.PipelineID) string { return rowPrefix + string(pipeline) }

func pipelineOf(id string) model.PipelineID {
	return model.PipelineID(strings.TrimPrefix(id, rowPrefix))
}

// Track sets the pipelines whose leases the table maintains.
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

// HeldFor returns the remaining time of this node's lease on a pipeline, and the
// fencing number that its orders must carry. Both are 0 if it holds no lease.
func (t *Table) HeldFor(now model.Instant, id model.PipelineID) (time.Duration, model.FencingNumber) {
	l, ok := t.leases[id]
	if !ok || now >= l.heldUntil {
		return 0, 0
	}
	return l.heldUntil.Sub(now), l.row.Fencing
}

// AcquiredAt returns when this node last acquired the lease on a tracked pipeline.
func (t *Table) AcquiredAt(id model.PipelineID) model.Instant { return t.leases[id].acquiredAt }

// RenewDue handles the renewal timer of a lease: it renews the lease that this node
// holds, or reads or takes over that of another node. The list live holds the
// entry VMs considered alive, this node included; an empty list means that they are
// not known.
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
	mayWrite := l.known && l.pendingWrite == nil && (holding || l.expired(c.Now))
	if !mayWrite {
		c.Emit(event.ReadRows{Read: RowKey(id), Keys: []string{RowKey(id)}})
		return
	}
	t.write(c, id, l)
}

// isCandidate reports whether this node is among the maxCandidates live nodes that
// rank highest for the pipeline in rendezvous hashing.
func (t *Table) isCandidate(id model.PipelineID, live []model.NodeID) bool {
	own := rank(id, t.node)
	before := 0
	for _, node := range live {
		if node != t.node && rank(id, node) > own {
			before++
		}
	}
	return before < maxCandidates
}

func rank(id model.PipelineID, node model.NodeID) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + string(node))
}

// expired reports whether the lease in the row observed last has expired for any
// holder.
func (l *lease) expired(now model.Instant) bool {
	return l.version == 0 || now >= l.observedAt.Add(leaseDuration+clockDriftMargin)
}

// write renews or takes over the lease, on condition that the row still has
// the version observed last.
func (t *Table) write(c *decision.Context, id model.PipelineID, l *lease) {
	t.renewal++
	ownRow := l.row.Holder == t.node && l.row.HolderIncarnation == t.incarnation
	next := Row{Holder: t.node, HolderIncarnation: t.incarnation, Fencing: l.row.Fencing, Renewal: t.renewal}
	if !ownRow || c.Now >= l.heldUntil {
		next.Fencing++
	}
	l.pendingWrite = &write{row: next, expectedVersion: l.version, sentAt: c.Now, takeover: next.Fencing != l.row.Fencing}
	l.sendWrite(c, id)
}

// sendWrite sends the pending write. Sending it again is safe, because it requires
// the row version that it replaces.
func (l *lease) sendWrite(c *decision.Context, id model.PipelineID) {
	c.Emit(event.Transact{
		Transaction: RowKey(id),
		Conditions:  []event.Condition{{Key: RowKey(id), Version: l.pendingWrite.expectedVersion}},
		Writes:      []event.Write{{Key: RowKey(id), Value: encode(l.pendingWrite.row)}},
	})
}

// TransactionDone handles the response to a write.
func (t *Table) TransactionDone(c *decision.Context, ev event.TransactionDone) {
	l, ok := t.leases[pipelineOf(ev.Transaction)]
	if !ok || l.pendingWrite == nil {
		return
	}
	if ev.Committed {
		l.observe(c.Now, l.pendingWrite.row, ev.Version)
		l.confirm(c)
		return
	}
	l.handleRows(c, pipelineOf(ev.Transaction), ev.Conflicts)
}

// TransactionUnknown handles a write whose result is unknown. The next read of the
// row shows whether it took effect.
func (t *Table) TransactionUnknown(c *decision.Context, ev event.TransactionUnknown) {
	id := pipelineOf(ev.Transaction)
	l, ok := t.leases[id]
	if !ok || l.pendingWrite == nil {
		return
	}
	if ev.NotSent {
		l.pendingWrite = nil
		return
	}
	c.Emit(event.ReadRows{Read: RowKey(id), Keys: []string{RowKey(id)}})
}

// RowsRead handles a lease row that was read.
func (t *Table) RowsRead(c *decision.Context, ev event.RowsRead) {
	if l, ok := t.leases[pipelineOf(ev.Read)]; ok {
		l.handleRows(c, pipelineOf(ev.Read), ev.Rows)
	}
}

// handleRows observes the row and derives from it the result of the pending write.
func (l *lease) handleRows(c *decision.Context, id model.PipelineID, rows []model.Row) {
	if len(rows) == 0 {
		return
	}
	var found Row
	if rows[0].Version != 0 && json.Unmarshal(rows[0].Value, &found) != nil {
		return
	}
	l.observe(c.Now, found, rows[0].Version)
	switch {
	case l.pendingWrite == nil:
	case found == l.pendingWrite.row:
		l.confirm(c)
	case rows[0].Version != l.pendingWrite.expectedVersion || c.Now >= l.pendingWrite.sentAt.Add(leaseDuration):
		// Another write replaced the row version, so that the pending write cannot
		// commit; or its lease would have expired already.
		l.pendingWrite = nil
	default:
		l.sendWrite(c, id)
	}
}

// observe stores the row unless this version or a newer one is already known.
func (l *lease) observe(now model.Instant, row Row, version model.RowVersion) {
	if l.known && version <= l.version {
		return
	}
	l.known = true
	l.row = row
	l.version = version
	l.observedAt = now
}

// confirm marks the pending write as committed. The lease is measured from before
// the write was sent.
func (l *lease) confirm(c *decision.Context) {
	l.heldUntil = l.pendingWrite.sentAt.Add(leaseDuration)
	if l.pendingWrite.takeover {
		l.acquiredAt = c.Now
		c.Emit(event.LogChange{Message: "lease acquired"})
	}
	l.pendingWrite = nil
}

// encode marshals a lease row. Marshalling a row cannot fail.
func encode(row Row) []byte {
	data, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	return data
}
