package settings

import (
	"encoding/json"
	"strings"

	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
)

// Difference is one path that a change modifies.
type Difference struct {
	Path string `json:"path"`
	// Before and After are the values as JSON, or "absent" if there is no object.
	Before string `json:"before"`
	After  string `json:"after"`
}

const absent = "absent"

// Diff returns the differences that a change would make to the tree.
func Diff(tree *Tree, change *event.Change) []Difference {
	differences := make([]Difference, 0, len(change.Edits))
	for _, edit := range change.Edits {
		after := absent
		if len(edit.Value) > 0 {
			after = string(edit.Value)
		}
		differences = append(differences, Difference{
			Path:   FullPath(change.Team, edit.Path),
			Before: tree.objectJSON(change.Team, edit.Path),
			After:  after,
		})
	}
	return differences
}

// objectJSON returns the object at a path below a team as JSON, or "absent".
func (t *Tree) objectJSON(team model.TeamID, path string) string {
	subtree, ok := t.Teams[team]
	if !ok {
		return absent
	}
	section, name, _ := strings.Cut(path, "/")
	switch section {
	case sectionModels:
		return encodeObject(subtree.Models, model.ModelName(name))
	case sectionPipelines:
		return encodeObject(subtree.Pipelines, model.PipelineID(name))
	case sectionWorkspaces:
		return encodeObject(subtree.Workspaces, model.WorkspaceID(name))
	case sectionServices:
		return encodeObject(subtree.Services, model.ServiceID(name))
	case sectionTargets:
		return encodeObject(subtree.Targets, model.TargetID(name))
	}
	return absent
}

func encodeObject[K ~string, V any](section map[K]*V, name K) string {
	object, ok := section[name]
	if !ok {
		return absent
	}
	data, err := json.Marshal(object)
	if err != nil {
		return absent
	}
	return string(data)
}
