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
	// Counts are, by target: the start of its process, errors, results, and milliseconds
	// since the last error, negative without one.
	Counts map[model.TargetID][4]int64 `json:"c,omitempty"`
	// Good are, by service, the results without errors at first hops and at later ones.
	Good map[model.ServiceID][2]int `json:"g,omitempty"`
	// Ejected are, by target: the start of its process, level, remaining milliseconds, and
	// milliseconds since the detection.
	Ejected map[model.TargetID][4]int64 `json:"e,omitempty"`
}

// encodeOutliers returns nil where there is nothing to state.
func encodeOutliers(o outlier.Observations) *outliers {
	if o.Empty() {
		return nil
	}
	out := &outliers{Counts: map[model.TargetID][4]int64{}, Good: map[model.ServiceID][2]int{}, Ejected: map[model.TargetID][4]int64{}}
	for _, c := range o.Counts {
		age := int64(-1)
		if c.LastError >= 0 {
			age = c.LastError.Milliseconds()
		}
		out.Counts[c.Target.ID] = [4]int64{c.Target.StartedMs, int64(c.Errors), int64(c.Results), age}
	}
	for g, good := range o.Good {
		sides := out.Good[g.Service]
		if g.Later {
			sides[1] = good
		} else {
			sides[0] = good
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
		count := outlier.Count{Target: outlier.Target{ID: id, StartedMs: c[0]}, Errors: int(c[1]), Results: int(c[2]), LastError: -1}
		if c[3] >= 0 {
			count.LastError = outlierTime(c[3])
		}
		out.Counts = append(out.Counts, count)
	}
	for service, sides := range m.Good {
		for i, good := range sides {
			if good != 0 {
				if out.Good == nil {
					out.Good = map[outlier.Group]int{}
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
