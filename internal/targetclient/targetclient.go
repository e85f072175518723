// Package targetclient carries out effects towards targets: it opens chains,
// collects token streams, watches engines, sends orders and calls services.
package targetclient

import (
	"context"
	"net/http"
	"sync"

	"tamarackreach/gen/tamarack/v1/tamarackv1connect"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/rpc"
)

// Client talks to targets. Connections to a target are shared until they are
// retired; streams then opened use new ones.
type Client struct {
	post func(event.Event)
	now  func() model.Instant

	mu      sync.Mutex
	pools   map[string]*http.Client
	streams map[streamKey]context.CancelFunc
	watches map[model.TargetID]context.CancelFunc
}

type streamKey struct {
	request model.RequestID
	attempt model.AttemptNumber
}

// New returns a client. Answers go to post.
func New(post func(event.Event), now func() model.Instant) *Client {
	return &Client{
		post:    post,
		now:     now,
		pools:   make(map[string]*http.Client),
		streams: make(map[streamKey]context.CancelFunc),
		watches: make(map[model.TargetID]context.CancelFunc),
	}
}

// pool returns the shared connections to an address.
func (c *Client) pool(address string) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.pools[address]
	if !ok {
		client = rpc.NewClient()
		c.pools[address] = client
	}
	return client
}

func (c *Client) engine(address string) tamarackv1connect.EngineServiceClient {
	return tamarackv1connect.NewEngineServiceClient(c.pool(address), "http://"+address)
}

// Retire makes new streams to a target use new connections.
func (c *Client) Retire(effect event.RetireConnections) {
	c.mu.Lock()
	old := c.pools[effect.Address]
	delete(c.pools, effect.Address)
	c.mu.Unlock()
	if old != nil {
		old.CloseIdleConnections()
	}
}

// track registers the context of a stream, so that it can be cancelled; an
// earlier stream of the same attempt is cancelled.
func (c *Client) track(key streamKey) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	defer c.mu.Unlock()
	if earlier, ok := c.streams[key]; ok {
		earlier()
	}
	c.streams[key] = cancel
	return ctx
}

// forget cancels a stream.
func (c *Client) forget(key streamKey) {
	c.mu.Lock()
	cancel, ok := c.streams[key]
	delete(c.streams, key)
	c.mu.Unlock()
	if ok {
		cancel()
	}
}
