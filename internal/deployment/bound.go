package deployment

import (
	"tamarackreach/internal/model"
	"tamarackreach/internal/standin/engine"
)

const microsecondsPerS = 1e6

// throughputBound returns the maximum flow through the stages, in tokens per
// second. Each engine runs MaxBatch tokens per step, each token passes through
// every stage, and every engine is connected to every engine of the next stage,
// so the stage with the lowest capacity is the minimum cut.
func throughputBound(engines []engine.Config) float64 {
	capacity := make(map[model.LayerRange]float64)
	for i := range engines {
		e := &engines[i]
		capacity[e.Layers] += float64(e.MaxBatch) * microsecondsPerS / float64(e.StepUs)
	}
	lowest := 0.0
	for _, tokensPerS := range capacity {
		if lowest == 0 || tokensPerS < lowest {
			lowest = tokensPerS
		}
	}
	return lowest
}
