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
	tightness = 6
)

// quality compares placements of a zone.
type quality struct {
	// missing is the number of layers without a holder.
	missing int
	// rate is the predicted requests a second.
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
// published figures: as many requests as fit, over the time that each takes.
type rateModel struct {
	engine *fleet.Engine
	// tokens and speed are sums over the holders of each layer: tokens that fit,
	// and tokens over step factor.
	tokens []float64
	factor []float64
	copies []float64
}

func newRateModel(engine *fleet.Engine) *rateModel {
	n := engine.Layers
	return &rateModel{engine: engine, tokens: make([]float64, n), factor: make([]float64, n), copies: make([]float64, n)}
}

func (m *rateModel) quality(members []Member, want []model.LayerRange) quality {
	clear(m.tokens)
	clear(m.factor)
	clear(m.copies)
	held := 0
	for i, r := range want {
		if r.Len() == 0 {
			continue
		}
		held++
		hardware := m.engine.Hardware[members[i].Kind]
		free := max(hardware.MemoryMB-float64(r.Len())*m.engine.LayerMB, 0)
		tokens := free / float64(r.Len()) / m.engine.StateMBPerTokenLayer()
		for l := r.First; l < r.End; l++ {
			m.tokens[l] += tokens
			m.factor[l] += tokens * hardware.StepFactor
			m.copies[l]++
		}
	}
	q := quality{}
	strain := 0.0
	factor, copies := 0.0, 0.0
	for l, tokens := range m.tokens {
		if m.copies[l] == 0 {
			q.missing++
			continue
		}
		strain += math.Pow(max(tokens, 1), -tightness)
		if tokens > 0 {
			factor += m.factor[l] / tokens
		}
		copies += m.copies[l]
	}
	covered := float64(len(m.tokens) - q.missing)
	if covered == 0 {
		return q
	}
	tightest := math.Pow(strain/covered, -1.0/tightness)
	q.rate = m.rate(tightest, factor/float64(len(m.tokens)), copies/covered, float64(held)/max(copies/covered, 1))
	return q
}

// rate is the requests a second when tokens fit at the tightest layer, for a
// mean step factor over the layers, a mean number of holders of a layer, and a
// number of hops of a path.
func (m *rateModel) rate(tokens, factor, copies, hops float64) float64 {
	e := m.engine
	each := e.UsualPrompt + e.UsualAnswer
	atOnce := usableState * tokens / max(each, 1)
	context := e.UsualPrompt + e.UsualAnswer/2
	step := e.StepMs + atOnce/copies*(e.StepMsPerSequence+e.StepMsPerKToken*context/1000)
	perToken := factor*step*stageWait + hops*hopMs
	return atOnce / max(e.UsualAnswer*perToken, 1)
}
