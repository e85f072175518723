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
	"tamarackreach/internal/rpc"
)

// isServerError reports whether the server itself returned the error, and sets
// target to it.
func isServerError(err error, target **connect.Error) bool {
	return errors.As(err, target) && connect.IsWireError(err)
}

// Watch opens a stream of an engine's reports on a dedicated connection, so that
// a stalled data connection does not delay them. It replaces an earlier watch of
// the same target.
func (c *Client) Watch(effect event.WatchTarget) {
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	if earlier, ok := c.watches[effect.Target]; ok {
		earlier()
	}
	c.watches[effect.Target] = cancel
	c.mu.Unlock()
	go c.watch(ctx, effect)
}

// Unwatch closes the stream of a target's reports.
func (c *Client) Unwatch(effect event.UnwatchTarget) {
	c.mu.Lock()
	cancel, ok := c.watches[effect.Target]
	delete(c.watches, effect.Target)
	c.mu.Unlock()
	if ok {
		cancel()
	}
}

func (c *Client) watch(ctx context.Context, effect event.WatchTarget) {
	client := rpc.NewClient()
	defer client.CloseIdleConnections()
	engine := newEngineClient(client, effect.Address)
	stream, err := engine.Watch(ctx, connect.NewRequest(&tamarackv1.WatchRequest{}))
	if err == nil {
		defer func() { _ = stream.Close() }()
		for stream.Receive() {
			report := reportEvent(stream.Msg())
			if report.Target != effect.Target {
				continue
			}
			report.Watch = effect.Watch
			c.post(report)
		}
		err = stream.Err()
	}
	if ctx.Err() != nil {
		return
	}
	reason := "watch ended"
	if err != nil {
		reason = err.Error()
	}
	c.post(event.TargetLost{
		Target: effect.Target, Incarnation: effect.Incarnation, Watch: effect.Watch,
		Reason: reason, NotListening: errors.Is(err, syscall.ECONNREFUSED),
	})
}

func reportEvent(report *tamarackv1.WatchResponse) event.EngineReported {
	ev := event.EngineReported{
		Target:      model.TargetID(report.TargetId),
		Incarnation: model.Incarnation(report.Incarnation),
		Sequence:    report.Sequence,
		Model:       model.ModelName(report.Model),
		Version:     model.ModelVersion(report.Version),
		Layers:      model.LayerRange{First: report.Layers.GetFirst(), End: report.Layers.GetEnd()},
		Accelerator: model.AcceleratorKind(report.Accelerator),
		StepTime:    time.Duration(report.StepUs) * time.Microsecond,
		MaxBatch:    report.MaxBatch,
		Running:     report.Running,
		Queued:      report.Queued,
		Leaving:     report.Leaving,
		Fencing:     model.FencingNumber(report.FencingNumber),
	}
	for _, link := range report.Links {
		ev.Links = append(ev.Links, event.Link{
			To: model.TargetID(link.ToTargetId), Latency: time.Duration(link.LatencyUs) * time.Microsecond,
		})
	}
	for _, cache := range report.CacheEvents {
		ev.Cache = append(ev.Cache, event.CacheEvent{PrefixKey: cache.PrefixKey, Evicted: cache.Evicted})
	}
	return ev
}

// Order sends an order, which is an absolute desired state, to an engine. It is
// not sent after the lease behind it has expired.
func (c *Client) Order(effect event.SendOrder) {
	go func() {
		answer := event.OrderAnswered{Target: effect.Target, Order: effect.Order, Fencing: effect.Fencing}
		if c.now() >= effect.ValidUntil {
			answer.Reason = "the lease lapsed before the order was sent"
			c.post(answer)
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), effect.Within)
		defer cancel()
		response, err := c.engine(effect.Address).Order(ctx, connect.NewRequest(&tamarackv1.OrderRequest{
			OrderId:       effect.Order,
			Pipeline:      string(effect.Pipeline),
			FencingNumber: uint64(effect.Fencing),
			Model:         string(effect.Model),
			Version:       string(effect.Version),
			Layers:        &tamarackv1.LayerRange{First: effect.Layers.First, End: effect.Layers.End},
			NodeId:        string(effect.Node),
		}))
		if err != nil {
			answer.Unknown = true
			answer.Reason = err.Error()
		} else {
			answer.Accepted = response.Msg.Accepted
			answer.Reason = response.Msg.Reason
		}
		c.post(answer)
	}()
}
