package director_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

const (
	outageTick = 50 * time.Millisecond
	// copyInterval, wholeInterval and copyLimit are how often a VM takes a copy, how often the
	// VM that reads for others reads, and the age of a copy from which a VM reads itself.
	copyInterval, wholeInterval, copyLimit = 350 * time.Millisecond, 650 * time.Millisecond, 900 * time.Millisecond
	// failedReadTime is how long a read takes that gets no answer.
	failedReadTime = time.Second
	// failingPeriod is how long a VM whose read failed comes behind others as their source.
	failingPeriod = 10 * time.Second
	// drainBound is within which a VM whose way to the store is sound stops sending to a target
	// that left.
	drainBound = 2 * time.Second
)

// outageVM is a VM that reads the registrations, or takes the copy of another VM.
type outageVM struct {
	state    *director.State
	cutUntil model.Instant
	// listed and confirmedAt are its copy of the registrations.
	listed      map[model.TargetID]bool
	confirmedAt model.Instant
	nextAt      model.Instant
	failedAt    model.Instant
	// readFailsAt is when a read in flight fails that gets no answer; 0 without one.
	readFailsAt model.Instant
}

// outageWorld is a store, targets that renew their registrations, and VMs.
type outageWorld struct {
	now       model.Instant
	awayUntil model.Instant
	vms       []*outageVM
	renewAt   map[model.TargetID]model.Instant
	renewedAt map[model.TargetID]model.Instant
	listed    map[model.TargetID]bool
	left      map[model.TargetID]model.Instant
	random    *rand.Rand
}

func newOutageWorld(seed uint64) *outageWorld {
	w := &outageWorld{
		now: model.Instant(time.Hour), random: rand.New(rand.NewPCG(seed, 39)), renewAt: map[model.TargetID]model.Instant{},
		renewedAt: map[model.TargetID]model.Instant{}, listed: map[model.TargetID]bool{}, left: map[model.TargetID]model.Instant{},
	}
	for i := range 8 {
		id := model.TargetID(fmt.Sprint("o", i))
		w.renewedAt[id], w.listed[id] = w.now, true
		w.renewAt[id] = w.now.Add(w.upTo(heartbeat))
	}
	for i := range 4 {
		settings := harnessSettings
		settings.VM, settings.Heartbeat = model.NodeID(fmt.Sprint("vm-", i)), heartbeat
		vm := &outageVM{state: director.New(settings)}
		w.vms = append(w.vms, vm)
		w.readStore(vm)
	}
	return w
}

func (w *outageWorld) upTo(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d)))
}

// step advances the world by a tick.
func (w *outageWorld) step() {
	w.now = w.now.Add(outageTick)
	for id, at := range w.renewAt {
		if w.left[id] != 0 {
			continue
		}
		if w.now >= at {
			w.renewAt[id] = w.now.Add(heartbeat - w.upTo(outageTick))
			if w.now >= w.awayUntil {
				w.listed[id], w.renewedAt[id] = true, w.now
			}
		}
		// Registrations expire while the store is away, not between its return and the next
		// renewal.
		if w.now < w.awayUntil && w.now.Sub(w.renewedAt[id]) > 3*heartbeat {
			delete(w.listed, id)
			w.renewAt[id] = w.awayUntil.Add(w.upTo(1900 * time.Millisecond))
		}
	}
	for _, vm := range w.vms {
		switch {
		case vm.readFailsAt != 0 && w.now >= vm.readFailsAt:
			vm.readFailsAt, vm.failedAt = 0, w.now
			vm.state.Step(w.now, director.StoreFailed{})
		case vm.readFailsAt == 0 && w.now >= vm.nextAt:
			vm.nextAt = w.now.Add(copyInterval)
			w.refresh(vm)
		}
	}
}

func (vm *outageVM) failing(now model.Instant) bool {
	return vm.failedAt != 0 && now.Sub(vm.failedAt) < failingPeriod
}

// refresh is Controller.refresh: the source is the first VM whose reads do not fail.
func (w *outageWorld) refresh(vm *outageVM) {
	source := vm
	for _, other := range w.vms {
		if !other.failing(w.now) {
			source = other
			break
		}
	}
	limit := wholeInterval
	if source != vm {
		limit = copyLimit
		w.take(vm, source)
	}
	if w.now.Sub(vm.confirmedAt) >= limit {
		w.readStore(vm)
	}
}

