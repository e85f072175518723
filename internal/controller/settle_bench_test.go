package controller

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"tamarackreach/internal/director"
	"tamarackreach/internal/ingress"
	"tamarackreach/internal/retrybudget"
	"tamarackreach/internal/upstream"
	"tamarackreach/platform"
	"tamarackreach/platform/platformtest"
)

const (
	settleZones   = 3
	settleTargets = 2 // per VM
	// settleStart is the time between the starts of two VMs: until a VM knows the others
	// it asks every target of its zone.
	settleStart     = 20 * time.Millisecond
	settleAbsence   = time.Second
	settleTimeout   = 60 * time.Second
	settleCallCheck = 10 * time.Millisecond
	// settleWindow is the time after the return over which calls are counted.
	settleWindow = 10 * time.Second
)

// BenchmarkSettleAfterRestore measures how long all VMs take to settle after the store
// comes back from a copy that lacks the rows of all VMs and the lease, and the calls to
// the store meanwhile. Run it with -benchtime 1x and one size at a time:
// -bench 'SettleAfterRestore/vms=4$'.
func BenchmarkSettleAfterRestore(b *testing.B) {
	logrus.SetLevel(logrus.PanicLevel)
	for _, n := range []int{4, 30, 100, 300} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			for range b.N {
				settle(b, n)
			}
		})
	}
}

func settle(b *testing.B, n int) {
	store, err := platformtest.NewStore()
	must(b, err)
	defer func() { must(b, store.Close()) }()
	must(b, store.Put("op", "config", platformtest.Config(1, "key")))
	for i := range settleTargets * n {
		must(b, store.Put("servers", fmt.Sprintf("t-%05d", i), map[string]any{
			"service": "desk", "address": fmt.Sprintf("127.250.%d.%d:9", i/250, 1+i%250), "zone": settleZone(i), "slots": 8, "state": "ready", "sequence": 1, "born": 1,
		}))
	}
	copied := store.Copy()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var vms []*Controller
	for i := range n {
		host := fmt.Sprintf("127.240.%d.%d", i/250, 1+i%250)
		text := platformtest.FirstStart(platformtest.Settings(fmt.Sprintf("vm-%04d", i), settleZone(i), host, store.Address()))
		s, err := platform.ParseSettings([]byte(text))
		must(b, err)
		s.Bounds.ConfigApply, s.Bounds.Drain = 3*time.Second, 3*time.Second
		c := New(s, ingress.NewReducer(director.New(director.Settings{
			VM: s.VM, Zone: s.Zone, ConfigApply: s.Bounds.ConfigApply, Revoke: s.Bounds.Revoke, Stall: s.Bounds.Stall, Grace: s.Bounds.Grace,
			Retries: retrybudget.Settings{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow},
		})), upstream.Dial)
		vms = append(vms, c)
		go func() { _ = c.Run(ctx) }() // ends with the context
		time.Sleep(settleStart)
	}
	await(b, store, vms, time.Now())
	time.Sleep(2 * listInterval) // all VMs know each other
	steady := time.Now()
	time.Sleep(settleWindow)
	before := store.Calls(steady, time.Now())

	store.Fail(http.StatusServiceUnavailable)
	time.Sleep(settleAbsence)
	store.Restore(copied)
	store.Fail(0)
	restored := time.Now()
	times := await(b, store, vms, restored)
	time.Sleep(time.Until(restored.Add(settleWindow)))
	calls := store.Calls(restored, time.Now())
	for name, value := range map[string]float64{
		"config-s": times.config.Seconds(), "rows-s": times.rows.Seconds(), "lease-s": times.lease.Seconds(),
		"reads": float64(calls.Reads), "writes": float64(calls.Writes), "reads-peak/s": float64(calls.PeakReads), "writes-peak/s": float64(calls.PeakWrites),
		"steady-reads": float64(before.Reads), "steady-writes": float64(before.Writes),
	} {
		b.ReportMetric(value, name)
	}
}

// settleTimes are times from the store's return until every VM has read the
// configuration in its era, every VM's row is there, and a VM holds the lease.
type settleTimes struct{ config, rows, lease time.Duration }

func await(b *testing.B, store *platformtest.Store, vms []*Controller, from time.Time) settleTimes {
	var t settleTimes
	for t.config == 0 || t.rows == 0 || t.lease == 0 {
		if time.Since(from) > settleTimeout {
			b.Fatalf("%d VMs have not settled within %s: %+v", len(vms), settleTimeout, t)
		}
		time.Sleep(settleCallCheck)
		era, read, held := store.Era(), 0, 0
		for _, c := range vms {
			if _, version, _, ok := c.tables[configTable].snapshot(); ok && uint64(version.Era) == era {
				read++
			}
			if c.HoldsLease() && uint64(c.era.current()) == era {
				held++
			}
		}
		for since, done := range map[*time.Duration]bool{
			&t.config: read == len(vms), &t.rows: store.Count(coordinationTable, vmPrefix) == len(vms), &t.lease: held == 1,
		} {
			if done && *since == 0 {
				*since = time.Since(from)
			}
		}
	}
	return t
}

func settleZone(i int) string { return string(rune('a' + i%settleZones)) }

func must(b *testing.B, err error) {
	if err != nil {
		b.Fatal(err)
	}
}
