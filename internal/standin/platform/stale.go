package platform

import (
	"encoding/json"
	"strings"

	"tamarackreach/internal/model"
	"tamarackreach/internal/settingsync"
)

// staleRows returns rows as they were before a head revision was accepted; with
// head 0 it returns them unchanged.
func staleRows(head model.Revision, rows []model.Row) []model.Row {
	if head == 0 {
		return rows
	}
	first := settingsync.ChangeKey(head)
	prefix := strings.TrimRight(first, "0123456789")
	var stale []model.Row
	for _, row := range rows {
		switch {
		case row.Key == settingsync.HeadKey:
			row = staleHeadRow(head, row)
		case strings.HasPrefix(row.Key, prefix) && row.Key >= first:
			row = model.Row{Key: row.Key}
		}
		stale = append(stale, row)
	}
	return stale
}

// staleHeadRow returns the head row with the revision before head.
func staleHeadRow(head model.Revision, row model.Row) model.Row {
	var current settingsync.RevisionRow
	if json.Unmarshal(row.Value, &current) != nil || current.Revision < head {
		return row
	}
	value, err := json.Marshal(settingsync.RevisionRow{Revision: head - 1})
	if err != nil {
		return row
	}
	row.Value = value
	return row
}
