// Package settingsync replicates accepted settings to this node. It learns of new
// revisions from the platform's table and from peers, fetches missing changes
// from either and never returns to a revision older than one in force before.
//
// A digest over all changes is chained through the revisions, so that two
// different changes under the same revision are detected.
package settingsync

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
	// HeadKey is the key of the row that holds the newest revision.
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

// IDKey returns the key of the row that records whether a change was accepted.
func IDKey(id model.ChangeID) string { return idPrefix + string(id) }

// RevisionRow is the value of the head row and of the rows by change ID.
type RevisionRow struct {
	Revision model.Revision `json:"revision"`
}

// source is a peer with a newer revision, from which changes are fetched.
type source struct {
	node     model.NodeID
	address  string
	revision model.Revision
}

// Follower is the replica of the settings on this node.
type Follower struct {
	view          *settings.View
	revision      model.Revision
	digest        event.LogDigest
	inForceUnixMs int64
	// head is the highest revision known from the platform or a peer.
	head        model.Revision
	headVersion model.RowVersion
	// history holds the newest accepted changes in order; digests holds the
	// digest after each of them, baseDigest the digest before the first.
	history    []event.Change
	digests    []event.LogDigest
	baseDigest event.LogDigest
	// confirmedAt is when the platform last confirmed the head, to this node or
	// to a peer with the same settings.
	confirmedAt     model.Instant
	platformUp      bool
	headReadPending bool
	// pollRevision is the revision in force when the last poll was sent.
	pollRevision model.Revision
	// zoneNodes is the number of live nodes of the zone, which share the polling.
	zoneNodes int
	// platformAnswered is true once a head was read from the platform.
	platformAnswered bool
	// peersSynced is true once the reachable peers reported their revisions.
	peersSynced bool
	ready       bool

	fetchPending bool
	// fetchedFromPeer is true if the pending or last fetch was sent to a peer.
	fetchedFromPeer bool
	source          source
	// snapshotReadPending is true from the start until the snapshot was read.
	snapshotReadPending bool
	snapshotDue         bool
	alarms              map[string]bool
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

// Head returns the highest revision known from the platform or a peer.
func (f *Follower) Head() model.Revision { return f.head }

// HeadVersion returns the row version of the head row as last read.
func (f *Follower) HeadVersion() model.RowVersion { return f.headVersion }

// InForceUnixMs returns when the revision came into force on this node, in Unix
// milliseconds.
func (f *Follower) InForceUnixMs() int64 { return f.inForceUnixMs }

// PlatformUp reports whether the last read of the table service succeeded.
func (f *Follower) PlatformUp() bool { return f.platformUp }

// ConfirmedAt returns when the platform last confirmed the head.
func (f *Follower) ConfirmedAt() model.Instant { return f.confirmedAt }

// Ready reports whether the node has settings to serve with: the newest revision
// known to the platform or a reachable peer when the node started.
func (f *Follower) Ready() bool { return f.ready }

// Alarms returns the active alarms, which need an operator, sorted.
func (f *Follower) Alarms() []string { return slices.Sorted(maps.Keys(f.alarms)) }

// History returns the newest accepted changes, oldest first.
func (f *Follower) History() []event.Change { return f.history }

// Since returns the changes after a revision; ok is false if some of them are no
// longer in the history.
func (f *Follower) Since(after model.Revision) (changes []event.Change, ok bool) {
	if after >= f.revision {
		return nil, true
	}
	if len(f.history) == 0 || f.history[0].Revision > after+1 {
		return nil, false
	}
	return f.history[after+1-f.history[0].Revision:], true
}

// PeersSynced records that the reachable peers reported their revisions.
func (f *Follower) PeersSynced() {
	f.peersSynced = true
	f.updateReady()
}

// updateReady marks a starting node as ready once it has the newest known
// revision. Revision 0 counts only after the platform confirmed that there is no
// newer one.
func (f *Follower) updateReady() {
	if f.peersSynced && f.revision >= f.head && (f.platformAnswered || f.revision > 0) {
		f.ready = true
	}
}

// Advance puts the next change in force; any other change is ignored.
func (f *Follower) Advance(c *decision.Context, change event.Change) {
	if change.Revision != f.revision+1 {
		return
	}
	tree, problems := f.view.Tree().Apply(&change)
	if len(problems) > 0 {
		f.raiseAlarm(c, fmt.Sprintf("accepted change %d cannot be applied: %s", change.Revision, problems[0]), "")
		return
	}
	f.view.Advance(tree, &change)
	f.revision = change.Revision
	f.digest = chainDigest(f.digest, &change)
	f.head = max(f.head, f.revision)
	f.inForceUnixMs = c.UnixMs
	f.appendHistory(change)
	if f.revision%snapshotInterval == 0 {
		f.snapshotDue = true
	}
	c.Emit(event.SettingsInForce{Revision: change.Revision})
}

func (f *Follower) appendHistory(change event.Change) {
	f.history = append(f.history, change)
	f.digests = append(f.digests, f.digest)
	if excess := len(f.history) - historyLimit; excess >= historyLimit/2 {
		f.baseDigest = f.digests[excess-1]
		f.history = slices.Clone(f.history[excess:])
		f.digests = slices.Clone(f.digests[excess:])
	}
}

// raiseAlarm raises an alarm; an alarm that is active already is not logged again.
func (f *Follower) raiseAlarm(c *decision.Context, alarm, detail string) {
	if f.alarms[alarm] {
		return
	}
	f.alarms[alarm] = true
	c.Emit(event.LogChange{Message: alarm, Detail: detail})
}

func (f *Follower) clearAlarm(alarm string) { delete(f.alarms, alarm) }
