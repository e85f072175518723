package priorityadmission

import (
	"slices"

	"tamarackreach/internal/model"
)

// workspace is the recent demand of a workspace within one priority of a service.
type workspace struct {
	arrived counter
	tally   tally
}

// shares divides what is admitted of one priority among its workspaces.
type shares struct {
	byID map[model.WorkspaceID]*workspace
	// level is the largest number of recent admissions that a workspace may have and not be
	// over its share, as of updatedAt.
	level     float64
	updatedAt model.Instant
	// underRate is the rate of arrivals of the workspaces that are not over their share, per
	// second at this VM, and over the number of those that are.
	underRate float64
	over      int
}

func (s *shares) get(id model.WorkspaceID) *workspace {
	w := s.byID[id]
	if w == nil {
		w = &workspace{}
		s.byID[id] = w
	}
	return w
}

// exceeds reports whether a workspace has been admitted more than its share.
func (s *shares) exceeds(now model.Instant, w *workspace) bool {
	return w.tally.admitted.over(now, servedWindow) > s.level
}

// update computes the level anew, at most once in updateInterval, and forgets workspaces
// without recent requests.
func (s *shares) update(now model.Instant) {
	if s.updatedAt != 0 && now.Sub(s.updatedAt) < updateInterval {
		return
	}
	s.updatedAt = now
	demands, admitted := make([]float64, 0, len(s.byID)), 0.0
	for id, w := range s.byID {
		a, r := w.tally.admitted.over(now, servedWindow), w.tally.refused.over(now, servedWindow)
		if a+r+w.arrived.over(now, rateWindow) < forgotten {
			delete(s.byID, id)
			continue
		}
		demands, admitted = append(demands, a+r), admitted+a
	}
	// One request more than the fair level is allowed, since the counts are of whole requests.
	s.level = fairLevel(demands, admitted) + 1
	s.underRate, s.over = 0, 0
	for _, w := range s.byID {
		if s.exceeds(now, w) {
			s.over++
		} else {
			s.underRate += rate(now, &w.arrived)
		}
	}
}

// fairLevel returns the max-min fair level: the sum over demands of the lesser of demand and
// level is the total. It is the largest demand when the total covers all.
func fairLevel(demands []float64, total float64) float64 {
	slices.Sort(demands)
	for i, demand := range demands {
		if equal := total / float64(len(demands)-i); demand >= equal {
			return equal
		}
		total -= demand
	}
	if len(demands) == 0 {
		return 0
	}
	return demands[len(demands)-1]
}
