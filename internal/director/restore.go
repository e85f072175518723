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

// firstConfirmDelay is how long after its first read a VM confirms no configuration: a
// little longer than the interval of the messages that VMs send to other zones.
const firstConfirmDelay = 700 * time.Millisecond

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

// confirms reports whether a read confirms the configuration that it returned, or the
// one in force. A VM that starts waits for the messages of the others: what the store
// holds may be the older copy.
func (s *State) confirms(now model.Instant, e ConfigRead) bool {
	config := e.Config
	if config == nil {
		config = s.config
	}
	if config == nil || config.Version < s.newestConfig {
		return false
	}
	return e.Era == 0 || s.settings.FirstStart || now.Sub(s.firstConfigAt) >= firstConfirmDelay
}

// peerHasConfig records the version of the configuration that another VM has in force.
// If it is newer than this VM's soon after a restore, or after the start of the VM, the
// last confirmation is withdrawn: it may rest on the older copy.
func (s *State) peerHasConfig(now model.Instant, version model.Revision) {
	s.newestConfig = max(s.newestConfig, version)
	if s.config == nil || s.config.Version >= s.newestConfig {
		return
	}
	if s.restore.pending(now) || now.Sub(s.firstConfigAt) < restoreGrace {
		s.confirmedAt = 0
	}
}
