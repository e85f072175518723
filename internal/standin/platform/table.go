// Package platform is a stand-in for the platform: a transactional table, an
// object store, a list of VMs that lags behind and a rate-limited weight store. It
// injects the faults that the real platform shows.
package platform

import (
	"slices"
	"strings"
	"sync"

	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
)

// Table is an in-memory transactional table.
type Table struct {
	mu      sync.Mutex
	rows    map[string]model.Row
	keys    []string
	version model.RowVersion
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: make(map[string]model.Row)} }

// Transact checks the conditions and applies the writes atomically. It returns the
// version of the written rows, or the conflicting rows.
func (t *Table) Transact(conditions []event.Condition, writes []event.Write) (model.RowVersion, []model.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var conflicts []model.Row
	for _, condition := range conditions {
		row := t.get(condition.Key)
		if row.Version != condition.Version {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return 0, conflicts
	}
	t.version++
	for _, write := range writes {
		t.write(write)
	}
	return t.version, nil
}

func (t *Table) get(key string) model.Row {
	row, ok := t.rows[key]
	if !ok {
		return model.Row{Key: key}
	}
	return row
}

func (t *Table) write(write event.Write) {
	index, found := slices.BinarySearch(t.keys, write.Key)
	if write.Delete {
		delete(t.rows, write.Key)
		if found {
			t.keys = slices.Delete(t.keys, index, index+1)
		}
		return
	}
	if !found {
		t.keys = slices.Insert(t.keys, index, write.Key)
	}
	t.rows[write.Key] = model.Row{Key: write.Key, Value: write.Value, Version: t.version}
}

// Read returns rows by key; absent rows have version 0.
func (t *Table) Read(keys []string) []model.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]model.Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, t.get(key))
	}
	return rows
}

// Scan returns up to limit rows with the prefix in key order, beginning at the
// start key.
func (t *Table) Scan(prefix, start string, limit int) []model.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	from, _ := slices.BinarySearch(t.keys, max(prefix, start))
	var rows []model.Row
	for _, key := range t.keys[from:] {
		if !strings.HasPrefix(key, prefix) || len(rows) == limit {
			break
		}
		rows = append(rows, t.rows[key])
	}
	return rows
}
