// Package spread brings accepted settings into force on this node: it follows
// the head revision in the platform's table, fetches the changes it lacks and
// never goes below a revision it has had.
package spread

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/settings"
	"tamarackreach/internal/timer"
)

// Keys of the rows that hold the settings.
const (
	// HeadKey is the row of the newest revision.
	HeadKey      = "settings/head"
	changePrefix = "settings/change/"
	idPrefix     = "settings/id/"
)

// Names of the reads that the follower issues.
const (
	readHead    = "spread/head"
	readChanges = "spread/changes"
)

const (
	// pollInterval is the time between two reads of the head.
	pollInterval = 500 * time.Millisecond
	// fetchLimit is the largest number of changes fetched by one read.
	fetchLimit = 256
	// historyLimit is the number of accepted changes kept in memory.
	historyLimit = 4096
)

// ChangeKey returns the row key of an accepted change.
func ChangeKey(revision model.Revision) string {
	return fmt.Sprintf("%s%020d", changePrefix, revision)
}

// IDKey returns the row key that settles whether a change was accepted.
func IDKey(id model.ChangeID) string { return idPrefix + string(id) }

// RevisionRow is the value of the head row and of the rows by change id.
type RevisionRow struct {
	Revision model.Revision `json:"revision"`
}

// Follower is the settings state of this node.
type Follower struct {
	view          *settings.View
	revision      model.Revision
	inForceUnixMs int64
	// head is the highest revision heard of, from anyone.
	head        model.Revision
	headVersion model.RowVersion
	// history holds the newest accepted changes in order.
	history []event.Change
	// confirmed is when the platform last answered.
	confirmed   model.Instant
	platformUp  bool
	everRead    bool
	fetching    bool
	headReading bool
	alarms      map[string]bool
}

// New returns a follower with no revision.
func New() *Follower {
	return &Follower{view: settings.NewView(settings.NewTree()), alarms: make(map[string]bool)}
}

// View returns the settings in force.
func (f *Follower) View() *settings.View { return f.view }

// Revision returns the revision in force; 0 before the first.
func (f *Follower) Revision() model.Revision { return f.revision }

// Head returns the highest revision heard of.
func (f *Follower) Head() model.Revision { return f.head }

// HeadVersion returns the row version of the head row as last read.
func (f *Follower) HeadVersion() model.RowVersion { return f.headVersion }

// InForceUnixMs returns when the revision came into force.
func (f *Follower) InForceUnixMs() int64 { return f.inForceUnixMs }

// PlatformUp is false while the table service does not answer.
func (f *Follower) PlatformUp() bool { return f.platformUp }

// Confirmed returns when the platform last confirmed the head.
func (f *Follower) Confirmed() model.Instant { return f.confirmed }

// Ready is true when the node has settings to serve under.
func (f *Follower) Ready() bool { return f.everRead }

// Alarms returns what needs an operator, sorted.
func (f *Follower) Alarms() []string { return slices.Sorted(maps.Keys(f.alarms)) }

// History returns the newest accepted changes, oldest first.
func (f *Follower) History() []event.Change { return f.history }

// Since returns the changes after a revision; ok is false when some of them are
// no longer held.
func (f *Follower) Since(after model.Revision) (changes []event.Change, ok bool) {
	if after >= f.revision {
		return nil, true
	}
	if len(f.history) == 0 || f.history[0].Revision > after+1 {
		return nil, false
	}
	return f.history[after+1-f.history[0].Revision:], true
}

// Start begins to follow the head.
func (f *Follower) Start(c *decision.Context) {
	f.confirmed = c.Now
	f.Poll(c)
}

// Poll reads the head and sets the next poll.
func (f *Follower) Poll(c *decision.Context) {
	c.After(timer.SettingsPoll, "", c.Jitter(pollInterval))
	if f.headReading {
		return
	}
	f.headReading = true
	c.Emit(event.ReadRows{Read: readHead, Keys: []string{HeadKey}})
}

