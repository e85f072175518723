package director

import (
	"net/http"
	"slices"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/internal/outlier"
)

const (
	// ejectedPenalty ranks a target out of rotation behind one that may have run the request,
	// and before one under suspicion.
	ejectedPenalty = 300
	// failingPenalty is the penalty of a target in rotation that mostly answers with errors: as
	// if all its slots were in use, since errors that arrive at once leave it without load.
	failingPenalty = 1
	// retryErrorWeight weighs the recent errors of a target in the choice for a retry: a request
	// that failed once is sent to a target that did not fail lately.
	retryErrorWeight = 50
	reasonFailing    = "the only targets that can serve the request answer with errors"
)

// outlierTarget returns the registered incarnation of a target.
func (t *target) outlierTarget() outlier.Target {
	return outlier.Target{ID: t.ID, StartedMs: t.StartedMs}
}

// trackOutliers passes the registered targets to the outlier detection. Targets of a layered
// model that hold no layers serve nothing.
func (s *State) trackOutliers() {
	members := make(map[model.ServiceID][]outlier.Member, len(s.byService))
	for id, list := range s.byService {
		for _, t := range list {
			if t.Kind != "" && t.Held.Len() == 0 {
				continue
			}
			members[id] = append(members[id], outlier.Member{
				Target: t.outlierTarget(), Capacity: float64(max(t.Slots, 1)), Later: t.Held.First > 0,
			})
		}
	}
	s.outliers.SetTargets(members)
}

// recordSuccess counts a response without an error for each hop, once for each send. The first
// event of a stream is enough: a later error has no status. It waits for no end, so that
// errors, which arrive at once, are not counted before the successes of the same time.
func (s *State) recordSuccess(now model.Instant, r *request) []Effect {
	if r.resultCounted {
		return nil
	}
	r.resultCounted = true
	var effects []Effect
	for i, hop := range r.hops {
		t := s.targets[hop.Target]
		if t == nil || (i == 0) != (t.Held.First == 0) || i == 0 && t.incarnation() != r.sentTo {
			continue
		}
		effects = append(effects, s.recordResult(now, r, t, true)...)
	}
	return effects
}

// recordFinished counts the complete response of a target that the caller received.
func (s *State) recordFinished(now model.Instant, r *request, e RequestFinished) []Effect {
	switch {
	case !e.Delivered || len(r.hops) == 0:
		return nil
	case e.Status >= http.StatusInternalServerError:
		return s.recordError(now, r, "")
	case e.Failure:
		return nil
	}
	return s.recordSuccess(now, r)
}

// recordFailed counts a send that was answered with an error. A target that did not run the
// request or did not answer is a matter of suspicion.
func (s *State) recordFailed(now model.Instant, r *request, e SendEnded) []Effect {
	if e.Outcome != Failed || e.Status != 0 && e.Status < http.StatusInternalServerError {
		return nil
	}
	return s.recordError(now, r, e.FaultAt)
}

// recordError counts an error of the first hop, which signs the response, or of the hop that
// the response names.
func (s *State) recordError(now model.Instant, r *request, faultAt string) []Effect {
	if r.resultCounted || len(r.hops) == 0 {
		return nil
	}
	t := s.targets[r.hops[0].Target]
	if at := s.byAddress[faultAt]; at != nil && slices.ContainsFunc(r.hops, func(h fleet.Hop) bool { return h.Target == at.ID }) {
		t = at
	}
	if t == nil || t.ID == r.sentTo.target && t.incarnation() != r.sentTo {
		return nil
	}
	r.resultCounted = true
	r.failedOn = append(r.failedOn, t.ID)
	return s.recordResult(now, r, t, false)
}

func (s *State) recordResult(now model.Instant, r *request, t *target, ok bool) []Effect {
	change := s.outliers.Record(now, outlier.Result{Target: t.outlierTarget(), SentAt: r.sentAt, OK: ok})
	if change != nil && change.Ejected || !ok && s.outliers.Urgent(now, t.outlierTarget()) {
		s.learned++ // others send to the target until they know
	}
	return outlierEffects(change)
}

// applyOutliers applies what another VM states of results and ejections.
func (s *State) applyOutliers(now model.Instant, e PeerState) []Effect {
	if e.Isolated || e.Age > peerExpiry {
		e.Outliers = outlier.Observations{}
	}
	return outlierEffects(s.outliers.Adopt(now, e.VM, e.Outliers)...)
}

func outlierEffects(changes ...*outlier.Change) (out []Effect) {
	for _, c := range changes {
		if c == nil {
			continue
		}
		what := "target returned to rotation"
		if c.Ejected {
			what = "target ejected"
		}
		out = append(out, &StateChanged{What: what, Subject: string(c.Target.ID), Detail: c.Detail})
	}
	return out
}

