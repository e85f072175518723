package settingsync

import (
	"encoding/json"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/settings"
)

const (
	// SnapshotKey is the key of the object that holds the newest snapshot.
	SnapshotKey = "settings/snapshot"
	// snapshotInterval is the number of revisions between snapshots.
	snapshotInterval = 256
)

// Snapshot is the settings tree at a revision. It spares a starting node from
// reading every change.
type Snapshot struct {
	Revision model.Revision  `json:"revision"`
	Digest   event.LogDigest `json:"digest"`
	Tree     json.RawMessage `json:"tree"`
}

// WriteSnapshot writes a snapshot if one is due and this node is the writer.
func (f *Follower) WriteSnapshot(c *decision.Context, writer bool) {
	if !f.snapshotDue {
		return
	}
	f.snapshotDue = false
	if !writer {
		return
	}
	body, err := json.Marshal(Snapshot{Revision: f.revision, Digest: f.digest, Tree: encodeTree(f.view.Tree())})
	if err != nil {
		panic(err)
	}
	c.Emit(event.WriteObject{Key: SnapshotKey, Body: body})
}

// SnapshotRead installs the snapshot, then fetches the later changes as rows.
func (f *Follower) SnapshotRead(c *decision.Context, ev event.ObjectRead) {
	f.snapshotReadPending = false
	before := f.revision
	if ev.Found {
		var snapshot Snapshot
		if err := json.Unmarshal(ev.Body, &snapshot); err != nil {
			f.raiseAlarm(c, "settings snapshot is unreadable", err.Error())
		} else {
			f.installTree(c, snapshot.Revision, snapshot.Digest, snapshot.Tree)
		}
	}
	f.fetchCompleted(c, f.revision > before)
	f.fetch(c)
	f.updateReady()
}

// installTree puts a whole tree in force if it is newer than the settings in
// force.
func (f *Follower) installTree(c *decision.Context, revision model.Revision, digest event.LogDigest, treeJSON []byte) {
	if revision <= f.revision {
		return
	}
	tree := settings.NewTree()
	if err := json.Unmarshal(treeJSON, tree); err != nil {
		f.raiseAlarm(c, "settings tree is unreadable", err.Error())
		return
	}
	f.view = settings.NewView(tree)
	f.revision = revision
	f.digest = digest
	f.baseDigest = digest
	f.history = nil
	f.digests = nil
	f.head = max(f.head, revision)
	f.inForceUnixMs = c.UnixMs
	c.Emit(event.SettingsInForce{Revision: revision})
}

// encodeTree returns a tree as JSON; encoding a tree cannot fail.
func encodeTree(tree *settings.Tree) []byte {
	data, err := json.Marshal(tree)
	if err != nil {
		panic(err)
	}
	return data
}
