package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"syscall"
	"time"

	"tamarackreach/platform/platformtest"
)

const (
	// upgradeStart is the share of the faults' time after which an upgrade begins, and
	// rollbackStart that after which some VMs go back.
	upgradeStart, rollbackStart = 0.15, 0.6
	// upgradeGap is the time between the replacements of two VMs.
	upgradeGap = 300 * time.Millisecond
)

// replaceBuilds replaces the processes of all VMs by those of the build under test, one after
// the other, while faults go on. Every second seed then takes some of them back to the
// earlier build, and every third begins with the build under test and goes back.
func (r *run) replaceBuilds() {
	if r.Earlier == "" {
		return
	}
	random := rand.New(rand.NewPCG(r.Seed, 2))
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		next := r.Binary
		if r.startsLater() {
			next = r.Earlier
		}
		time.Sleep(time.Duration(upgradeStart * float64(r.Faults)))
		for _, i := range random.Perm(len(r.vms)) {
			r.replaceBuild(r.vms[i], next)
		}
		if r.Seed%2 == 1 {
			return
		}
		time.Sleep(time.Duration((rollbackStart - upgradeStart) * float64(r.Faults)))
		for _, i := range random.Perm(len(r.vms))[:(len(r.vms)+1)/2] {
			r.replaceBuild(r.vms[i], r.Earlier)
		}
	}()
}

// startsLater reports whether the run begins with the build under test.
func (r *run) startsLater() bool { return r.Earlier == "" || r.Seed%3 == 0 }

func (r *run) replaceBuild(v *vm, binary string) {
	v.mu.Lock()
	v.binary = binary
	v.mu.Unlock()
	v.signal(syscall.SIGTERM)
	r.lock.Lock()
	r.report.Faults = append(r.report.Faults, fmt.Sprintf("%.3f s build of %s replaced", time.Since(r.started).Seconds(), v.name))
	r.report.Replaced++
	r.lock.Unlock()
	time.Sleep(upgradeGap)
}

// writtenByLaterBuild reports whether a lost registration is one that its VM, which was rolled
// back since, does not write: the row in the store is that of the earlier build, and differs
// from the lost one in the protocol only.
func (r *run) writtenByLaterBuild(lost platformtest.Row) bool {
	if r.Earlier == "" || !slices.ContainsFunc(r.vms, func(v *vm) bool { return lost.Key == "vm/"+v.name && v.runs(r.Earlier) }) {
		return false
	}
	present := r.store.Present(lost)
	var then, now map[string]any
	if json.Unmarshal(lost.Value, &then) != nil || json.Unmarshal(present.Value, &now) != nil {
		return false
	}
	_, stated := now["protocol"]
	delete(then, "protocol")
	return !stated && reflect.DeepEqual(then, now)
}

// runs reports whether the next process of the VM is of a program, or the present one.
func (v *vm) runs(binary string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.binary == binary
}
