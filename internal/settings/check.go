package settings

import (
	"encoding/hex"
	"fmt"
	"maps"
	"slices"

	"tamarackreach/internal/model"
)

// keyHashBytes is the length of a SHA-256 hash.
const keyHashBytes = 32

// Check returns all problems of the tree, in a fixed order.
func (t *Tree) Check() []Problem {
	c := checker{
		owners:             make(map[objectName]model.TeamID),
		workspaceByKeyHash: make(map[string]objectRef),
		stageByTarget:      make(map[model.TargetID]string),
		shareTotals:        make(map[model.PipelineID]uint64),
	}
	c.indexReferences(t)
	for _, teamID := range slices.Sorted(maps.Keys(t.Teams)) {
		c.team(teamID, t.Teams[teamID])
	}
	c.shareSums()
	return c.problems
}

// checker collects the problems of one tree.
type checker struct {
	// owners holds, by object, the team that has it.
	owners map[objectName]model.TeamID
	// workspaceByKeyHash holds, by hex SHA-256 of the key in lower case, the
	// workspace that has the key.
	workspaceByKeyHash map[string]objectRef
	// stageByTarget holds, by target, the path of the stage that lists it.
	stageByTarget map[model.TargetID]string
	models        map[model.ModelName]*Model
	pipelines     map[model.PipelineID]*Pipeline
	// shareTotals holds, by pipeline, the sum of its shares in tokens/s.
	shareTotals map[model.PipelineID]uint64
	problems    []Problem
}

func (c *checker) addProblem(path, value, remedy string) {
	c.problems = append(c.problems, Problem{Path: path, Value: value, Remedy: remedy})
}

// indexReferences indexes the models and pipelines, which objects of any team may
// refer to.
func (c *checker) indexReferences(t *Tree) {
	c.models = make(map[model.ModelName]*Model)
	c.pipelines = make(map[model.PipelineID]*Pipeline)
	for _, team := range t.Teams {
		maps.Copy(c.models, team.Models)
		maps.Copy(c.pipelines, team.Pipelines)
	}
}

// objectName identifies an object in any team.
type objectName struct{ section, name string }

// objectRef is the location of an object. Its path is built only for problems,
// since most of the many thousand objects have none.
type objectRef struct {
	team model.TeamID
	objectName
}

// path returns the path of a field of the object.
func (o objectRef) path(field string) string {
	return FullPath(o.team, o.section+"/"+o.name+"/"+field)
}

// claimName records the team that has an object and returns the object's location.
// It reports a problem if another team already uses the name.
func (c *checker) claimName(team model.TeamID, section, name string) objectRef {
	o := objectRef{team: team, objectName: objectName{section: section, name: name}}
	if owner, taken := c.owners[o.objectName]; taken {
		c.addProblem(FullPath(team, section+"/"+name), fmt.Sprintf("name is taken by team %s", owner), "choose another name")
	}
	c.owners[o.objectName] = team
	return o
}

