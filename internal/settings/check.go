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

// Check returns everything wrong with the tree, in a fixed order.
func (t *Tree) Check() []Problem {
	c := checker{
		owners: make(map[objectName]model.TeamID),
		keys:   make(map[string]object),
		stages: make(map[model.TargetID]string),
		shares: make(map[model.PipelineID]uint64),
	}
	c.collect(t)
	for _, teamID := range slices.Sorted(maps.Keys(t.Teams)) {
		c.team(teamID, t.Teams[teamID])
	}
	c.shareSums()
	return c.problems
}

type checker struct {
	owners map[objectName]model.TeamID
	// keys holds, by key hash, the workspace that has it.
	keys map[string]object
	// stages holds, by target, the stage that names it.
	stages    map[model.TargetID]string
	models    map[model.ModelName]*Model
	pipelines map[model.PipelineID]*Pipeline
	shares    map[model.PipelineID]uint64
	problems  []Problem
}

func (c *checker) add(path, value, remedy string) {
	c.problems = append(c.problems, Problem{Path: path, Value: value, Remedy: remedy})
}

// collect indexes the objects that others refer to across teams.
func (c *checker) collect(t *Tree) {
	c.models = make(map[model.ModelName]*Model)
	c.pipelines = make(map[model.PipelineID]*Pipeline)
	for _, team := range t.Teams {
		maps.Copy(c.models, team.Models)
		maps.Copy(c.pipelines, team.Pipelines)
	}
}

// objectName names an object whatever team has it.
type objectName struct{ section, name string }

// object is where an object stands. Its path is put together only for problems,
// since most of many thousand objects have none.
type object struct {
	team model.TeamID
	objectName
}

// at returns the path of a field of the object.
func (o object) at(field string) string {
	return FullPath(o.team, o.section+"/"+o.name+"/"+field)
}

// own reports an object whose name another team uses already.
func (c *checker) own(team model.TeamID, section, name string) object {
	o := object{team: team, objectName: objectName{section: section, name: name}}
	if owner, taken := c.owners[o.objectName]; taken {
		c.add(FullPath(team, section+"/"+name), fmt.Sprintf("name is taken by team %s", owner), "choose another name")
	}
	c.owners[o.objectName] = team
	return o
}

func (c *checker) team(id model.TeamID, team *Team) {
	for _, name := range slices.Sorted(maps.Keys(team.Models)) {
		c.model(c.own(id, sectionModels, string(name)), team.Models[name])
	}
	for _, name := range slices.Sorted(maps.Keys(team.Pipelines)) {
		c.pipeline(c.own(id, sectionPipelines, string(name)), team.Pipelines[name])
	}
	for _, name := range slices.Sorted(maps.Keys(team.Workspaces)) {
		c.workspace(c.own(id, sectionWorkspaces, string(name)), team.Workspaces[name])
	}
	for _, name := range slices.Sorted(maps.Keys(team.Services)) {
		c.service(c.own(id, sectionServices, string(name)), team.Services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(team.Targets)) {
		c.own(id, sectionTargets, string(name))
	}
}

func (c *checker) model(o object, m *Model) {
	if len(m.Versions) == 0 {
		c.add(o.at("versions"), "is empty", "list at least one version")
	}
	if m.Layers == 0 {
		c.add(o.at("layers"), "0", "give the number of layers of the model")
	}
}

func (c *checker) pipeline(o object, p *Pipeline) {
	if p.Recovery != RecoverStage && p.Recovery != RecoverRestart {
		c.add(o.at("recovery"), string(p.Recovery), `use "stage" or "restart"`)
	}
	if p.MaxPromptBytes == 0 {
		c.add(o.at("max_prompt_bytes"), "0", "give the longest prompt in bytes")
	}
	m, ok := c.models[p.Model]
	if !ok {
		c.add(o.at("model"), string(p.Model), "name a model that a team lists under models")
		return
	}
	if !slices.Contains(m.Versions, p.Version) {
		c.add(o.at("version"), string(p.Version), "use a listed version; a version in use can't be withdrawn")
	}
	c.stagesOf(o, p.Stages, m.Layers)
}

// stagesOf checks that the stages join up to the whole model.
func (c *checker) stagesOf(o object, stages []Stage, layers uint32) {
	next := uint32(0)
	for i, stage := range stages {
		at := o.at(fmt.Sprintf("stages/%d", i))
		if stage.Layers.First != next || stage.Layers.End <= stage.Layers.First {
			c.add(at+"/layers", stage.Layers.String(), fmt.Sprintf("start at layer %d and hold at least one layer", next))
		}
		if len(stage.Targets) == 0 {
			c.add(at+"/targets", "is empty", "name at least one target")
		}
		c.stageTargets(at, stage.Targets)
		next = stage.Layers.End
	}
	if next != layers {
		c.add(o.at("stages"), fmt.Sprintf("end at layer %d", next), fmt.Sprintf("cover all %d layers of the model", layers))
	}
}

// stageTargets checks that no other stage names a target: its lease holder would
// order it back and forth.
func (c *checker) stageTargets(at string, targets []model.TargetID) {
	for _, target := range targets {
		if other, taken := c.stages[target]; taken {
			c.add(at+"/targets", fmt.Sprintf("%s is named by %s", target, other), "name a target in one stage only")
		}
		c.stages[target] = at
	}
}

func (c *checker) workspace(o object, w *Workspace) {
	if hash, err := hex.DecodeString(w.KeySHA256); err != nil || len(hash) != keyHashBytes {
		c.add(o.at("key_sha256"), w.KeySHA256, "give the hex SHA-256 of the workspace key")
	}
	if other, taken := c.keys[w.keyHash()]; taken {
		c.add(o.at("key_sha256"), "is the key of workspace "+other.name, "give each workspace a key of its own")
	}
	c.keys[w.keyHash()] = o
	if w.FirstTokenMs == 0 {
		c.add(o.at("first_token_ms"), "0", "give how long callers wait for the first token, in ms")
	}
	for _, pipeline := range slices.Sorted(maps.Keys(w.SharesTokensPerS)) {
		if _, ok := c.pipelines[pipeline]; !ok {
			c.add(o.at("shares_tokens_per_s"), string(pipeline), "name a pipeline that exists")
		}
		c.shares[pipeline] += uint64(w.SharesTokensPerS[pipeline])
	}
}

func (c *checker) service(o object, s *Service) {
	if len(s.Targets) == 0 {
		c.add(o.at("targets"), "is empty", "name at least one target")
	}
	for _, name := range slices.Sorted(maps.Keys(s.Methods)) {
		if s.Methods[name].DeadlineMs == 0 {
			c.add(o.at("methods/"+string(name)+"/deadline_ms"), "0", "give the longest a call may take, in ms")
		}
	}
}

// shareSums checks the invariant that crosses subtrees: the shares of a
// pipeline sum to at most its capacity.
func (c *checker) shareSums() {
	for _, id := range slices.Sorted(maps.Keys(c.shares)) {
		pipeline, ok := c.pipelines[id]
		if !ok || c.shares[id] <= uint64(pipeline.CapacityTokensPerS) {
			continue
		}
		c.add("pipelines/"+string(id)+"/capacity_tokens_per_s",
			fmt.Sprintf("shares sum to %d of %d tokens/s", c.shares[id], pipeline.CapacityTokensPerS),
			"lower a share or raise the capacity")
	}
}
