package ingress_test

import (
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/ingress"
	"tamarackreach/internal/model"
)

var _ = Describe("a panic in the request handler", func() {
	// A panic in one request must not affect the others. The nil pool makes the send
	// panic.
	It("ends only its request and leaves nothing in flight", func() {
		state := director.New(director.Settings{VM: "vm-1", Zone: "a", ConfigApply: 2 * time.Second})
		reducer := ingress.NewReducer(state)
		reducer.Step(director.ConfigRead{Started: bootclock.Now(), Config: &fleet.Config{
			Version: 1,
			Routes: []fleet.Route{{
				Name: "read", Host: "h", Prefix: "/r/", Kind: fleet.Idempotent, Timeout: time.Second, MaxTargets: 2,
				Split: []fleet.WeightedService{{Service: "desk", Weight: 1}},
			}},
			Services:       map[model.ServiceID]*fleet.Service{"desk": {ID: "desk"}},
			AllowAnonymous: true,
		}})
		reducer.Step(director.TargetsRead{Targets: []*fleet.Target{{
			ID: "o1", Service: "desk", Address: "nowhere", Zone: "a", State: fleet.TargetReady, Slots: 6,
		}}})
		handler := ingress.New(reducer, nil, nil, ingress.NewMetrics())
		for range 2 {
			request := httptest.NewRequest(http.MethodGet, "http://h/r/x", nil)
			request.Header.Set("Tamarackreach-Attempt-Id", "q1")
			Expect(func() { handler.ServeHTTP(httptest.NewRecorder(), request) }).To(PanicWith(http.ErrAbortHandler))
			Expect(handler.InFlight()).To(BeZero())
		}
	})
})
