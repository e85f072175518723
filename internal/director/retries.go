package director

import (
	"fmt"
	"maps"
	"slices"

	"tamarackreach/internal/model"
	"tamarackreach/internal/retrybudget"
)

// budgetRestoredFraction is the fraction of its limit below which an exhausted
// budget counts as restored. It is below 1 so that a budget at its limit, which
// frees and spends one retry after another, is logged once.
const budgetRestoredFraction = 0.8

// serviceRetries holds the retry figures of a service since the process started.
type serviceRetries struct {
	// granted counts the retries sent, and refused the retries that the budget
	// denied, by cause.
	granted, refused map[string]int
	// exhausted is true from a denied retry until the budget is restored.
	exhausted bool
}

// RetryBudget is a service's retry budget in the current window, and its retries
// since the process started.
type RetryBudget struct {
	Service model.ServiceID
	retrybudget.Usage
	// Granted and Refused count retries by cause: the outcome of the send before, or
	// "waited".
	Granted, Refused map[string]int
}

// RetryBudgets returns the retry budgets of all services in the configuration or
// with retries, in a fixed order.
func (s *State) RetryBudgets(now model.Instant) []RetryBudget {
	services := slices.Collect(maps.Keys(s.retries))
	if s.config != nil {
		services = slices.AppendSeq(services, maps.Keys(s.config.Services))
	}
	slices.Sort(services)
	out := []RetryBudget{}
	for _, id := range slices.Compact(services) {
		budget := RetryBudget{Service: id, Usage: s.budget.Usage(now, id)}
		if retries := s.retries[id]; retries != nil {
			budget.Granted, budget.Refused = maps.Clone(retries.granted), maps.Clone(retries.refused)
		}
		out = append(out, budget)
	}
	return out
}

// retryCause names the cause of a retry by the outcome of the send before, 0 after a
// wait.
func retryCause(o Outcome) string {
	if o == 0 {
		return "waited"
	}
	return o.String()
}

func (s *State) serviceRetries(id model.ServiceID) *serviceRetries {
	if s.retries[id] == nil {
		s.retries[id] = &serviceRetries{granted: map[string]int{}, refused: map[string]int{}}
	}
	return s.retries[id]
}

// updateVMs sets the number of VMs that share the slack of the retry budget. A VM
// that has joined sends messages before the others read its registration, which they
// cannot while the store is unreachable.
func (s *State) updateVMs(now model.Instant) {
	if s.listedVMs > 0 {
		s.budget.SetVMs(now, max(s.listedVMs, len(s.peers)+1))
	}
}

// reserveRetry takes the next send of a request from the retry budget, or returns
// false when the budget is exhausted.
func (s *State) reserveRetry(now model.Instant, r *request, cause Outcome) bool {
	id := r.service.ID
	if s.budget.Reserve(now, id) {
		r.retryReserved = true
		s.checkBudgetRestored(now, id)
		return true
	}
	retries := s.serviceRetries(id)
	retries.refused[retryCause(cause)]++
	if !retries.exhausted {
		retries.exhausted = true
		s.recordBudgetChange(now, "retry budget exhausted", id)
	}
	return false
}

// useRetry counts the reserved retry of a request as sent.
func (s *State) useRetry(now model.Instant, r *request, cause Outcome) {
	r.retryReserved = false
	s.budget.UseReserved(now, r.service.ID)
	s.serviceRetries(r.service.ID).granted[retryCause(cause)]++
}

// remove removes a request that has ended, and returns the retry that it reserved and
// did not send.
func (s *State) remove(now model.Instant, r *request) {
	if r.retryReserved {
		s.budget.Release(now, r.service.ID)
	}
	delete(s.requests, r.ID)
	s.admissionEnded(now, r)
}

// checkBudgetRestored records when an exhausted budget has room again.
func (s *State) checkBudgetRestored(now model.Instant, id model.ServiceID) {
	retries := s.retries[id]
	if retries == nil || !retries.exhausted {
		return
	}
	if u := s.budget.Usage(now, id); float64(u.Spent+1) <= budgetRestoredFraction*u.Limit {
		retries.exhausted = false
		s.recordBudgetChange(now, "retry budget restored", id)
	}
}

func (s *State) recordBudgetChange(now model.Instant, what string, id model.ServiceID) {
	u := s.budget.Usage(now, id)
	s.budgetChanges = append(s.budgetChanges, &StateChanged{
		What: what, Subject: string(id),
		Detail: fmt.Sprintf("spent %d of %.1f, first attempts %d, VMs %d", u.Spent, u.Limit, u.FirstAttempts, u.VMs),
	})
}
