package frontdaemon

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"tamarackreach/internal/director"
)

var _ = Describe("the metrics of lost answers", func() {
	// Guards against crashes that are attributed to nothing, for which no reason can be read from
	// outside the process.
	It("have a series for each kind of cause and result", func() {
		registry := prometheus.NewPedanticRegistry()
		registry.MustRegister(&attributionCollector{read: func() (parts, contents director.Attribution) {
			return director.Attribution{Crashed: 1}, director.Attribution{Crashed: 2, Answered: 3, Expired: 4, Cleared: 5}
		}})
		families, err := registry.Gather()
		Expect(err).NotTo(HaveOccurred())
		values := map[string]float64{}
		for _, family := range families {
			for _, m := range family.GetMetric() {
				key := family.GetName()
				for _, label := range m.GetLabel() {
					key += " " + label.GetValue()
				}
				values[key] = m.GetCounter().GetValue()
			}
		}
		Expect(values).To(Equal(map[string]float64{
			"tamarack_lost_answers_total content answered": 3, "tamarack_lost_answers_total content crashed": 2, "tamarack_lost_answers_total content expired": 4,
			"tamarack_lost_answers_total part answered": 0, "tamarack_lost_answers_total part crashed": 1, "tamarack_lost_answers_total part expired": 0,
			"tamarack_crashes_cleared_total content": 5, "tamarack_crashes_cleared_total part": 0,
		}))
	})
})
