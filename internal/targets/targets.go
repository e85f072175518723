// Package targets holds this node's view of the back ends: their reachability,
// the layers that they serve and their load. A watch is an open stream of the
// reports of one target. The leaving status of a target is sticky until a new
// incarnation, whichever source reports it first.
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
	// goneAfter is how long a target may be missing from the VM list before it
	// is marked gone.
	goneAfter = 4 * time.Second
	// forgetAfter is how long a target may be missing from the VM list before
	// its record is removed.
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
	// Reported is true once this incarnation has sent a report.
	Reported bool
	// Connected is false once a check found the target unreachable.
	Connected bool
	// Watch is the number of the current watch; reports and failures of earlier
	// watches are discarded.
	Watch uint64
	// Checking is true while a check of the target is pending.
	Checking bool
	// CheckedAt is when the last check began.
	CheckedAt model.Instant
	// RetiredAt is when the connections to the target were last retired.
	RetiredAt model.Instant
	// ReportedAt is when the last report arrived; ReportInterval is the time
	// between the last two.
	ReportedAt     model.Instant
	ReportInterval time.Duration
	// ListedIncarnation is the newest incarnation in the VM list.
	ListedIncarnation model.Incarnation
	// ListedAt is when the target was last in the VM list.
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
	// InFlight is the number of this node's requests that run on the target.
	InFlight uint32
	// SentSinceReport is the number of requests that this node sent to the
	// target since its last report.
	SentSinceReport uint32
	// LoadAverage is the running average of the reported jobs, running and
	// queued; InFlightAverage is that of InFlight at the times of the reports.
	LoadAverage     float64
	InFlightAverage float64
}

// Usable reports whether the target may be sent new requests.
func (t *Target) Usable() bool {
	if t.Status != event.TargetLive {
		return false
	}
	return t.Role != event.RoleEngine || t.Reported && t.Connected
}

// Table is this node's view of all targets.
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
func (t *Table) Mark(c *decision.Context, id model.TargetID, incarnation model.Incarnation, status event.TargetStatus) {
	target, ok := t.targets[id]
	if !ok || incarnation != target.Incarnation || status <= target.Status {
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

func (t *Target) applyLinks(links []event.Link) {
	if t.Links == nil {
		t.Links = make(map[model.TargetID]time.Duration, len(links))
	}
	for _, link := range links {
		t.Links[link.To] = link.Latency
	}
}

// applyCacheEvents applies cache events. A gap in the sequence means that events
// were lost, so the known prefixes are cleared first.
func (t *Target) applyCacheEvents(sequence uint64, events []event.CacheEvent) {
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

// CountSent counts a request as in flight on the targets of a chain.
func (t *Table) CountSent(chain []model.Hop) {
	for _, hop := range chain {
		if target, ok := t.targets[hop.Target]; ok && target.Incarnation == hop.Incarnation {
			target.InFlight++
			target.SentSinceReport++
		}
	}
}

// CountEnded counts a request as no longer in flight on the targets of a chain.
func (t *Table) CountEnded(chain []model.Hop) {
	for _, hop := range chain {
		if target, ok := t.targets[hop.Target]; ok && target.Incarnation == hop.Incarnation && target.InFlight > 0 {
			target.InFlight--
		}
	}
}

// Notes returns the targets that are leaving or gone, to send to peers.
func (t *Table) Notes() []event.TargetNote {
	var notes []event.TargetNote
	for _, id := range t.IDs() {
		if target := t.targets[id]; target.Status != event.TargetLive {
			notes = append(notes, event.TargetNote{Target: id, Incarnation: target.Incarnation, Status: target.Status})
		}
	}
	return notes
}

// MergeNotes applies a peer's notes of targets that are leaving or gone.
func (t *Table) MergeNotes(c *decision.Context, notes []event.TargetNote) {
	for _, note := range notes {
		t.Mark(c, note.Target, note.Incarnation, note.Status)
	}
}
