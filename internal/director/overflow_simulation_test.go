package director_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/loadview"
	"tamarackreach/internal/model"
	"tamarackreach/internal/retrybudget"
)

// overflowScenario is the traffic and the targets of an overflowSimulation.
type overflowScenario struct {
	// heads is the number of targets for each half of the layers in zones a, b and c, and
	// slots the number of slots of each.
	heads [3]int
	slots int
	// vms is the number of VMs of each zone, and stretch the factor by which answers are longer
	// than usual; 0 for 3 and 1.
	vms     int
	stretch float64
	// base is the demand of each zone in requests per second, and peak that of zone a from
	// peakFrom to peakTo.
	base             [3]float64
	peak             float64
	peakFrom, peakTo time.Duration
	// digestInterval is the interval of the digests, and digestDelay the age of one when it is
	// applied; both 0 for the usual 400 ms without delay.
	digestInterval, digestDelay time.Duration
	// messageInterval is the interval of messages within a zone; 0 for the usual 200 ms.
	messageInterval time.Duration
	// cutFrom is when digests end; 0 for never.
	cutFrom time.Duration
	// earlier has VMs state no demand, as earlier builds do.
	earlier bool
	// halfEarlier has every second VM be of an earlier build: it states no demand, and ignores
	// that of the others.
	halfEarlier bool
	seed        uint64
}

// overflowTarget is a target that prefills prompts in order.
type overflowTarget struct {
	*fleet.Target
	requests int
	freeAt   model.Instant
}

// overflowSecond counts the requests that arrived in zone a in one second of the simulation.
type overflowSecond struct{ arrived, remote, refused, late int }

// overflowSimulation runs VMs in each of three zones, which exchange messages within
// their zones and digests between them.
type overflowSimulation struct {
	overflowScenario
	random  *rand.Rand
	now     model.Instant
	elapsed time.Duration
	fronts  []*overflowVM
	targets map[model.TargetID]*overflowTarget
	engine  *fleet.Engine
	due     map[int][]func()
	count   int
	// seconds are the requests of zone a by second of arrival; refused, late and rejected
	// count those of all zones, and sends the hops of each request in order.
	seconds                 []overflowSecond
	refused, late, rejected int
	sends                   []string
}

type overflowVM struct {
	id    model.NodeID
	zone  int
	state *director.State
}

var overflowZones = []model.AvailabilityZone{"a", "b", "c"}

func newOverflowSimulation(scenario overflowScenario) *overflowSimulation {
	if scenario.vms == 0 {
		scenario.vms = 3
	}
	if scenario.stretch == 0 {
		scenario.stretch = 1
	}
	o := &overflowSimulation{
		overflowScenario: scenario, random: rand.New(rand.NewPCG(scenario.seed, 9)), now: model.Instant(time.Hour),
		targets: map[model.TargetID]*overflowTarget{}, due: map[int][]func(){},
	}
	if o.messageInterval == 0 {
		o.messageInterval = 200 * time.Millisecond
	}
	if o.digestInterval == 0 {
		o.digestInterval = 400 * time.Millisecond
	}
	settings := config(7)
	o.engine = settings.Services[llm].Engine
	read := director.TargetsRead{Rows: map[model.TargetID]fleet.StoreVersion{}}
	for z, zone := range overflowZones {
		for n := range o.heads[z] {
			for half := range uint32(2) {
				t := &fleet.Target{
					ID: model.TargetID(fmt.Sprint(zone, "-", half, "-", n)), Service: llm, Zone: zone, State: fleet.TargetReady, Slots: o.slots,
					Kind: "big", Held: model.LayerRange{First: half * 40, End: half*40 + 40}, StartedMs: 1,
				}
				t.Address = "at-" + string(t.ID)
				o.targets[t.ID] = &overflowTarget{Target: t}
				read.Targets, read.Rows[t.ID] = append(read.Targets, t), fleet.StoreVersion{Row: 1}
			}
		}
	}
	for z, zone := range overflowZones {
		for n := range o.vms {
			vm := &overflowVM{id: model.NodeID(fmt.Sprint(zone, n)), zone: z, state: director.New(director.Settings{
				VM: model.NodeID(fmt.Sprint(zone, n)), Zone: zone, ConfigApply: time.Hour, Retries: retrybudget.Settings{Ratio: 0.2, Slack: 20, Window: 10 * time.Second},
			})}
			vm.state.Step(o.now, director.ConfigRead{Config: settings, Started: o.now})
			vm.state.Step(o.now, read)
			o.fronts = append(o.fronts, vm)
		}
	}
	return o
}