func (c *checker) team(id model.TeamID, team *Team) {
	for _, name := range slices.Sorted(maps.Keys(team.Models)) {
		c.model(c.claimName(id, sectionModels, string(name)), team.Models[name])
	}
	for _, name := range slices.Sorted(maps.Keys(team.Pipelines)) {
		c.pipeline(c.claimName(id, sectionPipelines, string(name)), team.Pipelines[name])
	}
	for _, name := range slices.Sorted(maps.Keys(team.Workspaces)) {
		c.workspace(c.claimName(id, sectionWorkspaces, string(name)), team.Workspaces[name])
	}
	for _, name := range slices.Sorted(maps.Keys(team.Services)) {
		c.service(c.claimName(id, sectionServices, string(name)), team.Services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(team.Targets)) {
		c.claimName(id, sectionTargets, string(name))
	}
}

func (c *checker) model(o objectRef, m *Model) {
	if len(m.Versions) == 0 {
		c.addProblem(o.path("versions"), "is empty", "list at least one version")
	}
	if m.Layers == 0 {
		c.addProblem(o.path("layers"), "0", "give the number of layers of the model")
	}
}

func (c *checker) pipeline(o objectRef, p *Pipeline) {
	if p.Recovery != RecoverStage && p.Recovery != RecoverRestart {
		c.addProblem(o.path("recovery"), string(p.Recovery), `use "stage" or "restart"`)
	}
	if p.MaxPromptBytes == 0 {
		c.addProblem(o.path("max_prompt_bytes"), "0", "give the longest prompt in bytes")
	}
	m, ok := c.models[p.Model]
	if !ok {
		c.addProblem(o.path("model"), string(p.Model), "name a model that a team lists under models")
		return
	}
	if !slices.Contains(m.Versions, p.Version) {
		c.addProblem(o.path("version"), string(p.Version), "use a listed version; a version in use can't be withdrawn")
	}
	c.stagesOf(o, p.Stages, m.Layers)
}

// stagesOf checks that the stages cover all layers of the model without gaps
// or overlaps.
func (c *checker) stagesOf(o objectRef, stages []Stage, layers uint32) {
	next := uint32(0)
	for i, stage := range stages {
		path := o.path(fmt.Sprintf("stages/%d", i))
		if stage.Layers.First != next || stage.Layers.End <= stage.Layers.First {
			c.addProblem(path+"/layers", stage.Layers.String(), fmt.Sprintf("start at layer %d and hold at least one layer", next))
		}
		if len(stage.Targets) == 0 {
			c.addProblem(path+"/targets", "is empty", "name at least one target")
		}
		c.stageTargets(path, stage.Targets)
		next = stage.Layers.End
	}
	if next != layers {
		c.addProblem(o.path("stages"), fmt.Sprintf("end at layer %d", next), fmt.Sprintf("cover all %d layers of the model", layers))
	}
}

// stageTargets checks that no other stage lists a target: the target would receive
// the orders of both stages and keep switching between their layers.
func (c *checker) stageTargets(path string, targets []model.TargetID) {
	for _, target := range targets {
		if other, taken := c.stageByTarget[target]; taken {
			c.addProblem(path+"/targets", fmt.Sprintf("%s is named by %s", target, other), "name a target in one stage only")
		}
		c.stageByTarget[target] = path
	}
}

func (c *checker) workspace(o objectRef, w *Workspace) {
	if hash, err := hex.DecodeString(w.KeySHA256); err != nil || len(hash) != keyHashBytes {
		c.addProblem(o.path("key_sha256"), w.KeySHA256, "give the hex SHA-256 of the workspace key")
	}
	if other, taken := c.workspaceByKeyHash[w.keyHash()]; taken {
		c.addProblem(o.path("key_sha256"), "is the key of workspace "+other.name, "give each workspace a key of its own")
	}
	c.workspaceByKeyHash[w.keyHash()] = o
	if w.FirstTokenMs == 0 {
		c.addProblem(o.path("first_token_ms"), "0", "give how long callers wait for the first token, in ms")
	}
	for _, pipeline := range slices.Sorted(maps.Keys(w.SharesTokensPerS)) {
		if _, ok := c.pipelines[pipeline]; !ok {
			c.addProblem(o.path("shares_tokens_per_s"), string(pipeline), "name a pipeline that exists")
		}
		c.shareTotals[pipeline] += uint64(w.SharesTokensPerS[pipeline])
	}
}

func (c *checker) service(o objectRef, s *Service) {
	if len(s.Targets) == 0 {
		c.addProblem(o.path("targets"), "is empty", "name at least one target")
	}
	for _, name := range slices.Sorted(maps.Keys(s.Methods)) {
		if s.Methods[name].DeadlineMs == 0 {
			c.addProblem(o.path("methods/"+string(name)+"/deadline_ms"), "0", "give the longest a call may take, in ms")
		}
	}
}

// shareSums checks the invariant that spans teams: the shares of a pipeline
// sum to at most its capacity.
func (c *checker) shareSums() {
	for _, id := range slices.Sorted(maps.Keys(c.shareTotals)) {
		pipeline, ok := c.pipelines[id]
		if !ok || c.shareTotals[id] <= uint64(pipeline.CapacityTokensPerS) {
			continue
		}
		c.addProblem("pipelines/"+string(id)+"/capacity_tokens_per_s",
			fmt.Sprintf("shares sum to %d of %d tokens/s", c.shareTotals[id], pipeline.CapacityTokensPerS),
			"lower a share or raise the capacity")
	}
}
