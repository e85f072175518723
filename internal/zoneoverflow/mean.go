package zoneoverflow

import (
	"math"
	"time"

	"tamarackreach/internal/model"
)

const (
	// rateTime is the time constant of Rate: a demand that doubles is to show within a
	// second, and the noise of some tens of requests per second is to stay below a tenth.
	rateTime = time.Second
	// stayWeight is the weight of one request in Stay.
	stayWeight = 0.05
)

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

// Stay is the moving mean of the time for which requests stay at their targets.
type Stay struct {
	mean  time.Duration
	known int
}

// Add adds a request.
func (s *Stay) Add(took time.Duration) {
	s.known++
	// The first requests count the same, so that the very first does not remain the mean.
	weight := max(stayWeight, 1/float64(s.known))
	s.mean += time.Duration(float64(took-s.mean) * weight)
}

// Mean returns the mean; 0 before the first request.
func (s *Stay) Mean() time.Duration { return s.mean }
