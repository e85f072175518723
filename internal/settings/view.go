package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
)

// View is an index of a tree for lookups by requests. Advance updates it to the
// next revision in time proportional to the change, not to the tree.
type View struct {
	tree               *Tree
	workspaceByKeyHash map[string]model.WorkspaceID
	workspaces         map[model.WorkspaceID]*Workspace
	pipelines          map[model.PipelineID]*Pipeline
	services           map[model.ServiceID]*Service
	targets            map[model.TargetID]*Target
	models             map[model.ModelName]*Model
}

// NewView returns the view of a tree, which must have passed its checks.
func NewView(tree *Tree) *View {
	v := &View{
		tree:               tree,
		workspaceByKeyHash: make(map[string]model.WorkspaceID),
		workspaces:         make(map[model.WorkspaceID]*Workspace),
		pipelines:          make(map[model.PipelineID]*Pipeline),
		services:           make(map[model.ServiceID]*Service),
		targets:            make(map[model.TargetID]*Target),
		models:             make(map[model.ModelName]*Model),
	}
	for _, team := range tree.Teams {
		v.addTeam(team)
	}
	return v
}

func (v *View) addTeam(team *Team) {
	for id, workspace := range team.Workspaces {
		v.workspaces[id] = workspace
		v.workspaceByKeyHash[workspace.keyHash()] = id
	}
	for id, pipeline := range team.Pipelines {
		v.pipelines[id] = pipeline
	}
	for id, service := range team.Services {
		v.services[id] = service
	}
	for id, target := range team.Targets {
		v.targets[id] = target
	}
	for id, m := range team.Models {
		v.models[id] = m
	}
}

// Advance updates the view to tree, which must be the view's tree with the change
// applied. Only the objects that the change edits are reindexed.
func (v *View) Advance(tree *Tree, change *event.Change) {
	v.tree = tree
	team := tree.Teams[change.Team]
	for _, edit := range change.Edits {
		section, name, _ := strings.Cut(edit.Path, "/")
		switch section {
		case sectionModels:
			indexObject(v.models, team.Models, model.ModelName(name))
		case sectionPipelines:
			indexObject(v.pipelines, team.Pipelines, model.PipelineID(name))
		case sectionWorkspaces:
			v.indexWorkspace(team, model.WorkspaceID(name))
		case sectionServices:
			indexObject(v.services, team.Services, model.ServiceID(name))
		case sectionTargets:
			indexObject(v.targets, team.Targets, model.TargetID(name))
		}
	}
}

// indexObject sets one entry of an index to that of a section, or deletes it if
// the section has none.
func indexObject[K comparable, V any](all, section map[K]*V, name K) {
	object, ok := section[name]
	if !ok {
		delete(all, name)
		return
	}
	all[name] = object
}

func (v *View) indexWorkspace(team *Team, id model.WorkspaceID) {
	if old, ok := v.workspaces[id]; ok && v.workspaceByKeyHash[old.keyHash()] == id {
		delete(v.workspaceByKeyHash, old.keyHash())
	}
	indexObject(v.workspaces, team.Workspaces, id)
	if workspace, ok := v.workspaces[id]; ok {
		v.workspaceByKeyHash[workspace.keyHash()] = id
	}
}

// Tree returns the indexed tree.
func (v *View) Tree() *Tree { return v.tree }

// WorkspaceByKey returns the workspace that has the key.
func (v *View) WorkspaceByKey(key string) (model.WorkspaceID, *Workspace, bool) {
	hash := sha256.Sum256([]byte(key))
	id, ok := v.workspaceByKeyHash[hex.EncodeToString(hash[:])]
	if !ok {
		return "", nil, false
	}
	return id, v.workspaces[id], true
}

// PipelineFor returns the pipeline of the model in which the workspace has a
// share; if there are several, the first by name.
func (v *View) PipelineFor(w *Workspace, name model.ModelName) (model.PipelineID, *Pipeline, bool) {
	var found model.PipelineID
	for id := range w.SharesTokensPerS {
		pipeline, ok := v.pipelines[id]
		if ok && pipeline.Model == name && (found == "" || id < found) {
			found = id
		}
	}
	if found == "" {
		return "", nil, false
	}
	return found, v.pipelines[found], true
}

// Pipeline returns the pipeline with an ID.
func (v *View) Pipeline(id model.PipelineID) (*Pipeline, bool) {
	p, ok := v.pipelines[id]
	return p, ok
}

// Pipelines returns all pipelines. The map must not be modified.
func (v *View) Pipelines() map[model.PipelineID]*Pipeline { return v.pipelines }

// Workspaces returns all workspaces. The map must not be modified.
func (v *View) Workspaces() map[model.WorkspaceID]*Workspace { return v.workspaces }

// Service returns the service with an ID.
func (v *View) Service(id model.ServiceID) (*Service, bool) {
	s, ok := v.services[id]
	return s, ok
}

// Target returns the declaration of an engine; an engine that no team declares
// counts as performing no checks.
func (v *View) Target(id model.TargetID) Target {
	if target, ok := v.targets[id]; ok {
		return *target
	}
	return Target{}
}
