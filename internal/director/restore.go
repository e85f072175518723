package director

import (
	"strconv"
	"time"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

// restoreGrace is how long after the store came back from an older copy a row of that
// copy yields to what was known before. Live targets renew their registrations several
// times in it.
const restoreGrace = 10 * time.Second

// restore is a return of the store from an older copy.
type restore struct {
	// at is when the return was observed; 0 before the first.
	at model.Instant
	// copied is the newest version of the copy; rows written since have later ones. Its
	// Row is 0 until the first read of the era.
	copied fleet.StoreVersion
}

func (s *State) storeRestored(now model.Instant, e StoreRestored) []Effect {
	s.restore = restore{at: now, copied: fleet.StoreVersion{Era: e.Era}}
	return []Effect{&StateChanged{
		What: "store restored from an older copy", Subject: strconv.FormatUint(uint64(e.Era), 10),
		Detail: "what is known from before is kept until it is written again, for at most " + restoreGrace.String(),
	}}
}

// pending reports whether rows that the restore lost may still be missing.
func (r *restore) pending(now model.Instant) bool {
	return r.at != 0 && now.Sub(r.at) < restoreGrace
}

// precedes reports whether a read is of an era before the restore. Such a read may have
// been accepted before the restore was observed, and is applied after it.
func (r *restore) precedes(newest fleet.StoreVersion) bool { return newest.Era < r.copied.Era }

// begin records the newest version of the copy, from the first read after the restore.
func (r *restore) begin(newest fleet.StoreVersion) {
	if r.at != 0 && r.copied.Row == 0 && newest.Era == r.copied.Era {
		r.copied = newest
	}
}

// outdated reports whether a row is from the older copy and may have been replaced or
// removed before the restore.
func (r *restore) outdated(now model.Instant, row fleet.StoreVersion) bool {
	return r.pending(now) && row.Era == r.copied.Era && !row.After(r.copied)
}
