package ingress_test

import (
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/clientlimit"
	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/ingress"
	"tamarackreach/internal/model"
	"tamarackreach/internal/retrybudget"
	"tamarackreach/internal/upstream"
)

// startIngressFor starts a router whose one target has an address.
func startIngressFor(address string) string {
	return startLimitedIngress(address, clientlimit.NewAccount(64<<20))
}

// startLimitedIngress starts such a router with an account of what callers hold.
func startLimitedIngress(address string, account *clientlimit.Account) string {
	state := director.New(director.Settings{
		VM: "vm-1", Zone: "a", ConfigApply: 2 * time.Second,
		Retries: retrybudget.Settings{Ratio: 1, Slack: 100, Window: 10 * time.Second},
	})
	// The VM has its share of the retry budget.
	state.Step(bootclock.Now().Add(-time.Minute), director.VMsCounted{Count: 1})
	reducer := ingress.NewReducer(state)
	split := []fleet.WeightedService{{Service: "desk", Weight: 1}}
	reducer.Step(director.ConfigRead{Started: bootclock.Now(), Config: &fleet.Config{
		Version: 1,
		Routes: []fleet.Route{
			{Name: "read", Host: "h", Prefix: "/r/", Kind: fleet.Idempotent, Timeout: 5 * time.Second, MaxTargets: 2, Split: split},
			{Name: "pay", Host: "h", Prefix: "/p/", Kind: fleet.NonIdempotent, Timeout: 5 * time.Second, MaxTargets: 2, Split: split},
			{Name: "stream", Host: "h", Prefix: "/s/", Kind: fleet.Stream, Resumable: true, Timeout: 5 * time.Second, MaxTargets: 2, Split: split},
		},
		Services: map[model.ServiceID]*fleet.Service{"desk": {ID: "desk"}},
		// Callers of the specs send the key or none.
		Workspaces: []fleet.Workspace{{ID: "ws", Keys: []string{"key"}}}, AllowAnonymous: true,
	}})
	reducer.Step(director.TargetsRead{Targets: []*fleet.Target{{
		ID: "o1", Service: "desk", Address: address, Zone: "a", State: fleet.TargetReady, Slots: 6,
	}}})
	metrics := ingress.NewMetrics()
	mux := http.NewServeMux()
	handler := ingress.New(reducer, upstream.NewPool(), func([]director.Effect) {}, metrics)
	handler.SetAccount(account)
	mux.Handle("/", handler)
	mux.Handle("/metrics", metrics.Handler())
	server := httptest.NewUnstartedServer(mux)
	server.Config.ConnContext = ingress.ConnContext
	server.Start()
	DeferCleanup(closeServer, server)
	return server.URL
}
