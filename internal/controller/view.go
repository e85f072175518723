package controller

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/platform"
)

// state is a VM's last known state of the store, as sent to VMs of its zone.
type state struct {
	Era          fleet.StoreEra   `json:"era,omitempty"`
	ConfigRow    model.RowVersion `json:"config_row"`
	ConfigAgeMs  int64            `json:"config_age_ms"`
	TargetsHash  uint64           `json:"targets_hash"`
	TargetsAgeMs int64            `json:"targets_age_ms"`
}

// configAge returns the time since the start of the read that returned the
// configuration. A millisecond is added because ConfigAgeMs is rounded down.
func (s *state) configAge() time.Duration { return time.Duration(s.ConfigAgeMs+1) * time.Millisecond }

// view is this VM's last known state of the store: the version of the
// configuration's row and a hash of the versions of all registrations.
type view struct {
	mu sync.Mutex
	// interval is the poll interval of the store; a leader's state older than that,
	// with a margin, is not used.
	interval time.Duration
	// generation is the number of resets; results of reads that began before the last
	// one are discarded.
	generation int
	// era is the current era of the store; configRow and targetsHash are of it.
	era           fleet.StoreEra
	configRow     model.RowVersion
	configReadAt  model.Instant
	targetsHash   uint64
	targetsReadAt model.Instant
}

func (v *view) setInterval(interval time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.interval = interval
}

// reset discards the state, so that the next poll reads everything in an era of the
// store.
func (v *view) reset(era fleet.StoreEra) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.generation++
	v.era = era
	v.configRow, v.targetsHash, v.targetsReadAt = 0, 0, 0
}

// storeGeneration returns the generation of a read that begins now.
func (v *view) storeGeneration() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.generation
}

// snapshot returns the state to send to a VM of the zone.
func (v *view) snapshot(now model.Instant) *state {
	v.mu.Lock()
	defer v.mu.Unlock()
	return &state{
		Era: v.era, ConfigRow: v.configRow, ConfigAgeMs: now.Sub(v.configReadAt).Milliseconds(),
		TargetsHash: v.targetsHash, TargetsAgeMs: now.Sub(v.targetsReadAt).Milliseconds(),
	}
}

// sameConfig reports whether a leader's state is recent and has the configuration
// that is in force here.
func (v *view) sameConfig(s *state) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.configRow != 0 && s.Era == v.era && s.ConfigRow == v.configRow && s.configAge() <= v.interval+callTimeout/4
}

// sameTargets reports whether a leader's state is recent and has the registrations
// that are known here.
func (v *view) sameTargets(s *state) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	age := time.Duration(s.TargetsAgeMs) * time.Millisecond
	return v.targetsReadAt != 0 && s.Era == v.era && s.TargetsHash == v.targetsHash && age <= v.interval+callTimeout/4
}

// confirmConfig reports whether a row read from the store is the one in force. If
// so, it records started, the time at which the read began.
func (v *view) confirmConfig(row fleet.StoreVersion, started model.Instant) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if row.Era != v.era || row.Row != v.configRow {
		return false
	}
	v.configReadAt = started
	return true
}

func (v *view) replaceConfig(generation int, row fleet.StoreVersion, started model.Instant) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if generation != v.generation || row.Era != v.era {
		return
	}
	v.configRow, v.configReadAt = row.Row, started
}

func (v *view) replaceTargets(generation int, snapshot platform.Snapshot, started model.Instant) {
	hash := xxhash.New()
	for _, row := range snapshot.Rows {
		// Writing to a hash never fails.
		_, _ = hash.WriteString(row.Key)
		_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(row.Version.Row)))
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if generation != v.generation || snapshot.Newest.Era != v.era {
		return
	}
	v.targetsHash, v.targetsReadAt = hash.Sum64(), started
}
