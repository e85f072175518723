package controller

import (
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/internal/storereplica"
	"tamarackreach/platform"
)

// The tables of the store that VMs pass on to each other.
const (
	configTable = iota
	targetsTable
	vmsTable
	tableCount
)

var tableNames = [tableCount]string{"config", "targets", "vms"}

const (
	// feedWait is how long a call of the store's feed waits for a change.
	feedWait = 5 * time.Second
	// feedInterval is the minimum time between two calls of the feed.
	feedInterval = 200 * time.Millisecond
	// feedDelay is how long a VM has been the one that reads the store before it calls the
	// feed: one that has just started hears of the others first.
	feedDelay = time.Second
)

// table is this VM's copy of a table of the store.
type table struct {
	index int
	name  string
	mu    sync.Mutex
	// copied is the copy; generation counts the stores that were used, so that results of
	// reads of an earlier one are discarded.
	copied     storereplica.Table
	generation int
	// encoded holds responses to other VMs, until the copy changes.
	encoded encodedCopies
	// cursor is the position in the copy of source.
	cursor storereplica.Cursor
	source model.NodeID
	// asked is the VM whose copy was last asked for, empty for the store; nil before.
	asked *model.NodeID
	// wake has an element when the copy is to be refreshed without delay.
	wake chan struct{}
	// fromStore and fromVMs count the successful reads of the store and of other VMs' copies.
	fromStore, fromVMs atomic.Uint64
}

func newTable(index int) *table {
	t := &table{index: index, name: tableNames[index], wake: make(chan struct{}, 1)}
	t.reset(0)
	return t
}

// replaceStore empties the copy; another store is used from now on.
func (t *table) replaceStore() {
	t.mu.Lock()
	t.generation++
	t.mu.Unlock()
	t.reset(0)
}

// reset empties the copy for an era of the store.
func (t *table) reset(era fleet.StoreEra) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.copied.Reset(rand.Uint64(), era)
	t.cursor, t.source = storereplica.Cursor{}, ""
}

// storeGeneration returns the generation of a read that begins now.
func (t *table) storeGeneration() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.generation
}

// replace applies a read of the store, unless another store is used since it began.
func (t *table) replace(generation int, snapshot platform.Snapshot, startedAt model.Instant) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if generation != t.generation {
		return false
	}
	changed, used := t.copied.Replace(snapshot.Rows, snapshot.Newest, startedAt)
	if used {
		t.fromStore.Add(1)
	}
	return changed
}

// age returns the time since the read began that last confirmed the copy.
func (t *table) age(now model.Instant) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.copied.ConfirmedAt()), t.copied.Read()
}

// snapshot returns the rows, the version up to which they are complete, and when the read
// began that confirmed them; ok is false before the first.
func (t *table) snapshot() (rows []fleet.StoreRow, version fleet.StoreVersion, confirmedAt model.Instant, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.copied.Rows(), t.copied.Version(), t.copied.ConfirmedAt(), t.copied.Read()
}

// recordSource logs a change of the VM whose copy is taken.
func (t *table) recordSource(source model.NodeID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.asked != nil && *t.asked == source {
		return
	}
	t.asked = &source
	logrus.WithFields(logrus.Fields{
		"table": t.name, "source": source, "from_store": t.fromStore.Load(), "from_vms": t.fromVMs.Load(),
	}).Info("source of the store's state changed; no source means that the store is read")
}

// wakeUp has the copy refreshed without delay.
func (t *table) wakeUp() {
	select {
	case t.wake <- struct{}{}:
	default: // already due
	}
}

// versionsHash is the hash of the versions of all rows, by which builds of protocol 0 compare
// their registrations with those of their zone's leader.
func (t *table) versionsHash() uint64 {
	rows, _, _, _ := t.snapshot()
	hash := xxhash.New()
	for _, row := range rows {
		// Writing to a hash never fails.
		_, _ = hash.WriteString(row.Key)
		_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(row.Version.Row)))
	}
	return hash.Sum64()
}

// resetTables empties the copies for an era of the store.
func (c *Controller) resetTables(era fleet.StoreEra) {
	for _, t := range c.tables {
		t.reset(era)
	}
}

// replaceStore empties the copies; another store is used from now on.
func (c *Controller) replaceStore() {
	for _, t := range c.tables {
		t.replaceStore()
	}
}

// StoreStatus is how a VM knows the store's state.
type StoreStatus struct {
	// Source is the VM whose copies this VM takes, empty while it reads the store itself.
	Source model.NodeID `json:"source"`
	// Failing is true when its own last call to the store failed lately.
	Failing bool          `json:"failing"`
	Tables  []TableStatus `json:"tables"`
}

// TableStatus is the state of the copy of a table.
type TableStatus struct {
	Name string `json:"name"`
	// Version is the version of the store up to which the copy is complete, AgeMs the time
	// since the read began that confirmed it, -1 before the first.
	Version model.RowVersion `json:"version"`
	AgeMs   int64            `json:"age_ms"`
	// FromStore counts the reads of the store that were used, FromVMs those of other VMs'
	// copies.
	FromStore uint64 `json:"from_store"`
	FromVMs   uint64 `json:"from_vms"`
}

// StoreStatus returns how this VM knows the store's state.
func (c *Controller) StoreStatus() StoreStatus {
	now := bootclock.Now()
	out := StoreStatus{Failing: c.storeFailing(now)}
	out.Source, _, _ = c.peers.storeSource(now, out.Failing)
	for _, t := range c.tables {
		_, version, confirmedAt, ok := t.snapshot()
		status := TableStatus{Name: t.name, Version: version.Row, AgeMs: -1, FromStore: t.fromStore.Load(), FromVMs: t.fromVMs.Load()}
		if ok {
			status.AgeMs = now.Sub(confirmedAt).Milliseconds()
		}
		out.Tables = append(out.Tables, status)
	}
	return out
}
