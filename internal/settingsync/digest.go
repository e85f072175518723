package settingsync

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
)

// alarmDiverged is raised when the platform stores a different change under a
// revision that is in force on this node.
const alarmDiverged = "platform holds another change under a revision in force"

// chainDigest returns the digest after a change, given the digest before it.
func chainDigest(before event.LogDigest, change *event.Change) event.LogDigest {
	encoded, err := json.Marshal(change)
	if err != nil {
		// Changes are decoded from JSON, so they always encode.
		panic(err)
	}
	data := binary.LittleEndian.AppendUint64(make([]byte, 0, len(encoded)+8), uint64(before))
	return event.LogDigest(xxhash.Sum64(append(data, encoded...)))
}

// digestAt returns the digest at a revision. ok is false if the revision is not
// in force yet or is no longer in the history.
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

// verifyChange compares a change read from the platform with the change in force
// under the same revision. It returns false and raises an alarm if they differ;
// it returns true if they match or the history does not cover the revision.
func (f *Follower) verifyChange(c *decision.Context, change *event.Change) bool {
	after, known := f.digestAt(change.Revision)
	if !known || change.Revision == 0 {
		return true
	}
	before, known := f.digestAt(change.Revision - 1)
	if !known {
		return true
	}
	if chainDigest(before, change) == after {
		f.clearAlarm(alarmDiverged)
		return true
	}
	f.raiseAlarm(c, alarmDiverged, fmt.Sprintf("revision %d is change %s on the platform", change.Revision, change.ID))
	return false
}

// Diverged reports whether the platform's table contradicts the settings in
// force: its head is older, or it stores different changes. Such a head is not
// followed.
func (f *Follower) Diverged() bool { return f.alarms[alarmDiverged] || f.alarms[alarmHeadOlder] }
