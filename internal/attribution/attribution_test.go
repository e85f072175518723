package attribution_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/attribution"
	"tamarackreach/internal/model"
)

func TestAttribution(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "attribution")
}

// fromEnv returns the number in an environment variable, or fallback without it.
func fromEnv(name string, fallback int) int {
	if text := os.Getenv(name); text != "" {
		n, err := strconv.Atoi(text)
		Expect(err).NotTo(HaveOccurred(), name+" must be a number")
		return n
	}
	return fallback
}

// fleet is a kind of fleet that the specs explore.
type fleet struct {
	kind      crashKind
	vms, hops int
}

// each plays something for each kind of fleet, beside each other.
func each(play func(fleet)) {
	var wait sync.WaitGroup
	for _, kind := range crashKinds {
		for vms := 2; vms <= 3; vms++ {
			for hops := 1; hops <= 2; hops++ {
				wait.Go(func() {
					defer GinkgoRecover()
					play(fleet{kind, vms, hops})
				})
			}
		}
	}
	wait.Wait()
}

var _ = Describe("a content that crashes each target", func() {
	// Guards against evidence that is lost, misread or late, so that the content is sent on.
	// The histories begin with 0 to 4 crashes, half a second apart. ATTRIBUTION_DEPTH sets the number
	// of further steps, ATTRIBUTION_FAULTS that of faults.
	It("reaches targets in at most three late retries in all histories up to a depth", func() {
		var histories atomic.Int64
		each(func(f fleet) {
			for sent := range 5 {
				w := newWorld(f.kind, f.vms, f.hops)
				for n := range sent {
					w.step(nil, []int{n % f.vms}, tick)
				}
				n, broken := explore(w, fromEnv("ATTRIBUTION_DEPTH", 1), fromEnv("ATTRIBUTION_FAULTS", 1))
				histories.Add(int64(n))
				Expect(broken).To(BeEmpty(), "%s, %d VMs, %d hops, %d sent before", f.kind.name, f.vms, f.hops, sent)
			}
		})
		AddReportEntry("histories", histories.Load())
	})

	// ATTRIBUTION_WALKS sets the number of walks of each kind of fleet, ATTRIBUTION_SEED the first seed.
	It("does so in random histories, and is tried again after each", func() {
		each(func(f fleet) {
			first := uint64(fromEnv("ATTRIBUTION_SEED", 1))                                    //nolint:gosec // a seed
			for seed := first; seed < first+uint64(fromEnv("ATTRIBUTION_WALKS", 25)); seed++ { //nolint:gosec // a number of walks
				w := newWorld(f.kind, f.vms, f.hops)
				walk(rand.New(rand.NewPCG(seed, 59)), w, 20, 2)
				Expect(w.violation()).To(BeEmpty(), "%s, %d VMs, %d hops, seed %d", f.kind.name, f.vms, f.hops, seed)
				w.advance(f.kind.lostAfter + attribution.ConfirmWindow)
				if refusal := w.verdict(0); refusal.Decision == attribution.Refuse {
					w.now = w.now.Add(max(refusal.For-time.Second, 0))
				}
				Expect(w.offersTrial(2*time.Second+time.Duration(f.vms)*attribution.TurnTime)).To(BeTrue(), "%s, %d VMs, %d hops, seed %d is never tried again", f.kind.name, f.vms, f.hops, seed)
			}
		})
	})
})

const origin = model.Instant(time.Hour)

// at returns an instant some seconds after the origin.
func at(seconds float64) model.Instant {
	return origin.Add(time.Duration(seconds * float64(time.Second)))
}

func target(name string) attribution.Incarnation {
	return attribution.Incarnation{Target: model.TargetID(name), Born: 1}
}

var (
	self  = attribution.Observer{VM: "vm-1"}
	alone = attribution.Turn{Count: 1}
)

// crash has a send be lost on a target that has ended half a second later.
func crash(l *attribution.Ledger, seconds float64, name string, causes ...attribution.Cause) {
	id := l.Begin(at(seconds), causes, []attribution.Incarnation{target(name)})
	l.Close(at(seconds+0.1), id, attribution.Lost)
	l.ObserveTarget(at(seconds+0.5), target(name), attribution.Ended)
}

func answer(l *attribution.Ledger, seconds float64, causes ...attribution.Cause) {
	l.Close(at(seconds+0.1), l.Begin(at(seconds), causes, []attribution.Incarnation{target("healthy")}), attribution.Answered)
}

