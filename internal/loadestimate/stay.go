package loadestimate

import "time"

// stayWeight is the weight of one request in Stay.
const stayWeight = 0.05

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
func (s Stay) Mean() time.Duration { return s.mean }
