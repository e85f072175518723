// Package outlier detects targets that answer with errors far more often than the
// other targets of their service, and keeps them out of rotation for a while. It is
// pure: time is an argument.
//
// Each VM counts the results that it receives over a sliding window. VMs state their
// counts to each other, since one VM alone has too few results of a target: a target is
// judged by the sum.
package outlier

import (
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"

	"tamarackreach/internal/model"
)

const (
	// Window is the length of the sliding window of results.
	Window = 4 * time.Second
	// minEjection is the time of a first ejection, and maxEjection bounds its doubling.
	minEjection, maxEjection = 400 * time.Millisecond, 3200 * time.Millisecond
	// levelReset is the time in rotation after which an ejection is a first one again.
	levelReset = 10 * time.Second
	// trialsToReturn is the number of successful trials in a row that end an ejection.
	trialsToReturn = 2
	// trialTimeout is how long a trial without a result prevents the next one.
	trialTimeout = 2 * time.Second
	// anyRouteAfter is how long a trial waits for a request that may be repeated.
	anyRouteAfter = time.Second
	// unusedExpiry is how long after it is due a trial may fail to begin until the ejection
	// ends without one: a target that no request needs would count against the bound on
	// ejected capacity forever.
	unusedExpiry = 10 * time.Second
	// maxPruneChecks bounds the targets that are checked for pruning at once.
	maxPruneChecks = 32
	// maxEjectedFraction bounds the capacity of a group out of rotation.
	maxEjectedFraction = 0.5
)

// Target is an incarnation of a target.
type Target struct {
	ID        model.TargetID
	StartedMs int64
}

// Group is the targets of a service that are compared with each other. The first hop of
// a path signs the response and is charged with its errors, later hops are charged only
// with those that name them: they have another rate of errors.
type Group struct {
	Service model.ServiceID
	Later   bool
}

// Member is a registered target of a service.
type Member struct {
	Target Target
	// Capacity is the number of requests that it runs at once.
	Capacity float64
	// Later is true for a target that is no first hop.
	Later bool
}

// Result is the result of a request at a target.
type Result struct {
	Target Target
	// SentAt is when the request was sent.
	SentAt model.Instant
	OK     bool
}

// Standing is whether a target may get new requests.
type Standing uint8

// The standings of a target.
const (
	// InRotation means that the target gets requests.
	InRotation Standing = iota
	// TrialDue means that it may get a single request whose result decides.
	TrialDue
	// Ejected means that it gets none while others can serve.
	Ejected
)

// Change is a change of a target's standing, for the log.
type Change struct {
	Target Target
	// Ejected is false when the target has returned.
	Ejected bool
	Detail  string
}

// Counts are figures since the start of the process.
type Counts struct {
	// Ejections counts own detections, Adopted those adopted from other VMs.
	Ejections, Adopted, Trials uint64
}

// Tracker holds the results and ejections known to one VM.
type Tracker struct {
	vm      model.NodeID
	members map[model.TargetID]member
	targets map[model.TargetID]*target
	// ejected holds the targets that have not returned since their last ejection.
	ejected map[model.TargetID]*target
	groups  map[Group]*group
	peers   peerRows
	counts  Counts
}

// member is a registered target and its group.
type member struct {
	Member
	group Group
}

// group holds the results without errors of a group, and its targets with errors.
type group struct {
	// size and capacity are those of its registered targets.
	size     int
	capacity float64
	good     window
	peerGood [spans]int
	faulty   map[model.TargetID]*target
}

// target is an incarnation of which something is known.
type target struct {
	Target
	group      Group
	own        window
	lastError  model.Instant
	lastGoodAt model.Instant
	// peers is the sum of what other VMs state.
	peers Tallies
	// countsFrom is the time from which errors count: that of the last change of standing.
	countsFrom model.Instant
	ejection
}

// New returns a tracker without results. The VM's name spreads the trials of several VMs.
func New(vm model.NodeID) *Tracker {
	return &Tracker{
		vm: vm, members: map[model.TargetID]member{}, targets: map[model.TargetID]*target{},
		ejected: map[model.TargetID]*target{}, groups: map[Group]*group{}, peers: peerRows{},
	}
}

// SetTargets replaces the registered targets of all services. What is known of other
// incarnations is discarded.
func (t *Tracker) SetTargets(services map[model.ServiceID][]Member) {
	t.members = map[model.TargetID]member{}
	for _, g := range t.groups {
		g.size, g.capacity = 0, 0
	}
	for service, list := range services {
		for _, m := range list {
			in := Group{Service: service, Later: m.Later}
			t.members[m.Target.ID] = member{Member: m, group: in}
			g := t.group(in)
			g.size++
			g.capacity += m.Capacity
		}
	}
	for id, known := range t.targets {
		if m := t.members[id]; m.Target != known.Target || m.group != known.group {
			delete(t.group(known.group).faulty, id)
			t.peers.dropTarget(id)
			delete(t.targets, id)
			delete(t.ejected, id)
		}
	}
	for in, g := range t.groups {
		if g.size == 0 {
			t.peers.dropGroup(in)
			delete(t.groups, in)
		}
	}
}

