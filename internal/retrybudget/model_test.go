package retrybudget_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/model"
	"tamarackreach/internal/retrybudget"
)

// traffic holds the requests of all VMs, in order of time, and the retries as they
// reach targets.
type traffic struct{ requests, retries []model.Instant }

func countIn(times []model.Instant, from, to model.Instant) int {
	before := func(t model.Instant) int { return sort.Search(len(times), func(i int) bool { return times[i] >= t }) }
	return before(to) - before(from)
}

// worst returns the sliding window in which the retries exceed their limit most, as a
// text, and by how many. The limit counts the requests of that window, of the one
// before or of the one half a window before, whichever has most.
func (t *traffic) worst(s retrybudget.Settings) (excess float64, at string) {
	slices.Sort(t.retries)
	window := model.Instant(s.Window)
	starts := slices.Clone(t.retries)
	if len(t.retries) > 0 {
		for from := t.retries[0] - window; from < t.retries[len(t.retries)-1]; from += window / 50 {
			starts = append(starts, from)
		}
	}
	for _, from := range starts {
		requests := max(countIn(t.requests, from, from+window), countIn(t.requests, from-window, from), countIn(t.requests, from-window/2, from+window/2))
		retries := countIn(t.retries, from, from+window)
		if over := float64(retries) - s.Ratio*float64(requests) - s.Slack; over > excess {
			excess, at = over, fmt.Sprintf("%d retries for %d requests from %v", retries, requests, time.Duration(from))
		}
	}
	return excess, at
}

// fleet is a number of VMs that share a budget. Each VM reads the number of VMs from
// the store at its start and every countInterval, while the store is reachable, and
// receives messages from VMs that have read it.
type fleet struct {
	traffic
	settings retrybudget.Settings
	budgets  []*retrybudget.Budget
	readAt   []model.Instant
	// known is the number of VMs that each VM last read or received messages from.
	known      []int
	storeAway  bool
	now        model.Instant
	registered int
	random     *rand.Rand
}

const (
	// countInterval is how often a VM reads the number of VMs.
	countInterval = model.Instant(5 * time.Second)
	// maxTransit is the longest time from the decision to retry to the arrival.
	maxTransit = 400 * time.Millisecond
	// histories is the number of random histories.
	histories = 400
)

func newFleet(vms int) *fleet {
	f := &fleet{settings: settings, now: model.Instant(time.Hour), random: rand.New(rand.NewPCG(18, 0))}
	for range vms {
		f.add()
	}
	return f
}

// add adds a VM, which registers with its first read.
func (f *fleet) add() {
	f.budgets, f.readAt = append(f.budgets, nil), append(f.readAt, 0)
	f.known = append(f.known, 0)
	f.restart(len(f.budgets) - 1)
}

// restart replaces the process of a VM.
func (f *fleet) restart(vm int) {
	f.budgets[vm], f.readAt[vm] = retrybudget.New(f.settings), 0
}

// advance advances the time and lets the VMs read their number when it is due.
func (f *fleet) advance(d time.Duration) {
	f.now = f.now.Add(d)
	for vm, b := range f.budgets {
		if f.storeAway || f.readAt[vm] != 0 && f.now-f.readAt[vm] < countInterval {
			continue
		}
		f.registered = max(f.registered, vm+1)
		f.readAt[vm], f.known[vm] = f.now, f.registered
		b.SetVMs(f.now, f.registered)
	}
	senders := 0
	for vm := range f.budgets {
		if f.readAt[vm] != 0 {
			senders++
		}
	}
	for vm, b := range f.budgets {
		if f.readAt[vm] != 0 && f.known[vm] < senders {
			f.known[vm] = senders
			b.SetVMs(f.now, senders)
		}
	}
}

// settle runs idle VMs for several windows.
func (f *fleet) settle() {
	for range 50 {
		f.advance(time.Second)
	}
}

// request counts a request at a VM and spends up to n retries for it.
func (f *fleet) request(vm, n int) {
	f.requests = append(f.requests, f.now)
	f.budgets[vm].CountFirstAttempt(f.now, "s")
	f.retry(vm, n)
}

// retry spends up to n retries at a VM.
func (f *fleet) retry(vm, n int) {
	for range n {
		if !tryRetry(f.budgets[vm], f.now, "s") {
			return
		}
		f.retries = append(f.retries, f.now.Add(f.transit()))
	}
}

// transit returns the time until a retry reaches its target, which is longer where a
// connection must be opened first.
func (f *fleet) transit() time.Duration {
	if f.random.IntN(4) > 0 {
		return 0
	}
	return time.Duration(f.random.Int64N(int64(maxTransit)))
}

// retryAll spends all that all VMs may spend.
func (f *fleet) retryAll() {
	for vm := range f.budgets {
		f.retry(vm, 100000)
	}
}

