package outlier

import (
	"math"
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
	// maxWeight bounds the results of one target in the rate of the others: a target that
	// fails at once attracts many requests, and several such targets would hide each other.
	maxWeight = 5
)

// window counts results over Window.
type window struct{ cells []cell }

// cell is the results in a period of cellLength.
type cell struct {
	number          int64
	results, errors int
}

func (w *window) add(now model.Instant, failed bool) {
	number := int64(now) / int64(cellLength)
	last := len(w.cells) - 1
	if last < 0 || w.cells[last].number < number {
		w.trim(number)
		w.cells = append(w.cells, cell{number: number})
		last = len(w.cells) - 1
	}
	w.cells[last].results++
	if failed {
		w.cells[last].errors++
	}
}

// trim drops the cells that no longer count at a cell's number.
func (w *window) trim(number int64) {
	kept := w.cells[:0]
	for _, c := range w.cells {
		if number-c.number < int64(Window/cellLength) {
			kept = append(kept, c)
		}
	}
	w.cells = kept
}

// sum returns the results in the window, and the errors among them.
func (w *window) sum(now model.Instant) (results, errors int) {
	number := int64(now) / int64(cellLength)
	for _, c := range w.cells {
		if number-c.number < int64(Window/cellLength) {
			results, errors = results+c.results, errors+c.errors
		}
	}
	return results, errors
}

// baseline returns the error rate of the other targets of a group, each with a weight of
// at most maxWeight. One error in two results is assumed in addition: without results of
// other targets nothing is known.
func (t *Tracker) baseline(now model.Instant, known *target) float64 {
	g := t.group(known.group)
	g.prune(now)
	good, _ := g.good.sum(now)
	good += g.peerGood
	errors, weight, without := 1.0, 2.0, g.size
	for _, other := range g.faulty {
		failed, results := other.sum(now)
		good -= results - failed
		without--
		if other == known || results == 0 {
			continue
		}
		w := min(float64(results), maxWeight)
		errors += w * float64(failed) / float64(results)
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
