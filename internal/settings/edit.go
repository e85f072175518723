package settings

import (
	"fmt"
	"maps"
	"strings"

	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/strictjson"
)

// Section names of a team's subtree, as used in paths.
const (
	sectionModels     = "models"
	sectionPipelines  = "pipelines"
	sectionWorkspaces = "workspaces"
	sectionServices   = "services"
	sectionTargets    = "targets"
)

// Problem is one problem of a tree or a change.
type Problem struct {
	Path   string `json:"path"`
	Value  string `json:"value"`
	Remedy string `json:"remedy"`
}

// String formats the problem for operators.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %s; remedy: %s", p.Path, p.Value, p.Remedy)
}

// Apply returns a copy of the tree with the edits of the change applied, and the
// problems of the edits. The receiver is not modified; unmodified sections are
// shared between both trees.
func (t *Tree) Apply(change *event.Change) (*Tree, []Problem) {
	next := &Tree{Teams: maps.Clone(t.Teams)}
	team := newTeam()
	if old, ok := t.Teams[change.Team]; ok {
		copied := *old
		team = &copied
	}
	next.Teams[change.Team] = team
	editor := teamEditor{team: team, cloned: make(map[string]bool)}
	var problems []Problem
	for _, edit := range change.Edits {
		if problem := editor.apply(edit); problem != nil {
			problems = append(problems, *problem)
		}
	}
	return next, problems
}

// teamEditor edits a shallow copy of a team; it clones each section before the
// first edit in it.
type teamEditor struct {
	team   *Team
	cloned map[string]bool
}

func (e *teamEditor) apply(edit event.Edit) *Problem {
	section, name, found := strings.Cut(edit.Path, "/")
	if !found || name == "" || strings.Contains(name, "/") {
		return &Problem{Path: edit.Path, Value: "is not SECTION/NAME", Remedy: "name one object, such as workspaces/callcentre-1"}
	}
	first := !e.cloned[section]
	e.cloned[section] = true
	switch section {
	case sectionModels:
		return editSection(&e.team.Models, first, model.ModelName(name), edit)
	case sectionPipelines:
		return editSection(&e.team.Pipelines, first, model.PipelineID(name), edit)
	case sectionWorkspaces:
		return editSection(&e.team.Workspaces, first, model.WorkspaceID(name), edit)
	case sectionServices:
		return editSection(&e.team.Services, first, model.ServiceID(name), edit)
	case sectionTargets:
		return editSection(&e.team.Targets, first, model.TargetID(name), edit)
	}
	return &Problem{Path: edit.Path, Value: "unknown section " + section, Remedy: "use models, pipelines, workspaces, services or targets"}
}

func editSection[K ~string, V any](section *map[K]*V, clone bool, name K, edit event.Edit) *Problem {
	if clone {
		*section = maps.Clone(*section)
	}
	if *section == nil {
		*section = make(map[K]*V)
	}
	if len(edit.Value) == 0 {
		if _, ok := (*section)[name]; !ok {
			return &Problem{Path: edit.Path, Value: "is absent", Remedy: "remove only objects that exist; see tamarackctl get"}
		}
		delete(*section, name)
		return nil
	}
	value := new(V)
	if err := strictjson.Decode(edit.Value, value); err != nil {
		return &Problem{Path: edit.Path, Value: err.Error(), Remedy: "correct the object's JSON; fields are in docs/OPERATIONS.md"}
	}
	(*section)[name] = value
	return nil
}