var _ = Describe("the verdict", func() {
	content := func(uri string) attribution.Cause {
		return attribution.Content{Method: "GET", Host: "h", URI: uri}.Cause()
	}
	harmful, harmless, part := content("/x?q=1"), content("/x?q=2"), attribution.PartCause("p")
	var l *attribution.Ledger
	decision := func(seconds float64, causes ...attribution.Cause) attribution.Decision {
		return l.Verdict(at(seconds), causes, alone).Decision
	}
	BeforeEach(func() { l = attribution.New(self) })

	It("tells contents apart by all that a target reads, in one spelling of the host", func() {
		c := attribution.Content{Workspace: "w", Method: "GET", Host: "h", URI: "/x?q=1", Body: []byte("b")}
		for _, other := range []attribution.Content{
			{"v", "GET", "h", "/x?q=1", []byte("b")}, {"w", "PUT", "h", "/x?q=1", []byte("b")}, {"w", "GET", "i", "/x?q=1", []byte("b")},
			{"w", "GET", "h", "/x?q=2", []byte("b")}, {"w", "GET", "h", "/x?q=1", nil}, {"w", "GET", "h", "/x?q=", []byte("1b")},
		} {
			Expect(other.Cause()).NotTo(Equal(c.Cause()))
		}
		c.Host = "H"
		Expect(c.Cause()).To(Equal(attribution.Content{Workspace: "w", Method: "GET", Host: "h", URI: "/x?q=1", Body: []byte("b")}.Cause()))
	})

	It("names the crashes of a refusal, and grows with each trial that crashes a target", func() {
		for n, seconds := range []float64{0, 1, 2, 2.01, 2.02} { // the last two before the third crash is known
			crash(l, seconds, fmt.Sprint("t", n), harmful)
		}
		Expect(l.Verdict(at(3), []attribution.Cause{harmful}, alone).For).To(BeNumerically("~", 10*time.Second, time.Second))
		for n, seconds := range []float64{13, 35} {
			crash(l, seconds, fmt.Sprint("trial", n), harmful)
		}
		v := l.Verdict(at(36), []attribution.Cause{harmful}, alone)
		Expect(v.Decision).To(Equal(attribution.Refuse))
		Expect(v.Crashes).To(HaveLen(7))
		Expect(v.For).To(BeNumerically("~", 5*time.Minute, time.Second))
		Expect(decision(36, harmless)).To(Equal(attribution.Allow))
	})

	It("holds others while the last send that the crashes leave is in flight", func() {
		crash(l, 0, "t0", harmful)
		Expect(decision(1, harmful)).To(Equal(attribution.Allow))
		crash(l, 1, "t1", harmful)
		Expect(decision(2, harmful)).To(Equal(attribution.Allow))
		l.Begin(at(2), []attribution.Cause{harmful}, []attribution.Incarnation{target("t2")})
		Expect(decision(2.1, harmful)).To(Equal(attribution.Hold))
	})

	It("has the VMs try in turn, and none at the end of a turn", func() {
		for n := range 3 {
			crash(l, float64(n), fmt.Sprint("t", n), harmful)
		}
		ends := 2.1 + 10 // seconds, after the third answer was lost
		for turn, tries := range [][]float64{{0, 1, 4, 5}, {2, 3}} {
			for _, since := range []float64{0, 1, 1.5, 2, 3, 3.5, 4, 5, 5.5} {
				v := l.Verdict(at(ends+since+0.05), []attribution.Cause{harmful}, attribution.Turn{Index: turn, Count: 2})
				Expect(v.Decision == attribution.Try).To(Equal(slices.Contains(tries, since)), "VM %d, %v s", turn, since)
			}
		}
	})

	It("counts sends that are overdue on targets without a sign of life", func() {
		crash(l, 0, "t0", harmful)
		for n := range 2 {
			l.Begin(at(1), []attribution.Cause{harmful}, []attribution.Incarnation{target(fmt.Sprint("open", n))})
		}
		Expect(decision(2, harmful)).To(Equal(attribution.Allow))
		Expect(decision(3, harmful)).To(Equal(attribution.Hold))
		l.ObserveTarget(at(3), target("open0"), attribution.Alive)
		Expect(decision(3, harmful)).To(Equal(attribution.Allow))
	})

	It("allows one trial at a time, and counts a lost one until its target is known to run", func() {
		for n := range 3 {
			crash(l, float64(n), fmt.Sprint("t", n), harmful)
		}
		id := l.Begin(at(13), []attribution.Cause{harmful}, []attribution.Incarnation{target("t3")})
		Expect(decision(14, harmful)).To(Equal(attribution.Hold))
		l.Close(at(15), id, attribution.TimedOut)
		Expect(decision(16, harmful)).To(Equal(attribution.Hold))
		l.ObserveTarget(at(17), target("t3"), attribution.Alive)
		Expect(decision(17, harmful)).To(Equal(attribution.Try))
	})

	// Guards against crashes that are forgotten with the VM whose sends they ended.
	It("counts the sends of a VM that has ended as lost", func() {
		ended := attribution.Observer{VM: "vm-2"}
		other := attribution.New(ended)
		crash(other, 0, "t0", harmful)
		for n := range 2 {
			other.Begin(at(1), []attribution.Cause{harmful}, []attribution.Incarnation{target(fmt.Sprint("open", n))})
		}
		e := other.Export(at(1.5), attribution.MaxSends)
		l.Merge(at(1.5), 0, &e)
		Expect(decision(2, harmful)).To(Equal(attribution.Allow))
		l.ObserveVM(at(2), ended, attribution.Ended)
		Expect(decision(2, harmful)).To(Equal(attribution.Hold))
		for n := range 2 {
			l.ObserveTarget(at(2), target(fmt.Sprint("open", n)), attribution.Ended)
		}
		Expect(l.Verdict(at(3), []attribution.Cause{harmful}, alone).Crashes).To(HaveLen(3))
		Expect(decision(3, harmful)).To(Equal(attribution.Refuse))
	})

	// Guards against contents that are sent on once a part that is refused for the same crashes is
	// released: their crashes are theirs again at once.
	It("blames a content at once for the crashes of a part that was answered", func() {
		for n := range 3 {
			crash(l, float64(n), fmt.Sprint("t", n), part, harmful)
		}
		Expect(l.Verdict(at(4), []attribution.Cause{part, harmful}, alone).Cause).To(Equal(part))
		Expect(decision(4, harmful)).To(Equal(attribution.Allow), "the part explains its crashes")
		Expect(decision(4, part, harmless)).To(Equal(attribution.Refuse))
		Expect(decision(13, part, harmless)).To(Equal(attribution.Try))
		answer(l, 13, part, harmless)
		Expect(decision(14, part, harmless)).To(Equal(attribution.Allow))
		Expect(l.Verdict(at(14), []attribution.Cause{part, harmful}, alone).Cause).To(Equal(harmful))
		Expect(decision(14, part, harmful)).To(BeNumerically(">", attribution.Allow))
	})

	It("does not blame a content for targets that were released, with answers between", func() {
		for n := range 12 {
			crash(l, float64(n), fmt.Sprint("t", n), harmless)
			answer(l, float64(n)+0.3, harmless)
			Expect(decision(float64(n)+0.9, harmless)).To(Equal(attribution.Allow))
		}
	})

	It("takes a crash back when the target was only silent", func() {
		for n := range 3 {
			name := fmt.Sprint("t", n)
			id := l.Begin(at(0), []attribution.Cause{harmless}, []attribution.Incarnation{target(name)})
			l.Close(at(3), id, attribution.TimedOut)
			l.ObserveTarget(at(2), target(name), attribution.Silent)
		}
		Expect(decision(4, harmless)).To(Equal(attribution.Refuse))
		l.ObserveTarget(at(4.5), target("t0"), attribution.Alive)
		Expect(decision(5, harmless)).To(Equal(attribution.Allow))
	})

	It("blames only what may have run while the target ended", func() {
		for _, end := range []attribution.End{attribution.Rejected, attribution.NotSent, attribution.Failed} {
			crash(l, 0, "t", harmless) // another crash has it suspected
			for n := range 3 {
				name := fmt.Sprint(end, n)
				l.Close(at(1), l.Begin(at(0.5), []attribution.Cause{harmless}, []attribution.Incarnation{target(name)}), end)
				l.ObserveTarget(at(1), target(name), attribution.Ended)
			}
			Expect(decision(2, harmless)).To(Equal(attribution.Allow), "end %d", end)
		}
		for n := range 3 {
			name := fmt.Sprint("ended", n)
			l.ObserveTarget(at(0), target(name), attribution.Ended)
			l.Close(at(2), l.Begin(at(1), []attribution.Cause{harmless}, []attribution.Incarnation{target(name)}), attribution.Lost)
		}
		Expect(decision(3, harmless)).To(Equal(attribution.Allow))
	})

	// The evidence of three VMs at two times, merged in any order and more than once.
	It("does not depend on the order of messages", func() {
		for seed := range uint64(200) {
			random := rand.New(rand.NewPCG(seed, 7))
			w := newWorld(crashKinds[seed%3], 3, 1+int(seed%2)) //nolint:gosec // small
			for vm := range w.vms {
				w.vms[vm].deafUntil = w.now.Add(time.Hour)
			}
			var written []attribution.Evidence
			for range 2 {
				walk(random, w, 4, 1)
				for vm := range w.vms {
					written = append(written, w.vms[vm].ledger.Export(w.now, attribution.MaxSends))
				}
			}
			merged := func(order []int) attribution.Evidence {
				l := attribution.New(attribution.Observer{VM: "vm-9"})
				for _, n := range order {
					l.Merge(w.now, w.now.Sub(written[n].At), &written[n])
				}
				return l.Export(w.now, attribution.MaxSends)
			}
			first := merged([]int{0, 1, 2, 3, 4, 5})
			for _, last := range written[3:] {
				for _, s := range last.Sends {
					if s.ID.By == last.By {
						Expect(first.Sends).To(ContainElement(s), "the last state of each send")
					}
				}
			}
			Expect(merged(append(random.Perm(6), random.Perm(6)...))).To(Equal(first), "seed %d", seed)
		}
	})

	// Guards against signs of life that seem later each time they are passed on.
	It("does not take a record for younger because it was passed on", func() {
		ledgers := []*attribution.Ledger{l, attribution.New(attribution.Observer{VM: "vm-2"}), attribution.New(attribution.Observer{VM: "vm-3"})}
		for n := range 3 {
			name := fmt.Sprint("t", n)
			ledgers[1+n%2].ObserveTarget(at(0.5), target(name), attribution.Alive)
			l.Close(at(1), l.Begin(at(0), []attribution.Cause{harmful}, []attribution.Incarnation{target(name)}), attribution.Lost)
		}
		const transit = 0.4 // seconds, of which the receivers don't know
		for n := range 20 {
			e := ledgers[n%3].Export(at(1+transit*float64(n)), attribution.MaxSends)
			ledgers[(n+1)%3].Merge(at(1+transit*float64(n+1)), 0, &e)
		}
		Expect(decision(9, harmful)).To(Equal(attribution.Hold))
		Expect(decision(1+attribution.ConfirmWindow.Seconds(), harmful)).To(Equal(attribution.Allow))
	})

	// Guards against a panic on the record of a later build, or of a writer whose clock is not known.
	It("skips records that it cannot read", func() {
		by, unknown := attribution.Observer{VM: "vm-2"}, attribution.Observer{VM: "vm-3"}
		l.Merge(at(1), 0, &attribution.Evidence{By: by, At: at(1), Sends: []attribution.Send{
			{ID: attribution.SendID{By: by, Number: 1}, Causes: []attribution.Cause{harmful}, SentAt: at(0), End: 200, EndedAt: at(1)},
			{ID: attribution.SendID{By: unknown, Number: 1}, Causes: []attribution.Cause{harmful}, SentAt: at(0), End: attribution.Lost, EndedAt: at(1)},
			{ID: attribution.SendID{By: by, Number: 2}, Causes: []attribution.Cause{harmful}, SentAt: at(0), End: attribution.Lost, EndedAt: at(1)},
		}})
		Expect(l.Export(at(1), attribution.MaxSends).Sends).To(HaveLen(1))
	})

	It("stays bounded whatever other VMs send", func() {
		e := attribution.Evidence{By: attribution.Observer{VM: "vm-2"}, At: at(1)}
		for n := range uint64(3 * attribution.MaxSends) {
			e.Sends = append(e.Sends, attribution.Send{
				ID: attribution.SendID{By: e.By, Number: n}, Causes: []attribution.Cause{attribution.Cause(2 * n)},
				SentAt: at(0).Add(time.Duration(n)), End: attribution.Lost, EndedAt: at(0).Add(time.Duration(n)), //nolint:gosec // small
			})
		}
		l.Merge(at(1), 0, &e)
		Expect(len(l.Export(at(1), 4*attribution.MaxSends).Sends)).To(And(BeNumerically(">", 0), BeNumerically("<=", attribution.MaxSends)))
	})
})

// BenchmarkVerdict measures a verdict beside 4,096 contents under suspicion on 12,000 targets.
func BenchmarkVerdict(b *testing.B) {
	l := attribution.New(self)
	causes := make([]attribution.Cause, 4096)
	for n := range 12000 {
		name := fmt.Sprint("t", n)
		causes[n%4096] = attribution.Content{URI: fmt.Sprint(n % 4096)}.Cause()
		if n < attribution.MaxSends {
			l.Close(at(1), l.Begin(at(0), causes[n%4096:n%4096+1], []attribution.Incarnation{target(name)}), attribution.Lost)
		}
		l.ObserveTarget(at(1), target(name), attribution.Ended)
	}
	for name, cause := range map[string]attribution.Cause{"suspected": causes[7], "unknown": attribution.Content{URI: "/"}.Cause()} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				l.Verdict(at(2), []attribution.Cause{cause}, alone)
			}
		})
	}
}
