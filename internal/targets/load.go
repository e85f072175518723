package targets

import "tamarackreach/internal/event"

// loadWeight is the weight of a new load report in the running average.
const loadWeight = 0.3

// averageLoad adds the jobs of a report to the running average. Routing uses the
// average because a single report samples an engine at a random point of its
// batch. The same average of this node's in-flight requests shows how far their
// number has changed since those reports. averageLoad must run before the other
// fields of the report are copied.
func (t *Target) averageLoad(ev event.EngineReported) {
	jobs := float64(ev.Running + ev.Queued)
	if !t.Reported {
		t.LoadAverage = jobs
		t.InFlightAverage = float64(t.InFlight)
		return
	}
	t.LoadAverage += loadWeight * (jobs - t.LoadAverage)
	t.InFlightAverage += loadWeight * (float64(t.InFlight) - t.InFlightAverage)
}
