package frontdaemon

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"tamarackreach/internal/priorityadmission"
)

var _ = Describe("the metrics of admission control", func() {
	// Guards against refusals by priority that cannot be read from outside the process.
	It("have a series for each service and priority", func() {
		registry := prometheus.NewPedanticRegistry()
		registry.MustRegister(&admissionCollector{read: func() []priorityadmission.Figures {
			return []priorityadmission.Figures{
				{Service: "a", Priority: 0, Admitted: 5}, {Service: "a", Priority: 2, Admitted: 1, Refused: 7, Headroom: 3.5, WorkspacesOver: 2},
			}
		}})
		families, err := registry.Gather()
		Expect(err).NotTo(HaveOccurred())
		total := map[string]float64{}
		for _, family := range families {
			for _, m := range family.GetMetric() {
				total[family.GetName()] += m.GetCounter().GetValue() + m.GetGauge().GetValue()
			}
		}
		Expect(total).To(Equal(map[string]float64{
			"tamarack_admission_total": 13, "tamarack_admission_headroom_requests": 3.5, "tamarack_admission_workspaces_over_share": 2,
		}))
	})
})
