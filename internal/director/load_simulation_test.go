package director_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/internal/retrybudget"
	"tamarackreach/internal/zonedigest"
)

// loadScenario is a deployment and its load.
type loadScenario struct {
	vms, zones int
	// plainZones are the zones of the plain targets.
	plainZones []model.AvailabilityZone
	// plainLoad and streamLoad are the offered loads as a fraction of the slots.
	plainLoad, streamLoad float64
	// restartEvery is the interval at which a VM restarts, 0 for none. A plain target is
	// replaced by an empty one at rejoinAt, 0 for never.
	restartEvery, rejoinAt time.Duration
	// With silentVM a VM states no load; with falseVM it states a high load on one target of
	// each group and none on the others, whatever it sends.
	silentVM, falseVM bool
	warmUp, measured  time.Duration
	seed              uint64
}

const (
	loadMessageInterval, loadDigestInterval = 200 * time.Millisecond, 400 * time.Millisecond
	loadMessageLoss                         = 0.01
	loadPlainSlots, loadPlainQueue          = 6, 24
	loadPlainTime                           = 15 * time.Millisecond
	loadStreamSlots                         = 48
	loadStreamTime                          = 3500 * time.Millisecond
	// loadHolders is the number of holders of each range of layers in each zone, and
	// loadRange the number of layers of a range.
	loadHolders, loadRange = 3, 20
	loadPrefillTime        = 60 * time.Millisecond
	loadSampleInterval     = 5 * time.Millisecond
)

// loadFigures are the measures of a run after its warm-up.
type loadFigures struct {
	// plainSpread and streamSpread are the mean over samples of the standard deviation of the
	// utilisation (requests per slot) over targets that could serve the same.
	plainSpread, streamSpread float64
	// plainSent and streamSent count sends; plainAvoidable and streamAvoidable count
	// rejections by a target while another that could serve the same had a free slot.
	plainSent, plainRejected, plainAvoidable    int
	streamSent, streamRejected, streamAvoidable int
	plainRequests, plainRefused                 int
	streamRequests, streamRefused               int
	// plainWait is the mean time in a target's queue.
	plainWait time.Duration
	// remotePlain is the fraction of plain sends to another zone.
	remotePlain float64
	// meanAge and maxAge are the age of the loads of other VMs at decisions.
	meanAge, maxAge time.Duration
}

func (f loadFigures) String() string {
	return fmt.Sprintf("plain: sd %.3f, %d requests, %d sent, %d rejected, %d of them avoidable, %d refused, wait %.1f ms, remote %.2f; streams: sd %.4f, %d requests, %d sent, %d rejected, %d avoidable, %d refused; age mean %d ms, max %d ms",
		f.plainSpread, f.plainRequests, f.plainSent, f.plainRejected, f.plainAvoidable, f.plainRefused, f.plainWait.Seconds()*1000, f.remotePlain,
		f.streamSpread, f.streamRequests, f.streamSent, f.streamRejected, f.streamAvoidable, f.streamRefused, f.meanAge.Milliseconds(), f.maxAge.Milliseconds())
}

type loadEvent struct {
	at  model.Instant
	seq uint64
	do  func()
}

type loadEvents []loadEvent