func (f *fleet) expectWithinLimit(context ...any) {
	excess, at := f.worst(f.settings)
	ExpectWithOffset(1, excess).To(BeZero(), fmt.Sprint(append(context, ": ", at)...))
}

var _ = Describe("the retries of all VMs in a sliding window", func() {
	// Guards against a retry that leaves the count before a whole window has passed, as
	// one late in a bucket does when the count moves by buckets.
	It("stay within the limit when bursts are less than a window apart", func() {
		f := newFleet(4)
		f.settle()
		f.advance(950 * time.Millisecond)
		for range 40 {
			f.retryAll()
			f.advance(330 * time.Millisecond)
		}
		f.expectWithinLimit()
	})

	// Guards against VMs that take the whole slack while they do not know how many
	// share it.
	It("stay within the limit while no VM knows the number of VMs", func() {
		f := newFleet(4)
		f.storeAway = true
		f.advance(time.Second)
		f.retryAll()
		f.expectWithinLimit()
	})

	// Guards against a restarted VM that spends again what its predecessor spent in the
	// same window.
	It("stay within the limit while VMs restart in series", func() {
		f := newFleet(4)
		f.settle()
		for n := range 12 {
			f.retryAll()
			f.restart(n % 4)
			f.advance(500 * time.Millisecond)
		}
		f.expectWithinLimit()
	})

	// Guards against VMs that divide the slack by different numbers while a VM joins.
	It("stay within the limit while VMs are added", func() {
		f := newFleet(1)
		f.settle()
		for range 3 {
			f.add()
			for range 40 {
				f.retryAll()
				f.advance(500 * time.Millisecond)
			}
		}
		f.expectWithinLimit()
	})

	// Guards against a number of VMs that is too low for a moment, as after a read of a
	// store that was restored from an older copy.
	It("stay within the limit when the number of VMs drops and returns", func() {
		f := newFleet(8)
		f.settle()
		f.registered = 2
		for vm := range 2 {
			f.budgets[vm].SetVMs(f.now, 2)
		}
		f.retryAll()
		f.expectWithinLimit()
	})

	// Guards against a change of the window that discards what was spent.
	It("stay within the limit when the length of the window changes", func() {
		f := newFleet(4)
		f.settle()
		f.retryAll()
		f.advance(time.Second)
		f.settings.Window += 2 * time.Second
		for _, b := range f.budgets {
			b.SetSettings(f.settings)
		}
		f.retryAll()
		f.expectWithinLimit()
	})

	// Guards against first attempts that allow retries in two windows, when callers move
	// from VM to VM.
	It("stay within the limit when the callers of a VM move to another", func() {
		f := newFleet(2)
		f.settle()
		for vm := range 2 {
			for range 1900 {
				f.request(vm, 0)
				f.advance(5 * time.Millisecond)
			}
			f.retryAll()
		}
		f.expectWithinLimit()
	})

	// Guards against two bursts of requests, almost a window apart, that together allow
	// more retries than any window of the limit holds requests for.
	It("stay within the limit between two bursts of requests", func() {
		f := newFleet(2)
		f.settle()
		for range 2 {
			for range 2000 {
				f.request(0, 0)
			}
			f.advance(9 * time.Second)
		}
		f.now -= model.Instant(9 * time.Second)
		f.retryAll()
		f.expectWithinLimit()
	})

	// Guards against any combination of restarts, an unreachable store, added VMs,
	// callers that move between VMs, and bursts and droughts of requests.
	It("stay within the limit in random histories", func() {
		for seed := range uint64(histories) {
			random := rand.New(rand.NewPCG(seed, 18))
			f := newFleet(1 + random.IntN(8))
			f.advance(0)
			if random.IntN(2) == 0 {
				f.settle()
			}
			perSecond, perFailure, vms := 50, 0, len(f.budgets)
			for range 12000 {
				f.advance(5 * time.Millisecond)
				switch n := random.IntN(4000); {
				case n < 4:
					f.restart(random.IntN(len(f.budgets)))
				case n < 5:
					for vm := range f.budgets {
						f.restart(vm)
					}
				case n < 7:
					f.storeAway = !f.storeAway
				case n < 8 && len(f.budgets) < 10:
					f.add()
				case n < 14:
					perSecond = []int{0, 5, 50, 200}[random.IntN(4)]
				case n < 20:
					perFailure = []int{0, 1, 3, 1000}[random.IntN(4)]
				case n < 24:
					vms = 1 + random.IntN(len(f.budgets)) // the others receive no callers
				case n < 27:
					f.retryAll()
				}
				if random.IntN(200) < perSecond {
					f.request(random.IntN(vms), perFailure)
				}
			}
			f.expectWithinLimit("seed ", seed)
		}
	})
})
