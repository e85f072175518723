// Package targetclient executes the reducer's effects on targets: it opens chains,
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

// Client sends requests to targets. Connections to a target are shared until they
// are retired; streams opened after that use new ones.
type Client struct {
	post func(event.Event)
	now  func() model.Instant

	mu      sync.Mutex
	pools   map[string]*http.Client
	streams map[streamKey]*stream
	watches map[model.TargetID]context.CancelFunc
}

type streamKey struct {
	request model.RequestID
	attempt model.AttemptNumber
}

// New returns a client. Results are passed to post; now returns the current
// instant.
func New(post func(event.Event), now func() model.Instant) *Client {
	return &Client{
		post:    post,
		now:     now,
		pools:   make(map[string]*http.Client),
		streams: make(map[streamKey]*stream),
		watches: make(map[model.TargetID]context.CancelFunc),
	}
}

// pool returns the client that shares the connections to an address.
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
	return newEngineClient(c.pool(address), address)
}

// Retire makes new streams to a target use new connections.
func (c *Client) Retire(effect event.RetireConnections) { c.retire(effect.Address) }

func (c *Client) retire(address string) {
	c.mu.Lock()
	old := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if old != nil {
		old.CloseIdleConnections()
	}
}

// stream holds the contexts of an attempt: that of its start, and that of the
// collection of its tokens, which may be replaced while the start is running.
type stream struct {
	context     context.Context
	cancel      context.CancelFunc
	stopCollect context.CancelFunc
}

// track registers an attempt so that it can be cancelled, and returns the
// contexts of its start and of its collection.
func (c *Client) track(key streamKey) (start, collect context.Context) {
	ctx, cancel := context.WithCancel(context.Background())
	collect, stop := context.WithCancel(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[key] = &stream{context: ctx, cancel: cancel, stopCollect: stop}
	return ctx, collect
}

// restartCollect cancels the collection of an attempt and returns the context of
// the next one; ok is false when the attempt has ended.
func (c *Client) restartCollect(key streamKey) (collect context.Context, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	running, ok := c.streams[key]
	if !ok {
		return nil, false
	}
	running.stopCollect()
	collect, running.stopCollect = context.WithCancel(running.context)
	return collect, true
}

// endStream cancels the start and the collection of an attempt and removes it.
func (c *Client) endStream(key streamKey) {
	c.mu.Lock()
	running, ok := c.streams[key]
	delete(c.streams, key)
	c.mu.Unlock()
	if ok {
		running.cancel()
	}
}
