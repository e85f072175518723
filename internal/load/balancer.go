package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
)

// balancer plays the platform's balancer: it sends each request to the next
// entry VM that says it is ready.
type balancer struct {
	mu      sync.Mutex
	ready   []bool
	touched []bool
	next    int
}

func newBalancer(entries int) *balancer {
	b := &balancer{ready: make([]bool, entries), touched: make([]bool, entries)}
	for i := range b.ready {
		b.ready[i] = true
	}
	return b
}

// pick returns the next ready entry VM; with none ready, the next one.
func (b *balancer) pick() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.ready {
		b.next = (b.next + 1) % len(b.ready)
		if b.ready[b.next] {
			return b.next
		}
	}
	return b.next
}

func (b *balancer) set(entry int, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[entry] = ready
}

// touch notes that the run itself stops or freezes an entry VM, so that callers
// of it may be cut.
func (b *balancer) touch(entry int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.touched[entry] = true
}

func (b *balancer) wasTouched(entry int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.touched[entry]
}

// probe asks every entry VM whether it is ready until the context ends.
func (p *Player) probe(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		for i := range p.deployment.Entries {
			go func() { p.balancer.set(i, p.isReady(ctx, i)) }()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Player) isReady(ctx context.Context, entry int) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.deployment.Entries[entry].Metrics+"/ready", http.NoBody)
	if err != nil {
		return false
	}
	response, err := p.metrics.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