func (o *overflowSimulation) after(d time.Duration, do func()) {
	step := int((o.elapsed + max(d, simulationStep)) / simulationStep)
	o.due[step] = append(o.due[step], do)
}

func (o *overflowSimulation) run(d time.Duration) *overflowSimulation {
	for o.elapsed < d {
		step := int(o.elapsed / simulationStep)
		for _, do := range o.due[step] {
			do()
		}
		delete(o.due, step)
		o.exchange()
		for z := range overflowZones {
			rate := o.base[z]
			if z == 0 && o.elapsed >= o.peakFrom && o.elapsed < o.peakTo {
				rate = o.peak
			}
			for left := rate * simulationStep.Seconds(); o.random.Float64() < left; left-- {
				o.arrive(o.fronts[z*o.vms+o.random.IntN(o.vms)])
			}
		}
		o.elapsed += simulationStep
		o.now = o.now.Add(simulationStep)
	}
	return o
}

// exchange has VMs send messages to their zones, each at its own time, and the first VM of
// each zone digests to the others.
func (o *overflowSimulation) exchange() {
	for i, from := range o.fronts {
		if (o.elapsed+time.Duration(i*29)*simulationStep)%o.messageInterval == 0 {
			state := o.stateOf(from)
			for _, to := range o.fronts {
				if to != from && to.zone == from.zone {
					to.state.Step(o.now, o.readBy(to, state))
				}
			}
		}
	}
	if o.elapsed%o.digestInterval != 0 || o.cutFrom != 0 && o.elapsed >= o.cutFrom {
		return
	}
	for z, zone := range overflowZones {
		digest := director.ZoneState{Zone: zone, Loads: loadview.Loads{}}
		for _, vm := range o.fronts[z*o.vms : (z+1)*o.vms] {
			state := o.stateOf(vm)
			for id, l := range state.Loads {
				digest.Loads[id] = digest.Loads[id].Plus(l)
			}
			state.Loads, state.Age = nil, o.digestDelay
			digest.Members = append(digest.Members, state)
		}
		o.after(o.digestDelay, func() {
			for _, to := range o.fronts {
				if to.zone != z {
					read := digest
					read.Members = nil
					for _, m := range digest.Members {
						read.Members = append(read.Members, o.readBy(to, m))
					}
					to.state.Step(o.now, read)
				}
			}
		})
	}
}

func (o *overflowSimulation) stateOf(vm *overflowVM) director.PeerState {
	state := vm.state.OwnPeerState(o.now)
	if o.earlier || o.halfEarlier && slices.Index(o.fronts, vm)%2 == 1 {
		state.Demand = nil
	}
	return state
}

// readBy returns what a VM reads of a state.
func (o *overflowSimulation) readBy(vm *overflowVM, state director.PeerState) director.PeerState {
	if o.halfEarlier && slices.Index(o.fronts, vm)%2 == 1 {
		state.Demand = nil
	}
	return state
}

func (o *overflowSimulation) second(at time.Duration) *overflowSecond {
	for len(o.seconds) <= int(at/time.Second) {
		o.seconds = append(o.seconds, overflowSecond{})
	}
	return &o.seconds[int(at/time.Second)]
}

