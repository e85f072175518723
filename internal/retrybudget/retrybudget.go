// Package retrybudget limits the retries of all VMs together without coordination:
// the budgets of the VMs add up to at most that of the deployment.
package retrybudget

import (
	"time"

	"tamarackreach/internal/model"
)

// Settings are the limits of a deployment.
type Settings struct {
	// Ratio is the number of retries allowed per first attempt.
	Ratio float64
	// Slack is the number of further retries allowed in a window, over all VMs.
	Slack float64
	// Window is the length of the sliding window over which both are counted.
	Window time.Duration
}

const (
	// buckets is the number of buckets in a window.
	buckets = 10
	// usableFraction is the fraction of the budget that may be spent: the buckets of
	// a VM are not aligned with the window in which the limit must hold.
	usableFraction = 0.9
)

// Budget counts the first attempts and the retries of one VM per service.
type Budget struct {
	settings Settings
	vms      int
	services map[model.ServiceID]*window
}

type window struct {
	firstAttempts, retries [buckets]int
	// current is the number of the newest bucket, counted from instant 0.
	current int64
}

// New returns an unused budget for one VM.
func New(s Settings) *Budget {
	return &Budget{settings: s, vms: 1, services: map[model.ServiceID]*window{}}
}

// SetSettings replaces the limits. A change of the window's length resets the
// counts; other changes keep them.
func (b *Budget) SetSettings(s Settings) {
	if s.Window != b.settings.Window {
		b.services = map[model.ServiceID]*window{}
	}
	b.settings = s
}

// SetVMs sets the number of VMs that share the slack.
func (b *Budget) SetVMs(n int) { b.vms = max(n, 1) }

// window returns the window of a service, advanced to now.
func (b *Budget) window(now model.Instant, service model.ServiceID) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	bucketLength := int64(max(b.settings.Window, time.Second)) / buckets
	current := int64(now) / bucketLength
	for n := 0; w.current < current && n < buckets; n++ {
		w.current = max(w.current+1, current-buckets+1)
		w.firstAttempts[w.current%buckets], w.retries[w.current%buckets] = 0, 0
	}
	w.current = max(w.current, current)
	return w
}

// CountFirstAttempt counts the first attempt of a request.
func (b *Budget) CountFirstAttempt(now model.Instant, service model.ServiceID) {
	w := b.window(now, service)
	w.firstAttempts[w.current%buckets]++
}

// TryRetry spends one retry, or returns false when the window's budget is exhausted.
func (b *Budget) TryRetry(now model.Instant, service model.ServiceID) bool {
	if u := b.Usage(now, service); float64(u.Spent+1) > u.Limit {
		return false
	}
	w := b.window(now, service)
	w.retries[w.current%buckets]++
	return true
}

// Usage is the budget of a service in the current window.
type Usage struct {
	// Spent is the number of retries, and FirstAttempts that of first attempts.
	Spent, FirstAttempts int
	// Limit is the number of retries that the window allows.
	Limit float64
	// VMs is the number of VMs that share the slack.
	VMs int
}

// Usage returns the budget of a service in the window that ends now.
func (b *Budget) Usage(now model.Instant, service model.ServiceID) Usage {
	u := Usage{VMs: b.vms}
	w := b.window(now, service)
	for i := range buckets {
		u.FirstAttempts += w.firstAttempts[i]
		u.Spent += w.retries[i]
	}
	u.Limit = usableFraction * (b.settings.Ratio*float64(u.FirstAttempts) + b.settings.Slack/float64(b.vms))
	return u
}
