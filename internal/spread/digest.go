package spread

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
)

// alarmDiverged is raised when the platform holds another change under a
// revision that is in force here.
const alarmDiverged = "platform holds another change under a revision in force"

// chain returns the digest after a change, given the one before it.
func chain(before event.LogDigest, change *event.Change) event.LogDigest {
	encoded, err := json.Marshal(change)
	if err != nil {
		// A change was decoded from JSON, so that it always encodes.
		panic(err)
	}
	data := binary.LittleEndian.AppendUint64(make([]byte, 0, len(encoded)+8), uint64(before))
	return event.LogDigest(xxhash.Sum64(append(data, encoded...)))
}

// digestAt returns the digest at a revision; ok is false for revisions that are
// not in force or no longer held.
func (f *Follower) digestAt(revision model.Revision) (digest event.LogDigest, ok bool) {
	switch {
	case revision == f.revision:
		return f.digest, true
	case revision > f.revision:
		return 0, false
	case len(f.history) == 0:
		return 0, revision == 0
	}
	first := f.history[0].Revision
	switch {
	case revision >= first:
		return f.digests[revision-first], true
	case revision+1 == first:
		return f.baseDigest, true
	}
	return 0, revision == 0
}

// verify compares a change that the platform holds with the one in force; false
// means that they differ.
func (f *Follower) verify(c *decision.Context, change *event.Change) bool {
	after, known := f.digestAt(change.Revision)
	if !known || change.Revision == 0 {
		return true
	}
	before, known := f.digestAt(change.Revision - 1)
	if !known {
		return true
	}
	if chain(before, change) == after {
		f.clearAlarm(alarmDiverged)
		return true
	}
	f.raise(c, alarmDiverged, fmt.Sprintf("revision %d is change %s on the platform", change.Revision, change.ID))
	return false
}

// Diverged is true while the platform is not followed: its head is older than
// what is in force, or it holds other changes.
func (f *Follower) Diverged() bool { return f.alarms[alarmDiverged] || f.alarms[alarmOlder] }
