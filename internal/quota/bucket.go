package quota

import (
	"math"
	"time"

	"tamarackreach/internal/model"
)

// demandWindow is the time constant with which a workspace's demand decays.
const demandWindow = 5 * time.Second

// bucket is a token bucket that refills at the rate of a share, in tokens/s.
type bucket struct {
	tokens     float64
	refilledAt model.Instant
}

// takeTokens consumes tokens, or returns the time until they are available. A
// request larger than the bucket needs a full bucket and leaves it negative.
func (b *bucket) takeTokens(now model.Instant, share float64, tokens uint32) (wait time.Duration, ok bool) {
	limit := share * burstWindow.Seconds()
	b.tokens = min(limit, b.tokens+share*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	need := min(float64(tokens), limit)
	if b.tokens < need {
		return time.Duration((need - b.tokens) / share * float64(time.Second)), false
	}
	b.tokens -= float64(tokens)
	return 0, true
}

// demand is the exponentially decaying sum of the tokens that a workspace has
// requested.
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
