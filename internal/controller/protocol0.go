package controller

import (
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/platform"
)

// state is a VM's last known state of the store, as builds of protocol 0 query it from the
// first VM of their zone.
type state struct {
	Era          fleet.StoreEra   `json:"era,omitempty"`
	ConfigRow    model.RowVersion `json:"config_row"`
	ConfigAgeMs  int64            `json:"config_age_ms"`
	TargetsHash  uint64           `json:"targets_hash"`
	TargetsAgeMs int64            `json:"targets_age_ms"`
}

// state returns the state for a VM with a build of protocol 0.
func (c *Controller) state(now model.Instant) *state {
	config, targets := c.tables[configTable], c.tables[targetsTable]
	configAge, _ := config.age(now)
	targetsAge, _ := targets.age(now)
	out := &state{
		Era: c.era.current(), ConfigAgeMs: configAge.Milliseconds(), TargetsAgeMs: targetsAge.Milliseconds(), TargetsHash: targets.versionsHash(),
	}
	config.mu.Lock()
	defer config.mu.Unlock()
	if row, found := config.copied.Row(platform.KeyConfig); found {
		out.ConfigRow = row.Version.Row
	}
	return out
}
