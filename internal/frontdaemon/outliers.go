package frontdaemon

import (
	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
)

// registerOutlierMetrics registers the targets out of rotation because of their errors.
func (d *Daemon) registerOutlierMetrics(state func(func(*director.State) float64) func() float64) {
	m := d.metrics
	m.Gauge("tamarack_targets_ejected", "Targets out of rotation because they answer with errors.",
		state(func(s *director.State) float64 { return float64(len(s.EjectedTargets(bootclock.Now()))) }))
	m.Counter("tamarack_ejections_total", "Ejections of targets by this VM: detected, or after a failed trial.",
		state(func(s *director.State) float64 { return float64(s.OutlierCounts().Ejections) }))
	m.Counter("tamarack_ejections_adopted_total", "Ejections of targets that other VMs detected.",
		state(func(s *director.State) float64 { return float64(s.OutlierCounts().Adopted) }))
	m.Counter("tamarack_ejection_trials_total", "Trial requests to targets out of rotation.",
		state(func(s *director.State) float64 { return float64(s.OutlierCounts().Trials) }))
}
