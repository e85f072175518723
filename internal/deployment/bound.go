package deployment

import (
	"tamarackreach/internal/model"
	"tamarackreach/internal/standin/engine"
)

const microsecondsPerS = 1e6

// bound returns the maximum flow over the stages, in tokens a second: each
// engine runs MaxBatch tokens in a step, each token crosses every stage, and
// every engine reaches every engine of the next stage, so that the stage with
// the least capacity is the minimum cut.
func bound(engines []engine.Config) float64 {
	capacity := make(map[model.LayerRange]float64)
	for i := range engines {
		e := &engines[i]
		capacity[e.Layers] += float64(e.MaxBatch) * microsecondsPerS / float64(e.StepUs)
	}
	least := 0.0
	for _, tokensPerS := range capacity {
		if least == 0 || tokensPerS < least {
			least = tokensPerS
		}
	}
	return least
}
