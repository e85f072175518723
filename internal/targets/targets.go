// Package targets holds what this node knows of the back ends: whether they
// live, what they hold and how loaded they are. Leaving is sticky until a new
// incarnation, whichever source says it first.
package targets

import (
	"maps"
	"slices"
	"time"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/timer"
)

// watchRetry is the time until a broken watch is opened again.
const watchRetry = 500 * time.Millisecond

// Target is one back end.
type Target struct {
	ID          model.TargetID
	Incarnation model.Incarnation
	Zone        model.AvailabilityZone
	Role        event.Role
	Address     string
	Accelerator model.AcceleratorKind
	Status      event.TargetStatus
	// Reported is true once this incarnation said what it holds.
	Reported bool
	// Connected is false while its watch connection is broken.
	Connected bool
	Model     model.ModelName
	Version   model.ModelVersion
	Layers    model.LayerRange
	StepTime  time.Duration
	MaxBatch  uint32
	Running   uint32
	Queued    uint32
	Sequence  uint64
	Fencing   model.FencingNumber
	Links     map[model.TargetID]time.Duration
	Cache     map[string]bool
	// InFlight counts the requests of this node that run on the target.
	InFlight uint32
	// SentSince counts what this node sent since the last report.
	SentSince uint32
	// LoadAverage is the running average of the jobs that reports state;
	// InFlightAverage is that of InFlight at the same moments.
	LoadAverage     float64
	InFlightAverage float64
}

// Usable is true for a target that may get new work.
func (t *Target) Usable() bool {
	if t.Status != event.TargetLive {
		return false
	}
	return t.Role != event.RoleEngine || t.Reported && t.Connected
}

// Table is what this node knows of all targets.
type Table struct {
	targets map[model.TargetID]*Target
	pools   []*Pool
}

// New returns an empty table.
func New() *Table { return &Table{targets: make(map[model.TargetID]*Target)} }

// Get returns a target.
func (t *Table) Get(id model.TargetID) (*Target, bool) {
	target, ok := t.targets[id]
	return target, ok
}

// IDs returns all targets, sorted.
func (t *Table) IDs() []model.TargetID { return slices.Sorted(maps.Keys(t.targets)) }

// Listed takes in the platform's list of VMs.
func (t *Table) Listed(c *decision.Context, vms []event.VM) {
	for _, vm := range vms {
		if vm.Role != event.RoleEntry {
			t.listed(c, vm)
		}
	}
}

func (t *Table) listed(c *decision.Context, vm event.VM) {
	id := model.TargetID(vm.ID)
	target, known := t.targets[id]
	if known && vm.Incarnation < target.Incarnation {
		return
	}
	if !known || vm.Incarnation > target.Incarnation {
		target = &Target{ID: id, Incarnation: vm.Incarnation}
		t.targets[id] = target
		if vm.Role == event.RoleEngine {
			c.Emit(event.WatchTarget{Target: id, Incarnation: vm.Incarnation, Address: vm.Address})
		}
	}
	target.Zone = vm.Zone
	target.Role = vm.Role
	target.Address = vm.Address
	target.Accelerator = vm.Accelerator
	if vm.Leaving {
		t.Mark(c, id, target.Incarnation, event.TargetLeaving)
	}
}

// Mark records that an incarnation of a target is leaving or gone.
func (t *Table) Mark(c *decision.Context, id model.TargetID, life model.Incarnation, status event.TargetStatus) {
	target, ok := t.targets[id]
	if !ok || life != target.Incarnation || status <= target.Status {
		return
	}
	target.Status = status
	c.Emit(event.LogChange{Message: "target is leaving", Subject: string(id)})
}

// Reported takes in an engine's report.
func (t *Table) Reported(c *decision.Context, ev event.EngineReported) {
	target, ok := t.targets[ev.Target]
	if !ok || ev.Incarnation < target.Incarnation {
		return
	}
	if ev.Incarnation > target.Incarnation {
		target.Incarnation = ev.Incarnation
		target.Status = event.TargetLive
		target.Cache = nil
		target.Sequence = 0
	}
	target.averageLoad(ev)
	target.Reported = true
	target.Connected = true
	target.Model = ev.Model
	target.Version = ev.Version
	target.Layers = ev.Layers
	target.Accelerator = ev.Accelerator
	target.StepTime = ev.StepTime
	target.MaxBatch = ev.MaxBatch
	target.Running = ev.Running
	target.Queued = ev.Queued
	target.Fencing = ev.Fencing
	target.SentSince = 0
	target.takeLinks(ev.Links)
	target.takeCache(ev.Sequence, ev.Cache)
	t.regroup(target)
	if ev.Leaving {
		t.Mark(c, ev.Target, target.Incarnation, event.TargetLeaving)
	}
}

func (t *Target) takeLinks(links []event.Link) {
	if t.Links == nil {
		t.Links = make(map[model.TargetID]time.Duration, len(links))
	}
	for _, link := range links {
		t.Links[link.To] = link.Latency
	}
}

// takeCache applies cache events; a gap in the sequence means that events were
// lost, so that nothing is known of the cache any more.
func (t *Target) takeCache(sequence uint64, events []event.CacheEvent) {
	if t.Cache == nil || sequence != t.Sequence+1 {
		t.Cache = make(map[string]bool)
	}
	t.Sequence = sequence
	for _, ev := range events {
		if ev.Evicted {
			delete(t.Cache, ev.PrefixKey)
		} else {
			t.Cache[ev.PrefixKey] = true
		}
	}
}

// Lost takes in that a watch connection broke; it is opened again.
func (t *Table) Lost(c *decision.Context, ev event.TargetLost) {
	target, ok := t.targets[ev.Target]
	if !ok || ev.Incarnation < target.Incarnation {
		return
	}
	target.Connected = false
	c.After(timer.TargetProbe, string(ev.Target), c.Jitter(watchRetry))
}

// ProbeDue opens the watch of a target again.
func (t *Table) ProbeDue(c *decision.Context, id model.TargetID) {
	target, ok := t.targets[id]
	if !ok || target.Status == event.TargetGone {
		return
	}
	c.Emit(event.WatchTarget{Target: id, Incarnation: target.Incarnation, Address: target.Address})
}

// Sent counts work sent to the targets of a chain.
func (t *Table) Sent(chain []model.Hop) {
	for _, hop := range chain {
		if target, ok := t.targets[hop.Target]; ok {
			target.InFlight++
			target.SentSince++
		}
	}
}

// Ended counts work that ended on the targets of a chain.
func (t *Table) Ended(chain []model.Hop) {
	for _, hop := range chain {
		if target, ok := t.targets[hop.Target]; ok && target.InFlight > 0 {
			target.InFlight--
		}
	}
}

// Notes returns the targets that are leaving or gone, for peers.
func (t *Table) Notes() []event.TargetNote {
	var notes []event.TargetNote
	for _, id := range t.IDs() {
		if target := t.targets[id]; target.Status != event.TargetLive {
			notes = append(notes, event.TargetNote{Target: id, Incarnation: target.Incarnation, Status: target.Status})
		}
	}
	return notes
}

// Heard takes in what a peer knows of targets.
func (t *Table) Heard(c *decision.Context, notes []event.TargetNote) {
	for _, note := range notes {
		t.Mark(c, note.Target, note.Incarnation, note.Status)
	}
}