func (w *outageWorld) take(vm, source *outageVM) {
	if at := source.state.StoreRecoveredAt(); at != 0 {
		vm.state.Step(w.now, director.RecoveryStated{At: at.Add(-w.upTo(outageTick))})
	}
	if source.confirmedAt >= vm.confirmedAt {
		vm.listed, vm.confirmedAt = source.listed, source.confirmedAt
	}
	w.apply(vm)
}

func (w *outageWorld) readStore(vm *outageVM) {
	if w.now < w.awayUntil || w.now < vm.cutUntil {
		vm.readFailsAt = w.now.Add(failedReadTime)
		return
	}
	vm.listed, vm.confirmedAt, vm.failedAt = map[model.TargetID]bool{}, w.now, 0
	for id := range w.listed {
		vm.listed[id] = true
	}
	w.apply(vm)
}

func (w *outageWorld) apply(vm *outageVM) {
	read := director.TargetsRead{Rows: map[model.TargetID]fleet.StoreVersion{}, ConfirmedAt: vm.confirmedAt}
	for id := range vm.listed {
		read.Targets = append(read.Targets, &fleet.Target{ID: id, Service: orders, Address: "at-" + string(id), Zone: "a", State: fleet.TargetReady, Slots: 6, StartedMs: 1})
		read.Rows[id] = fleet.StoreVersion{Row: 1}
	}
	vm.state.Step(w.now, read)
}

// late returns a target that left longer ago than the drain bound and that a VM with a sound
// way to the store still uses.
func (w *outageWorld) late(sound []bool) string {
	for i, vm := range w.vms {
		for id, at := range w.left {
			if sound[i] && w.now.Sub(at) > drainBound && vm.state.Serves(w.now, id) {
				return fmt.Sprintf("vm-%d uses %s %s after it left", i, id, w.now.Sub(at))
			}
		}
	}
	return ""
}

// dropped returns a target that runs and that a VM does not use.
func (w *outageWorld) dropped() string {
	for i, vm := range w.vms {
		for id := range w.renewAt {
			if w.left[id] == 0 && !vm.state.Serves(w.now, id) {
				return fmt.Sprintf("vm-%d dropped %s", i, id)
			}
		}
	}
	return ""
}

var _ = Describe("reads of four VMs that take each other's copies", func() {
	// Guards against an outage seen by one VM that others take for one of the store (review/1).
	It("show a target that left to every VM whose way is sound, while single VMs are cut off", func() {
		for seed := range uint64(300) {
			w := newOutageWorld(seed)
			sound := []bool{true, true, true, true}
			for range 2 {
				sound[w.random.IntN(4)] = false
			}
			for range 600 {
				for i, vm := range w.vms {
					if !sound[i] && w.now >= vm.cutUntil && w.random.IntN(60) == 0 {
						vm.cutUntil = w.now.Add(w.upTo(6 * time.Second))
					}
				}
				if id := model.TargetID(fmt.Sprint("o", w.random.IntN(8))); w.left[id] == 0 && w.random.IntN(60) == 0 {
					w.left[id] = w.now
					delete(w.listed, id)
				}
				w.step()
				Expect(w.late(sound)).To(BeEmpty(), "seed %d", seed)
				Expect(w.dropped()).To(BeEmpty(), "seed %d", seed)
			}
		}
	})

	// Pattern: the store serves nobody for up to eight seconds, and registrations expire.
	It("drop no target that runs after an outage of the store, beside single VMs that are cut off", func() {
		for seed := range uint64(300) {
			w := newOutageWorld(seed)
			for range 600 {
				if w.now >= w.awayUntil.Add(6*time.Second) && w.random.IntN(80) == 0 {
					w.awayUntil = w.now.Add(w.upTo(8 * time.Second))
				}
				if vm := w.vms[w.random.IntN(4)]; w.random.IntN(100) == 0 {
					vm.cutUntil = w.now.Add(w.upTo(5 * time.Second))
				}
				w.step()
				Expect(w.dropped()).To(BeEmpty(), "seed %d", seed)
			}
		}
	})
})
