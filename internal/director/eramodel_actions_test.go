package director_test

import (
	"fmt"
	"slices"

	"tamarackreach/internal/director"
)

type modelCallKind struct {
	name    string
	enabled bool
	call    *modelCall
	apply   func(*modelVM)
}

func (w *modelWorld) calls(vm *modelVM) []modelCallKind {
	return []modelCallKind{
		{"lease", w.scope.lease, &vm.leaseCall, w.sendLease},
		{"configuration", w.scope.config, &vm.configCall, w.applyConfig},
		{"targets", w.scope.target, &vm.targetCall, w.applyTargets},
	}
}

func (w *modelWorld) actions() []modelAction {
	var out []modelAction
	add := func(name string, run func(w *modelWorld)) { out = append(out, modelAction{name, run}) }
	for _, d := range w.scope.steps {
		add("time passes "+d.String(), func(w *modelWorld) { w.now = w.now.Add(d) })
	}
	w.storeActions(add)
	for i := range w.late {
		add("late write performed", func(w *modelWorld) {
			w.perform(&w.late[i])
			w.late = slices.Delete(w.late, i, i+1)
		})
	}
	for i := range w.vms {
		w.vmActions(i, add)
	}
	return out
}

func (w *modelWorld) storeActions(add func(string, func(*modelWorld))) {
	if w.restores < w.scope.restores {
		for i := range w.copies {
			add(fmt.Sprint("restore copy ", i), func(w *modelWorld) {
				w.store = w.copies[i]
				w.era++
				w.restores++
				w.copies = w.copies[:i+1]
			})
		}
	}
	if w.scope.config {
		for revision := w.store.config + 1; revision < uint64(len(modelConfigs)) && revision <= w.operator+1; revision++ {
			add(fmt.Sprint("operator writes configuration ", revision), func(w *modelWorld) {
				w.store.counter++
				w.store.config, w.operator = revision, max(w.operator, revision)
				w.written()
			})
		}
	}
	if w.scope.target {
		add("target renews its registration", func(w *modelWorld) { w.writeTarget(); w.written() })
		if w.truth < removed {
			add("target changes", func(w *modelWorld) { w.truth++; w.writeTarget(); w.written() })
		}
	}
}

// coarseActions are polls of a VM, of which one delays the write.
func (w *modelWorld) coarseActions(i int, name string, add func(string, func(*modelWorld))) {
	add(name+"polls", func(w *modelWorld) { w.pollAll(&w.vms[i]); w.performPut(&w.vms[i]) })
	add(name+"misses the store", func(w *modelWorld) { w.step(&w.vms[i], director.StoreFailed{}) })
	if len(w.late) < w.scope.late {
		add(name+"polls, write delayed", func(w *modelWorld) {
			if w.pollAll(&w.vms[i]); w.vms[i].put.sent {
				w.late = append(w.late, w.vms[i].put)
				w.vms[i].put = modelPut{}
			}
		})
	}
}

func (w *modelWorld) vmActions(i int, add func(string, func(*modelWorld))) {
	name := string(w.vms[i].name) + " "
	if w.scope.coarse {
		w.coarseActions(i, name, add)
		return
	}
	// A response on another connection may show a new era at any time.
	if w.vms[i].tracker.Current() != w.era {
		add(name+"observes the era", func(w *modelWorld) { w.accept(&w.vms[i], w.era) })
	}
	for k, kind := range w.calls(&w.vms[i]) {
		if kind.enabled {
			callActions(i, k, name+kind.name, kind.call, add)
		}
	}
	w.putActions(i, name, add)
	if w.restarts < w.scope.restarts {
		add(name+"restarts", func(w *modelWorld) {
			w.restarts++
			w.vms[i].firstStart = false
			w.vms[i].restart(w.scope)
		})
	}
	if !w.scope.config {
		return
	}
	for j := range w.vms {
		if j != i && w.vms[i].inForce > 0 {
			add(fmt.Sprint(name, "reports to ", j), func(w *modelWorld) {
				w.step(&w.vms[j], w.vms[i].state.OwnPeerState(w.now))
				w.vms[j].newestKnown = max(w.vms[j].newestKnown, w.vms[i].inForce)
			})
		}
	}
}

func callActions(i, kind int, name string, call *modelCall, add func(string, func(*modelWorld))) {
	switch {
	case !call.served:
		add(name+" read", func(w *modelWorld) { w.read(w.calls(&w.vms[i])[kind].call) })
		add(name+" read lost", func(w *modelWorld) { w.step(&w.vms[i], director.StoreFailed{}) })
	case !call.accepted:
		add(name+" answer", func(w *modelWorld) { w.acceptCall(&w.vms[i], w.calls(&w.vms[i])[kind].call) })
		add(name+" answer applied", func(w *modelWorld) {
			k := w.calls(&w.vms[i])[kind]
			if w.acceptCall(&w.vms[i], k.call); k.call.accepted {
				k.apply(&w.vms[i])
			}
		})
	default:
		add(name+" applied", func(w *modelWorld) { w.calls(&w.vms[i])[kind].apply(&w.vms[i]) })
	}
}

func (w *modelWorld) putActions(i int, name string, add func(string, func(*modelWorld))) {
	put := &w.vms[i].put
	switch {
	case put.performed:
		add(name+"write answered", func(w *modelWorld) { w.putAnswered(&w.vms[i]) })
		add(name+"write's answer lost", func(w *modelWorld) { w.vms[i].put = modelPut{} })
	case put.sent:
		add(name+"write performed", func(w *modelWorld) { w.perform(&w.vms[i].put) })
		add(name+"write performed and answered", func(w *modelWorld) { w.performPut(&w.vms[i]) })
		if len(w.late) < w.scope.late {
			add(name+"write delayed", func(w *modelWorld) {
				w.late = append(w.late, w.vms[i].put)
				w.vms[i].put = modelPut{}
			})
		}
	}
}
