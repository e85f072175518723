package director_test

import (
	"fmt"
	"testing"
	"time"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

// BenchmarkAdmission measures the arrival of a request at a plain service of 100 targets, with
// one priority and with two.
func BenchmarkAdmission(b *testing.B) {
	for _, priority := range []int{0, 5} {
		b.Run(fmt.Sprintf("priorities=0,%d", priority), func(b *testing.B) {
			h := newHarness()
			h.config.Routes[1].Priority = priority
			for i := range 100 {
				h.addTarget(model.TargetID(fmt.Sprintf("i-%03d", i)), orders, "a", 0, 0)
			}
			h.read()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				id := model.RequestID(fmt.Sprintf("r%d", i))
				request := &fleet.Request{ID: id, Method: "POST", Host: "h", Path: "/r/x", Key: "key", HasKey: true, Deadline: time.Second}
				effects := h.state.Step(h.now, director.RequestArrived{Request: request, Random: float64(i%97) / 97})
				if _, ok := effects[len(effects)-1].(*director.Send); !ok {
					b.Fatalf("not sent: %+v", effects[len(effects)-1])
				}
				h.state.Step(h.now, director.RequestFinished{ID: id})
			}
		})
	}
}
