package quota

import (
	"math"
	"time"

	"tamarackreach/internal/model"
)

// demandWindow is the time constant of the demand of a workspace.
const demandWindow = 5 * time.Second

// bucket is a token bucket that fills at a share's rate.
type bucket struct {
	tokens float64
	filled model.Instant
}

// take uses tokens; a request larger than the bucket takes a full one and
// leaves a debt.
func (b *bucket) take(now model.Instant, share float64, tokens uint32) (wait time.Duration, ok bool) {
	limit := share * burst.Seconds()
	b.tokens = min(limit, b.tokens+share*now.Sub(b.filled).Seconds())
	b.filled = now
	need := min(float64(tokens), limit)
	if b.tokens < need {
		return time.Duration((need - b.tokens) / share * float64(time.Second)), false
	}
	b.tokens -= float64(tokens)
	return 0, true
}

// demand is the decaying sum of the tokens that a workspace asked for.
type demand struct {
	sum float64
	at  model.Instant
}

func (d *demand) add(now model.Instant, tokens uint32) {
	d.sum = d.perSecond(now)*demandWindow.Seconds() + float64(tokens)
	d.at = now
}

func (d *demand) perSecond(now model.Instant) float64 {
	return d.sum * math.Exp(-now.Sub(d.at).Seconds()/demandWindow.Seconds()) / demandWindow.Seconds()
}
