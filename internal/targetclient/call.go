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

// maxMessageBytes limits a message of a target: the response of a service, as long as the longest
// request of a caller, or a token or report of an engine, which are much shorter.
const maxMessageBytes = 4 << 20

func newEngineClient(client *http.Client, address string) tamarackv1connect.EngineServiceClient {
	return tamarackv1connect.NewEngineServiceClient(client, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
}

// Call sends a call to a service in the background and posts its outcome.
func (c *Client) Call(effect event.SendCall) {
	go func() { c.post(c.call(effect)) }()
}

func (c *Client) call(effect event.SendCall) event.Event {
	remaining := effect.Deadline.Sub(c.now())
	if remaining <= 0 {
		return event.CallCut{Request: effect.Request, Reason: errDeadlinePassed.Error()}
	}
	ctx, cancel := context.WithTimeout(context.Background(), remaining)
	defer cancel()
	if effect.AtMostOnce {
		return c.callOnce(ctx, effect)
	}
	return c.callShared(ctx, effect)
}

// callShared sends an idempotent call over the shared connections.
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
	if isServerError(err, &connectErr) {
		return event.CallAnswered{Request: effect.Request, Failed: true, Message: connectErr.Message()}
	}
	return event.CallCut{Request: effect.Request, MaybeSent: connected.Load(), Reason: err.Error()}
}

// callOnce sends a non-idempotent call over a dedicated connection, because
// net/http never retries a request on a new connection.
func (c *Client) callOnce(ctx context.Context, effect event.SendCall) event.Event {
	gate := &sendGate{now: c.now, deadline: effect.Deadline}
	client, closeClient := newOnceClient(gate)
	defer closeClient()
	response, err := invoke(ctx, client, effect)
	if err == nil {
		return event.CallAnswered{Request: effect.Request, Body: response.Msg.Body}
	}
	var connectErr *connect.Error
	if isServerError(err, &connectErr) && isFinal(connectErr.Code()) {
		return event.CallAnswered{Request: effect.Request, Failed: true, Message: connectErr.Message()}
	}
	return event.CallCut{Request: effect.Request, MaybeSent: gate.close(), Reason: err.Error()}
}

func invoke(ctx context.Context, client *http.Client, effect event.SendCall) (*connect.Response[tamarackv1.InvokeResponse], error) {
	service := tamarackv1connect.NewPlainServiceClient(client, "http://"+effect.Address, connect.WithReadMaxBytes(maxMessageBytes))
	return service.Invoke(ctx, connect.NewRequest(&tamarackv1.InvokeRequest{
		Method:         string(effect.Method),
		Body:           effect.Body,
		Workspace:      string(effect.Workspace),
		IdempotencyKey: string(effect.IdempotencyKey),
	}))
}

// isFinal reports whether a code means that the service rejected the call. After
// any other error the service may have run the call, or may still run it.
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
