package targets

import "tamarackreach/internal/event"

// loadWeight is the weight of a new load report in the running average.
const loadWeight = 0.3

// averageLoad takes the jobs of a report into the running average. One report
// catches an engine at a random moment of its batch, so that routing looks at
// the average. It must run before the report's own figures are taken over.
func (t *Target) averageLoad(ev event.EngineReported) {
	jobs := float64(ev.Running + ev.Queued)
	if !t.Reported {
		t.LoadAverage = jobs
		return
	}
	t.LoadAverage += loadWeight * (jobs - t.LoadAverage)
}
