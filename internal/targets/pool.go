package targets

import (
	"cmp"
	"slices"

	"tamarackreach/internal/model"
	"tamarackreach/internal/settings"
)

// maxPools is the number of pipelines whose targets are kept grouped; the
// oldest pool is dropped first and built again when it is asked for.
const maxPools = 64

// Holding is what a target reports to hold, and its zone.
type Holding struct {
	Layers  model.LayerRange
	Zone    model.AvailabilityZone
	Model   model.ModelName
	Version model.ModelVersion
}

// compare orders holdings by their layers, so that a walk over them visits the
// boundaries of the model in order.
func (h Holding) compare(other Holding) int {
	return cmp.Or(
		cmp.Compare(h.Layers.First, other.Layers.First),
		cmp.Compare(h.Layers.End, other.Layers.End),
		cmp.Compare(h.Zone, other.Zone),
		cmp.Compare(h.Model, other.Model),
		cmp.Compare(h.Version, other.Version),
	)
}

// Group is the targets of a pipeline with the same holding. It may include
// targets that are not usable at the moment.
type Group struct {
	Holding
	IDs []model.TargetID
}

// Pool groups the targets of one pipeline by what they hold. Reports keep it up
// to date one target at a time, so that routing scans no table.
type Pool struct {
	// Groups are in the order of their holdings; none is empty.
	Groups   []*Group
	pipeline *settings.Pipeline
	places   map[model.TargetID]place
}

// place is where a member of the pipeline stands; group is nil for a member
// that has not reported yet.
type place struct {
	group *Group
	at    int
}

// Pool returns the targets of a pipeline. It is built when the pipeline's
// settings are first asked for; settings objects never change once in force.
func (t *Table) Pool(pipeline *settings.Pipeline) *Pool {
	for _, pool := range t.pools {
		if pool.pipeline == pipeline {
			return pool
		}
	}
	pool := &Pool{pipeline: pipeline, places: make(map[model.TargetID]place)}
	for _, stage := range pipeline.Stages {
		for _, id := range stage.Targets {
			pool.places[id] = place{}
		}
	}
	for _, stage := range pipeline.Stages {
		for _, id := range stage.Targets {
			if target, ok := t.targets[id]; ok && target.Reported {
				pool.put(target)
			}
		}
	}
	if len(t.pools) == maxPools {
		t.pools = slices.Delete(t.pools, 0, 1)
	}
	t.pools = append(t.pools, pool)
	return pool
}

// regroup moves a target that reported to its group in every pool.
func (t *Table) regroup(target *Target) {
	for _, pool := range t.pools {
		pool.put(target)
	}
}

func (p *Pool) put(target *Target) {
	old, member := p.places[target.ID]
	if !member {
		return
	}
	holding := Holding{Layers: target.Layers, Zone: target.Zone, Model: target.Model, Version: target.Version}
	if old.group != nil {
		if old.group.Holding == holding {
			return
		}
		p.take(old)
	}
	group := p.group(holding)
	p.places[target.ID] = place{group: group, at: len(group.IDs)}
	group.IDs = append(group.IDs, target.ID)
}

// take removes a member from its group by moving the last one to its place.
func (p *Pool) take(old place) {
	last := len(old.group.IDs) - 1
	moved := old.group.IDs[last]
	old.group.IDs[old.at] = moved
	old.group.IDs = old.group.IDs[:last]
	p.places[moved] = old
	if last == 0 {
		at, _ := p.find(old.group.Holding)
		p.Groups = slices.Delete(p.Groups, at, at+1)
	}
}

func (p *Pool) find(holding Holding) (int, bool) {
	return slices.BinarySearchFunc(p.Groups, holding, func(g *Group, h Holding) int { return g.compare(h) })
}

// group returns the group of a holding; it is added if there is none.
func (p *Pool) group(holding Holding) *Group {
	at, ok := p.find(holding)
	if !ok {
		p.Groups = slices.Insert(p.Groups, at, &Group{Holding: holding})
	}
	return p.Groups[at]
}
