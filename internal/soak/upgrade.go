package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
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
