package fleet

import "tamarackreach/internal/model"

// StoreEra counts how often the platform's store has come back from an older copy;
// 0 when the store states none.
type StoreEra uint64

// StoreVersion is the version of a row in an era of the store. A restored store
// assigns its version numbers again, so that versions of different eras are neither
// equal nor ordered.
type StoreVersion struct {
	Era StoreEra
	// Row is 0 for an absent row.
	Row model.RowVersion
}

// After reports whether v is the later of two versions of one era.
func (v StoreVersion) After(other StoreVersion) bool { return v.Era == other.Era && v.Row > other.Row }

// StoreRow is a row of the platform's store.
type StoreRow struct {
	Key     string
	Value   []byte
	Version StoreVersion
}

// Absent reports whether the row does not exist.
func (r *StoreRow) Absent() bool { return r.Version.Row == 0 }
