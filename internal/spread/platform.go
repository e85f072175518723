package spread

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
	// pollInterval is the time between two reads of the head by a node alone.
	pollInterval = 500 * time.Millisecond
	// zoneReaders is the number of nodes of a zone whose reads would keep that
	// interval; the nodes of larger zones take turns.
	zoneReaders = 2
	// fetchLimit is the largest number of changes fetched by one read.
	fetchLimit = 256
	// neverConfirmed is the age of settings that nobody confirmed; it is longer
	// than any outage.
	neverConfirmed = 365 * 24 * time.Hour
)

// alarmOlder is raised when the platform went back in time.
const alarmOlder = "platform head is older than a revision seen before"

// Start begins to follow the head.
func (f *Follower) Start(c *decision.Context) {
	f.confirmed = c.Now.Add(-neverConfirmed)
	f.snapshotReading = true
	c.Emit(event.ReadObject{Key: SnapshotKey})
	f.Poll(c)
}

// SetZoneNodes states how many live nodes of the zone share the polling.
func (f *Follower) SetZoneNodes(nodes int) { f.zoneNodes = nodes }

// Poll reads the head and sets the next poll. The row of the revision in force
// is read along, to notice a platform that holds another one.
func (f *Follower) Poll(c *decision.Context) {
	c.After(timer.SettingsPoll, "", f.pollWait(c))
	if f.headReading {
		return
	}
	f.headReading = true
	f.pollRevision = f.revision
	keys := []string{HeadKey}
	if f.revision > 0 {
		keys = append(keys, ChangeKey(f.revision))
	}
	c.Emit(event.ReadRows{Read: readHead, Keys: keys})
}

// pollWait draws the time to the next poll. In a large zone each node polls
// seldom, at independent times, and peers tell each other; nobody has to be
// chosen as the reader, so that none can fail.
func (f *Follower) pollWait(c *decision.Context) time.Duration {
	if !f.ready || f.zoneNodes <= zoneReaders {
		return c.Jitter(pollInterval)
	}
	mean := pollInterval * time.Duration(f.zoneNodes) / zoneReaders
	return time.Duration(c.Rand.Int64N(int64(2*mean))) + pollInterval/2
}

// Owns is true for the reads that the follower issued.
func Owns(read string) bool { return strings.HasPrefix(read, "spread/") }

// RowsRead takes in the answer of a read of the follower.
func (f *Follower) RowsRead(c *decision.Context, ev event.RowsRead) {
	f.platformUp = true
	switch ev.Read {
	case readHead:
		f.headReading = false
		f.headRead(c, ev.Rows)
	case readChanges:
		f.changesRead(c, ev.Rows)
	}
	f.settle()
}

// ReadFailed takes in that a read of the follower got no answer.
func (f *Follower) ReadFailed(c *decision.Context, ev event.ReadFailed) {
	f.platformUp = false
	switch ev.Read {
	case readHead:
		f.headReading = false
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
				f.raise(c, "head row is unreadable", err.Error())
				return
			}
			version = row.Version
		default:
			if _, ok := f.verifyRow(c, row); !ok {
				return
			}
		}
	}
	f.answered = true
	if f.checkNotOlder(c, head.Revision) && f.SawHead(c, head.Revision, version) {
		f.confirmed = c.Now
	}
}

// checkNotOlder raises an alarm when the head is older than what was in force
// here when it was asked for; such a head is not followed.
func (f *Follower) checkNotOlder(c *decision.Context, head model.Revision) bool {
	if head < f.pollRevision {
		f.raise(c, alarmOlder, fmt.Sprintf("platform %d, in force %d", head, f.pollRevision))
		return false
	}
	f.clearAlarm(alarmOlder)
	return true
}

// verifyRow decodes the row of a change and compares it with the one in force.
func (f *Follower) verifyRow(c *decision.Context, row model.Row) (change event.Change, ok bool) {
	if err := json.Unmarshal(row.Value, &change); err != nil {
		f.raise(c, "change row is unreadable: "+row.Key, err.Error())
		return change, false
	}
	return change, f.verify(c, &change)
}

// SawHead takes in the head row as it stands in the table. It returns false for
// a head older than one heard of, which is passed over: it was read before a
// peer told of the newer one, or the platform went back in time.
func (f *Follower) SawHead(c *decision.Context, head model.Revision, version model.RowVersion) bool {
	if head < f.head {
		return false
	}
	f.headVersion = version
	f.Heard(c, head)
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
	f.fetched(c, f.revision > before)
}
