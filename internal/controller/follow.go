package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/internal/storereads"
	"tamarackreach/platform"
)

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

// wakeUp has the copies of tables refreshed without delay; a bit stands for each. The VM that
// reads the store does so at its own interval.
func (c *Controller) wakeUp(tables byte) {
	now := bootclock.Now()
	if _, _, other := c.peers.storeSource(now, c.storeFailing(now)); !other {
		return
	}
	for _, t := range c.tables {
		if tables&(1<<t.index) != 0 {
			t.wakeUp()
		}
	}
}
