package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"tamarackreach/platform/platformtest"
)

const (
	// copyInterval is the time between two copies of the store, and maxCopies bounds
	// the age of the copy from which the store is restored.
	copyInterval = 100 * time.Millisecond
	maxCopies    = 50
	// maxStoreAbsence bounds the time for which the store is away before a restore.
	maxStoreAbsence = 600 * time.Millisecond
	// maxRewriteDelay bounds the time until the first lost row is written again.
	maxRewriteDelay = 2 * time.Second
	// maxRewriteGap bounds the time between two lost rows that are written again.
	maxRewriteGap = 150 * time.Millisecond
	// rowsTimeout is the time within which the VMs write their lost rows again: the
	// time over which they spread the writes, an earlier lease, and failed attempts.
	rowsTimeout = 8 * time.Second
	// meanRestoreGap is the mean time between two restores when they are the only faults.
	meanRestoreGap = 2 * time.Second
	// drainTime is how long a target serves after its drain was acknowledged.
	drainTime = 3 * time.Second
	// minTargets is the number of targets of a service below which none drains.
	minTargets = 3
)

// contentTable is the table of what the VMs know of content that crashes targets. Its keys
// are the names of the VMs.
const contentTable = "tamarackreach-content"

// configSubject is the subject of spans in which the store is away or has lost the
// configuration that it has acknowledged.
const configSubject = "configuration"

// restoreFaults returns the kinds of returns of the store from an older copy.
func restoreFaults() []fault {
	return []fault{
		{"store restored", restoreStore}, {"store restored", restoreStore}, {"store restored", restoreStore},
		{"store restored twice", func(r *run) func() { r.restore(0, func() {}); r.restore(0, func() {}); return nil }},
	}
}

// mixedFaults returns the faults that only runs with other faults have in addition.
func mixedFaults() []fault {
	return []fault{
		{"target drains", drainTarget}, {"target drains", drainTarget},
		{"configuration lost, VM restarted", func(r *run) func() {
			_ = r.rotateKey() // the store is in memory and does not fail
			v := r.vm()
			r.restore(platformtest.StabilityWindow, func() { v.signal(syscall.SIGKILL) })
			return nil
		}},
	}
}

// keepCopies takes copies of the store until the run ends.
func (r *run) keepCopies(stop <-chan struct{}) {
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	for {
		r.copiesLock.Lock()
		r.copies = append(r.copies, r.store.Copy())
		r.copies = r.copies[max(0, len(r.copies)-maxCopies):]
		r.copiesLock.Unlock()
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

func restoreStore(r *run) func() { r.restore(0, func() {}); return nil }

// restore makes the store fail for a moment after a delay and come back from an older
// copy; returned is called then. The operator and the targets write their lost rows again one by one.
func (r *run) restore(delay time.Duration, returned func()) {
	age, absence, seed := r.random.IntN(maxCopies), time.Duration(r.random.Int64N(int64(maxStoreAbsence))), r.random.Uint64()
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		time.Sleep(delay)
		endConfig, endStore := r.spans.begin(configSubject), r.spans.begin(storeSubject)
		r.store.Fail(http.StatusServiceUnavailable)
		time.Sleep(absence)
		r.copiesLock.Lock()
		i := max(0, len(r.copies)-1-age)
		copied := r.copies[i]
		// Later copies hold what the restore loses.
		r.copies = r.copies[:i+1]
		r.copiesLock.Unlock()
		r.store.Restore(copied)
		r.store.Fail(0)
		r.lock.Lock()
		r.restoredAt = append(r.restoredAt, time.Now())
		r.lock.Unlock()
		endStore()
		returned()
		r.writeLostRows(seed)
		endConfig()
	}()
}

// writeLostRows writes the rows of the operator and the targets again in random order.
func (r *run) writeLostRows(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 4))
	time.Sleep(time.Duration(random.Int64N(int64(maxRewriteDelay))))
	for {
		rows, _ := r.lostRows()
		if len(rows) == 0 {
			return
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxRewriteGap))))
		r.store.WriteAgain(rows[random.IntN(len(rows))])
	}
}

// lostRows returns the lost rows of the operator and the targets, and those of the VMs.
func (r *run) lostRows() (others, vms []platformtest.Row) {
	for _, row := range r.store.Lost() {
		if row.Table == "op" || row.Table == "servers" {
			others = append(others, row)
		} else {
			vms = append(vms, row)
		}
	}
	return others, vms
}

