package controller

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/internal/placementlease"
	"tamarackreach/internal/storeera"
)

// registrationSpread is the time over which VMs write their lost rows again after
// the store came back from an older copy.
const registrationSpread = 3 * time.Second

// lostRowGrace is how long after a restore a missing row of another VM is attributed
// to it: the spread, the interval at which VMs read, and a failed attempt.
const lostRowGrace = registrationSpread + listInterval + 2*time.Second

// eraState is what a VM knows of the store's eras.
type eraState struct {
	mu      sync.Mutex
	tracker storeera.Tracker
	// since is when the current era was first observed.
	since model.Instant
	// invalid and stale count responses that were discarded.
	invalid, stale uint64
}

func (e *eraState) current() fleet.StoreEra {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Current()
}

func (e *eraState) check(v fleet.StoreVersion) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tracker.Check(v)
}

// EraCounts are counters of the store's eras, from the start of the process.
type EraCounts struct {
	Current fleet.StoreEra
	// Invalid counts responses whose era does not decode, Stale those of an earlier era.
	Invalid, Stale uint64
}

// EraCounts returns the current era of the store and the discarded responses.
func (c *Controller) EraCounts() EraCounts {
	c.era.mu.Lock()
	defer c.era.mu.Unlock()
	return EraCounts{Current: c.era.tracker.Current(), Invalid: c.era.invalid, Stale: c.era.stale}
}

// acceptEra decides on a response of the store by its era. Every response passes
// here before it is used.
func (c *Controller) acceptEra(era fleet.StoreEra, invalid error) error {
	c.era.mu.Lock()
	defer c.era.mu.Unlock()
	if invalid != nil {
		c.era.invalid++
		logrus.WithError(invalid).Warn("response of the store discarded")
		return invalid
	}
	before := c.era.tracker.Current()
	restored, err := c.era.tracker.Observe(era)
	if err != nil {
		c.era.stale++
		logrus.WithError(err).WithFields(logrus.Fields{"era": era, "current": before}).Warn("response of the store discarded")
		return err
	}
	if era == before && c.era.since != 0 {
		return nil
	}
	c.era.since = bootclock.Now()
	c.resetTables(era)
	if restored {
		c.reducer.Step(director.StoreRestored{Era: era})
		c.contentLost()
	}
	return nil
}

// restartEras discards all beliefs about the store; its address has changed.
func (c *Controller) restartEras() {
	c.era.mu.Lock()
	defer c.era.mu.Unlock()
	c.era.tracker, c.era.since = storeera.Tracker{}, 0
	c.lease.Store(nil)
	c.registered.Store(nil)
	c.replaceStore()
	c.reducer.Step(director.StoreReplaced{})
	c.contentLost()
}

// mayAcquireLease reports whether a lease of an earlier era has expired.
func (c *Controller) mayAcquireLease(now model.Instant) bool {
	c.era.mu.Lock()
	defer c.era.mu.Unlock()
	// A VM whose first response is late may have missed an era with a lease.
	firstStart := c.settings.FirstStart && c.era.since.Sub(c.startedAt) < placementlease.LeaseDuration
	return placementlease.MayAcquire(firstStart, &c.era.tracker, now.Sub(c.era.since))
}

// rowsMayBeLost reports whether rows of other VMs may be missing because they were
// lost in a restore and are not written again yet.
func (c *Controller) rowsMayBeLost(now model.Instant) bool {
	c.era.mu.Lock()
	defer c.era.mu.Unlock()
	return c.era.tracker.Restored() && now.Sub(c.era.since) < lostRowGrace
}

// registrationDue reports whether the VM's own row is to be written if it is missing.
// After a restore, VMs write at different times within registrationSpread.
func (c *Controller) registrationDue(now model.Instant) bool {
	if registered, ok := c.registered.Load().In(c.era.current()); ok && registered {
		return false
	}
	c.era.mu.Lock()
	defer c.era.mu.Unlock()
	if !c.era.tracker.Restored() {
		return true
	}
	return now.Sub(c.era.since) >= c.restoreDelay()
}

// restoreDelay returns how long after a restore this VM writes its lost rows again.
func (c *Controller) restoreDelay() time.Duration {
	return time.Duration(xxhash.Sum64String(string(c.settings.VM)) % uint64(registrationSpread))
}
