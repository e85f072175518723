package zoneoverflow

import (
	"math"
	"time"

	"tamarackreach/internal/model"
)

// rateTime is the time constant of Rate: a demand that doubles is to show within a
// second, and the noise of some tens of requests per second is to stay below a tenth.
const rateTime = time.Second

// minRateTime is the least time over which a rate is stated: one arrival is no rate.
const minRateTime = 300 * time.Millisecond

// Rate is the moving mean of a rate of arrivals.
type Rate struct {
	perSecond float64
	at, since model.Instant
}

// Count counts an arrival.
func (r *Rate) Count(now model.Instant) {
	if r.since == 0 {
		r.since = now
	}
	r.perSecond = r.decayed(now) + 1/rateTime.Seconds()
	r.at = max(now, r.at)
}

// At returns the rate in arrivals per second. The mean over the time since the first arrival
// is not taken for low: other zones would send to a zone whose VMs have just started.
func (r *Rate) At(now model.Instant) float64 {
	known := max(now.Sub(r.since), minRateTime)
	return r.decayed(now) / -math.Expm1(-known.Seconds()/rateTime.Seconds())
}

func (r *Rate) decayed(now model.Instant) float64 {
	return r.perSecond * math.Exp(-max(now.Sub(r.at), 0).Seconds()/rateTime.Seconds())
}
