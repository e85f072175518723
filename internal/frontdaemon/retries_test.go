package frontdaemon

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"tamarackreach/internal/director"
	"tamarackreach/internal/retrybudget"
)

func TestFrontDaemon(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "frontdaemon")
}

var _ = Describe("the metrics of the retry budget", func() {
	// Guards against a budget whose state cannot be read from outside the process.
	It("have a series for each service, cause and result", func() {
		registry := prometheus.NewPedanticRegistry()
		registry.MustRegister(&retryCollector{read: func() []director.RetryBudget {
			return []director.RetryBudget{
				{
					Service: "a", Usage: retrybudget.Usage{Spent: 3, FirstAttempts: 10, Limit: 4.5, VMs: 2},
					Granted: map[string]int{"lost": 2, "rejected": 1}, Refused: map[string]int{"lost": 7},
				},
				{Service: "b"},
			}
		}})
		families, err := registry.Gather()
		Expect(err).NotTo(HaveOccurred())
		series := map[string]int{}
		total := 0.0
		for _, family := range families {
			series[family.GetName()] = len(family.GetMetric())
			for _, m := range family.GetMetric() {
				total += m.GetCounter().GetValue() + m.GetGauge().GetValue()
			}
		}
		Expect(series).To(Equal(map[string]int{
			"tamarack_retries_total": 3, "tamarack_retry_budget_spent": 2, "tamarack_retry_budget_limit": 2,
			"tamarack_retry_budget_first_attempts": 2, "tamarack_retry_budget_vms": 2,
		}))
		Expect(total).To(Equal(2 + 1 + 7 + 3 + 10 + 4.5 + 2))
	})
})

var _ = Describe("the metrics of the overflow", func() {
	It("have a series for each service and zone", func() {
		registry := prometheus.NewPedanticRegistry()
		registry.MustRegister(&overflowCollector{read: func() []director.Overflow {
			return []director.Overflow{{Service: "llm", Zone: "a", Demand: 60, Capacity: 50}, {Service: "llm", Zone: "b", Share: 0.25, Sent: 7}}
		}})
		families, err := registry.Gather()
		Expect(err).NotTo(HaveOccurred())
		Expect(families).To(HaveLen(4))
		for _, family := range families {
			Expect(family.GetMetric()).To(HaveLen(2), family.GetName())
		}
	})
})
