package platform

import (
	"encoding/json"
	"strings"

	"tamarackreach/internal/model"
	"tamarackreach/internal/spread"
)

// before returns rows as they were before a head revision was accepted.
func before(head model.Revision, rows []model.Row) []model.Row {
	if head == 0 {
		return rows
	}
	first := spread.ChangeKey(head)
	prefix := strings.TrimRight(first, "0123456789")
	var older []model.Row
	for _, row := range rows {
		switch {
		case row.Key == spread.HeadKey:
			row = olderHead(head, row)
		case strings.HasPrefix(row.Key, prefix) && row.Key >= first:
			row = model.Row{Key: row.Key}
		}
		older = append(older, row)
	}
	return older
}

func olderHead(head model.Revision, row model.Row) model.Row {
	var present spread.RevisionRow
	if json.Unmarshal(row.Value, &present) != nil || present.Revision < head {
		return row
	}
	value, err := json.Marshal(spread.RevisionRow{Revision: head - 1})
	if err != nil {
		return row
	}
	row.Value = value
	return row
}
