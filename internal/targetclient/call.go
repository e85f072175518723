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

// Call sends a call to a service. The transport must not repeat it by itself,
// so that the request is not idempotent in the eyes of net/http and its body
// cannot be rewound.
func (c *Client) Call(effect event.SendCall) {
	go func() { c.post(c.call(effect)) }()
}

func (c *Client) call(effect event.SendCall) event.Event {
	left := effect.Deadline.Sub(c.now())
	if left <= 0 {
		return event.CallCut{Request: effect.Request, Reason: "the deadline passed before the call was sent"}
	}
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	client := tamarackv1connect.NewPlainServiceClient(c.pool(effect.Address), "http://"+effect.Address)
	response, err := client.Invoke(ctx, connect.NewRequest(&tamarackv1.InvokeRequest{
		Method:         string(effect.Method),
		Body:           effect.Body,
		Workspace:      string(effect.Workspace),
		IdempotencyKey: string(effect.IdempotencyKey),
	}))
	if err == nil {
		return event.CallAnswered{Request: effect.Request, Body: response.Msg.Body}
	}
	var connectErr *connect.Error
	if asWireError(err, &connectErr) {
		return event.CallAnswered{Request: effect.Request, Failed: true, Message: connectErr.Message()}
	}
	return event.CallCut{Request: effect.Request, BytesLeft: connected.Load(), Reason: err.Error()}
}
