// Package retrybudget limits the retries of all VMs together without coordination:
// the budgets of the VMs add up to at most that of the deployment.
package retrybudget

import (
	"cmp"
	"math"
	"slices"
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
	// cellLength is the time by which first attempts are counted.
	cellLength = 250 * time.Millisecond
	// recentWeight is the weight of the first attempts after an instant against those
	// in the window before it. A higher one allows more retries soon after a start or
	// a rise of the traffic, and fewer in steady traffic.
	recentWeight = 0.25
	// minHistory is the minimum time for which counts are kept, so that a window that
	// becomes longer still holds what was spent before.
	minHistory = time.Minute
	// usableFraction is the fraction of the budget that may be spent: sends arrive at
	// targets later than they are counted, and VMs may know different numbers of VMs.
	usableFraction = 0.9
	// shareDelay is the time, in windows, from when a VM first knows how many VMs there
	// are until it has a share of the slack. The VM that it replaces may have spent its
	// share in the last window, and VMs that it joins lower theirs within half a window.
	shareDelay = 1.5
)

// Budget counts the first attempts and the retries of one VM per service.
type Budget struct {
	settings Settings
	services map[model.ServiceID]*history
	// vmCounts are the numbers of VMs that were known in the last window, the current
	// one last; empty while it is unknown.
	vmCounts []vmCount
	// vmsKnownAt is when it was first known.
	vmsKnownAt model.Instant
}

// vmCount is a number of VMs that was known until another replaced it.
type vmCount struct {
	vms        int
	replacedAt model.Instant
}

// history holds the counts of a service, in order of time.
type history struct {
	firstAttempts []cell
	// retries holds the time of each retry: a retry must stay in the count for exactly
	// a window.
	retries []model.Instant
	// reserved is the number of retries that are taken from the budget and not sent.
	reserved int
}

// cell is the number of first attempts in a period of cellLength; number counts the
// periods from instant 0.
type cell struct {
	number int64
	count  int
}

func cellNumber(t model.Instant) int64 { return int64(t) / int64(cellLength) }

// New returns an unused budget of a VM that does not know how many VMs there are.
func New(s Settings) *Budget {
	return &Budget{settings: s, services: map[model.ServiceID]*history{}}
}

// SetSettings replaces the limits and keeps the counts.
func (b *Budget) SetSettings(s Settings) { b.settings = s }

// SetVMs sets the number of VMs that share the slack. A lower number takes effect
// after a window: it may be wrong for a moment, and VMs that left have spent retries.
func (b *Budget) SetVMs(now model.Instant, n int) {
	last := len(b.vmCounts) - 1
	if last < 0 {
		b.vmsKnownAt = now
	} else {
		b.vmCounts[last].replacedAt = now
	}
	b.vmCounts = append(b.vmCounts, vmCount{vms: max(n, 1)})
	b.vmCounts = slices.DeleteFunc(b.vmCounts, func(c vmCount) bool { return c.replacedAt != 0 && now.Sub(c.replacedAt) >= b.window() })
}

// vms returns the number of VMs that share the slack; 0 while it is unknown.
func (b *Budget) vms(now model.Instant) int {
	n := 0
	for _, c := range b.vmCounts {
		if c.replacedAt == 0 || now.Sub(c.replacedAt) < b.window() {
			n = max(n, c.vms)
		}
	}
	return n
}

// share returns the VM's share of the slack.
//
// Invariant: the shares of all VMs, and of processes that they replaced within a
// window, add up to at most the slack. A VM that does not know the others has none.
func (b *Budget) share(now model.Instant) float64 {
	vms := b.vms(now)
	if vms == 0 || now.Sub(b.vmsKnownAt) < time.Duration(shareDelay*float64(b.window())) {
		return 0
	}
	return b.settings.Slack / float64(vms)
}

func (b *Budget) window() time.Duration { return max(b.settings.Window, time.Second) }

// history returns the counts of a service without those that are too old to matter.
func (b *Budget) history(now model.Instant, service model.ServiceID) *history {
	h := b.services[service]
	if h == nil {
		h = &history{}
		b.services[service] = h
	}
	oldest := now.Add(-max(2*b.window()+cellLength, minHistory))
	h.firstAttempts = h.firstAttempts[h.firstCellAt(cellNumber(oldest)):]
	h.retries = h.retries[h.firstRetryAt(oldest):]
	return h
}

