package controller

import (
	"maps"
	"slices"
	"time"

	"tamarackreach/internal/model"
	"tamarackreach/internal/outlier"
)

// outliers encodes outlier.Observations as integers without field names.
type outliers struct {
	// Counts are, by target: the start of its process, milliseconds since the last error,
	// negative without one, and errors and results in the short window and in the long one.
	Counts map[model.TargetID][6]int64 `json:"c,omitempty"`
	// Good are, by service, the results without errors in the two windows, at first hops and
	// then at later ones.
	Good map[model.ServiceID][4]int `json:"g,omitempty"`
	// Ejected are, by target: the start of its process, level, remaining milliseconds, and
	// milliseconds since the detection.
	Ejected map[model.TargetID][4]int64 `json:"e,omitempty"`
}

// encodeOutliers returns nil where there is nothing to state.
func encodeOutliers(o outlier.Observations) *outliers {
	if o.Empty() {
		return nil
	}
	out := &outliers{Counts: map[model.TargetID][6]int64{}, Good: map[model.ServiceID][4]int{}, Ejected: map[model.TargetID][4]int64{}}
	for _, c := range o.Counts {
		age := int64(-1)
		if c.LastError >= 0 {
			age = c.LastError.Milliseconds()
		}
		short, long := c.Results[0], c.Results[1]
		out.Counts[c.Target.ID] = [6]int64{c.Target.StartedMs, age, int64(short.Errors), int64(short.Results), int64(long.Errors), int64(long.Results)}
	}
	for g, good := range o.Good {
		sides := out.Good[g.Service]
		if g.Later {
			sides[2], sides[3] = good[0], good[1]
		} else {
			sides[0], sides[1] = good[0], good[1]
		}
		out.Good[g.Service] = sides
	}
	for _, e := range o.Ejections {
		out.Ejected[e.Target.ID] = [4]int64{e.Target.StartedMs, int64(e.Level), e.Remaining.Milliseconds(), e.Age.Milliseconds()}
	}
	return out
}

// maxOutlierMs bounds the times in a message, far above each that a VM states.
const maxOutlierMs = 60_000

func outlierTime(ms int64) time.Duration {
	return time.Duration(min(ms, maxOutlierMs)) * time.Millisecond
}

// decode returns the observations in a fixed order. A value that no VM states is left to
// the tracker, which skips it.
func (m *outliers) decode() (out outlier.Observations) {
	if m == nil {
		return out
	}
	for _, id := range slices.Sorted(maps.Keys(m.Counts)) {
		c := m.Counts[id]
		count := outlier.Count{Target: outlier.Target{ID: id, StartedMs: c[0]}, LastError: -1}
		count.Results = outlier.Tallies{{Errors: int(c[2]), Results: int(c[3])}, {Errors: int(c[4]), Results: int(c[5])}}
		if c[1] >= 0 {
			count.LastError = outlierTime(c[1])
		}
		out.Counts = append(out.Counts, count)
	}
	for service, sides := range m.Good {
		for i, good := range [][2]int{{sides[0], sides[1]}, {sides[2], sides[3]}} {
			if good[1] != 0 {
				if out.Good == nil {
					out.Good = map[outlier.Group][2]int{}
				}
				out.Good[outlier.Group{Service: service, Later: i == 1}] = good
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(m.Ejected)) {
		e := m.Ejected[id]
		if e[2] > 0 && e[3] >= 0 {
			out.Ejections = append(out.Ejections, outlier.Ejection{
				Target: outlier.Target{ID: id, StartedMs: e[0]}, Level: int(e[1]), Remaining: outlierTime(e[2]), Age: outlierTime(e[3]),
			})
		}
	}
	return out
}
