package outlier

import (
	"math"
	"slices"
	"time"

	"tamarackreach/internal/model"
)

const (
	// cellLength is the time by which results are counted.
	cellLength = 200 * time.Millisecond
	// minErrors is the minimum number of errors of an outlier: one more or less decides
	// nothing.
	minErrors = 3
	// minErrorRate is the minimum fraction of errors among the results of an outlier.
	minErrorRate = 0.5
	// significance is the probability, at the error rate of the other targets, of as many
	// errors as an outlier has. Targets are judged after each error, at many targets at once;
	// a higher one would eject targets of a service that has errors of its own by chance.
	significance = 1e-5
	// minUrgent and maxUrgent are the errors of a target, of all VMs, that are stated without
	// delay. More of them change no judgement.
	minUrgent, maxUrgent = 2, 10
	// maxWeight bounds the results of one target in the rate of the others: a target that
	// fails at once attracts many requests, and several such targets would hide each other.
	maxWeight = 5
)

// Tally is the number of results of a time, and the errors among them.
type Tally struct{ Errors, Results int }

// spans is the number of windows that are judged: a short one shows a fault that begins after
// many good results, a long one a target with few results. spanLengths are in cells.
const spans = 2

var spanLengths = [spans]int64{4, int64(Window / cellLength)}

// Tallies are those of the last 800 ms and of Window.
type Tallies [spans]Tally

func (t *Tallies) add(other Tallies, sign int) {
	for i := range t {
		t[i].Errors += sign * other[i].Errors
		t[i].Results += sign * other[i].Results
	}
}

// window counts results over Window.
type window struct{ cells []cell }

// cell is the results in a period of cellLength.
type cell struct {
	Tally
	number int64
}

func cellNumber(t model.Instant) int64 { return int64(t) / int64(cellLength) }

func (w *window) add(now model.Instant, failed bool) {
	number := cellNumber(now)
	last := len(w.cells) - 1
	if last < 0 || w.cells[last].number < number {
		w.cells = slices.DeleteFunc(w.cells, func(c cell) bool { return number-c.number >= spanLengths[spans-1] })
		w.cells = append(w.cells, cell{number: number})
		last = len(w.cells) - 1
	}
	w.cells[last].Results++
	if failed {
		w.cells[last].Errors++
	}
}

func (w *window) sum(now model.Instant) (out Tallies) {
	number := cellNumber(now)
	for _, c := range w.cells {
		for i, length := range spanLengths {
			if number-c.number < length {
				out[i].Errors += c.Errors
				out[i].Results += c.Results
			}
		}
	}
	return out
}

// mostlyErrors reports whether at least minErrors and minErrorRate of the results are errors.
func (t Tally) mostlyErrors() bool {
	return t.Errors >= minErrors && float64(t.Errors) >= minErrorRate*float64(t.Results)
}

// baseline returns the error rate of the other targets of a group in a span, each with a
// weight of at most maxWeight. One error in two results is assumed in addition: without
// results of other targets nothing is known.
func (t *Tracker) baseline(now model.Instant, known *target, span int) float64 {
	g := t.group(known.group)
	g.prune(now)
	good := g.good.sum(now)[span].Results + g.peerGood[span]
	errors, weight, without := 1.0, 2.0, g.size
	for _, other := range g.faulty {
		sum := other.sum(now)[span]
		good -= sum.Results - sum.Errors
		without--
		if other == known || sum.Results == 0 {
			continue
		}
		w := min(float64(sum.Results), maxWeight)
		errors += w * float64(sum.Errors) / float64(sum.Results)
		weight += w
	}
	return errors / (weight + float64(max(min(good, maxWeight*without), 0)))
}

// prune drops the targets without an error in the window.
func (g *group) prune(now model.Instant) {
	for id, known := range g.faulty {
		if now.Sub(known.lastError) > Window {
			delete(g.faulty, id)
		}
	}
}

// binomialTail returns the probability of at least errors errors among results results that
// are errors with probability rate.
func binomialTail(errors, results int, rate float64) float64 {
	if rate >= 1 {
		return 1
	}
	sum := 0.0
	for k := errors; k <= results; k++ {
		sum += math.Exp(logChoose(results, k) + float64(k)*math.Log(rate) + float64(results-k)*math.Log1p(-rate))
	}
	return min(sum, 1)
}

func logChoose(n, k int) float64 {
	a, _ := math.Lgamma(float64(n + 1))
	b, _ := math.Lgamma(float64(k + 1))
	c, _ := math.Lgamma(float64(n - k + 1))
	return a - b - c
}
