package deployment

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/settings"
)

// InitialChanges returns the changes that apply the initial settings of a new
// deployment: infrastructure first, then workspaces.
func (d *Deployment) InitialChanges() ([]event.Change, error) {
	infrastructure, err := d.platformChange()
	if err != nil {
		return nil, err
	}
	customers, err := d.salesChange()
	if err != nil {
		return nil, err
	}
	return []event.Change{infrastructure, customers}, nil
}

// capacityTokensPerS is the capacity of the pipeline in the settings.
const capacityTokensPerS = 100_000

func (d *Deployment) platformChange() (event.Change, error) {
	pipeline := settings.Pipeline{
		Model: ModelName, Version: ModelVersion, CapacityTokensPerS: capacityTokensPerS,
		Recovery: settings.RecoverStage, MaxPromptBytes: 16 << 10,
	}
	perStage := d.Shape.Layers / uint32(d.Shape.Stages)
	for i := range uint32(d.Shape.Stages) {
		pipeline.Stages = append(pipeline.Stages, settings.Stage{Layers: model.LayerRange{First: i * perStage, End: (i + 1) * perStage}})
	}
	for i := range d.Shape.Engines {
		stage := &pipeline.Stages[i%d.Shape.Stages]
		stage.Targets = append(stage.Targets, model.TargetID(fmt.Sprintf("engine-%02d", i+1)))
	}
	desk := settings.Service{Methods: map[model.MethodName]settings.Method{
		"connect": {AtMostOnce: true, DeadlineMs: 3000},
		"lookup":  {DeadlineMs: 2000},
	}}
	for i := range d.Shape.Services {
		desk.Targets = append(desk.Targets, ServiceTarget(i))
	}
	change := event.Change{ID: "first-platform", Team: PlatformTeam, Author: "deployment", Reason: "first settings"}
	err := addEdits(&change, map[string]any{
		"models/" + string(ModelName):     settings.Model{Versions: []model.ModelVersion{ModelVersion}, Layers: d.Shape.Layers},
		"pipelines/" + string(Pipeline):   pipeline,
		"services/" + string(ServiceName): desk,
	})
	return change, err
}

func (d *Deployment) salesChange() (event.Change, error) {
	change := event.Change{ID: "first-sales", Team: SalesTeam, Author: "deployment", Reason: "first workspaces"}
	edits := make(map[string]any, len(d.Workspaces))
	share := uint32(capacityTokensPerS / max(1, len(d.Workspaces)))
	for id, key := range d.Workspaces {
		edits["workspaces/"+string(id)] = settings.Workspace{
			KeySHA256:        hashOf(key),
			SharesTokensPerS: map[model.PipelineID]uint32{Pipeline: share},
			Priority:         1,
			FirstTokenMs:     1900,
		}
	}
	err := addEdits(&change, edits)
	return change, err
}

func addEdits(change *event.Change, objects map[string]any) error {
	for path, object := range objects {
		value, err := json.Marshal(object)
		if err != nil {
			return errors.Wrapf(err, "encode %s", path)
		}
		change.Edits = append(change.Edits, event.Edit{Path: path, Value: value})
	}
	slices.SortFunc(change.Edits, func(a, b event.Edit) int { return strings.Compare(a.Path, b.Path) })
	return nil
}
