package targets

import "tamarackreach/internal/event"

// loadWeight is the weight of a new load report in the running average.
const loadWeight = 0.3

// averageLoad takes the jobs of a report into the running average. One report
// catches an engine at a random moment of its batch, so that routing looks at
// the average. The same average of what this node has in flight tells how much
// of a change since then the reports cannot show yet. It must run before the
// report's own figures are taken over.
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
