package ingress_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/platform/platformtest"
)

var _ = Describe("an entry VM whose store comes back from an older copy", func() {
	// Guards against a revoked key, a drained target and a lost registration that a
	// restore brings back, once and twice in a row.
	It("keeps what it knew until it is written again", func() {
		s := startSite(2)
		status := func(key string) int {
			status, _, _, _ := s.callWith("GET", "/r/x", key, nil)
			return status
		}
		copied := s.store.Copy()
		Expect(s.store.Put("op", "config", platformtest.Config(5, "new"))).To(Succeed())
		desk := s.fleet.Targets("desk")
		Expect(desk[0].Register("draining")).To(Succeed())
		Eventually(func() int { return status("new") }, 2*time.Second, 20*time.Millisecond).Should(Equal(200))
		time.Sleep(time.Second) // the drain is read

		lost := s.store.Restore(copied)
		arrivals := s.arrivalsAt(desk[0])
		deadline := time.Now().Add(3 * time.Second)
		for time.Now().Before(deadline) {
			time.Sleep(5 * time.Millisecond)
			Expect(status("key")).To(BeElementOf(401, 503), "the key is revoked")
			Expect(status("new")).To(BeElementOf(200, 503), "the key is valid, and not confirmed after a while")
			if time.Until(deadline) < 1500*time.Millisecond && copied != nil {
				lost = append(s.store.Restore(copied), lost...)
				copied = nil
			}
		}
		s.store.Rewrite(lost)
		Eventually(func() int { return status("new") }, 2*time.Second, 20*time.Millisecond).Should(Equal(200))
		Expect(status("key")).To(Equal(401))
		Expect(s.arrivalsAt(desk[0])).To(Equal(arrivals), "the drained target gets nothing")
		Eventually(func() int { status, _, _, _ := s.callWith("POST", "/s/x", "new", nil); return status }, 6*time.Second, 100*time.Millisecond).Should(Equal(200))
	})
})

// arrivalsAt returns the number of requests that reached a target.
func (s *site) arrivalsAt(t *platformtest.Target) int {
	n := 0
	for _, a := range s.fleet.Arrivals() {
		if a.Target == t.ID {
			n++
		}
	}
	return n
}