// firstCellAt returns the index of the first cell with a number of at least n.
func (h *history) firstCellAt(n int64) int {
	i, _ := slices.BinarySearchFunc(h.firstAttempts, n, func(c cell, n int64) int { return cmp.Compare(c.number, n) })
	return i
}

// firstRetryAt returns the index of the first retry at t or later.
func (h *history) firstRetryAt(t model.Instant) int {
	i, _ := slices.BinarySearch(h.retries, t)
	return i
}

// CountFirstAttempt counts the first attempt of a request.
func (b *Budget) CountFirstAttempt(now model.Instant, service model.ServiceID) {
	h := b.history(now, service)
	last := len(h.firstAttempts) - 1
	if last < 0 || h.firstAttempts[last].number < cellNumber(now) {
		h.firstAttempts = append(h.firstAttempts, cell{number: cellNumber(now)})
		last++
	}
	h.firstAttempts[last].count++
}

// guaranteed returns a number of first attempts that the limit holds for, whichever
// window of retries ends at now or later.
//
// The limit of a window that begins at x counts the requests from x or those of the
// window before x, whichever are more, over all VMs. Both are at least their weighted
// mean, and the means of the VMs add up, also when callers move between VMs. The VM
// does not know x, and uses the smallest mean of all x in the last window.
func (b *Budget) guaranteed(now model.Instant, h *history) float64 {
	whole := int64(b.window() / cellLength)
	span := int64((b.window() + cellLength - 1) / cellLength)
	current := cellNumber(now)
	oldest := current - 2*span
	// before[i] is the number of first attempts in cells before oldest+i.
	before := make([]int, 2*span+2)
	for _, c := range h.firstAttempts[h.firstCellAt(oldest):] {
		before[c.number-oldest+1] = c.count
	}
	for i := 1; i < len(before); i++ {
		before[i] += before[i-1]
	}
	least := math.Inf(1)
	for x := current - span; x <= current; x++ {
		// x is somewhere in its cell, which counts for neither side.
		recent := before[len(before)-1] - before[x+1-oldest]
		earlier := before[x-oldest] - before[x+1-whole-oldest]
		least = min(least, recentWeight*float64(recent)+(1-recentWeight)*float64(earlier))
	}
	return least
}

// Reserve takes a retry from the budget that is sent later, or returns false when the
// window's budget is exhausted. UseReserved or Release must follow.
func (b *Budget) Reserve(now model.Instant, service model.ServiceID) bool {
	if u := b.Usage(now, service); float64(u.Spent+1) > u.Limit {
		return false
	}
	b.history(now, service).reserved++
	return true
}

// UseReserved counts a reserved retry as sent now: the window that holds it begins
// when the target receives it.
func (b *Budget) UseReserved(now model.Instant, service model.ServiceID) {
	h := b.history(now, service)
	h.reserved--
	h.retries = append(h.retries, now)
}

// Release returns a reserved retry to the budget.
func (b *Budget) Release(now model.Instant, service model.ServiceID) {
	b.history(now, service).reserved--
}

// Usage is the budget of a service in the current window.
type Usage struct {
	// Spent is the number of retries, including Reserved, the number of those not sent
	// yet. FirstAttempts is the number of first attempts.
	Spent, Reserved, FirstAttempts int
	// Limit is the number of retries that the window allows.
	Limit float64
	// VMs is the number of VMs that share the slack; 0 while it is unknown.
	VMs int
}

// Usage returns the budget of a service in the window that ends now.
func (b *Budget) Usage(now model.Instant, service model.ServiceID) Usage {
	h := b.history(now, service)
	start := now.Add(-b.window())
	u := Usage{VMs: b.vms(now), Spent: h.reserved + len(h.retries) - h.firstRetryAt(start+1), Reserved: h.reserved}
	for _, c := range h.firstAttempts[h.firstCellAt(cellNumber(start)+1):] {
		u.FirstAttempts += c.count
	}
	u.Limit = usableFraction * (b.settings.Ratio*b.guaranteed(now, h) + b.share(now))
	return u
}
