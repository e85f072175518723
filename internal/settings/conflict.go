package settings

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
)

// FullPath returns the path of an edit from the root of the tree.
func FullPath(team model.TeamID, path string) string {
	return "teams/" + string(team) + "/" + path
}

// ReadSet returns the paths, or prefixes ending in a slash, that the change's
// validity rests on: what it edits and what the invariants over it read. A later
// change that wrote one of them may have made the change invalid.
func (t *Tree) ReadSet(change *event.Change) []string {
	reads := make(map[string]bool)
	for _, edit := range change.Edits {
		reads[FullPath(change.Team, edit.Path)] = true
		section, name, _ := strings.Cut(edit.Path, "/")
		switch section {
		case sectionModels:
			t.addPipelinesOf(model.ModelName(name), reads)
		case sectionPipelines:
			t.addPipelineReads(model.PipelineID(name), edit.Value, reads)
		case sectionWorkspaces:
			t.addWorkspaceReads(change.Team, model.WorkspaceID(name), edit.Value, reads)
		}
	}
	return slices.Sorted(maps.Keys(reads))
}

// addPipelinesOf adds every pipeline section: a pipeline added since may use a
// version of the model.
func (t *Tree) addPipelinesOf(_ model.ModelName, reads map[string]bool) {
	for team := range t.Teams {
		reads[FullPath(team, sectionPipelines+"/")] = true
	}
}

// addPipelineReads adds the model of the pipeline and the workspaces that hold
// a share of it.
func (t *Tree) addPipelineReads(id model.PipelineID, value json.RawMessage, reads map[string]bool) {
	var pipeline Pipeline
	if len(value) > 0 && json.Unmarshal(value, &pipeline) == nil {
		t.addModel(pipeline.Model, reads)
	}
	t.addShares(id, reads)
}

func (t *Tree) addModel(name model.ModelName, reads map[string]bool) {
	for team, subtree := range t.Teams {
		if _, ok := subtree.Models[name]; ok {
			reads[FullPath(team, sectionModels+"/"+string(name))] = true
		}
	}
}

// addShares adds the workspaces of every team: any of them may have taken a
// share since.
func (t *Tree) addShares(_ model.PipelineID, reads map[string]bool) {
	for team := range t.Teams {
		reads[FullPath(team, sectionWorkspaces+"/")] = true
	}
}

// addWorkspaceReads adds, for a workspace whose shares grow, the pipelines that
// it has a share of and the other holders of shares.
func (t *Tree) addWorkspaceReads(team model.TeamID, id model.WorkspaceID, value json.RawMessage, reads map[string]bool) {
	var workspace Workspace
	if len(value) == 0 || json.Unmarshal(value, &workspace) != nil {
		return
	}
	var before map[model.PipelineID]uint32
	if subtree, ok := t.Teams[team]; ok {
		if old, ok := subtree.Workspaces[id]; ok {
			before = old.SharesTokensPerS
		}
	}
	for pipeline, share := range workspace.SharesTokensPerS {
		if share <= before[pipeline] {
			continue
		}
		t.addShares(pipeline, reads)
		for owner, subtree := range t.Teams {
			if _, ok := subtree.Pipelines[pipeline]; ok {
				reads[FullPath(owner, sectionPipelines+"/"+string(pipeline))] = true
			}
		}
	}
}

// FirstConflict returns the first path of the read set that a later change wrote.
func FirstConflict(reads []string, later *event.Change) (string, bool) {
	for _, edit := range later.Edits {
		written := FullPath(later.Team, edit.Path)
		for _, read := range reads {
			if read == written || strings.HasSuffix(read, "/") && strings.HasPrefix(written, read) {
				return written, true
			}
		}
	}
	return "", false
}
