package soak_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/soak"
)

func TestSoak(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "soak")
}

// binary returns the path of the entry VM's program, which make test builds.
func binary() string {
	dir := os.Getenv("TAMARACK_BIN")
	if dir == "" {
		dir = "../../bin"
	}
	path, err := filepath.Abs(filepath.Join(dir, "tamarack-front"))
	Expect(err).NotTo(HaveOccurred())
	return path
}

var _ = Describe("entry VMs under randomised faults", func() {
	// Seeds that once found a violation stay in this file, with the cause.
	DescribeTable("hold every guarantee",
		func(seed uint64) {
			report, err := soak.Run(soak.Options{
				Seed: seed, Binary: binary(), Dir: GinkgoT().TempDir(), VMs: 2, Callers: 6, Faults: 3 * time.Second,
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(report.Violations).To(BeEmpty(), "faults: %v", report.Faults)
			Expect(report.Served).To(BeNumerically(">", 50))
		},
		Entry("seed 1", uint64(1)), Entry("seed 2", uint64(2)), Entry("seed 3", uint64(3)),
	)

	// Several targets crash at once while running the same content, which many
	// callers send. Guards against quarantining that content for ten minutes as if
	// it had crashed the targets.
	DescribeTable("hold every guarantee with seeds that found a violation",
		func(seed uint64) {
			report, err := soak.Run(soak.Options{
				Seed: seed, Binary: binary(), Dir: GinkgoT().TempDir(), VMs: 3, Callers: 12, Faults: 6 * time.Second,
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(report.Violations).To(BeEmpty(), "faults: %v", report.Faults)
		},
		Entry("seed 106", uint64(106)), Entry("seed 125", uint64(125)), Entry("seed 128", uint64(128)), Entry("seed 142", uint64(142)),
	)

	// Seed 411: a target's header stays on the router's own 502. Seed 428: in addition,
	// content that crashes targets before its first event is sent on without end.
	// Seed 429: the same for content that crashes them after it.
	DescribeTable("hold every guarantee with spoiled responses",
		func(seed uint64) {
			report, err := soak.Run(soak.Options{
				Seed: seed, Binary: binary(), Dir: GinkgoT().TempDir(), VMs: 3, Callers: 12, Faults: 6 * time.Second, ResponseFaults: true,
			})
			Expect(err).NotTo(HaveOccurred())
			Expect(report.Violations).To(BeEmpty(), "faults: %v", report.Faults)
		},
		Entry("seed 411", uint64(411)), Entry("seed 428", uint64(428)), Entry("seed 429", uint64(429)),
	)

	// Harmless requests with the path of content that crashes targets are answered all the time.
	// Guards against answers to these that clear its crashes.
	It("hold every guarantee while content that crashes targets differs from harmless content by its query", func() {
		report, err := soak.Run(soak.Options{
			Seed: 914, Binary: binary(), Dir: GinkgoT().TempDir(), VMs: 3, Callers: 12, Faults: 6 * time.Second, ResponseFaults: true, CrashingQueries: true,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Violations).To(BeEmpty(), "faults: %v", report.Faults)
		Expect(report.Faults).To(ContainElement(ContainSubstring("crashing content")))
	})

	// The store comes back from copies that are up to five seconds old: alone, and among
	// the other faults. In the third run targets answer the runs of a request differently,
	// refuse what they ran, send more behind responses, and lose the end of connections.
	// The runs are concurrent because they mostly wait.
	It("hold every guarantee while the store comes back from older copies, and while the runs of a request differ", func() {
		var runs sync.WaitGroup
		for _, o := range []soak.Options{
			{Seed: 601, Restores: true, RestoresOnly: true}, {Seed: 602, Restores: true}, {Seed: 603, AttemptFaultsOnly: true},
		} {
			o.Binary, o.Dir, o.VMs, o.Callers, o.Faults = binary(), GinkgoT().TempDir(), 3, 9, 2500*time.Millisecond
			runs.Add(1)
			go func() {
				defer runs.Done()
				defer GinkgoRecover()
				report, err := soak.Run(o)
				Expect(err).NotTo(HaveOccurred())
				Expect(report.Violations).To(BeEmpty(), "seed %d, faults: %v", o.Seed, report.Faults)
				Expect(report.Restores > 0).To(Equal(o.Restores), "seed %d", o.Seed)
			}()
		}
		runs.Wait()
	})

	// VMs are replaced by VMs of another build while faults go on, and some go back. The
	// earlier build is that of the last landing.
	It("hold every guarantee beside an earlier build of the program", func() {
		earlier := buildOf(lastLanding)
		var runs sync.WaitGroup
		for _, o := range []soak.Options{{Seed: 801}, {Seed: 802, Restores: true}, {Seed: 804}} {
			o.Binary, o.Earlier, o.Dir, o.VMs, o.Callers, o.Faults = binary(), earlier, GinkgoT().TempDir(), 4, 9, 4*time.Second
			runs.Add(1)
			go func() {
				defer runs.Done()
				defer GinkgoRecover()
				report, err := soak.Run(o)
				Expect(err).NotTo(HaveOccurred())
				Expect(report.Violations).To(BeEmpty(), "seed %d, faults: %v", o.Seed, report.Faults)
				Expect(report.Replaced).To(BeNumerically(">=", o.VMs))
				Expect(report.Served).To(BeNumerically(">", 50), "seed %d", o.Seed)
			}()
		}
		runs.Wait()
	})
})

// lastLanding is the commit whose build is in production.
const lastLanding = "45726cd"

// buildOf builds the program of a commit of this repository's history and returns its path.
func buildOf(commit string) string {
	dir := GinkgoT().TempDir()
	archive := filepath.Join(dir, "source.tar")
	run := func(in, name string, args ...string) {
		cmd := exec.Command(name, args...)
		cmd.Dir = in
		output, err := cmd.CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), "%s %v: %s", name, args, output)
	}
	run("../..", "git", "archive", "--output", archive, commit)
	run(dir, "tar", "-xf", archive)
	path := filepath.Join(dir, "tamarack-front")
	run(dir, "go", "build", "-buildvcs=false", "-o", path, "./cmd/tamarack-front")
	return path
}
