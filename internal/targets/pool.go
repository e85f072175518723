package targets

import (
	"cmp"
	"slices"

	"tamarackreach/internal/model"
	"tamarackreach/internal/settings"
)

// maxPools is the number of pipelines whose pools are cached; the oldest pool is
// evicted first and rebuilt on its next use.
const maxPools = 64

// GroupKey is the layers and the model version that a target serves, and its
// zone.
type GroupKey struct {
	Layers  model.LayerRange
	Zone    model.AvailabilityZone
	Model   model.ModelName
	Version model.ModelVersion
}

// compare orders keys by their layers, so that an iteration over them visits the
// layer boundaries of the model in order.
func (k GroupKey) compare(other GroupKey) int {
	return cmp.Or(
		cmp.Compare(k.Layers.First, other.Layers.First),
		cmp.Compare(k.Layers.End, other.Layers.End),
		cmp.Compare(k.Zone, other.Zone),
		cmp.Compare(k.Model, other.Model),
		cmp.Compare(k.Version, other.Version),
	)
}

// Group is the targets of a pipeline with the same key. It may include targets
// that are not usable at the moment.
type Group struct {
	GroupKey
	IDs []model.TargetID
}

// Pool groups the targets of one pipeline by GroupKey. Each report updates the
// group of its target, so that routing does not scan the table.
type Pool struct {
	// Groups is sorted by key; no group is empty.
	Groups    []*Group
	pipeline  *settings.Pipeline
	positions map[model.TargetID]position
}

// position is the group of a member of the pipeline and its index in the IDs of
// the group; group is nil for a member that has not reported yet.
type position struct {
	group *Group
	index int
}

// Pool returns the pool of a pipeline. It is built on the first use of the
// pipeline's settings object; settings objects are immutable once in force.
func (t *Table) Pool(pipeline *settings.Pipeline) *Pool {
	for _, pool := range t.pools {
		if pool.pipeline == pipeline {
			return pool
		}
	}
	pool := &Pool{pipeline: pipeline, positions: make(map[model.TargetID]position)}
	for _, stage := range pipeline.Stages {
		for _, id := range stage.Targets {
			pool.positions[id] = position{}
		}
	}
	for _, stage := range pipeline.Stages {
		for _, id := range stage.Targets {
			if target, ok := t.targets[id]; ok && target.Reported {
				pool.update(target)
			}
		}
	}
	if len(t.pools) == maxPools {
		t.pools = slices.Delete(t.pools, 0, 1)
	}
	t.pools = append(t.pools, pool)
	return pool
}

// regroup moves a target that reported to its group in each pool.
func (t *Table) regroup(target *Target) {
	for _, pool := range t.pools {
		pool.update(target)
	}
}

// update moves a member of the pipeline to the group of its present key.
func (p *Pool) update(target *Target) {
	old, member := p.positions[target.ID]
	if !member {
		return
	}
	key := GroupKey{Layers: target.Layers, Zone: target.Zone, Model: target.Model, Version: target.Version}
	if old.group != nil {
		if old.group.GroupKey == key {
			return
		}
		p.remove(old)
	}
	group := p.group(key)
	p.positions[target.ID] = position{group: group, index: len(group.IDs)}
	group.IDs = append(group.IDs, target.ID)
}

// remove deletes a member from its group and moves the last member to the free
// index.
func (p *Pool) remove(old position) {
	last := len(old.group.IDs) - 1
	moved := old.group.IDs[last]
	old.group.IDs[old.index] = moved
	old.group.IDs = old.group.IDs[:last]
	p.positions[moved] = old
	if last == 0 {
		index, _ := p.find(old.group.GroupKey)
		p.Groups = slices.Delete(p.Groups, index, index+1)
	}
}

func (p *Pool) find(key GroupKey) (int, bool) {
	return slices.BinarySearchFunc(p.Groups, key, func(g *Group, k GroupKey) int { return g.compare(k) })
}

// group returns the group of a key; it is added if there is none.
func (p *Pool) group(key GroupKey) *Group {
	at, ok := p.find(key)
	if !ok {
		p.Groups = slices.Insert(p.Groups, at, &Group{GroupKey: key})
	}
	return p.Groups[at]
}