func (q loadEvents) Len() int { return len(q) }
func (q loadEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q loadEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *loadEvents) Push(e any)   { *q = append(*q, e.(loadEvent)) }
func (q *loadEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// loadVM is an entry VM of a load simulation.
type loadVM struct {
	index     int
	id        model.NodeID
	zone      model.AvailabilityZone
	state     *director.State
	collector *zonedigest.Collector
	// statedAt is when the last state received of each other VM was sent; statedSum is the
	// sum of these times after the start, over stated VMs.
	statedAt  []model.Instant
	statedSum time.Duration
	stated    int
	// streams ends each stream that runs for the VM on its targets.
	streams map[*loadRequest]func()
}

// loadTarget is a target with slots; a plain one has a queue.
type loadTarget struct {
	*fleet.Target
	// running and queued are the requests in slots and in the queue; first those whose first
	// hop the target is.
	running, first int
	queue          []func()
	down           bool
}

func (t *loadTarget) inSystem() int { return t.running + len(t.queue) }

// loadSimulation runs VMs and targets with a simulated clock.
type loadSimulation struct {
	loadScenario
	start, now model.Instant
	events     loadEvents
	seq        uint64
	// random is for messages and answers, arriving for arrivals and restarts: they are the same
	// whatever the decisions.
	random, arriving *rand.Rand
	config           *fleet.Config
	vms              []*loadVM
	targets          map[model.TargetID]*loadTarget
	plain            []*loadTarget
	// groups are the targets of a zone that hold the same layers.
	groups    [][]*loadTarget
	groupOf   map[model.TargetID][]*loadTarget
	requests  int
	processes uint32
	figures   loadFigures
	// sums for means.
	samples, remote, waits, decisions int
	waited, ages                      time.Duration
}

func runLoads(sc loadScenario) loadFigures {
	s := &loadSimulation{
		loadScenario: sc, start: model.Instant(time.Hour), now: model.Instant(time.Hour), random: rand.New(rand.NewPCG(sc.seed, 1)), arriving: rand.New(rand.NewPCG(sc.seed, 2)),
		config: config(7), targets: map[model.TargetID]*loadTarget{}, groupOf: map[model.TargetID][]*loadTarget{},
	}
	s.addTargets()
	for i := range sc.vms {
		vm := &loadVM{index: i, id: model.NodeID(fmt.Sprintf("vm-%04d", i)), zone: s.zone(i)}
		s.vms = append(s.vms, vm)
		s.startVM(vm)
	}
	for _, vm := range s.vms {
		s.every(loadMessageInterval, s.stagger(loadMessageInterval), func() { s.sendMessage(vm) })
		s.every(time.Second, s.stagger(time.Second), func() { s.readStore(vm) })
		s.every(250*time.Millisecond, s.stagger(250*time.Millisecond), func() { s.step(vm, director.ProbeDue{}) })
		if vm.index < sc.zones {
			s.every(loadDigestInterval, s.stagger(loadDigestInterval), func() { s.sendDigest(vm) })
		}
	}
	s.arrivals(float64(len(s.plain)*loadPlainSlots)*sc.plainLoad/loadPlainTime.Seconds(), "/r/x")
	s.arrivals(float64(sc.zones*loadHolders*loadStreamSlots)*sc.streamLoad/loadStreamTime.Seconds(), "/s/x")
	s.every(loadSampleInterval, 0, s.sample)
	if sc.restartEvery > 0 {
		s.every(sc.restartEvery, sc.restartEvery, func() { s.startVM(s.vms[s.arriving.IntN(len(s.vms))]) })
	}
	if sc.rejoinAt > 0 {
		s.after(sc.rejoinAt, s.rejoin)
	}
	for end := s.now.Add(sc.warmUp + sc.measured); len(s.events) > 0 && s.events[0].at <= end; {
		e := heap.Pop(&s.events).(loadEvent)
		s.now = e.at
		e.do()
	}
	return s.result()
}

func (s *loadSimulation) result() loadFigures {
	f := s.figures
	f.plainSpread /= float64(max(s.samples, 1))
	f.streamSpread /= float64(max(s.samples, 1))
	f.plainWait = s.waited / time.Duration(max(s.waits, 1))
	f.remotePlain = float64(s.remote) / float64(max(f.plainSent, 1))
	f.meanAge = s.ages / time.Duration(max(s.decisions, 1))
	return f
}

func (s *loadSimulation) zone(i int) model.AvailabilityZone {
	return model.AvailabilityZone(rune('a' + i%s.zones))
}

func (s *loadSimulation) addTargets() {
	add := func(id string, service model.ServiceID, zone model.AvailabilityZone, held model.LayerRange, slots int) *loadTarget {
		t := &loadTarget{Target: &fleet.Target{
			ID: model.TargetID(id), Service: service, Address: "at-" + id, Zone: zone, State: fleet.TargetReady, Slots: slots, Held: held, StartedMs: 1,
		}}
		if service == llm {
			t.Kind = "big"
		}
		s.targets[t.ID] = t
		return t
	}
	for i, zone := range s.plainZones {
		s.plain = append(s.plain, add(fmt.Sprint("plain-", i), orders, zone, model.LayerRange{}, loadPlainSlots))
	}
	for z := range s.zones {
		for first := uint32(0); first < 80; first += loadRange {
			var group []*loadTarget
			for n := range loadHolders {
				id := fmt.Sprintf("%s-%02d-%d", s.zone(z), first, n)
				group = append(group, add(id, llm, s.zone(z), model.LayerRange{First: first, End: first + loadRange}, loadStreamSlots))
			}
			s.groups = append(s.groups, group)
			for _, t := range group {
				s.groupOf[t.ID] = group
			}
		}
	}
	for _, t := range s.plain {
		s.groupOf[t.ID] = s.plain
	}
}

func (s *loadSimulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, loadEvent{at: s.now.Add(d), seq: s.seq, do: do})
}

