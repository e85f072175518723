package controller

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

const (
	// contentTable has a row for each VM that has learned of content that crashes
	// targets. VMs read it at their start only.
	contentTable = "tamarackreach-content"
	// contentWriteInterval is the minimum time between two writes of a VM's row.
	contentWriteInterval = time.Second
	// ownRowsInterval is the minimum time between two writes of any of a VM's own rows.
	ownRowsInterval = time.Second
)

// contentRecord is a VM's row of contentTable.
type contentRecord struct {
	Process uint32 `json:"process"`
	// Era is the era of the store in which the record was to be written, and WrittenMs the
	// store's clock then, in milliseconds.
	Era       fleet.StoreEra `json:"era,omitempty"`
	WrittenMs int64          `json:"written_ms"`
	// WrittenUnixMs is the VM's time of day then. It bounds the age of a record of an
	// earlier era, which the store's clock does not tell.
	WrittenUnixMs int64             `json:"written_unix_ms"`
	Quarantines   []causeQuarantine `json:"quarantines,omitempty"`
	LostAnswers   []lostAnswer      `json:"lost,omitempty"`
	Answers       []answeredPart    `json:"answers,omitempty"`
}

func encodeContent(stored director.StoredContent, era fleet.StoreEra, clock time.Duration, now time.Time) contentRecord {
	record := contentRecord{Process: stored.Process, Era: era, WrittenMs: clock.Milliseconds(), WrittenUnixMs: now.UnixMilli()}
	for _, q := range stored.Quarantines {
		record.Quarantines = append(record.Quarantines, encodeQuarantine(q))
	}
	for _, l := range stored.LostAnswers {
		record.LostAnswers = append(record.LostAnswers, encodeLostAnswer(l))
	}
	for _, a := range stored.Answers {
		record.Answers = append(record.Answers, encodeAnswer(a))
	}
	return record
}

// decode returns what a VM had stored, as of a read of its row. The clocks of two eras
// are not compared; the age of a record of another era is that by the time of day, so
// that the row of a VM that is gone does not hold content back at each later start.
func (r *contentRecord) decode(vm model.NodeID, era fleet.StoreEra, clock time.Duration, now time.Time) director.StoredContent {
	out := director.StoredContent{VM: vm, Process: r.Process, EarlierEra: r.Era != era}
	out.Elapsed = max(clock-time.Duration(r.WrittenMs)*time.Millisecond, 0)
	if out.EarlierEra {
		out.Elapsed = max(now.Sub(time.UnixMilli(r.WrittenUnixMs)), 0)
	}
	for _, q := range r.Quarantines {
		out.Quarantines = append(out.Quarantines, q.decode())
	}
	for _, l := range r.LostAnswers {
		out.LostAnswers = append(out.LostAnswers, l.decode())
	}
	for _, a := range r.Answers {
		out.Answers = append(out.Answers, a.decode())
	}
	return out
}

// ownRowsLimit spaces the writes of a VM's own rows, so that several rows that are due at
// once, as after a restore, cause no more writes a second than one.
type ownRowsLimit struct {
	mu     sync.Mutex
	lastAt model.Instant
}

// allow reports whether a write may start now, and if so counts it.
func (l *ownRowsLimit) allow(now model.Instant) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lastAt != 0 && now.Sub(l.lastAt) < ownRowsInterval {
		return false
	}
	l.lastAt = now
	return true
}

// contentState is what a VM knows of contentTable.
type contentState struct {
	// written is true once a row of this VM may be in the store: this process may have
	// written it, or has read that of an earlier one.
	written atomic.Bool
	// loaded is closed once the table was read.
	loaded chan struct{}
	// lost has an element when the row may have been lost in a restore of the store.
	lost chan struct{}
	// writes counts the writes that succeeded, failures those that did not.
	writes, failures atomic.Uint64
}

// ContentWrites returns the numbers of writes of this VM's row of content that crashes
// targets, from the start of the process: those that succeeded and those that failed.
func (c *Controller) ContentWrites() (succeeded, failed uint64) {
	return c.content.writes.Load(), c.content.failures.Load()
}

// loadContent reads what the VMs have stored, until a read succeeds.
func (c *Controller) loadContent(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	every(ctx, c.pollInterval, func() {
		if c.readContent(ctx) == nil {
			close(c.content.loaded)
			cancel()
		}
	})
}

func (c *Controller) readContent(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	snapshot, err := c.store.Table(ctx, contentTable)
	if err != nil {
		logrus.WithError(err).Debug("cannot read the content that crashes targets; the read is retried")
		return err
	}
	var read director.ContentRead
	for _, row := range snapshot.Rows {
		var record contentRecord
		if err := json.Unmarshal(row.Value, &record); err != nil {
			logrus.WithError(err).WithField("row", row.Key).Warn("invalid record of content ignored")
			continue
		}
		stored := record.decode(model.NodeID(row.Key), snapshot.Newest.Era, snapshot.Clock, time.Now())
		logrus.WithFields(logrus.Fields{
			"vm": stored.VM, "quarantines": len(stored.Quarantines), "lost_answers": len(stored.LostAnswers),
			"age_ms": stored.Elapsed.Milliseconds(), "earlier_era": stored.EarlierEra,
		}).Info("record of content that crashes targets read")
		if stored.VM == c.settings.VM {
			c.content.written.Store(true)
		}
		read.Stored = append(read.Stored, stored)
	}
	c.reducer.Step(read)
	return nil
}

// storeContent writes this VM's row whenever its content has changed, and again after a
// restore of the store.
func (c *Controller) storeContent(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.reducer.ContentChanged():
		case <-c.content.lost:
		}
		for written := false; !written; {
			wait := ownRowsInterval / 10
			if c.ownRows.allow(bootclock.Now()) {
				written, wait = c.writeContent(ctx), contentWriteInterval
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
		}
	}
}

// writeContent writes this VM's row. It reports whether the store has acknowledged it,
// or there is nothing to write.
func (c *Controller) writeContent(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	started := bootclock.Now()
	row, clock, err := c.store.Row(ctx, contentTable, string(c.settings.VM))
	if err != nil {
		logrus.WithError(err).Debug("cannot read the record of content; retrying")
		return false
	}
	now := bootclock.Now()
	var stored director.StoredContent
	c.reducer.Read(func(s *director.State) { stored = s.ContentToStore(now) })
	if row.Absent() && !c.content.written.Load() && len(stored.Quarantines)+len(stored.LostAnswers) == 0 {
		return true
	}
	// The time of writing is an upper bound, so that no quarantine ends earlier at a VM that
	// reads it than here.
	row.Value, err = json.Marshal(encodeContent(stored, row.Version.Era, clock+now.Sub(started), time.Now()))
	if err != nil {
		logrus.WithError(err).Error("cannot encode the record of content")
		return true
	}
	c.content.written.Store(true)
	if err := c.put(ctx, contentTable, row); err != nil {
		c.content.failures.Add(1)
		logrus.WithError(err).Info("cannot write the record of content that crashes targets; retrying")
		return false
	}
	c.content.writes.Add(1)
	logrus.WithFields(logrus.Fields{
		"quarantines": len(stored.Quarantines), "lost_answers": len(stored.LostAnswers), "row": row.Version, "bytes": len(row.Value),
	}).Info("record of content that crashes targets written")
	return true
}

// contentLost has this VM's row written again in a new era of the store: at its own time
// within registrationSpread.
func (c *Controller) contentLost() {
	if !c.content.written.Load() {
		return
	}
	time.AfterFunc(c.restoreDelay(), func() {
		select {
		case c.content.lost <- struct{}{}:
		default: // already due
		}
	})
}
