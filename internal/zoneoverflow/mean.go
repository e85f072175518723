package zoneoverflow

import (
	"math"
	"time"

	"tamarackreach/internal/model"
)

// rateTime is the time constant of Rate: a demand that doubles is to show within a
// second, and the noise of some tens of requests per second is to stay below a tenth.
const rateTime = time.Second

// Rate is the moving mean of a rate of arrivals.
type Rate struct {
	perSecond float64
	at        model.Instant
}

// Count counts an arrival.
func (r *Rate) Count(now model.Instant) {
	r.perSecond = r.At(now) + 1/rateTime.Seconds()
	r.at = max(now, r.at)
}

// At returns the rate in arrivals per second.
func (r *Rate) At(now model.Instant) float64 {
	return r.perSecond * math.Exp(-max(now.Sub(r.at), 0).Seconds()/rateTime.Seconds())
}
