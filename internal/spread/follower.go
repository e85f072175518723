// Package spread brings accepted settings into force on this node. It hears of
// new revisions from the platform's table and from peers, fetches the changes
// it lacks from either and never goes below a revision it has had.
//
// A digest over all changes is chained through the revisions, so that two
// different changes under the same number are noticed.
package spread

import (
	"fmt"
	"maps"
	"slices"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/settings"
)

// Keys of the rows that hold the settings.
const (
	// HeadKey is the row of the newest revision.
	HeadKey      = "settings/head"
	changePrefix = "settings/change/"
	idPrefix     = "settings/id/"
)

// historyLimit is the number of accepted changes kept in memory.
const historyLimit = 4096

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

// holder is a peer that has a revision this node lacks.
type holder struct {
	node     model.NodeID
	address  string
	revision model.Revision
}

// Follower is the settings state of this node.
type Follower struct {
	view          *settings.View
	revision      model.Revision
	digest        event.LogDigest
	inForceUnixMs int64
	// head is the highest revision heard of, from anyone.
	head        model.Revision
	headVersion model.RowVersion
	// history holds the newest accepted changes in order; digests holds the
	// digest after each, baseDigest the one before the first.
	history    []event.Change
	digests    []event.LogDigest
	baseDigest event.LogDigest
	// confirmed is when the platform last answered, to this node or to a peer
	// with the same settings.
	confirmed   model.Instant
	platformUp  bool
	headReading bool
	// pollRevision is what was in force when the head was last asked for.
	pollRevision model.Revision
	// zoneNodes is the number of live nodes that share the polling.
	zoneNodes int
	// answered is true once the platform gave a head.
	answered bool
	// greeted is true once the reachable peers told what they have.
	greeted bool
	ready   bool

	fetching bool
	// askedPeer is true when the fetch under way or the last one went to a peer.
	askedPeer bool
	holder    holder
	// snapshotReading is true until a starting node knows the snapshot.
	snapshotReading bool
	snapshotDue     bool
	alarms          map[string]bool
}

// New returns a follower with no revision.
func New() *Follower {
	return &Follower{
		view:   settings.NewView(settings.NewTree()),
		alarms: make(map[string]bool), zoneNodes: 1,
	}
}

// View returns the settings in force.
func (f *Follower) View() *settings.View { return f.view }

// Revision returns the revision in force; 0 before the first.
func (f *Follower) Revision() model.Revision { return f.revision }

// Digest returns the digest of the changes up to the revision in force.
func (f *Follower) Digest() event.LogDigest { return f.digest }

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

// Ready is true when the node has settings to serve under: the newest that
// anyone reachable knew of when it started.
func (f *Follower) Ready() bool { return f.ready }

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

// Greeted takes in that the reachable peers told what they have.
func (f *Follower) Greeted() {
	f.greeted = true
	f.settle()
}

// settle makes a starting node ready once it has the newest revision that
// anyone reachable knows of. Revision 0 is one only when the platform says so.
func (f *Follower) settle() {
	if f.greeted && f.revision >= f.head && (f.answered || f.revision > 0) {
		f.ready = true
	}
}

// Advance puts the next change in force; any other change is passed over.
func (f *Follower) Advance(c *decision.Context, change event.Change) {
	if change.Revision != f.revision+1 {
		return
	}
	tree, problems := f.view.Tree().Apply(&change)
	if len(problems) > 0 {
		f.raise(c, fmt.Sprintf("accepted change %d cannot be applied: %s", change.Revision, problems[0]), "")
		return
	}
	f.view.Advance(tree, &change)
	f.revision = change.Revision
	f.digest = chain(f.digest, &change)
	f.head = max(f.head, f.revision)
	f.inForceUnixMs = c.UnixMs
	f.remember(change)
	if f.revision%snapshotEvery == 0 {
		f.snapshotDue = true
	}
	c.Emit(event.SettingsInForce{Revision: change.Revision})
}

func (f *Follower) remember(change event.Change) {
	f.history = append(f.history, change)
	f.digests = append(f.digests, f.digest)
	if excess := len(f.history) - historyLimit; excess >= historyLimit/2 {
		f.baseDigest = f.digests[excess-1]
		f.history = slices.Clone(f.history[excess:])
		f.digests = slices.Clone(f.digests[excess:])
	}
}

// raise raises an alarm and logs it once.
func (f *Follower) raise(c *decision.Context, alarm, detail string) {
	if f.alarms[alarm] {
		return
	}
	f.alarms[alarm] = true
	c.Emit(event.LogChange{Message: alarm, Detail: detail})
}

// clearAlarm ends an alarm.
func (f *Follower) clearAlarm(alarm string) { delete(f.alarms, alarm) }
