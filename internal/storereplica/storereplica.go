// Package storereplica holds a VM's copy of a table of the platform's store, with the time
// and the version as of which it is complete. A copy is read from the store, kept current by
// the store's feed, or taken from another VM's copy. It is pure.
package storereplica

import (
	"maps"
	"slices"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

// maxRemoved bounds the removals that a table remembers for the copies made of it.
const maxRemoved = 4096

// Cursor is a position in the changes of one VM's copy. The zero Cursor precedes all.
type Cursor struct {
	// Epoch identifies the copy; it changes with the process and with each reset.
	Epoch uint64 `json:"epoch"`
	// Change is the number of the last change that was seen.
	Change uint64 `json:"change"`
}

// Delta is what has changed in a copy since a cursor.
type Delta struct {
	// Full is true when Rows are all rows.
	Full bool
	Rows []fleet.StoreRow
	// Removed are the removed rows, with the versions as of which they were removed.
	Removed []fleet.StoreRow
	// Version is the version of the store up to which the copy contains all changes.
	Version fleet.StoreVersion
	Next    Cursor
}

// entry is a row and the number of the change that brought it.
type entry struct {
	row    fleet.StoreRow
	change uint64
}

// removal is the version of a removed row and the number of the change.
type removal struct {
	version model.RowVersion
	change  uint64
}

// Table is a copy of a table. The zero Table is empty and of era 0.
//
// Invariant: within an era no row is replaced by an earlier version of it, and only a read of
// the whole table, here or at the VM that it was taken from, moves Version and ConfirmedAt:
// the feed may omit changes.
type Table struct {
	epoch   uint64
	era     fleet.StoreEra
	rows    map[string]entry
	removed map[string]removal
	// change is the number of the last change, forgotten that of the last removal that is no
	// longer known.
	change, forgotten uint64
	version           model.RowVersion
	confirmedAt       model.Instant
}

// Reset empties the table for an era of the store. epoch must differ from that of every
// other table of the deployment.
func (t *Table) Reset(epoch uint64, era fleet.StoreEra) {
	*t = Table{epoch: epoch, era: era, rows: map[string]entry{}, removed: map[string]removal{}}
}

// Read reports whether the table has been read since the last reset.
func (t *Table) Read() bool { return t.confirmedAt != 0 }

// ConfirmedAt returns when the read began that last returned this state; 0 before the first.
func (t *Table) ConfirmedAt() model.Instant { return t.confirmedAt }

// Version returns the version up to which the table contains all changes.
func (t *Table) Version() fleet.StoreVersion {
	return fleet.StoreVersion{Era: t.era, Row: t.version}
}

// Rows returns all rows in the order of their keys.
func (t *Table) Rows() []fleet.StoreRow {
	out := make([]fleet.StoreRow, 0, len(t.rows))
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		out = append(out, t.rows[key].row)
	}
	return out
}

// Row returns a row; found is false where the table has none.
func (t *Table) Row(key string) (row fleet.StoreRow, found bool) {
	e, found := t.rows[key]
	return e.row, found
}

// Replace applies a read of the whole table that began at startedAt. It reports whether the
// read was used and whether a row changed: a read of another era, or one that is older than
// what is known, is not used.
func (t *Table) Replace(rows []fleet.StoreRow, version fleet.StoreVersion, startedAt model.Instant) (changed, used bool) {
	if version.Era != t.era || version.Row < t.version || t.rows == nil {
		return false, false
	}
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
		changed = t.put(row) || changed
	}
	for key, e := range t.rows {
		// A row that the feed brought after the read is newer than it.
		if !present[key] && e.row.Version.Row <= version.Row {
			t.remove(key, version.Row)
			changed = true
		}
	}
	t.version, t.confirmedAt = version.Row, max(t.confirmedAt, startedAt)
	return changed, true
}

// ApplyFeed applies rows and removals of the store's feed, and reports whether a row changed.
func (t *Table) ApplyFeed(rows, removed []fleet.StoreRow) (changed bool) {
	for _, row := range rows {
		changed = t.put(row) || changed
	}
	for _, row := range removed {
		changed = t.removeRow(row) || changed
	}
	return changed
}

// ApplyDelta applies what another VM's copy has that was current at confirmedAt. It reports
// whether it was used and whether a row changed: a copy of another era, or one that is older
// than this table, is not used.
func (t *Table) ApplyDelta(d Delta, confirmedAt model.Instant) (changed, used bool) {
	if d.Full {
		if changed, used = t.Replace(d.Rows, d.Version, confirmedAt); !used {
			return false, false
		}
	}
	if d.Version.Era != t.era || d.Version.Row < t.version || t.rows == nil {
		return false, false
	}
	for _, row := range d.Rows {
		changed = t.put(row) || changed
	}
	for _, row := range d.Removed {
		changed = t.removeRow(row) || changed
	}
	t.version, t.confirmedAt = d.Version.Row, max(t.confirmedAt, confirmedAt)
	return changed, true
}

// Position returns the cursor behind the last change.
func (t *Table) Position() Cursor { return Cursor{Epoch: t.epoch, Change: t.change} }

// Since returns what has changed since a cursor, or all rows where the cursor is of another
// copy or too old.
func (t *Table) Since(c Cursor) Delta {
	d := Delta{Version: t.Version(), Next: t.Position()}
	if c.Epoch != t.epoch || c.Change < t.forgotten {
		d.Full, c.Change = true, 0
	}
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if e := t.rows[key]; e.change > c.Change {
			d.Rows = append(d.Rows, e.row)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(t.removed)) {
		if t.removed[key].change > c.Change {
			d.Removed = append(d.Removed, fleet.StoreRow{Key: key, Version: fleet.StoreVersion{Era: t.era, Row: t.removed[key].version}})
		}
	}
	return d
}

// put stores a row unless it is older than what is known of its key.
func (t *Table) put(row fleet.StoreRow) (changed bool) {
	if row.Version.Era != t.era || t.rows == nil {
		return false
	}
	if e, found := t.rows[row.Key]; found && e.row.Version.Row >= row.Version.Row {
		return false
	}
	if r, found := t.removed[row.Key]; found && r.version >= row.Version.Row {
		return false
	}
	delete(t.removed, row.Key)
	t.change++
	t.rows[row.Key] = entry{row: row, change: t.change}
	return true
}

// removeRow removes a row unless what is known of its key is newer.
func (t *Table) removeRow(row fleet.StoreRow) (changed bool) {
	e, found := t.rows[row.Key]
	if !found || row.Version.Era != t.era || e.row.Version.Row > row.Version.Row {
		return false
	}
	t.remove(row.Key, row.Version.Row)
	return true
}

func (t *Table) remove(key string, version model.RowVersion) {
	delete(t.rows, key)
	t.change++
	t.removed[key] = removal{version: version, change: t.change}
	if len(t.removed) <= maxRemoved {
		return
	}
	oldest := key
	for k, r := range t.removed {
		if r.change < t.removed[oldest].change {
			oldest = k
		}
	}
	t.forgotten = t.removed[oldest].change
	delete(t.removed, oldest)
}
