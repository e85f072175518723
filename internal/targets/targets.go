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

const (
	// goneAfter is how long the VM list may miss a target until it is gone.
	goneAfter = 4 * time.Second
	// forgetAfter is how long after that something is kept of it.
	forgetAfter = time.Minute
)

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
	// Connected is false once a check found the target unreachable.
	Connected bool
	// Watch numbers the watches of the target; reports and failures of earlier
	// ones say nothing of the present.
	Watch uint64
	// Checking is true while a new watch is to show whether the target lives.
	Checking bool
	// CheckedAt is when the last check began.
	CheckedAt model.Instant
	// RetiredAt is when the connections to the target were retired last.
	RetiredAt model.Instant
	// ReportedAt is when the last report came, ReportEvery the time between
	// the last two.
	ReportedAt  model.Instant
	ReportEvery time.Duration
	// Listed is the newest incarnation that the VM list showed.
	Listed model.Incarnation
	// ListedAt is when the VM list showed the target last.
	ListedAt model.Instant
	Model    model.ModelName
	Version  model.ModelVersion
	Layers   model.LayerRange
	StepTime time.Duration
	MaxBatch uint32
	Running  uint32
	Queued   uint32
	Sequence uint64
	Fencing  model.FencingNumber
	Links    map[model.TargetID]time.Duration
	Cache    map[string]bool
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

// Mark records that an incarnation of a target is leaving or gone.
func (t *Table) Mark(c *decision.Context, id model.TargetID, life model.Incarnation, status event.TargetStatus) {
	target, ok := t.targets[id]
	if !ok || life != target.Incarnation || status <= target.Status {
		return
	}
	target.Status = status
	if status == event.TargetGone {
		c.Emit(event.UnwatchTarget{Target: id})
		c.Stop(timer.TargetProbe, string(id))
		c.Emit(event.LogChange{Message: "target is gone", Subject: string(id)})
		return
	}
	c.Emit(event.LogChange{Message: "target is leaving", Subject: string(id)})
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

// Sent counts work sent to the targets of a chain.
func (t *Table) Sent(chain []model.Hop) {
	for _, hop := range chain {
		if target, ok := t.targets[hop.Target]; ok && target.Incarnation == hop.Incarnation {
			target.InFlight++
			target.SentSince++
		}
	}
}

// Ended counts work that ended on the targets of a chain.
func (t *Table) Ended(chain []model.Hop) {
	for _, hop := range chain {
		if target, ok := t.targets[hop.Target]; ok && target.Incarnation == hop.Incarnation && target.InFlight > 0 {
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