// Owns is true for the reads that the follower issued.
func Owns(read string) bool { return strings.HasPrefix(read, "spread/") }

// RowsRead takes in the answer of a read of the follower.
func (f *Follower) RowsRead(c *decision.Context, ev event.RowsRead) {
	f.platformUp = true
	f.confirmed = c.Now
	switch ev.Read {
	case readHead:
		f.headReading = false
		f.headRead(c, ev.Rows)
	case readChanges:
		f.fetching = false
		f.changesRead(c, ev.Rows)
	}
}

// ReadFailed takes in that a read of the follower got no answer.
func (f *Follower) ReadFailed(ev event.ReadFailed) {
	f.platformUp = false
	switch ev.Read {
	case readHead:
		f.headReading = false
	case readChanges:
		f.fetching = false
	}
}

func (f *Follower) headRead(c *decision.Context, rows []model.Row) {
	var head RevisionRow
	var version model.RowVersion
	if len(rows) > 0 && rows[0].Version != 0 {
		if err := json.Unmarshal(rows[0].Value, &head); err != nil {
			f.alarms["head row is unreadable: "+err.Error()] = true
			return
		}
		version = rows[0].Version
	}
	f.checkNotOlder(c, head.Revision)
	f.SawHead(c, head.Revision, version)
	if head.Revision <= f.revision {
		f.everRead = true
	}
}

// checkNotOlder raises an alarm when the platform's head is older than one
// heard of before; such a head is not followed.
func (f *Follower) checkNotOlder(c *decision.Context, head model.Revision) {
	const alarm = "platform head is older than a revision seen before"
	if head >= f.head {
		delete(f.alarms, alarm)
		return
	}
	if !f.alarms[alarm] {
		f.alarms[alarm] = true
		c.Emit(event.LogChange{Message: alarm, Detail: fmt.Sprintf("platform %d, seen %d", head, f.head)})
	}
}

// SawHead takes in the head row as it stands in the table.
func (f *Follower) SawHead(c *decision.Context, head model.Revision, version model.RowVersion) {
	if head >= f.head {
		f.headVersion = version
	}
	f.Heard(c, head)
}

// Heard takes in that a revision exists and fetches what is missing.
func (f *Follower) Heard(c *decision.Context, revision model.Revision) {
	f.head = max(f.head, revision)
	if f.head <= f.revision || f.fetching {
		return
	}
	f.fetching = true
	c.Emit(event.ReadRows{
		Read:     readChanges,
		Prefix:   changePrefix,
		StartKey: ChangeKey(f.revision + 1),
		Limit:    fetchLimit,
	})
}

func (f *Follower) changesRead(c *decision.Context, rows []model.Row) {
	before := f.revision
	for _, row := range rows {
		var change event.Change
		if err := json.Unmarshal(row.Value, &change); err != nil {
			f.alarms["change row is unreadable: "+row.Key] = true
			return
		}
		f.Advance(c, change)
	}
	if f.revision > before {
		f.Heard(c, f.head)
	}
	if f.revision >= f.head {
		f.everRead = true
	}
}

// Advance puts the next change in force; any other change is passed over.
func (f *Follower) Advance(c *decision.Context, change event.Change) {
	if change.Revision != f.revision+1 {
		return
	}
	tree, problems := f.view.Tree().Apply(&change)
	if len(problems) > 0 {
		f.alarms[fmt.Sprintf("accepted change %d cannot be applied: %s", change.Revision, problems[0])] = true
		return
	}
	f.view = settings.NewView(tree)
	f.revision = change.Revision
	f.head = max(f.head, f.revision)
	f.inForceUnixMs = c.UnixMs
	f.history = append(f.history, change)
	if len(f.history) > historyLimit {
		f.history = slices.Clone(f.history[len(f.history)-historyLimit:])
	}
	c.Emit(event.SettingsInForce{Revision: change.Revision})
}
