package scenario_test

import (
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/load/scenario"
)

func TestScenario(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scenario")
}

var _ = Describe("a scenario file", func() {
	DescribeTable("is rejected with the field, its value and a remedy", func(text, field string) {
		_, err := scenario.Decode([]byte(text))
		Expect(err).To(MatchError(ContainSubstring(field)))
	},
		Entry("unknown field", `{"length_s": 5}`, `unknown field "length_s"`),
		Entry("no seed", `{"name": "x"}`, `field seed: value "0"; remedy: `),
		Entry("unknown deployment", `{"deployment": "x"}`, `field deployment: value "x"; remedy: `),
		Entry("unknown kind", `{"failures": [{"kind": "flood"}]}`, `field failures[0].kind: value "flood"; remedy: give one of crash_target`),
		Entry("failure after the load", `{"length_ms": 5, "failures": [{"at_ms": 5, "kind": "operator_race"}]}`, `field failures[0].at_ms: value "5"`),
		Entry("missing target", `{"failures": [{"kind": "crash_target"}]}`, `field failures[0].target: value ""`),
		Entry("unused factor", `{"failures": [{"kind": "operator_race", "factor": 3}]}`, `field failures[0].factor: value "3"`),
	)

	It("is valid for every scenario of the repository", func() {
		files, err := filepath.Glob("../../../scenarios/*.json")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		for _, file := range files {
			_, err := scenario.Load(file)
			Expect(err).NotTo(HaveOccurred(), file)
		}
	})
})