// ejected reports whether a target gets no send of a request while others can serve. Trials
// are first sends of requests that may be retried: a retry is for the request, and a trial
// that fails without one loses it.
func (s *State) ejected(now model.Instant, r *request, t *target) bool {
	switch s.outliers.Standing(now, t.outlierTarget(), r.route.Repeatable()) {
	case outlier.Ejected:
		return true
	case outlier.TrialDue:
		usage := s.budget.Usage(now, r.service.ID)
		return r.sends > 0 || float64(usage.Spent+1) > usage.Limit
	}
	return false
}

// outOfRotation reports whether a target gets no requests but trials because of its errors.
func (s *State) outOfRotation(now model.Instant, t *target) bool {
	return s.outliers.Standing(now, t.outlierTarget(), false) == outlier.Ejected
}

// ejectionPenalty returns the penalty in the ranking of plain targets.
func (s *State) ejectionPenalty(now model.Instant, r *request, t *target) float64 {
	id := t.outlierTarget()
	switch {
	case s.ejected(now, r, t):
		return ejectedPenalty
	case r.sends > 0:
		return retryErrorWeight * s.outliers.RecentErrorRate(now, id)
	case s.outliers.Standing(now, id, r.route.Repeatable()) == outlier.TrialDue:
		return 0 // a trial ends the ejection or extends it
	case s.outliers.Failing(now, id):
		return failingPenalty
	}
	return 0
}

// beginTrials records a send to targets of which a trial is due.
func (s *State) beginTrials(now model.Instant, r *request) {
	for _, hop := range r.hops {
		t := s.targets[hop.Target]
		if s.outliers.Standing(now, t.outlierTarget(), r.route.Repeatable()) == outlier.TrialDue {
			s.outliers.BeginTrial(now, t.outlierTarget())
		}
	}
}

// findInRotation returns the cheapest path that avoids the targets that answered this request
// with an error, or else only those out of rotation. Where targets in rotation are only
// full, the request is better refused than sent to one that fails; where no other path
// exists, targets out of rotation are used.
func (s *State) findInRotation(now model.Instant, r *request, candidates []candidate) []fleet.Hop {
	keep := func(accept func(*candidate) bool) (out []candidate) {
		for i := range candidates {
			if accept(&candidates[i]) {
				out = append(out, candidates[i])
			}
		}
		return out
	}
	if len(r.failedOn) == 0 && !slices.ContainsFunc(candidates, func(c candidate) bool { return c.ejected }) {
		return s.findWithCapacity(now, r, candidates)
	}
	inRotation := keep(func(c *candidate) bool { return !c.ejected })
	if len(r.failedOn) > 0 {
		others := keep(func(c *candidate) bool {
			return !c.ejected && !slices.Contains(r.failedOn, c.target.ID) && !s.outliers.Failing(now, c.target.outlierTarget())
		})
		if hops := s.findWithCapacity(now, r, others); hops != nil {
			return hops
		}
	}
	hops := s.findWithCapacity(now, r, inRotation)
	if hops != nil || len(inRotation) == len(candidates) || s.onlyFull(now, r, inRotation) {
		return hops
	}
	return s.findWithCapacity(now, r, candidates)
}

// onlyFull reports whether the candidates would serve a request if they had capacity.
func (s *State) onlyFull(now model.Instant, r *request, candidates []candidate) bool {
	free := slices.Clone(candidates)
	for i := range free {
		free[i].FirstHopCost = 0
	}
	return s.findPath(now, r, free, func(c *candidate) bool { return c.usable && !c.unreached }) != nil
}

// retryFutile reports whether the next send of a request would pass through a target that
// has answered it with an error and mostly answers with errors: the retry would spend the
// budget and fail again.
func (s *State) retryFutile(now model.Instant, r *request) bool {
	if len(r.failedOn) == 0 {
		return false
	}
	hops, _ := s.choose(now, r)
	return slices.ContainsFunc(hops, func(h fleet.Hop) bool {
		return slices.Contains(r.failedOn, h.Target) && s.outliers.Failing(now, s.targets[h.Target].outlierTarget())
	})
}

// EjectedTargets returns the targets out of rotation because of their errors, in a fixed
// order.
func (s *State) EjectedTargets(now model.Instant) (out []model.TargetID) {
	for _, t := range s.outliers.Out(now) {
		out = append(out, t.ID)
	}
	return out
}

// OutlierCounts returns the figures of the outlier detection since the start.
func (s *State) OutlierCounts() outlier.Counts { return s.outliers.Counts() }
