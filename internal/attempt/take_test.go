package attempt_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"tamarackreach/internal/attempt"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
)

// corrupt changes one property of a frame, so that it must not be accepted.
func corrupt(t *rapid.T, ev *event.TokenArrived) {
	at := rapid.IntRange(0, len(ev.Receipts)-1).Draw(t, "at")
	switch rapid.IntRange(0, 6).Draw(t, "corruption") {
	case 0:
		ev.Attempt--
	case 1:
		ev.Index += model.TokenIndex(rapid.IntRange(1, 9).Draw(t, "ahead"))
	case 2:
		ev.Receipts[at].Target = "foreign"
	case 3:
		ev.Receipts[at].Layers.End++
	case 4:
		ev.Receipts[at].Version = "v2"
	case 5:
		ev.Receipts = append(ev.Receipts[:at:at], ev.Receipts[at+1:]...)
	case 6:
		ev.Receipts = append(ev.Receipts, ev.Receipts[at])
	}
}

// drawChain draws a chain of targets that partition the layers of the model.
func drawChain(t *rapid.T, layers uint32) (chain []model.Hop) {
	for first := uint32(0); first < layers; {
		end := first + rapid.Uint32Range(1, layers-first).Draw(t, "layers")
		id := model.TargetID(fmt.Sprint(len(chain)))
		chain = append(chain, model.Hop{Target: id, Layers: model.LayerRange{First: first, End: end}})
		first = end
	}
	return chain
}

// TestAcceptFrameAcceptsEachTokenOnceInOrder passes valid, repeated and corrupt
// frames to AcceptFrame over several attempts: only the next token of the current
// attempt with complete receipts may be accepted, and no other frame may change
// the answer.
func TestAcceptFrameAcceptsEachTokenOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const layers, maxTokens = 12, 1000
		r := &attempt.Request{ID: "r", Version: "v1", Layers: layers, MaxTokens: maxTokens}
		open := r.Begin(0, drawChain(t, layers), false)
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := len(r.Tokens)
			ev := frame(open, before)
			want := attempt.Accepted
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 1:
				corrupt(t, ev)
				want = attempt.Stale
			case 2:
				if before > 0 {
					ev.Index = model.TokenIndex(rapid.IntRange(0, before-1).Draw(t, "earlier"))
					want = attempt.Duplicate
				}
			case 3:
				open = r.Begin(model.Instant(step), drawChain(t, layers), false)
				want = attempt.Stale
			}
			got := r.AcceptFrame(model.Instant(step), ev)
			if (got == attempt.Accepted) != (want == attempt.Accepted) {
				t.Fatalf("frame %+v: verdict %d", ev, got)
			}
			if grown := len(r.Tokens) - before; (grown == 1) != (got == attempt.Accepted) || grown > 1 {
				t.Fatalf("verdict %d added %d tokens", got, grown)
			}
		}
	})
}
