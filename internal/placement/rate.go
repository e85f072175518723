package placement

import (
	"math"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

const (
	// usableState is the part of the memory for requests that is planned for;
	// the rest absorbs long answers.
	usableState = 0.8
	// stageWait is how many times its own work a token spends at each target: it
	// waits for the pass under way. Measured on calm days: 1.8.
	stageWait = 1.8
	// hopMs is the time of a token between two targets, in milliseconds.
	hopMs = 0.3
	// tightness is the power of the mean that stands for the least memory among
	// the layers: the least itself would not tell one tight layer from several,
	// and the search would see no way to widen them one by one.
	tightness = 6.0
	// usableReading is the part of the passes that may carry a piece of a prompt
	// before prompts queue for long.
	usableReading = 0.75
	// usualSequences bounds the sequences that a pass is planned for.
	usualSequences = 120
)

// quality compares placements of a zone.
type quality struct {
	// missing is the number of layers without a holder.
	missing int
	// rate is the predicted requests a millisecond.
	rate float64
}

// better reports whether q is the better placement; a tie is not.
func (q quality) better(other quality) bool {
	if q.missing != other.missing {
		return q.missing < other.missing
	}
	const noise = 1.0001
	return q.rate > other.rate*noise
}

// rateModel predicts the requests a second of a placement from the engine's
// published figures. Two things bind: the requests that fit in memory, over the
// time that each takes; and the prompts that are read, a piece a pass.
type rateModel struct {
	engine *fleet.Engine
	// Sums over the holders of each layer: tokens that fit, those times the step
	// factor, prompts a millisecond, and the holders themselves.
	tokens, factor, prompts, copies []float64
}

func newRateModel(engine *fleet.Engine) *rateModel {
	n := engine.Layers
	return &rateModel{
		engine: engine, tokens: make([]float64, n), factor: make([]float64, n), prompts: make([]float64, n),
		copies: make([]float64, n),
	}
}

func (m *rateModel) quality(members []Member, want []model.LayerRange) quality {
	held := m.sum(members, want)
	q := quality{}
	var memory, reading, factor, copies float64
	for l, tokens := range m.tokens {
		if m.copies[l] == 0 {
			q.missing++
			continue
		}
		memory += 1 / power(max(tokens, 1))
		reading += 1 / power(m.prompts[l])
		factor += m.factor[l] / max(tokens, 1)
		copies += m.copies[l]
	}
	covered := float64(len(m.tokens) - q.missing)
	if covered == 0 {
		return q
	}
	copies /= covered
	fits := m.rate(math.Pow(covered/memory, 1/tightness), factor/float64(len(m.tokens)), copies, held/copies)
	reads := usableReading * math.Pow(covered/reading, 1/tightness)
	q.rate = math.Pow(1/power(fits)+1/power(reads), -1/tightness)
	return q
}

// sum adds up the holders of each layer and returns their number.
func (m *rateModel) sum(members []Member, want []model.LayerRange) float64 {
	clear(m.tokens)
	clear(m.factor)
	clear(m.prompts)
	clear(m.copies)
	held := 0.0
	for i, r := range want {
		if r.Len() == 0 {
			continue
		}
		held++
		hardware := m.engine.Hardware[members[i].Kind]
		free := max(hardware.MemoryMB-float64(r.Len())*m.engine.LayerMB, 0)
		tokens := free / float64(r.Len()) / m.engine.StateMBPerTokenLayer()
		sequences := usableState * tokens / m.perRequest()
		passes := max(m.engine.UsualPrompt/m.engine.ReadTokensPerPass, 1)
		prompts := 1 / (passes * m.engine.PassMs(hardware, r.Len(), min(sequences, usualSequences)) * members[i].Pace)
		for l := r.First; l < r.End; l++ {
			if l == 0 && m.engine.Slots > 0 {
				// The first target of a path takes a request a slot.
				m.tokens[l] += min(tokens, float64(m.engine.Slots)*m.perRequest())
			} else {
				m.tokens[l] += tokens
			}
			m.factor[l] += tokens * hardware.StepFactor * members[i].Pace
			m.prompts[l] += prompts
			m.copies[l]++
		}
	}
	return held
}

func (m *rateModel) perRequest() float64 {
	return max(m.engine.UsualPrompt+m.engine.UsualAnswer, 1)
}

// power raises to tightness; a product of constants is faster than math.Pow.
func power(x float64) float64 {
	cube := x * x * x
	return cube * cube
}

// rate is the requests a millisecond when tokens fit at the tightest layer, for
// a mean step factor over the layers, a mean number of holders of a layer, and a
// number of hops of a path.
func (m *rateModel) rate(tokens, factor, copies, hops float64) float64 {
	atOnce := usableState * tokens / m.perRequest()
	perToken := factor*m.engine.StepMsAt(atOnce/copies)*stageWait + hops*hopMs
	return atOnce / max(m.engine.UsualAnswer*perToken, 1)
}