func (s *loadSimulation) every(interval, offset time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		s.after(interval, again)
	}
	s.after(offset, again)
}

func (s *loadSimulation) stagger(interval time.Duration) time.Duration {
	return time.Duration(s.random.Float64() * float64(interval))
}

// arrivals generates a Poisson process over all VMs.
func (s *loadSimulation) arrivals(perSecond float64, path string) {
	if perSecond <= 0 {
		return
	}
	var next func()
	next = func() {
		s.arrive(s.vms[s.arriving.IntN(len(s.vms))], path)
		s.after(time.Duration(s.arriving.ExpFloat64()/perSecond*1e9), next)
	}
	s.after(time.Duration(s.arriving.ExpFloat64()/perSecond*1e9), next)
}

func (s *loadSimulation) measuring() bool { return s.now >= s.start.Add(s.warmUp) }

// startVM starts a VM's process; an earlier one ends, and its connections with it, so that
// the targets end their streams.
func (s *loadSimulation) startVM(vm *loadVM) {
	s.processes++
	for _, end := range vm.streams {
		end()
	}
	vm.streams = map[*loadRequest]func(){}
	vm.state = director.New(director.Settings{
		VM: vm.id, Zone: vm.zone, Process: s.processes, ConfigApply: 2 * time.Second, Revoke: 5 * time.Second, Stall: 2500 * time.Millisecond,
		Retries: retrybudget.Settings{Ratio: 0.2, Slack: 20, Window: 10 * time.Second},
	})
	vm.collector = zonedigest.NewCollector()
	vm.statedAt, vm.statedSum, vm.stated = make([]model.Instant, s.loadScenario.vms), 0, 0
	s.step(vm, director.VMsCounted{Count: s.loadScenario.vms})
	s.readStore(vm)
}

func (s *loadSimulation) readStore(vm *loadVM) {
	read := director.TargetsRead{Rows: map[model.TargetID]fleet.StoreVersion{}}
	for _, id := range slices.Sorted(maps.Keys(s.targets)) {
		if t := s.targets[id]; !t.down {
			read.Targets = append(read.Targets, t.Target)
			read.Rows[id] = fleet.StoreVersion{Row: 1}
		}
	}
	s.step(vm, director.ConfigRead{Config: s.config, Started: s.now})
	s.step(vm, read)
}

// step applies an event to a VM and answers its probes.
func (s *loadSimulation) step(vm *loadVM, e director.Event) []director.Effect {
	effects := vm.state.Step(s.now, e)
	state := vm.state
	for _, effect := range effects {
		if probe, ok := effect.(*director.RequestReport); ok {
			// The delay is fixed: the order of the probes of a step is that of a map.
			s.after(2*time.Millisecond, func() {
				if vm.state == state {
					s.step(vm, director.ReportRead{Target: probe.Target, Report: &fleet.Report{Slowdown: 1, StartedMs: 1}})
				}
			})
		}
	}
	return effects
}

