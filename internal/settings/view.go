package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
)

// View answers the questions that requests ask of a tree. Advance moves it to
// the tree of the next revision at the cost of the change, not of the tree.
type View struct {
	tree       *Tree
	keys       map[string]model.WorkspaceID
	workspaces map[model.WorkspaceID]*Workspace
	pipelines  map[model.PipelineID]*Pipeline
	services   map[model.ServiceID]*Service
	targets    map[model.TargetID]*Target
	models     map[model.ModelName]*Model
}

// NewView indexes a tree that passed its checks.
func NewView(tree *Tree) *View {
	v := &View{
		tree:       tree,
		keys:       make(map[string]model.WorkspaceID),
		workspaces: make(map[model.WorkspaceID]*Workspace),
		pipelines:  make(map[model.PipelineID]*Pipeline),
		services:   make(map[model.ServiceID]*Service),
		targets:    make(map[model.TargetID]*Target),
		models:     make(map[model.ModelName]*Model),
	}
	for _, team := range tree.Teams {
		v.addTeam(team)
	}
	return v
}

func (v *View) addTeam(team *Team) {
	for id, workspace := range team.Workspaces {
		v.workspaces[id] = workspace
		v.keys[workspace.keyHash()] = id
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

// Advance moves the view to the tree that a change made of its own. Only the
// objects that the change edits are indexed anew.
func (v *View) Advance(tree *Tree, change *event.Change) {
	v.tree = tree
	team := tree.Teams[change.Team]
	for _, edit := range change.Edits {
		section, name, _ := strings.Cut(edit.Path, "/")
		switch section {
		case sectionModels:
			index(v.models, team.Models, model.ModelName(name))
		case sectionPipelines:
			index(v.pipelines, team.Pipelines, model.PipelineID(name))
		case sectionWorkspaces:
			v.indexWorkspace(team, model.WorkspaceID(name))
		case sectionServices:
			index(v.services, team.Services, model.ServiceID(name))
		case sectionTargets:
			index(v.targets, team.Targets, model.TargetID(name))
		}
	}
}

// index makes one entry of an index that of a section.
func index[K comparable, V any](all, section map[K]*V, name K) {
	object, ok := section[name]
	if !ok {
		delete(all, name)
		return
	}
	all[name] = object
}

func (v *View) indexWorkspace(team *Team, id model.WorkspaceID) {
	if old, ok := v.workspaces[id]; ok && v.keys[old.keyHash()] == id {
		delete(v.keys, old.keyHash())
	}
	index(v.workspaces, team.Workspaces, id)
	if workspace, ok := v.workspaces[id]; ok {
		v.keys[workspace.keyHash()] = id
	}
}

// Tree returns the tree behind the view.
func (v *View) Tree() *Tree { return v.tree }

// WorkspaceByKey returns the workspace whose key it is.
func (v *View) WorkspaceByKey(key string) (model.WorkspaceID, *Workspace, bool) {
	hash := sha256.Sum256([]byte(key))
	id, ok := v.keys[hex.EncodeToString(hash[:])]
	if !ok {
		return "", nil, false
	}
	return id, v.workspaces[id], true
}

// PipelineFor returns the pipeline of the model that the workspace has a share
// of; of several, the first by name.
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

// Pipeline returns a pipeline.
func (v *View) Pipeline(id model.PipelineID) (*Pipeline, bool) {
	p, ok := v.pipelines[id]
	return p, ok
}

// Pipelines returns every pipeline.
func (v *View) Pipelines() map[model.PipelineID]*Pipeline { return v.pipelines }

// Workspaces returns every workspace.
func (v *View) Workspaces() map[model.WorkspaceID]*Workspace { return v.workspaces }

// Service returns a service.
func (v *View) Service(id model.ServiceID) (*Service, bool) {
	s, ok := v.services[id]
	return s, ok
}

// Target returns what is stated of an engine; an engine that no team states
// checks nothing.
func (v *View) Target(id model.TargetID) Target {
	if target, ok := v.targets[id]; ok {
		return *target
	}
	return Target{}
}
