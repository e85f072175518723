package placement

import (
	"math"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

const (
	// plannedKVFraction is the fraction of KV cache memory that plans use; the rest
	// absorbs long answers.
	plannedKVFraction = 0.8
	// hopWaitFactor is the ratio of a token's time at a target to its computing time:
	// it waits for the pass under way. It is 1.8 under normal load.
	hopWaitFactor = 1.8
	// hopLatencyMs is the network latency between two targets, in milliseconds.
	hopLatencyMs = 0.3
	// meanExponent is the exponent of the power mean that approximates the minimum
	// over the layers. The exact minimum does not tell one bottleneck layer from
	// several, so relieving them one at a time would show no gain.
	meanExponent = 6.0
	// plannedPrefillFraction is the fraction of passes that may carry a prefill chunk
	// before prompts queue for long.
	plannedPrefillFraction = 0.75
	// maxPlannedSequences bounds the batch size that plans assume for a pass.
	maxPlannedSequences = 120
)

// quality compares placements of a zone.
type quality struct {
	// missingLayers is the number of layers without a holder.
	missingLayers int
	// requestsPerMs is the predicted request rate.
	requestsPerMs float64
}

// better reports whether q is the better placement: fewer missing layers, else a
// higher rate by more than the margin for rounding errors.
func (q quality) better(other quality) bool {
	if q.missingLayers != other.missingLayers {
		return q.missingLayers < other.missingLayers
	}
	const tieMargin = 1.0001
	return q.requestsPerMs > other.requestsPerMs*tieMargin
}

// rateModel predicts the request rate of a placement from the engine's parameters.
// Two limits apply: the requests that fit in KV cache memory, divided by the time
// of each; and prefill throughput, at one chunk a pass.
type rateModel struct {
	engine *fleet.Engine
	// Sums over the holders of each layer: tokens that fit in the KV cache, these
	// weighted by the decode factor, prompts per millisecond, and number of holders.
	tokens, decodeFactor, prompts, holders []float64
}

func newRateModel(engine *fleet.Engine) *rateModel {
	n := engine.Layers
	return &rateModel{
		engine: engine, tokens: make([]float64, n), decodeFactor: make([]float64, n), prompts: make([]float64, n),
		holders: make([]float64, n),
	}
}

// quality returns the quality of the planned ranges, one for each member.
func (m *rateModel) quality(members []Member, planned []model.LayerRange) quality {
	assigned := m.sum(members, planned)
	q := quality{}
	var memory, prefill, decodeFactor, holders float64
	for l, tokens := range m.tokens {
		if m.holders[l] == 0 {
			q.missingLayers++
			continue
		}
		memory += 1 / sixthPower(max(tokens, 1))
		prefill += 1 / sixthPower(m.prompts[l])
		decodeFactor += m.decodeFactor[l] / max(tokens, 1)
		holders += m.holders[l]
	}
	covered := float64(len(m.tokens) - q.missingLayers)
	if covered == 0 {
		return q
	}
	holders /= covered
	memoryBound := m.requestsPerMs(math.Pow(covered/memory, 1/meanExponent), decodeFactor/float64(len(m.tokens)), holders, assigned/holders)
	prefillBound := plannedPrefillFraction * math.Pow(covered/prefill, 1/meanExponent)
	q.requestsPerMs = math.Pow(1/sixthPower(memoryBound)+1/sixthPower(prefillBound), -1/meanExponent)
	return q
}

// sum computes the sums over the holders of each layer and returns the number of
// members that hold layers.
func (m *rateModel) sum(members []Member, planned []model.LayerRange) float64 {
	clear(m.tokens)
	clear(m.decodeFactor)
	clear(m.prompts)
	clear(m.holders)
	assigned := 0.0
	for i, r := range planned {
		if r.Len() == 0 {
			continue
		}
		assigned++
		hardware := m.engine.Hardware[members[i].Kind]
		free := max(hardware.MemoryMB-float64(r.Len())*m.engine.LayerMB, 0)
		tokens := free / float64(r.Len()) / m.engine.KVMBPerTokenLayer()
		sequences := plannedKVFraction * tokens / m.tokensPerRequest()
		passes := max(m.engine.MeanPromptTokens/m.engine.PrefillChunkTokens, 1)
		prompts := 1 / (passes * m.engine.PassMs(hardware, r.Len(), min(sequences, maxPlannedSequences)) * members[i].Slowdown)
		for l := r.First; l < r.End; l++ {
			if l == 0 && m.engine.Slots > 0 {
				// The first target of a path admits one request per slot.
				m.tokens[l] += min(tokens, float64(m.engine.Slots)*m.tokensPerRequest())
			} else {
				m.tokens[l] += tokens
			}
			m.decodeFactor[l] += tokens * hardware.DecodeFactor * members[i].Slowdown
			m.prompts[l] += prompts
			m.holders[l]++
		}
	}
	return assigned
}

// tokensPerRequest returns the mean tokens of a prompt and its answer, at least 1.
func (m *rateModel) tokensPerRequest() float64 {
	return max(m.engine.MeanPromptTokens+m.engine.MeanAnswerTokens, 1)
}

// sixthPower returns x to the power of meanExponent, 6. Products are faster
// than math.Pow.
func sixthPower(x float64) float64 {
	cube := x * x * x
	return cube * cube
}

// requestsPerMs returns the request rate that the KV cache allows when tokens fit at
// the bottleneck layer, for a mean decode factor over the layers, a mean number of
// holders of a layer, and a number of hops of a path.
func (m *rateModel) requestsPerMs(tokens, decodeFactor, holders, hops float64) float64 {
	concurrent := plannedKVFraction * tokens / m.tokensPerRequest()
	msPerToken := decodeFactor*m.engine.StepMsAt(concurrent/holders)*hopWaitFactor + hops*hopLatencyMs
	return concurrent / max(m.engine.MeanAnswerTokens*msPerToken, 1)
}