// awaitRows returns the rows that the VMs have lost and not written again in time.
func (r *run) awaitRows() []platformtest.Row {
	end := time.Now().Add(rowsTimeout)
	for {
		_, lost := r.lostRows()
		lost = slices.DeleteFunc(lost, func(row platformtest.Row) bool { return r.forgottenContent(row) || r.writtenByLaterBuild(row) })
		if len(lost) == 0 || time.Now().After(end) {
			return lost
		}
		time.Sleep(copyInterval)
	}
}

// forgottenContent reports whether a lost row is one that its VM does not know of: its
// process has restarted since the first restore. The registration of a VM is written
// again by each process.
func (r *run) forgottenContent(row platformtest.Row) bool {
	return row.Table == contentTable && restartedSince(r.spans.all(), row.Key, r.restoredAt)
}

// restartedSince reports whether a VM's process has restarted after the first of some
// times.
func restartedSince(spans []span, vm string, times []time.Time) bool {
	return slices.ContainsFunc(spans, func(s span) bool {
		return s.subject == restartOf(vm) && slices.ContainsFunc(times, func(at time.Time) bool { return s.to.IsZero() || s.to.After(at) })
	})
}

// checkWrites checks that a restore causes no storm of writes to the store.
func (r *run) checkWrites() {
	for _, at := range r.restoredAt {
		calls := r.store.Calls(at, at.Add(rowsTimeout))
		r.report.PeakWrites = max(r.report.PeakWrites, calls.PeakWrites)
		if limit := maxWritesPerVM * r.VMs; calls.PeakWrites > limit {
			r.report.Violations = append(r.report.Violations, fmt.Sprintf("storm: %d write calls to the store in the second before %.3f s, at most %d are allowed",
				calls.PeakWrites, calls.PeakWritesAt.Sub(r.started).Seconds(), limit))
		}
	}
}

// drainTarget drains a target, which serves on for drainTime and is then replaced.
func drainTarget(r *run) func() {
	t := r.anyTarget()
	if t == nil || !r.drained[t.ID].IsZero() || len(r.fleet.Targets(t.Service)) < minTargets || t.Register("draining") != nil {
		return nil
	}
	r.drained[t.ID] = time.Now()
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		time.Sleep(drainTime)
		t.Deregister()
		t.Crash()
		// If the replacement cannot start, the recovery check fails and reports it.
		r.lock.Lock()
		defer r.lock.Unlock()
		_ = r.addTarget(t.Service, t.Zone, t.Kind)
	}()
	return nil
}

// checkDrains checks that a VM which has had the time to read a target's drain sends
// the target nothing later.
func (r *records) checkDrains() {
	for i := range r.arrivals {
		a := &r.arrivals[i]
		drained, ok := r.drained[a.Target]
		read := drained.Add(platformtest.DrainBound)
		c := r.byID[a.Request]
		if !ok || c == nil || a.At.Before(read) || !r.calm(storeSubject, drained.Add(-platformtest.StabilityWindow), read) ||
			!r.calm(c.vm, drained.Add(-platformtest.StabilityWindow), a.At) || r.endedBetween(a.Target, drained, a.At) {
			continue
		}
		r.violation(c.id, "drained: %s received %s %s after its drain was acknowledged", a.Target, c.id, a.At.Sub(drained))
	}
}

// checkUnaffected checks that a restore alone makes no request fail. A request may be
// refused when its VM could not confirm the configuration within the bound.
func (r *records) checkUnaffected() {
	for i := range r.calls {
		c := &r.calls[i]
		if c.sent.Before(r.served) || c.succeeded() || c.key != permanentKey || c.status == http.StatusServiceUnavailable && r.unconfirmed(c) {
			continue
		}
		r.violation(c.id, "restore: %s was answered %d, complete %t", c.id, c.status, c.complete)
	}
}

// forgotten reports whether no VM may know a configuration at a time: the store has
// lost it before the VMs had the time to read it, or every VM has restarted since.
func (r *records) forgotten(acknowledged, at time.Time) bool {
	for _, s := range r.spans {
		if s.subject != configSubject || s.from.After(at) || !s.to.IsZero() && s.to.Add(platformtest.ConfigBound).Before(at) {
			continue
		}
		if s.from.Before(acknowledged.Add(platformtest.ConfigBound)) || !slices.ContainsFunc(r.vms, func(vm string) bool { return r.calm(restartOf(vm), s.from, at) }) {
			return true
		}
	}
	return false
}

// unconfirmed reports whether the VM of a refused call could not confirm the
// configuration within the bound.
func (r *records) unconfirmed(c *call) bool {
	for _, s := range r.spans {
		if s.subject == configSubject && c.ended.Sub(s.from) >= platformtest.RevokeBound-platformtest.ConfigBound &&
			(s.to.IsZero() || c.sent.Before(s.to.Add(platformtest.ConfigBound))) {
			return true
		}
	}
	return false
}
