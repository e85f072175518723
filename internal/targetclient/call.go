package targetclient

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"connectrpc.com/connect"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/gen/tamarack/v1/tamarackv1connect"
	"tamarackreach/internal/event"
)

func newEngineClient(client *http.Client, address string) tamarackv1connect.EngineServiceClient {
	return tamarackv1connect.NewEngineServiceClient(client, "http://"+address)
}

// Call sends a call to a service and posts what became of it.
func (c *Client) Call(effect event.SendCall) {
	go func() { c.post(c.call(effect)) }()
}

func (c *Client) call(effect event.SendCall) event.Event {
	left := effect.Deadline.Sub(c.now())
	if left <= 0 {
		return event.CallCut{Request: effect.Request, Reason: errTooLate.Error()}
	}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	if effect.Once {
		return c.callOnce(ctx, effect)
	}
	return c.callShared(ctx, effect)
}

// callShared sends a call that may be repeated, over shared connections.
func (c *Client) callShared(ctx context.Context, effect event.SendCall) event.Event {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	response, err := invoke(ctx, c.pool(effect.Address), effect)
	if err == nil {
		return event.CallAnswered{Request: effect.Request, Body: response.Msg.Body}
	}
	var connectErr *connect.Error
	if asWireError(err, &connectErr) {
		return event.CallAnswered{Request: effect.Request, Failed: true, Message: connectErr.Message()}
	}
	return event.CallCut{Request: effect.Request, BytesLeft: connected.Load(), Reason: err.Error()}
}

// callOnce sends a call that may not be repeated, over a connection of its own
// that is used for nothing else: net/http never repeats a request whose
// connection is new.
func (c *Client) callOnce(ctx context.Context, effect event.SendCall) event.Event {
	gate := &sendGate{now: c.now, deadline: effect.Deadline}
	client, closeClient := newOnceClient(gate)
	defer closeClient()
	response, err := invoke(ctx, client, effect)
	if err == nil {
		return event.CallAnswered{Request: effect.Request, Body: response.Msg.Body}
	}
	var connectErr *connect.Error
	if asWireError(err, &connectErr) && isFinal(connectErr.Code()) {
		return event.CallAnswered{Request: effect.Request, Failed: true, Message: connectErr.Message()}
	}
	return event.CallCut{Request: effect.Request, BytesLeft: gate.close(), Reason: err.Error()}
}

func invoke(ctx context.Context, client *http.Client, effect event.SendCall) (*connect.Response[tamarackv1.InvokeResponse], error) {
	service := tamarackv1connect.NewPlainServiceClient(client, "http://"+effect.Address)
	return service.Invoke(ctx, connect.NewRequest(&tamarackv1.InvokeRequest{
		Method:         string(effect.Method),
		Body:           effect.Body,
		Workspace:      string(effect.Workspace),
		IdempotencyKey: string(effect.IdempotencyKey),
	}))
}

// isFinal is true for the codes by which a service refuses a call for good. After
// any other error the service may have run the call, or may yet run it.
func isFinal(code connect.Code) bool {
	switch code {
	case connect.CodeInvalidArgument, connect.CodeNotFound, connect.CodeAlreadyExists,
		connect.CodePermissionDenied, connect.CodeFailedPrecondition, connect.CodeOutOfRange,
		connect.CodeUnimplemented, connect.CodeUnauthenticated:
		return true
	default:
		return false
	}
}
