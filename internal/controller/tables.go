package controller

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/membership"
	"tamarackreach/internal/model"
	"tamarackreach/internal/storereads"
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

// tableReader reads a table of the store whole, and its feed; feed is nil for a table whose
// changes need not be known at once.
type tableReader struct {
	whole func(context.Context) (platform.Snapshot, error)
	feed  func(context.Context, model.RowVersion, time.Duration) (platform.Changes, error)
	// apply passes the copy on to the reducer.
	apply func()
	// interval is how often the copy is refreshed, and wholeInterval how often the VM that
	// reads the store for others reads the whole table.
	interval, wholeInterval func() time.Duration
	// due reports whether this VM has to read the table itself, and after uses what it read;
	// both may be nil.
	due   func(now model.Instant) bool
	after func(ctx context.Context, snapshot platform.Snapshot, startedAt model.Instant)
}

func (c *Controller) reader(index int) tableReader {
	half := func() time.Duration { return c.pollInterval() / 2 }
	switch index {
	case configTable:
		return tableReader{whole: c.store.Config, feed: c.store.ConfigFeed, apply: c.applyConfig, interval: half, wholeInterval: half}
	case targetsTable:
		return tableReader{whole: c.store.Targets, feed: c.store.TargetsFeed, apply: c.applyTargets, interval: half, wholeInterval: c.pollInterval}
	}
	whole := func(ctx context.Context) (platform.Snapshot, error) { return c.store.Table(ctx, coordinationTable) }
	return tableReader{whole: whole, apply: c.applyVMs, interval: constant(coordinationInterval), wholeInterval: constant(coordinationInterval), due: c.coordinationDue, after: c.coordinate}
}

// follow keeps the copy of a table current: from another VM's copy, or from the store.
func (c *Controller) follow(ctx context.Context, index int) {
	t, r := c.tables[index], c.reader(index)
	var failures storereads.Failures
	if index == vmsTable {
		c.firstRegistration(ctx)
	}
	for {
		c.refresh(ctx, t, r, &failures)
		timer := time.NewTimer(r.interval())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		case <-t.wake:
			timer.Stop()
		}
	}
}

// refresh takes the state of a table from another VM and, where that does not suffice, from
// the store.
func (c *Controller) refresh(ctx context.Context, t *table, r tableReader, failures *storereads.Failures) {
	now := bootclock.Now()
	source, endpoint, other := c.peers.storeSource(now, c.storeFailing(now))
	t.recordSource(source)
	if r.due != nil && r.due(now) {
		_ = c.readTable(ctx, t, r) // logged; due again at the next interval
		return
	}
	if other {
		c.take(ctx, t, r, source, endpoint)
	}
	now = bootclock.Now()
	age, known := t.age(now)
	interval := c.pollInterval()
	if t.index == vmsTable {
		interval = listInterval
	}
	read := storereads.Read(storereads.Input{
		Reader: !other, Known: known, Age: age, Interval: interval, WholeInterval: r.wholeInterval(), InZone: c.peers.inZone(),
		SinceStart: now.Sub(c.startedAt), FirstStart: c.settings.FirstStart && t.index != vmsTable && !c.peers.first(), Random: rand.Float64(),
	})
	if read && failures.Allow(now) {
		failures.Record(now, c.readTable(ctx, t, r) == nil, !other, interval)
	}
}

// readTable reads a table of the store whole.
func (c *Controller) readTable(ctx context.Context, t *table, r tableReader) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	generation, started := t.storeGeneration(), bootclock.Now()
	snapshot, err := r.whole(ctx)
	c.recordStoreCall(bootclock.Now(), err)
	if err != nil {
		c.storeFailed(err)
		return err
	}
	changed := t.replace(generation, snapshot, started)
	r.apply()
	if changed {
		c.sendHint(t)
	}
	if r.after != nil {
		r.after(ctx, snapshot, started)
	}
	return nil
}

// followFeed applies the store's feed to the copy of a table while this VM reads the store.
// The feed may omit changes, so that it only brings them sooner.
func (c *Controller) followFeed(ctx context.Context, index int) {
	t, r := c.tables[index], c.reader(index)
	var after fleet.StoreVersion
	generation := t.storeGeneration()
	readerSince := bootclock.Now()
	for ctx.Err() == nil {
		wait := feedInterval
		now := bootclock.Now()
		_, version, _, ok := t.snapshot()
		if current := t.storeGeneration(); current != generation || after.Era != version.Era || after.Row < version.Row {
			after, generation = version, current
		}
		if _, _, other := c.peers.storeSource(now, c.storeFailing(now)); other || !ok {
			readerSince = now
		} else if now.Sub(readerSince) >= feedDelay {
			var err error
			if after, err = c.readFeed(ctx, t, r, after); err != nil {
				wait = c.pollInterval()
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// readFeed applies one response of the feed and returns the version after which the next call
// goes on.
func (c *Controller) readFeed(ctx context.Context, t *table, r tableReader, after fleet.StoreVersion) (fleet.StoreVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, feedWait+callTimeout)
	defer cancel()
	generation := t.storeGeneration()
	changes, err := r.feed(ctx, after.Row, feedWait)
	if err != nil {
		level := logrus.DebugLevel
		if errors.Is(err, platform.ErrHistoryGone) {
			level = logrus.InfoLevel // the reads of the whole table go on
		}
		logrus.WithError(err).WithField("table", t.name).Log(level, "feed of the store failed; its table is read")
		return after, err
	}
	t.mu.Lock()
	changed := generation == t.generation && t.copied.ApplyFeed(changes.Rows, changes.Removed)
	t.mu.Unlock()
	if changed {
		logrus.WithFields(logrus.Fields{"table": t.name, "rows": len(changes.Rows), "removed": len(changes.Removed), "version": changes.Newest}).Info("store feed")
		r.apply()
		c.sendHint(t)
	}
	return changes.Newest, nil
}

// recordStoreCall records whether a call to the store succeeded.
func (c *Controller) recordStoreCall(now model.Instant, err error) {
	if err == nil {
		c.storeFailedAt.Store(0)
		return
	}
	c.storeFailedAt.Store(int64(now))
}

// storeFailing reports whether this VM's last call to the store failed lately.
func (c *Controller) storeFailing(now model.Instant) bool {
	at := model.Instant(c.storeFailedAt.Load())
	return at != 0 && now.Sub(at) < storereads.FailingPeriod
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

// ownNote returns what this VM states of itself for the choice of a source.
func (p *peers) ownNote(storeFailing bool) membership.Note {
	return membership.Note{Isolated: p.isolated(), StoreFailing: storeFailing, Copies: p.copies}
}
