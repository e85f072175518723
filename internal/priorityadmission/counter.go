package priorityadmission

import (
	"math"
	"time"

	"tamarackreach/internal/model"
)

// counter counts events, each with a weight that decays exponentially with its age.
type counter struct {
	value float64
	// at is the time of value, which is that of the last event.
	at model.Instant
}

// add counts n events now.
func (c *counter) add(now model.Instant, window time.Duration, n float64) {
	c.value, c.at = c.over(now, window)+n, now
}

// over returns the number of recent events; in the long run it is their rate times the window.
func (c *counter) over(now model.Instant, window time.Duration) float64 {
	if c.value == 0 || now <= c.at {
		return c.value
	}
	return c.value * math.Exp(-float64(now.Sub(c.at))/float64(window))
}

// tally counts the recent admissions and refusals of a set of requests.
type tally struct{ admitted, refused counter }

func (t *tally) add(now model.Instant, admitted bool) {
	if admitted {
		t.admitted.add(now, servedWindow, 1)
	} else {
		t.refused.add(now, servedWindow, 1)
	}
}

// served returns the fraction of requests that were admitted. One request that was served as
// often as expected is added, so that few requests say little.
func (t *tally) served(now model.Instant, expected float64) float64 {
	admitted, refused := t.admitted.over(now, servedWindow), t.refused.over(now, servedWindow)
	return (admitted + expected) / (admitted + refused + 1)
}