func (t *Tracker) group(g Group) *group {
	if t.groups[g] == nil {
		t.groups[g] = &group{faulty: map[model.TargetID]*target{}}
	}
	return t.groups[g]
}

// get returns what is known of a registered incarnation, nil for another one.
func (t *Tracker) get(id Target) *target {
	m, registered := t.members[id.ID]
	if !registered || m.Target != id {
		return nil
	}
	known := t.targets[id.ID]
	if known == nil {
		known = &target{Target: id, group: m.group}
		t.targets[id.ID] = known
	}
	return known
}

// Record counts a result that this VM received, and returns the change that follows.
func (t *Tracker) Record(now model.Instant, r Result) *Change {
	known := t.get(r.Target)
	if known == nil {
		return nil
	}
	if r.OK {
		known.lastGoodAt = now
		t.group(known.group).good.add(now, false)
	}
	if known.out(now) {
		return t.recordTrial(now, known, r)
	}
	if r.SentAt < known.countsFrom {
		return nil // it was sent before the last change of the standing
	}
	known.own.add(now, !r.OK)
	if r.OK {
		return nil
	}
	known.lastError = now
	t.group(known.group).faulty[known.ID] = known
	return t.judge(now, known)
}

// judge ejects a target that answers with errors far more often than the others.
func (t *Tracker) judge(now model.Instant, known *target) *Change {
	if known.out(now) {
		return nil
	}
	for span, sum := range known.sum(now) {
		if !sum.mostlyErrors() {
			continue
		}
		// Few results of the others in the short window may lack errors by chance.
		base := max(t.baseline(now, known, span), t.baseline(now, known, spans-1))
		if binomialTail(sum.Errors, sum.Results, base) > significance || !t.mayEject(now, known) {
			continue
		}
		known.detected = known.own.sum(now)[span].Errors > 0
		t.counts.Ejections++
		return t.eject(now, known, strconv.Itoa(sum.Errors)+" errors of "+strconv.Itoa(sum.Results)+" results, rate of others "+strconv.FormatFloat(base, 'f', 3, 64))
	}
	return nil
}

// sum returns the results of a target, of all VMs.
func (k *target) sum(now model.Instant) Tallies {
	out := k.own.sum(now)
	out.add(k.peers, 1)
	return out
}

// erred reports whether the target has an error in the window.
func (k *target) erred(now model.Instant) bool {
	return k.lastError != 0 && now.Sub(k.lastError) <= Window
}

// mayEject reports whether a target may leave the rotation within the bound, which holds for
// each group and so for the service.
func (t *Tracker) mayEject(now model.Instant, known *target) bool {
	out := t.members[known.ID].Capacity
	for id, other := range t.ejected {
		if other != known && other.group == known.group && other.out(now) {
			out += t.members[id].Capacity
		}
	}
	return out <= maxEjectedFraction*t.group(known.group).capacity
}

// Standing returns whether a target may get a new request; repeatable is true for a
// request that may be sent again.
func (t *Tracker) Standing(now model.Instant, id Target, repeatable bool) Standing {
	known := t.ejected[id.ID]
	if known == nil || known.Target != id || !known.out(now) {
		return InRotation
	}
	if known.trialDue(now, repeatable) {
		return TrialDue
	}
	return Ejected
}

// Failing reports whether most of the recent results of a target are errors, or it is out of
// rotation.
func (t *Tracker) Failing(now model.Instant, id Target) bool {
	known := t.targets[id.ID]
	if known == nil || known.Target != id {
		return false
	}
	return known.out(now) || known.erred(now) && known.sum(now)[0].mostlyErrors()
}

// Urgent reports whether an error of a target is to be stated to other VMs without delay: its
// last results are errors, and the sum is not yet enough to judge.
func (t *Tracker) Urgent(now model.Instant, id Target) bool {
	known := t.targets[id.ID]
	if known == nil || known.Target != id || known.out(now) {
		return false
	}
	sum := known.sum(now)[0]
	return sum.Errors >= minUrgent && sum.Errors <= maxUrgent && float64(sum.Errors) >= minErrorRate*float64(sum.Results)
}

// RecentErrorRate returns the fraction of errors among the last results of a target, below
// the measured one where they are few.
func (t *Tracker) RecentErrorRate(now model.Instant, id Target) float64 {
	known := t.targets[id.ID]
	if known == nil || known.Target != id || !known.erred(now) {
		return 0
	}
	sum := known.sum(now)[0]
	return float64(sum.Errors) / float64(sum.Results+2)
}

// Out returns the targets out of rotation, in a fixed order.
func (t *Tracker) Out(now model.Instant) (out []Target) {
	for _, id := range slices.Sorted(maps.Keys(t.ejected)) {
		if known := t.ejected[id]; known.out(now) {
			out = append(out, known.Target)
		}
	}
	return out
}

// Counts returns the figures since the start of the process.
func (t *Tracker) Counts() Counts { return t.counts }

// spread returns a fraction in [0,1) that differs between VMs.
func (t *Tracker) spread(id model.TargetID, level int) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(string(t.vm) + "/" + string(id) + "/" + strconv.Itoa(level))) // never fails
	return float64(h.Sum32()) / (1 << 32)
}
