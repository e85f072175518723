package controller

import (
	"encoding/json"
	"maps"
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/platform"
)

// appliedTables is what the reducer and the messages between VMs have of the tables.
type appliedTables struct {
	mu sync.Mutex
	// config is the version of the row whose configuration is in force.
	config fleet.StoreVersion
	// targets are the decoded registrations, nil for rows that do not decode.
	targets map[string]decodedTarget
	// vms are the VMs of the last read, and those of earlier eras whose rows may be written
	// again.
	vms map[model.NodeID]vmRecord
}

// reset forgets what was applied by versions of a store that is no longer used: those of
// another store may be equal.
func (a *appliedTables) reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.config, a.targets = fleet.StoreVersion{}, nil
}

type decodedTarget struct {
	version fleet.StoreVersion
	target  *fleet.Target
}

// applyConfig puts the configuration in force, or confirms it.
func (c *Controller) applyConfig() {
	c.applied.mu.Lock()
	defer c.applied.mu.Unlock()
	rows, _, confirmedAt, ok := c.tables[configTable].snapshot()
	if !ok || len(rows) == 0 {
		return
	}
	row := rows[0]
	if row.Version == c.applied.config {
		c.reducer.Step(director.ConfigRead{Started: confirmedAt, Era: row.Version.Era})
		return
	}
	config, err := platform.DecodeConfig(row.Value)
	if err != nil {
		logrus.WithError(err).WithField("row", row.Version).Error("configuration not usable")
		return
	}
	c.reducer.Step(director.ConfigRead{Config: config, Started: confirmedAt, Era: row.Version.Era})
	var inForce model.Revision
	c.reducer.Read(func(s *director.State) { inForce = s.Config().Version })
	if inForce == config.Version {
		c.applied.config = row.Version
	}
}

// applyTargets passes all registrations on to the reducer.
func (c *Controller) applyTargets() {
	c.applied.mu.Lock()
	defer c.applied.mu.Unlock()
	rows, version, confirmedAt, ok := c.tables[targetsTable].snapshot()
	if !ok {
		return
	}
	read := director.TargetsRead{Rows: make(map[model.TargetID]fleet.StoreVersion, len(rows)), Newest: version, ConfirmedAt: confirmedAt}
	decoded := make(map[string]decodedTarget, len(rows))
	for _, row := range rows {
		d, known := c.applied.targets[row.Key]
		if !known || d.version != row.Version {
			target, err := platform.DecodeTarget(row)
			if err != nil {
				logrus.WithError(err).WithField("row", row.Version).Warn("invalid registration; the others are used")
			}
			d = decodedTarget{version: row.Version, target: target}
		}
		decoded[row.Key] = d
		if d.target != nil {
			read.Targets = append(read.Targets, d.target)
			read.Rows[d.target.ID] = row.Version
		}
	}
	c.applied.targets = decoded
	c.reducer.Step(read)
}

// InvalidRegistrations returns the number of rows of the targets' table that do not decode.
func (c *Controller) InvalidRegistrations() int {
	c.applied.mu.Lock()
	defer c.applied.mu.Unlock()
	invalid := 0
	for _, d := range c.applied.targets {
		if d.target == nil {
			invalid++
		}
	}
	return invalid
}

// applyVMs passes the list of VMs on to the messages between them.
func (c *Controller) applyVMs() {
	c.applied.mu.Lock()
	defer c.applied.mu.Unlock()
	rows, _, _, ok := c.tables[vmsTable].snapshot()
	if !ok {
		return
	}
	vms := map[model.NodeID]vmRecord{}
	if c.rowsMayBeLost(bootclock.Now()) {
		maps.Copy(vms, c.applied.vms)
	}
	for _, row := range rows {
		name, found := strings.CutPrefix(row.Key, vmPrefix)
		if !found {
			continue
		}
		var record vmRecord
		if err := json.Unmarshal(row.Value, &record); err != nil {
			logrus.WithError(err).WithField("row", row.Key).Warn("invalid VM record ignored")
			continue
		}
		vms[model.NodeID(name)] = record
	}
	if len(vms) != len(c.applied.vms) {
		logrus.WithFields(logrus.Fields{"vms": len(vms), "before": len(c.applied.vms)}).Info("list of VMs changed")
	}
	c.applied.vms = vms
	c.peers.setVMs(vms)
	c.reducer.Step(director.VMsCounted{Count: len(vms)})
}
