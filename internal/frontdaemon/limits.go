package frontdaemon

import (
	"context"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"tamarackreach/internal/clientlimit"
	"tamarackreach/platform"
)

const (
	// clientWriteTimeout bounds the writing of a response for which no other deadline is set:
	// those of net/http to heads that it rejects.
	clientWriteTimeout = 10 * time.Second
	// readyTimeout bounds the reading and writing of a readiness check.
	readyTimeout = 5 * time.Second
)

// limits are the limits of the clients of a daemon.
type limits struct {
	budget  clientlimit.Budget
	account *clientlimit.Account
	// closed counts the connections that were closed in favour of new ones.
	closed  atomic.Uint64
	clients atomic.Pointer[clientListener]
	ready   atomic.Pointer[clientListener]
}

func newLimits(s *platform.Settings) *limits {
	budget := clientlimit.BudgetFor(s.MemoryMB, s.MaxFiles)
	return &limits{budget: budget, account: clientlimit.NewAccount(budget.HeldBytes)}
}

// LimitMemory sets the memory limit of Go's runtime to the part of the machine's memory that
// the settings allow it.
func LimitMemory(s *platform.Settings) {
	debug.SetMemoryLimit(clientlimit.BudgetFor(s.MemoryMB, s.MaxFiles).GoBytes)
}

// serveClients serves on address within a bound of connections, and stores the listener.
func (d *Daemon) serveClients(ctx context.Context, server *http.Server, address string, bound int, to *atomic.Pointer[clientListener]) error {
	listener, err := listenForClients(ctx, address, d.limits.account, bound, &d.limits.closed)
	if err != nil {
		return err
	}
	to.Store(listener)
	server.ConnState = trackConnection
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			logrus.WithError(err).WithField("address", address).Error("listener failed")
		}
	}()
	return nil
}

// registerLimitMetrics registers what clients hold and what was refused to them.
func (d *Daemon) registerLimitMetrics() {
	m, l := d.metrics, d.limits
	count := func(listener *atomic.Pointer[clientListener]) func() float64 {
		return func() float64 {
			if opened := listener.Load(); opened != nil {
				return float64(opened.count())
			}
			return 0
		}
	}
	refused := func(use clientlimit.Use) func() float64 {
		return func() float64 { return float64(l.account.Refused(use)) }
	}
	m.Gauge("tamarack_client_bytes_held", "Bytes reserved for bodies, heads and responses.",
		func() float64 { return float64(l.account.Held()) })
	m.Gauge("tamarack_client_bytes_limit", "Bytes that may be reserved for them.",
		func() float64 { return float64(l.budget.HeldBytes) })
	m.Gauge("tamarack_client_connections", "Connections of clients.", count(&l.clients))
	m.Gauge("tamarack_client_connections_limit", "Connections of clients that may be open.",
		func() float64 { return float64(l.budget.Connections) })
	m.Gauge("tamarack_ready_connections", "Connections to the ready listener.", count(&l.ready))
	m.Counter("tamarack_client_connections_closed_total", "Connections of clients, stalled or idle, closed in favour of new ones.",
		func() float64 { return float64(l.closed.Load()) })
	m.Counter("tamarack_client_heads_refused_total", "Requests refused because their head did not fit into memory.", refused(clientlimit.Head))
	m.Counter("tamarack_client_bodies_refused_total", "Requests refused because their body did not fit into memory.",
		func() float64 {
			return float64(l.account.Refused(clientlimit.LargeBody) + l.account.Refused(clientlimit.SmallBody))
		})
	m.Counter("tamarack_client_bodies_stalled_total", "Bodies cancelled because they made no progress while memory was short.",
		func() float64 { return float64(l.account.Stalled()) })
	m.Counter("tamarack_responses_unbuffered_total", "Responses of targets discarded because they did not fit into memory.", refused(clientlimit.Response))
}
