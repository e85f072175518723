package keeper

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackreach/internal/model"
)

// seen is what a VM last saw of the store, as it tells its zone.
type seen struct {
	ConfigRow    model.RowVersion `json:"config_row"`
	ConfigAgeMs  int64            `json:"config_age_ms"`
	TargetsHash  uint64           `json:"targets_hash"`
	TargetsAgeMs int64            `json:"targets_age_ms"`
}

// configAge is how long ago the read began that saw the configuration. A
// millisecond is added for what rounding took.
func (s *seen) configAge() time.Duration { return time.Duration(s.ConfigAgeMs+1) * time.Millisecond }

// view is what this VM last saw of the store: the version of the
// configuration's row and a hash of all registrations' versions.
type view struct {
	mu sync.Mutex
	// interval is how often the store is read; what a lead saw longer ago than
	// that is read again.
	interval time.Duration
	// store counts the stores that were read: what a read of an earlier one gives
	// is dropped.
	store       int
	configRow   model.RowVersion
	configAt    model.Instant
	targetsHash uint64
	targetsAt   model.Instant
}

func (v *view) setInterval(interval time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.interval = interval
}

// forget drops what was seen, so that it is read anew.
func (v *view) forget() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.store++
	v.configRow, v.targetsHash, v.targetsAt = 0, 0, 0
}

// reading returns the number of the store that a read which begins now goes to.
func (v *view) reading() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.store
}

// state returns what the zone may hear.
func (v *view) state(now model.Instant) *seen {
	v.mu.Lock()
	defer v.mu.Unlock()
	return &seen{
		ConfigRow: v.configRow, ConfigAgeMs: now.Sub(v.configAt).Milliseconds(),
		TargetsHash: v.targetsHash, TargetsAgeMs: now.Sub(v.targetsAt).Milliseconds(),
	}
}

// sameConfig is true when a lead saw the configuration that is in force here,
// lately.
func (v *view) sameConfig(s *seen) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.configRow != 0 && s.ConfigRow == v.configRow && s.configAge() <= v.interval+callTimeout/4
}

// sameTargets is true when a lead saw the registrations that are known here,
// lately.
func (v *view) sameTargets(s *seen) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	age := time.Duration(s.TargetsAgeMs) * time.Millisecond
	return v.targetsAt != 0 && s.TargetsHash == v.targetsHash && age <= v.interval+callTimeout/4
}

// confirmConfig notes that a read that began at started saw a row, and returns
// whether it is the one in force.
func (v *view) confirmConfig(row model.RowVersion, started model.Instant) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if row != v.configRow {
		return false
	}
	v.configAt = started
	return true
}

func (v *view) replaceConfig(store int, row model.RowVersion, started model.Instant) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if store != v.store {
		return
	}
	v.configRow, v.configAt = row, started
}

func (v *view) replaceTargets(store int, rows []model.Row, started model.Instant) {
	hash := xxhash.New()
	for _, row := range rows {
		// Writing to a hash never fails.
		_, _ = hash.WriteString(row.Key)
		_, _ = hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(row.Version)))
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if store != v.store {
		return
	}
	v.targetsHash, v.targetsAt = hash.Sum64(), started
}
