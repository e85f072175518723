package spread

import (
	"fmt"
	"time"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/timer"
)

const (
	// fetchRetry is the time after which missing changes are asked for again.
	fetchRetry = 300 * time.Millisecond
	// offerLimit is the largest number of changes offered in one message.
	offerLimit = 64
)

// Heard takes in that a revision exists and fetches what is missing.
func (f *Follower) Heard(c *decision.Context, revision model.Revision) {
	f.head = max(f.head, revision)
	f.fetch(c)
}

// fetch asks for the changes that are missing: a peer that has them first, the
// platform when there is none or it did not serve them.
func (f *Follower) fetch(c *decision.Context) {
	if f.head <= f.revision || f.fetching {
		return
	}
	peerHas := f.holder.revision >= f.head
	if f.snapshotReading && !peerHas {
		return
	}
	f.fetching = true
	c.After(timer.SettingsFetch, "", fetchRetry)
	f.askedPeer = peerHas && !f.askedPeer
	if f.askedPeer {
		c.Emit(event.RequestSettings{To: f.holder.node, Address: f.holder.address, After: f.revision, Digest: f.digest})
		return
	}
	// The change in force is read along, to notice a platform with another one.
	c.Emit(event.ReadRows{
		Read: readChanges, Prefix: changePrefix, StartKey: ChangeKey(max(1, f.revision)), Limit: fetchLimit,
	})
}

// FetchDue fires when a fetch brought nothing for too long.
func (f *Follower) FetchDue(c *decision.Context) {
	f.fetching = false
	f.fetch(c)
}

// fetched goes on after an answer. Without progress the next try waits.
func (f *Follower) fetched(c *decision.Context, progress bool) {
	if !progress {
		return
	}
	f.fetching = false
	f.askedPeer = false
	c.Stop(timer.SettingsFetch, "")
	f.fetch(c)
}

// fetchFailed asks a peer at once when the platform did not answer.
func (f *Follower) fetchFailed(c *decision.Context) {
	if f.holder.revision >= f.head {
		f.fetching = false
		f.fetch(c)
	}
}

// PeerHas takes in which settings a peer has in force.
func (f *Follower) PeerHas(c *decision.Context, ev *event.PeerHeartbeatReceived, address string) {
	if ev.Revision > f.revision {
		if ev.Revision >= f.holder.revision {
			f.holder = holder{node: ev.From, address: address, revision: ev.Revision}
		}
		f.Heard(c, ev.Revision)
		return
	}
	f.compare(c, ev.From, ev.Revision, ev.Digest)
	if ev.Revision == f.revision && ev.Digest == f.digest {
		f.confirmed = max(f.confirmed, c.Now.Add(-ev.ConfirmedAgo))
	}
}

// compare raises an alarm when a peer has other changes under the same number.
func (f *Follower) compare(c *decision.Context, peer model.NodeID, revision model.Revision, digest event.LogDigest) bool {
	alarm := fmt.Sprintf("settings of %s differ under the same revision", peer)
	own, known := f.digestAt(revision)
	if known && own != digest {
		f.raise(c, alarm, fmt.Sprintf("revision %d", revision))
		return false
	}
	if known && revision > 0 {
		f.clearAlarm(alarm)
	}
	return true
}

// Requested serves a peer the changes that it lacks, or the whole tree when
// they are no longer held. A peer whose changes differ gets none. One that
// starts gets the list of VMs as well, which the platform may not give it.
func (f *Follower) Requested(c *decision.Context, ev event.SettingsRequested, address string, vms []event.VM) {
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
	if f.compare(c, ev.From, ev.After, ev.Digest) {
		offer.Changes = changes[:min(len(changes), offerLimit)]
	}
	c.Emit(offer)
}

// Offered takes in the changes or the tree that a peer serves.
func (f *Follower) Offered(c *decision.Context, ev event.SettingsOffered) {
	before := f.revision
	if len(ev.TreeJSON) > 0 {
		f.install(c, ev.SnapshotRevision, ev.Digest, ev.TreeJSON)
	} else if f.compare(c, ev.From, ev.SnapshotRevision, ev.Digest) {
		for _, change := range ev.Changes {
			f.Advance(c, change)
		}
	}
	f.fetched(c, f.revision > before)
	f.settle()
}
