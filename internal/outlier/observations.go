package outlier

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tamarackreach/internal/model"
)

const (
	// maxRows bounds the targets in the observations of a VM: those of a whole zone fit into
	// one datagram.
	maxRows = 16
	// rowExpiry is how long the counts of another VM are used without being stated again: ten
	// message intervals.
	rowExpiry = 2 * time.Second
	// maxResults bounds the results of a target that a VM states.
	maxResults = 10_000
)

// Count is what a VM has received of a target in the window.
type Count struct {
	Target  Target
	Results Tallies
	// LastError is the time since the last error; negative without one.
	LastError time.Duration
}

// Ejection is a VM's own detection that a target is out of rotation.
type Ejection struct {
	Target    Target
	Level     int
	Remaining time.Duration
	// Age is the time since the detection.
	Age time.Duration
}

// Observations are what a VM states to others: its own results and detections only.
type Observations struct {
	// Counts are those of targets with errors at any VM.
	Counts []Count
	// Good are the results without errors in groups with errors at any VM.
	Good      map[Group][spans]int
	Ejections []Ejection
}

// Empty reports whether there is nothing to state.
func (o Observations) Empty() bool {
	return len(o.Counts) == 0 && len(o.Good) == 0 && len(o.Ejections) == 0
}

// Delayed returns the observations as of some time after they were stated.
func (o Observations) Delayed(by time.Duration) Observations {
	o.Counts, o.Ejections = slices.Clone(o.Counts), slices.Clone(o.Ejections)
	for i := range o.Counts {
		if o.Counts[i].LastError >= 0 {
			o.Counts[i].LastError += by
		}
	}
	for i := range o.Ejections {
		o.Ejections[i].Remaining -= by
		o.Ejections[i].Age += by
	}
	return o
}

// Observations returns what this VM states to others.
func (t *Tracker) Observations(now model.Instant) Observations {
	t.peers.expire(now, t)
	t.prune(now)
	var out Observations
	for g, known := range t.groups {
		known.prune(now)
		for _, k := range known.faulty {
			count := Count{Target: k.Target, Results: k.own.sum(now), LastError: -1}
			if count.whole().Results == 0 {
				continue
			}
			if count.whole().Errors > 0 {
				count.LastError = now.Sub(k.lastError)
			}
			out.Counts = append(out.Counts, count)
		}
		if good := known.good.sum(now); good[spans-1].Results > 0 && len(known.faulty) > 0 {
			if out.Good == nil {
				out.Good = map[Group][spans]int{}
			}
			out.Good[g] = [spans]int{good[0].Results, good[1].Results}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(t.ejected)) {
		k := t.ejected[id]
		if remaining := k.until.Sub(now); k.detected && k.out(now) && remaining > 0 {
			out.Ejections = append(out.Ejections, Ejection{Target: k.Target, Level: k.level, Remaining: remaining, Age: now.Sub(k.at)})
		}
	}
	slices.SortFunc(out.Counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.whole().Errors, a.whole().Errors), cmp.Compare(a.Target.ID, b.Target.ID))
	})
	out.Counts = out.Counts[:min(len(out.Counts), maxRows)]
	out.Ejections = out.Ejections[:min(len(out.Ejections), maxRows)]
	return out
}

// Adopt applies the observations of another VM, which replace its earlier ones, and returns
// the changes that follow.
func (t *Tracker) Adopt(now model.Instant, vm model.NodeID, o Observations) []*Change {
	t.peers.expire(now, t)
	t.peers.remove(vm, t)
	var changes []*Change
	if len(o.Counts) > 0 || len(o.Good) > 0 {
		rows := &vmRows{receivedAt: now, good: map[Group][spans]int{}, counts: map[model.TargetID]Count{}}
		t.peers[vm] = rows
		for g, good := range o.Good {
			if t.groups[g] != nil {
				for i := range good {
					good[i] = min(max(good[i], 0), maxResults)
				}
				rows.good[g] = good
				t.groups[g].addPeerGood(good, 1)
			}
		}
		for _, c := range o.Counts[:min(len(o.Counts), maxRows)] {
			if change := t.adoptCount(now, rows, c); change != nil {
				changes = append(changes, change)
			}
		}
	}
	for _, e := range o.Ejections[:min(len(o.Ejections), maxRows)] {
		if change := t.adoptEjection(now, vm, e); change != nil {
			changes = append(changes, change)
		}
	}
	return changes
}

