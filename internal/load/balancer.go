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

// balancer simulates the platform's load balancer: it distributes requests
// round-robin over the entry VMs that report that they are ready.
type balancer struct {
	mu    sync.Mutex
	ready []bool
	// disrupted marks the entry VMs that the run itself killed or froze.
	disrupted []bool
	next      int
}

func newBalancer(entries int) *balancer {
	b := &balancer{ready: make([]bool, entries), disrupted: make([]bool, entries)}
	for i := range b.ready {
		b.ready[i] = true
	}
	return b
}

// pick returns the index of the next ready entry VM. With none ready it returns
// the entry VM that it returned last.
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

func (b *balancer) setReady(entry int, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[entry] = ready
}

// markDisrupted records that the run itself kills or freezes an entry VM, whose
// callers may therefore be cut off without a refusal.
func (b *balancer) markDisrupted(entry int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.disrupted[entry] = true
}

func (b *balancer) wasDisrupted(entry int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.disrupted[entry]
}

// probeReadiness probes the readiness of every entry VM each probeInterval until
// the context is done.
func (d *Driver) probeReadiness(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		for i := range d.deployment.Entries {
			go func() { d.balancer.setReady(i, d.isReady(ctx, i)) }()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *Driver) isReady(ctx context.Context, entry int) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.deployment.Entries[entry].Metrics+"/ready", http.NoBody)
	if err != nil {
		return false
	}
	response, err := d.probeClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
