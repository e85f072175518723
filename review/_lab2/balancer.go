package main

import (
	"context"
	"sync"
	"time"
)

// balancer stands for the platform's address of clients: it asks each VM once a second whether
// it is ready, and forwards new connections to the VMs of one zone as the pages describe.
type balancer struct {
	vms []*vm
	mu  sync.Mutex
	// misses counts the questions in a row that a VM has not answered with 200.
	misses map[*vm]int
	next   int
}

func newBalancer(ctx context.Context, vms []*vm) *balancer {
	b := &balancer{vms: vms, misses: map[*vm]int{}}
	for _, v := range vms {
		go func() {
			for ctx.Err() == nil {
				ready := v.isReady()
				b.mu.Lock()
				before := b.misses[v] < 2
				if b.misses[v]++; ready {
					b.misses[v] = 0
				}
				after := b.misses[v] < 2
				b.mu.Unlock()
				if before != after {
					v.lab.record.line("balancer: %s in rotation: %t", v.name, after)
				}
				time.Sleep(time.Second)
			}
		}()
	}
	return b
}

// pick returns the VM of a new connection: one in rotation, or any of the zone where fewer than
// half are.
func (b *balancer) pick() *vm {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*vm
	for _, v := range b.vms {
		if b.misses[v] < 2 {
			in = append(in, v)
		}
	}
	if 2*len(in) < len(b.vms) {
		in = b.vms
	}
	b.next++
	return in[b.next%len(in)]
}
