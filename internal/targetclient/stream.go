package targetclient

import (
	"context"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
)

const (
	// startTimeout bounds the start of an attempt, including the rebuilding of
	// its KV cache.
	startTimeout = 5 * time.Second
	// cancelTimeout bounds one Cancel call.
	cancelTimeout = time.Second
)

// Open collects the tokens of an attempt from its last target and starts the
// attempt at its first target, both in the background.
func (c *Client) Open(effect event.OpenChain) {
	key := streamKey{request: effect.Request, attempt: effect.Attempt}
	last := effect.Chain[len(effect.Chain)-1]
	if effect.FreshConnection {
		c.retire(effect.Chain[0].Address)
		c.retire(last.Address)
	}
	start, collect := c.track(key)
	go c.collect(collect, key, last)
	go c.start(start, effect)
}

// Redial collects the tokens of a running attempt over a new stream.
func (c *Client) Redial(effect event.RedialStream) {
	key := streamKey{request: effect.Request, attempt: effect.Attempt}
	if ctx, ok := c.restartCollect(key); ok {
		go c.collect(ctx, key, effect.Last)
	}
}

func (c *Client) start(ctx context.Context, effect event.OpenChain) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	first := effect.Chain[0]
	_, err := c.engine(first.Address).Start(ctx, connect.NewRequest(startRequest(effect)))
	if err == nil || errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	c.post(streamBroken(effect.Request, effect.Attempt, first.Target, err))
}

func startRequest(effect event.OpenChain) *tamarackv1.StartRequest {
	request := &tamarackv1.StartRequest{
		RequestId: string(effect.Request),
		Attempt:   uint32(effect.Attempt),
		Model:     string(effect.Model),
		Version:   string(effect.Version),
		Prompt:    effect.Prompt,
		Tokens:    effect.Tokens,
		MaxTokens: effect.MaxTokens,
		Priority:  effect.Priority,
		PrefixKey: effect.PrefixKey,
	}
	for _, hop := range effect.Chain {
		request.Chain = append(request.Chain, &tamarackv1.Hop{
			TargetId:    string(hop.Target),
			Address:     hop.Address,
			Layers:      &tamarackv1.LayerRange{First: hop.Layers.First, End: hop.Layers.End},
			Rebuild:     hop.Rebuild,
			Incarnation: uint64(hop.Incarnation),
		})
	}
	return request
}

// Headers in which an engine names a target of the chain.
const (
	// LostTargetHeader names a target that an engine could not reach.
	LostTargetHeader = "Tamarack-Lost-Target"
	// RefusedTargetHeader names a target that refused to run the attempt.
	RefusedTargetHeader = "Tamarack-Refused-Target"
)

// streamBroken returns the event for a failed call to a target. An error that the
// engine itself returned is a refusal, unless it names another target of the
// chain as lost.
func streamBroken(request model.RequestID, attempt model.AttemptNumber, target model.TargetID, err error) event.StreamBroken {
	broken := event.StreamBroken{Request: request, Attempt: attempt, FailedTarget: target, Reason: err.Error()}
	var connectErr *connect.Error
	if !isServerError(err, &connectErr) {
		broken.OwnConnection = true
		broken.NotListening = errors.Is(err, syscall.ECONNREFUSED)
		return broken
	}
	if lost := connectErr.Meta().Get(LostTargetHeader); lost != "" {
		broken.FailedTarget = model.TargetID(lost)
		return broken
	}
	broken.Refused = true
	if refused := connectErr.Meta().Get(RefusedTargetHeader); refused != "" {
		broken.FailedTarget = model.TargetID(refused)
	}
	return broken
}

func (c *Client) collect(ctx context.Context, key streamKey, last model.Hop) {
	request := &tamarackv1.CollectRequest{RequestId: string(key.request), Attempt: uint32(key.attempt)}
	stream, err := c.engine(last.Address).Collect(ctx, connect.NewRequest(request))
	if err == nil {
		defer func() { _ = stream.Close() }()
		for stream.Receive() {
			if ended := c.frame(key, stream.Msg()); ended {
				return
			}
		}
		err = stream.Err()
	}
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		c.post(event.StreamBroken{Request: key.request, Attempt: key.attempt, Reason: "stream ended early", Refused: true})
		return
	}
	c.post(streamBroken(key.request, key.attempt, last.Target, err))
}

// frame posts the event of one frame; it returns true if the frame ends the
// stream. A frame of another request or attempt is discarded.
func (c *Client) frame(key streamKey, frame *tamarackv1.CollectResponse) bool {
	switch {
	case frame.RequestId != string(key.request) || frame.Attempt != uint32(key.attempt):
		return false
	case frame.LostTargetId != "":
		c.post(event.StreamBroken{
			Request: key.request, Attempt: key.attempt,
			FailedTarget: model.TargetID(frame.LostTargetId), Reason: "target unreachable from the chain",
		})
		return true
	case frame.Heartbeat:
		c.post(event.StreamHeartbeat{Request: key.request, Attempt: key.attempt})
		return false
	}
	c.post(tokenEvent(frame))
	if frame.Last {
		c.endStream(key)
	}
	return frame.Last
}

func tokenEvent(frame *tamarackv1.CollectResponse) *event.TokenArrived {
	ev := &event.TokenArrived{
		Request:  model.RequestID(frame.RequestId),
		Attempt:  model.AttemptNumber(frame.Attempt),
		Index:    model.TokenIndex(frame.Index),
		Text:     frame.Text,
		Receipts: make([]model.Receipt, len(frame.Receipts)),
		Last:     frame.Last,
	}
	for i, receipt := range frame.Receipts {
		ev.Receipts[i] = model.Receipt{
			Target:  model.TargetID(receipt.TargetId),
			Layers:  model.LayerRange{First: receipt.Layers.GetFirst(), End: receipt.Layers.GetEnd()},
			Version: model.ModelVersion(receipt.Version),
		}
	}
	return ev
}

// Cancel ends an attempt on every target of its chain.
func (c *Client) Cancel(effect event.CancelChain) {
	c.endStream(streamKey{request: effect.Request, attempt: effect.Attempt})
	for _, hop := range effect.Chain {
		go c.cancel(hop, effect)
	}
}

func (c *Client) cancel(hop model.Hop, effect event.CancelChain) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	request := &tamarackv1.CancelRequest{RequestId: string(effect.Request), Attempt: uint32(effect.Attempt)}
	// A failed call is ignored: an unreachable target has nothing to cancel.
	_, _ = c.engine(hop.Address).Cancel(ctx, connect.NewRequest(request))
}