func (s *loadSimulation) delay() time.Duration {
	return time.Millisecond + time.Duration(s.random.Float64()*4*float64(time.Millisecond))
}

func (s *loadSimulation) lost() bool { return s.random.Float64() < loadMessageLoss }

// ownState returns the state that a VM sends.
func (s *loadSimulation) ownState(vm *loadVM) director.PeerState {
	state := vm.state.OwnPeerState(s.now)
	if s.silentVM && vm.index == 1 {
		state.Loads = map[model.TargetID]director.Load{}
	}
	if s.falseVM && vm.index == 1 {
		for id := range s.targets {
			state.Loads[id] = director.Load{}
			if strings.HasSuffix(string(id), "-0") {
				state.Loads[id] = director.Load{Requests: 40, First: 40, TokenLayers: 1e6}
			}
		}
	}
	return state
}

// sendMessage sends the state of a VM to the others of its zone.
func (s *loadSimulation) sendMessage(vm *loadVM) {
	state, sentAt := s.ownState(vm), s.now
	for i := vm.index % s.zones; i < len(s.vms); i += s.zones {
		to := s.vms[i]
		if to == vm || s.lost() {
			continue
		}
		s.after(s.delay(), func() {
			to.collector.Put(s.now, state)
			s.step(to, state)
			s.noteStated(to, vm.index, sentAt)
		})
	}
}

// sendDigest sends the digest of a zone to the VMs of the others, over the VM that
// exchanges digests there.
func (s *loadSimulation) sendDigest(vm *loadVM) {
	digest, sentAt := vm.collector.Digest(s.now, s.ownState(vm)), s.now
	for _, to := range s.vms {
		if to.zone == vm.zone || s.lost() {
			continue
		}
		s.after(s.delay()+s.delay(), func() {
			s.step(to, digest.Received())
			for _, m := range digest.Members {
				var index int
				_, _ = fmt.Sscanf(string(m.State.VM), "vm-%04d", &index)
				s.noteStated(to, index, sentAt.Add(-m.Age))
			}
		})
	}
}

func (s *loadSimulation) noteStated(vm *loadVM, by int, sentAt model.Instant) {
	if vm.statedAt[by] == 0 {
		vm.stated++
	} else {
		vm.statedSum -= vm.statedAt[by].Sub(s.start)
	}
	vm.statedAt[by] = sentAt
	vm.statedSum += sentAt.Sub(s.start)
}

// noteAge records the age of the loads that a decision of a VM uses.
func (s *loadSimulation) noteAge(vm *loadVM) {
	if vm.stated == 0 || !s.measuring() {
		return
	}
	age := s.now.Sub(s.start) - vm.statedSum/time.Duration(vm.stated)
	s.decisions++
	s.ages += age
	s.figures.maxAge = max(s.figures.maxAge, age)
}

// sample measures the spread of the utilisation.
func (s *loadSimulation) sample() {
	if !s.measuring() {
		return
	}
	s.samples++
	s.figures.plainSpread += spread(s.plain)
	sum := 0.0
	for _, g := range s.groups {
		sum += spread(g)
	}
	s.figures.streamSpread += sum / float64(max(len(s.groups), 1))
}

// spread returns the standard deviation of the utilisation of targets.
func spread(targets []*loadTarget) float64 {
	var n, sum, squares float64
	for _, t := range targets {
		if !t.down {
			u := float64(t.inSystem()) / float64(t.Slots)
			n, sum, squares = n+1, sum+u, squares+u*u
		}
	}
	if n == 0 {
		return 0
	}
	return math.Sqrt(max(0, squares/n-sum/n*(sum/n)))
}

// rejoin removes the registration of a plain target; an empty one takes its place later.
func (s *loadSimulation) rejoin() {
	t := s.plain[0]
	t.down = true
	s.after(2*time.Second, func() { t.down = false })
}
