package retrybudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/model"
	"tamarackreach/internal/retrybudget"
)

func TestRetryBudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "retrybudget")
}

var settings = retrybudget.Settings{Ratio: 0.2, Slack: 200, Window: 10 * time.Second}

// settledAt is an instant at which a VM that knows the number of VMs from instant 0
// has its share of the slack.
var settledAt = model.Instant(2 * settings.Window)

// newBudget returns the budget of the only VM.
func newBudget() *retrybudget.Budget {
	b := retrybudget.New(settings)
	b.SetVMs(0, 1)
	return b
}

// tryRetry spends one retry, or returns false when the window's budget is exhausted.
func tryRetry(b *retrybudget.Budget, now model.Instant, service model.ServiceID) bool {
	if !b.Reserve(now, service) {
		return false
	}
	b.UseReserved(now, service)
	return true
}

var _ = Describe("Budget", func() {
	It("limits the retries of all VMs together in every sliding window", func() {
		const vms = 7
		random := rand.New(rand.NewPCG(3, 4))
		var budgets []*retrybudget.Budget
		for range vms {
			b := retrybudget.New(settings)
			b.SetVMs(-settledAt, vms)
			budgets = append(budgets, b)
		}
		var firstAttempts, retries []model.Instant
		for ms := range 40000 {
			now := model.Instant(ms) * model.Instant(time.Millisecond)
			vm := budgets[random.IntN(vms)]
			if ms%10 == 0 {
				vm.CountFirstAttempt(now, "s")
				firstAttempts = append(firstAttempts, now)
			}
			if tryRetry(vm, now, "s") {
				retries = append(retries, now)
			}
		}
		count := func(times []model.Instant, from, to model.Instant) (n float64) {
			for _, t := range times {
				if from <= t && t < to {
					n++
				}
			}
			return n
		}
		window := model.Instant(settings.Window)
		for end := window; end < 4*window; end += window / 7 {
			allowed := settings.Ratio*max(count(firstAttempts, end-window, end), count(firstAttempts, end-2*window, end-window)) + settings.Slack
			Expect(count(retries, end-window, end)).To(BeNumerically("<=", allowed))
		}
	})

	It("allows retries again after a window has passed", func() {
		b := newBudget()
		for tryRetry(b, settledAt, "s") {
		}
		Expect(tryRetry(b, settledAt+model.Instant(settings.Window/2), "s")).To(BeFalse())
		Expect(tryRetry(b, settledAt+model.Instant(settings.Window)+1, "s")).To(BeTrue())
	})

	It("applies changed limits immediately and keeps the counts", func() {
		b := newBudget()
		for tryRetry(b, settledAt, "s") {
		}
		more := settings
		more.Slack *= 2
		b.SetSettings(more)
		Expect(tryRetry(b, settledAt, "s")).To(BeTrue())
		b.SetSettings(settings)
		Expect(tryRetry(b, settledAt, "s")).To(BeFalse())
	})

	It("counts each service separately", func() {
		b := newBudget()
		for tryRetry(b, settledAt, "s") {
		}
		Expect(tryRetry(b, settledAt, "other")).To(BeTrue())
	})

	// Guards against a VM that never gets its share of the slack, or not all of it once
	// other VMs have left.
	It("has its share some time after it knows the number of VMs, and a larger one when there are fewer", func() {
		b := retrybudget.New(settings)
		limit := func(at model.Instant) float64 { return b.Usage(at, "s").Limit }
		window := model.Instant(settings.Window)
		Expect(limit(window)).To(BeZero())
		b.SetVMs(window, 4)
		Expect(limit(5*window/2 - 1)).To(BeZero())
		share := limit(5 * window / 2)
		Expect(share).To(BeNumerically("~", settings.Slack/4, settings.Slack/30))
		b.SetVMs(3*window, 2)
		b.SetVMs(3*window+1, 2)
		Expect(limit(4*window - 1)).To(Equal(share))
		Expect(limit(4 * window)).To(Equal(2 * share))
		b.SetVMs(4*window, 8)
		Expect(limit(4 * window)).To(Equal(share / 2))
	})

	// Guards against a limit on steady traffic that is far below the ratio.
	It("allows most of the ratio in steady traffic, and some of it at a start", func() {
		b := retrybudget.New(settings)
		const requests = 1000
		window := model.Instant(settings.Window)
		ratio := func(at model.Instant) float64 { return b.Usage(at, "s").Limit / requests / settings.Ratio }
		for i := range model.Instant(requests) {
			b.CountFirstAttempt(i*window/requests, "s")
		}
		Expect(ratio(window)).To(BeNumerically("~", 0.22, 0.02))
		for i := range model.Instant(2 * requests) {
			b.CountFirstAttempt(window+i*window/requests, "s")
		}
		Expect(ratio(3 * window)).To(BeNumerically("~", 0.65, 0.03))
	})
})
