package director_test

import (
	"fmt"
	"testing"
	"time"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

// BenchmarkDecision measures the choice of a path for one request, in a fleet of VMs that all
// have load on all targets of their zone: a target holds a quarter of the layers.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ targets, vms, zones int }{{205, 4, 5}, {205, 117, 5}, {12000, 410, 12}} {
		b.Run(fmt.Sprintf("targets=%d/vms=%d", size.targets, size.vms), func(b *testing.B) {
			h := newHarness()
			zone := func(i int) model.AvailabilityZone { return model.AvailabilityZone(rune('a' + i%size.zones)) }
			for i := range size.targets {
				part := uint32(i/size.zones%4) * 20
				h.addTarget(model.TargetID(fmt.Sprintf("i-%010d", i)), llm, zone(i), part, part+20)
			}
			h.read()
			for vm := range size.vms - 1 {
				state := director.PeerState{VM: model.NodeID(fmt.Sprintf("vm-%04d", vm+2)), Zone: zone(vm), Loads: map[model.TargetID]director.Load{}}
				for i := vm % size.zones; i < size.targets; i += size.zones {
					state.Loads[model.TargetID(fmt.Sprintf("i-%010d", i))] = director.Load{Requests: 1 + i%3, TokenLayers: 100, First: 1}
				}
				h.state.Step(h.now, state)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				id := model.RequestID(fmt.Sprintf("r%d", i))
				request := &fleet.Request{ID: id, Method: "POST", Host: "h", Path: "/s/x", Key: "key", HasKey: true, Deadline: 20 * time.Second, PromptTokens: 800, AnswerTokens: 200}
				effects := h.state.Step(h.now, director.RequestArrived{Request: request, Random: float64(i%97) / 97})
				if _, ok := effects[len(effects)-1].(*director.Send); !ok {
					b.Fatalf("not sent: %+v", effects[len(effects)-1])
				}
				h.state.Step(h.now, director.RequestFinished{ID: id})
			}
		})
	}
}

// BenchmarkPlainDecision measures the choice of one of 12,000 targets of a plain service, in
// a fleet of 410 VMs.
func BenchmarkPlainDecision(b *testing.B) {
	h := newHarness()
	for i := range 12000 {
		h.addTarget(model.TargetID(fmt.Sprintf("i-%010d", i)), orders, model.AvailabilityZone(rune('a'+i%12)), 0, 0)
	}
	h.read()
	for vm := range 409 {
		state := director.PeerState{VM: model.NodeID(fmt.Sprintf("vm-%04d", vm+2)), Zone: "a", Loads: map[model.TargetID]director.Load{}}
		for i := vm % 12; i < 12000; i += 120 {
			state.Loads[model.TargetID(fmt.Sprintf("i-%010d", i))] = director.Load{Requests: 1 + i%3, First: 1}
		}
		h.state.Step(h.now, state)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		id := model.RequestID(fmt.Sprintf("r%d", i))
		request := &fleet.Request{ID: id, Method: "GET", Host: "h", Path: "/r/x", Key: "key", HasKey: true, Deadline: time.Second}
		h.state.Step(h.now, director.RequestArrived{Request: request, Random: float64(i%97) / 97})
		h.state.Step(h.now, director.RequestFinished{ID: id, Delivered: true})
	}
}