// valid reports whether the figures of another VM are possible.
func (c *Count) valid() bool {
	for _, sum := range c.Results {
		if sum.Errors < 0 || sum.Results < sum.Errors || sum.Results > maxResults {
			return false
		}
	}
	return c.LastError <= Window && (c.whole().Errors == 0 || c.LastError >= 0)
}

// whole returns the results in Window.
func (c *Count) whole() Tally { return c.Results[spans-1] }

func (g *group) addPeerGood(good [spans]int, sign int) {
	for i := range good {
		g.peerGood[i] += sign * good[i]
	}
}

// adoptCount adds the count of another VM. Errors from before the last change of the target's
// standing do not count.
func (t *Tracker) adoptCount(now model.Instant, rows *vmRows, c Count) *Change {
	known := t.get(c.Target)
	if known == nil || !c.valid() || known.out(now) || c.whole().Errors > 0 && now.Add(-c.LastError) < known.countsFrom {
		return nil
	}
	rows.counts[c.Target.ID] = c
	known.peers.add(c.Results, 1)
	if c.whole().Errors == 0 {
		return nil
	}
	known.lastError = max(known.lastError, now.Add(-c.LastError))
	t.group(known.group).faulty[known.ID] = known
	return t.judge(now, known)
}

// adoptEjection adopts another VM's detection for its remaining time, unless this VM has had
// a good response of the target since.
func (t *Tracker) adoptEjection(now model.Instant, vm model.NodeID, e Ejection) *Change {
	known := t.get(e.Target)
	if known == nil || e.Remaining <= 0 || e.Age < 0 || e.Age > Window || e.Level <= 0 {
		return nil
	}
	at, until := now.Add(-e.Age), now.Add(min(e.Remaining, maxEjection))
	if known.lastGoodAt > at || known.out(now) && until <= known.until {
		return nil
	}
	wasOut := known.out(now)
	if !wasOut && !t.mayEject(now, known) {
		return nil
	}
	known.level, known.detected = min(max(known.level, e.Level), 8), false
	t.keepOut(now, known, until)
	known.at = at
	if wasOut {
		return nil
	}
	t.counts.Adopted++
	return &Change{Target: known.Target, Ejected: true, Detail: "detected by " + string(vm) + " " + e.Age.String() + " ago"}
}

// peerRows holds the counts of other VMs.
type peerRows map[model.NodeID]*vmRows

type vmRows struct {
	receivedAt model.Instant
	good       map[Group][spans]int
	counts     map[model.TargetID]Count
}

// remove subtracts the counts of a VM.
func (p peerRows) remove(vm model.NodeID, t *Tracker) {
	rows := p[vm]
	if rows == nil {
		return
	}
	delete(p, vm)
	for g, good := range rows.good {
		if t.groups[g] != nil {
			t.groups[g].addPeerGood(good, -1)
		}
	}
	for id, c := range rows.counts {
		if known := t.targets[id]; known != nil && known.Target == c.Target {
			known.peers.add(c.Results, -1)
		}
	}
}

// expire removes the counts that were not stated again.
func (p peerRows) expire(now model.Instant, t *Tracker) {
	for vm, rows := range p {
		if now.Sub(rows.receivedAt) > rowExpiry {
			p.remove(vm, t)
		}
	}
}

// dropTarget discards the counts of a target, whose sums are reset.
func (p peerRows) dropTarget(id model.TargetID) {
	for _, rows := range p {
		delete(rows.counts, id)
	}
}

// dropGroup discards the results of a group.
func (p peerRows) dropGroup(g Group) {
	for _, rows := range p {
		delete(rows.good, g)
	}
}
