package settingsync

import (
	"fmt"
	"time"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/timer"
)

const (
	// fetchRetry is the delay before missing changes are requested again.
	fetchRetry = 300 * time.Millisecond
	// offerLimit is the maximum number of changes in one message to a peer.
	offerLimit = 64
)

// ObserveRevision records that a revision exists and fetches the missing changes.
func (f *Follower) ObserveRevision(c *decision.Context, revision model.Revision) {
	f.head = max(f.head, revision)
	f.fetch(c)
}

// fetch requests the missing changes: from a peer that has them first, from the
// platform if there is none or the peer did not return them.
func (f *Follower) fetch(c *decision.Context) {
	if f.head <= f.revision || f.fetchPending {
		return
	}
	peerHasHead := f.source.revision >= f.head
	if f.snapshotReadPending && !peerHasHead {
		return
	}
	f.fetchPending = true
	c.After(timer.SettingsFetch, "", fetchRetry)
	f.fetchedFromPeer = peerHasHead && !f.fetchedFromPeer
	if f.fetchedFromPeer {
		c.Emit(event.RequestSettings{To: f.source.node, Address: f.source.address, After: f.revision, Digest: f.digest})
		return
	}
	// The range includes the change in force, to detect a platform that stores a
	// different one under that revision.
	c.Emit(event.ReadRows{
		Read: readChanges, Prefix: changePrefix, StartKey: ChangeKey(max(1, f.revision)), Limit: fetchLimit,
	})
}

// FetchDue handles the fetch timer: the fetch made no progress in time and is
// repeated.
func (f *Follower) FetchDue(c *decision.Context) {
	f.fetchPending = false
	f.fetch(c)
}

// fetchCompleted fetches the next changes after an answer that made progress.
// Without progress, the fetch timer starts the next attempt.
func (f *Follower) fetchCompleted(c *decision.Context, progress bool) {
	if !progress {
		return
	}
	f.fetchPending = false
	f.fetchedFromPeer = false
	c.Stop(timer.SettingsFetch, "")
	f.fetch(c)
}

// fetchFailed requests the changes from a peer at once after a failed read of the
// platform.
func (f *Follower) fetchFailed(c *decision.Context) {
	if f.source.revision >= f.head {
		f.fetchPending = false
		f.fetch(c)
	}
}

// ObservePeer processes the revision and digest of the settings that a peer has in
// force. It fetches newer ones; equal ones refresh the time of confirmation.
func (f *Follower) ObservePeer(c *decision.Context, ev *event.PeerHeartbeatReceived, address string) {
	if ev.Revision > f.revision {
		if ev.Revision >= f.source.revision {
			f.source = source{node: ev.From, address: address, revision: ev.Revision}
		}
		f.ObserveRevision(c, ev.Revision)
		return
	}
	f.compareDigest(c, ev.From, ev.Revision, ev.Digest)
	if ev.Revision == f.revision && ev.Digest == f.digest {
		f.confirmedAt = max(f.confirmedAt, c.Now.Add(-ev.ConfirmedAgo))
	}
}

// compareDigest raises an alarm and returns false if a peer has different changes
// under the same revision.
func (f *Follower) compareDigest(c *decision.Context, peer model.NodeID, revision model.Revision, digest event.LogDigest) bool {
	alarm := fmt.Sprintf("settings of %s differ under the same revision", peer)
	own, known := f.digestAt(revision)
	if known && own != digest {
		f.raiseAlarm(c, alarm, fmt.Sprintf("revision %d", revision))
		return false
	}
	if known && revision > 0 {
		f.clearAlarm(alarm)
	}
	return true
}

// ServeRequest sends a peer the changes that it lacks, or the whole tree if they
// are no longer in the history. A peer whose changes differ gets none. A starting
// peer also gets the list of VMs, since the platform may be unreachable.
func (f *Follower) ServeRequest(c *decision.Context, ev event.SettingsRequested, address string, vms []event.VM) {
	if ev.After > f.revision {
		return
	}
	offer := event.OfferSettings{To: ev.From, Address: address}
	if ev.After == 0 {
		offer.VMs = vms
	}
	own, known := f.digestAt(ev.After)
	changes, held := f.Since(ev.After)
	if !known || !held {
		offer.SnapshotRevision = f.revision
		offer.Digest = f.digest
		offer.TreeJSON = encodeTree(f.view.Tree())
		c.Emit(offer)
		return
	}
	offer.SnapshotRevision = ev.After
	offer.Digest = own
	if f.compareDigest(c, ev.From, ev.After, ev.Digest) {
		offer.Changes = changes[:min(len(changes), offerLimit)]
	}
	c.Emit(offer)
}

// ApplyOffer applies the changes or the tree that a peer sent.
func (f *Follower) ApplyOffer(c *decision.Context, ev event.SettingsOffered) {
	before := f.revision
	if len(ev.TreeJSON) > 0 {
		f.installTree(c, ev.SnapshotRevision, ev.Digest, ev.TreeJSON)
	} else if f.compareDigest(c, ev.From, ev.SnapshotRevision, ev.Digest) {
		for _, change := range ev.Changes {
			f.Advance(c, change)
		}
	}
	f.fetchCompleted(c, f.revision > before)
	f.updateReady()
}
