package quarantine_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/quarantine"
)

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "quarantine")
}

var _ = Describe("content that crashes targets", func() {
	content := quarantine.FingerprintOf("w", "m", "p")

	It("is refused after two crashes, one on each of two nodes", func() {
		here, there := quarantine.New(), quarantine.New()
		there.Crashed(0, content, false)
		here.MergeNotes(0, there.Notes(0))
		here.MergeNotes(0, there.Notes(0))
		Expect(here.Suspect(0, content)).To(BeTrue())
		Expect(here.Remaining(0, content)).To(BeZero())
		here.Crashed(0, content, false)
		Expect(here.Remaining(0, content)).To(Equal(quarantine.Lapse))
		there.MergeNotes(0, here.Notes(0))
		Expect(there.Remaining(0, content)).To(Equal(quarantine.Lapse))
	})

	It("raises the version for a crash seen by this node, not for one received from a peer", func() {
		here, there := quarantine.New(), quarantine.New()
		there.Crashed(0, content, false)
		Expect(there.Version()).To(BeEquivalentTo(1))
		here.MergeNotes(0, there.Notes(0))
		Expect(here.Version()).To(BeZero())
		Expect(here.Suspect(0, content)).To(BeTrue())
	})

	It("is cleared by completion and not refused after two crashes that followed its first token", func() {
		list := quarantine.New()
		list.Crashed(0, content, true)
		list.Crashed(0, content, true)
		Expect(list.Suspect(0, content)).To(BeFalse())
		Expect(list.Remaining(0, content)).To(BeZero())
		list.Crashed(0, content, false)
		Expect(list.Remaining(0, content)).NotTo(BeZero())
		list.Completed(content)
		Expect(list.Notes(0)).To(BeEmpty())
	})
})
