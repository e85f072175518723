package settings

import (
	"strings"

	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
)

// FullPath returns the path of an edit from the root of the tree.
func FullPath(team model.TeamID, path string) string {
	return "teams/" + string(team) + "/" + path
}

// WriteSet returns the paths that a change writes.
func WriteSet(change *event.Change) []string {
	paths := make([]string, 0, len(change.Edits))
	for _, edit := range change.Edits {
		paths = append(paths, FullPath(change.Team, edit.Path))
	}
	return paths
}

// FirstConflict returns the first path written by a later change that is among
// paths. A path that ends in a slash matches everything below it.
func FirstConflict(paths []string, later *event.Change) (string, bool) {
	for _, edit := range later.Edits {
		written := FullPath(later.Team, edit.Path)
		for _, path := range paths {
			if path == written || strings.HasSuffix(path, "/") && strings.HasPrefix(written, path) {
				return written, true
			}
		}
	}
	return "", false
}