func (o *overflowSimulation) arrive(vm *overflowVM) {
	o.count++
	id, at := model.RequestID(fmt.Sprint("q", o.count)), o.elapsed
	if vm.zone == 0 {
		o.second(at).arrived++
	}
	o.send(vm, id, at, lastEffect(vm.state.Step(o.now, director.RequestArrived{Request: &fleet.Request{
		ID: id, Method: "POST", Host: "h", Path: "/s/x", Key: "key", HasKey: true, Deadline: 20 * time.Second, PromptTokens: 800, AnswerTokens: 200,
	}, Random: o.random.Float64()})))
}

// send runs a request on its path: prompts are prefilled at each hop in turn, then all hops
// decode together.
func (o *overflowSimulation) send(vm *overflowVM, id model.RequestID, arrived time.Duration, effect director.Effect) {
	send, ok := effect.(*director.Send)
	if !ok {
		o.refused++
		if vm.zone == 0 {
			o.second(arrived).refused++
		}
		return
	}
	first := o.targets[send.Hops[0].Target]
	o.sends = append(o.sends, fmt.Sprint(id, send.Hops))
	if first.requests >= first.Slots {
		o.rejected++
		o.after(0, func() {
			o.send(vm, id, arrived, lastEffect(vm.state.Step(o.now, director.SendEnded{ID: id, Outcome: director.Rejected, Responded: true, Random: o.random.Float64()})))
		})
		return
	}
	if vm.zone == 0 && first.Zone != "a" {
		o.second(arrived).remote++
	}
	begin, decode := o.now, 0.0
	for _, hop := range send.Hops {
		t := o.targets[hop.Target]
		t.requests++
		pass := o.engine.PassMs(o.engine.Hardware[t.Kind], hop.Layers.Len(), float64(t.requests))
		begin = max(begin, t.freeAt).Add(time.Duration(pass * o.engine.MeanPromptTokens / o.engine.PrefillChunkTokens * float64(time.Millisecond)))
		t.freeAt = begin
		decode += 200 * o.stretch * o.engine.StepMsAt(float64(t.requests)) * o.engine.Hardware[t.Kind].DecodeFactor * float64(hop.Layers.Len()) / float64(o.engine.Layers)
	}
	toFirst := begin.Sub(o.now)
	if arrived+500*time.Millisecond < o.elapsed+toFirst {
		o.late++
		if vm.zone == 0 {
			o.second(arrived).late++
		}
	}
	o.after(toFirst, func() { vm.state.Step(o.now, director.AnswerStarted{ID: id}) })
	o.after(toFirst+time.Duration(decode*float64(time.Millisecond)), func() {
		for _, hop := range send.Hops {
			o.targets[hop.Target].requests--
		}
		vm.state.Step(o.now, director.RequestFinished{ID: id, Delivered: true})
	})
}

// over sums the seconds from one to another.
func (o *overflowSimulation) over(from, to int) (sum overflowSecond) {
	for _, s := range o.seconds[from:to] {
		sum.arrived += s.arrived
		sum.remote += s.remote
		sum.refused += s.refused
		sum.late += s.late
	}
	return sum
}

// settleTime is the time for which messages may be old, and the time constants of the demand
// and of a falling share, with one second to spare: until then, shares follow the demand.
const settleTime = 5 * time.Second

// shareDeviation returns the mean share of the requests of zone a that were sent elsewhere
// in each second of the settled peak, its standard deviation, and the one that independent
// draws would have.
func (o *overflowSimulation) shareDeviation() (mean, deviation, ofDraws float64) {
	from, to := int((o.peakFrom+settleTime)/time.Second), int(o.peakTo/time.Second)
	sum := o.over(from, to)
	mean = float64(sum.remote) / float64(sum.arrived)
	for _, s := range o.seconds[from:to] {
		n := float64(max(s.arrived, 1))
		deviation += math.Pow(float64(s.remote)/n-mean, 2) / float64(to-from)
		ofDraws += mean * (1 - mean) / n / float64(to-from)
	}
	return mean, math.Sqrt(deviation), math.Sqrt(ofDraws)
}
