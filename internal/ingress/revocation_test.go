package ingress_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/platform/platformtest"
)

var _ = Describe("a configuration that removes the last workspace", func() {
	// Guards against an empty list of workspaces that is taken for a deployment without keys, and
	// opens all routes.
	DescribeTable("refuses every key", func(vm int, workspaces any) {
		s := startSite(vm)
		config := platformtest.Config(5)
		config["tenants"] = workspaces
		Expect(s.store.Put("op", "config", config)).To(Succeed())
		status := func(method, path, key string) int {
			status, _, _, _ := s.callWith(method, path, key, nil)
			return status
		}
		Eventually(func() int { return status("GET", "/r/x", "key") }, 2*time.Second, 20*time.Millisecond).Should(Equal(401))
		arrivals := len(s.fleet.Arrivals())
		for _, key := range []string{"key", "never-held", ""} {
			Expect(status("GET", "/r/x", key)).To(Equal(401))
			Expect(status("POST", "/p/x", key)).To(Equal(401))
			Expect(status("POST", "/s/x", key)).To(Equal(401))
		}
		Expect(s.fleet.Arrivals()).To(HaveLen(arrivals))

		Expect(s.store.Put("op", "config", platformtest.Config(6, "new"))).To(Succeed())
		Eventually(func() int { return status("POST", "/p/x", "new") }, 2*time.Second, 20*time.Millisecond).Should(Equal(200))
		Expect(status("POST", "/p/x", "key")).To(Equal(401))
	},
		Entry("with a list that is empty", 40, []any{}),
		Entry("with a list that has no value", 41, nil),
		Entry("with a workspace that has no keys", 42, []any{map[string]any{"name": "ws"}}),
	)
})
