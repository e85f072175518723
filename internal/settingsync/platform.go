package settingsync

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/timer"
)

// Names of the reads that the follower issues.
const (
	readHead    = "spread/head"
	readChanges = "spread/changes"
)

const (
	// pollInterval is the interval between reads of the head by a single node.
	pollInterval = 500 * time.Millisecond
	// zonePollers is the number of nodes of a zone that may each poll at
	// pollInterval; the nodes of larger zones share that rate.
	zonePollers = 2
	// fetchLimit is the maximum number of changes fetched by one read.
	fetchLimit = 256
	// initialConfirmationAge is the age reported for settings before their first
	// confirmation; it is longer than any outage.
	initialConfirmationAge = 365 * 24 * time.Hour
)

// alarmHeadOlder is raised when the platform returns an older head, for example
// after it was restored from a backup.
const alarmHeadOlder = "platform head is older than a revision seen before"

// Start reads the snapshot and starts to poll the head.
func (f *Follower) Start(c *decision.Context) {
	f.confirmedAt = c.Now.Add(-initialConfirmationAge)
	f.snapshotReadPending = true
	c.Emit(event.ReadObject{Key: SnapshotKey})
	f.Poll(c)
}

// SetZoneNodes sets how many live nodes of the zone share the polling.
func (f *Follower) SetZoneNodes(nodes int) { f.zoneNodes = nodes }

// Poll reads the head and schedules the next poll. It also reads the row of the
// revision in force, to detect a platform that stores a different change.
func (f *Follower) Poll(c *decision.Context) {
	c.After(timer.SettingsPoll, "", f.pollDelay(c))
	if f.headReadPending {
		return
	}
	f.headReadPending = true
	f.pollRevision = f.revision
	keys := []string{HeadKey}
	if f.revision > 0 {
		keys = append(keys, ChangeKey(f.revision))
	}
	c.Emit(event.ReadRows{Read: readHead, Keys: keys})
}

// pollDelay returns a random delay until the next poll. In a large zone each node
// polls rarely, at independent times, and new revisions propagate between peers.
// No node is elected as the only reader, so that no single failure stops the polling.
func (f *Follower) pollDelay(c *decision.Context) time.Duration {
	if !f.ready || f.zoneNodes <= zonePollers {
		return c.Jitter(pollInterval)
	}
	mean := pollInterval * time.Duration(f.zoneNodes) / zonePollers
	return time.Duration(c.Rand.Int64N(int64(2*mean))) + pollInterval/2
}

// Owns reports whether a read was issued by the follower.
func Owns(read string) bool { return strings.HasPrefix(read, "spread/") }

// RowsRead processes the result of a read issued by the follower.
func (f *Follower) RowsRead(c *decision.Context, ev event.RowsRead) {
	f.platformUp = true
	switch ev.Read {
	case readHead:
		f.headReadPending = false
		f.headRead(c, ev.Rows)
	case readChanges:
		f.changesRead(c, ev.Rows)
	}
	f.updateReady()
}

// ReadFailed handles a failed read issued by the follower.
func (f *Follower) ReadFailed(c *decision.Context, ev event.ReadFailed) {
	f.platformUp = false
	switch ev.Read {
	case readHead:
		f.headReadPending = false
	case readChanges:
		f.fetchFailed(c)
	}
}

func (f *Follower) headRead(c *decision.Context, rows []model.Row) {
	var head RevisionRow
	var version model.RowVersion
	for _, row := range rows {
		switch {
		case row.Version == 0:
		case row.Key == HeadKey:
			if err := json.Unmarshal(row.Value, &head); err != nil {
				f.raiseAlarm(c, "head row is unreadable", err.Error())
				return
			}
			version = row.Version
		default:
			if _, ok := f.verifyRow(c, row); !ok {
				return
			}
		}
	}
	f.platformAnswered = true
	if f.checkNotOlder(c, head.Revision) && f.ObserveHead(c, head.Revision, version) {
		f.confirmedAt = c.Now
	}
}

// checkNotOlder raises an alarm and returns false if the head is older than the
// revision that was in force when the poll was sent; such a head is not followed.
func (f *Follower) checkNotOlder(c *decision.Context, head model.Revision) bool {
	if head < f.pollRevision {
		f.raiseAlarm(c, alarmHeadOlder, fmt.Sprintf("platform %d, in force %d", head, f.pollRevision))
		return false
	}
	f.clearAlarm(alarmHeadOlder)
	return true
}

// verifyRow decodes the row of a change and compares it with the change in force.
func (f *Follower) verifyRow(c *decision.Context, row model.Row) (change event.Change, ok bool) {
	if err := json.Unmarshal(row.Value, &change); err != nil {
		f.raiseAlarm(c, "change row is unreadable: "+row.Key, err.Error())
		return change, false
	}
	return change, f.verifyChange(c, &change)
}

// ObserveHead processes the head row of the table. It ignores a head older than the
// highest known revision and returns false for it: the row was read before a
// peer reported the newer revision, or the platform was restored to an older
// state.
func (f *Follower) ObserveHead(c *decision.Context, head model.Revision, version model.RowVersion) bool {
	if head < f.head {
		return false
	}
	f.headVersion = version
	f.ObserveRevision(c, head)
	return true
}

func (f *Follower) changesRead(c *decision.Context, rows []model.Row) {
	before := f.revision
	for _, row := range rows {
		if row.Version == 0 {
			break
		}
		change, ok := f.verifyRow(c, row)
		if !ok {
			break
		}
		f.Advance(c, change)
	}
	f.fetchCompleted(c, f.revision > before)
}
