// Package frontd runs the daemon of an entry VM on the users' platform: its
// listeners, its loops and its shutdown.
package frontd

import (
	"context"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"tamarackreach/internal/director"
	"tamarackreach/internal/front"
	"tamarackreach/internal/keeper"
	"tamarackreach/internal/retrybudget"
	"tamarackreach/internal/upstream"
	"tamarackreach/platform"
)

const (
	// headTimeout bounds how long a caller takes to send its head: the longest
	// that the configuration's limit is expected to allow, and a margin.
	headTimeout = 10 * time.Second
	// idleTimeout closes callers' idle connections; beyond what callers reuse.
	idleTimeout = 90 * time.Second
	// maxHeadBytes bounds a head; several times the usual limit.
	maxHeadBytes = 64 << 10
	// sweepInterval is how often idle connections to targets are closed.
	sweepInterval = time.Second
	// lingerTime is how long a stopping VM takes new requests: the platform
	// notices within two seconds that it is not ready, and connections move on.
	lingerTime = 2500 * time.Millisecond
	// stopMargin is kept of the time before the process is killed.
	stopMargin = 300 * time.Millisecond
	// idleCheck is how often a stopping VM looks whether it is idle.
	idleCheck = 50 * time.Millisecond
)

// Daemon is the process of an entry VM.
type Daemon struct {
	settings *platform.Settings
	metrics  string
	reducer  *front.Reducer
	pool     *upstream.Pool
	front    *front.Front
	keeper   *keeper.Keeper
	measured *front.Metrics
}

// New assembles a daemon; metrics is the address that serves them, or empty.
func New(s *platform.Settings, metrics string) *Daemon {
	state := director.New(director.Settings{
		VM: s.VM, Zone: s.Zone, ConfigApply: s.Bounds.ConfigApply, Revoke: s.Bounds.Revoke, Stall: s.Bounds.Stall,
		Retries: retrybudget.Settings{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow},
	})
	d := &Daemon{
		settings: s, metrics: metrics, reducer: front.NewReducer(state), pool: upstream.NewPool(),
		measured: front.NewMetrics(),
	}
	d.keeper = keeper.New(s, d.reducer)
	d.front = front.New(d.reducer, d.pool, d.keeper.AskReport, d.measured)
	return d
}

// Run serves until a signal asks it to stop and its requests have ended.
func (d *Daemon) Run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &http.Server{
		Handler: d.front, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeadBytes,
	}
	if err := d.serve(ctx, server, d.settings.ClientAddress); err != nil {
		return err
	}
	if err := d.serve(ctx, &http.Server{Handler: d.front.Ready(), ReadHeaderTimeout: headTimeout}, d.settings.ReadyAddress); err != nil {
		return err
	}
	if d.metrics != "" {
		if err := d.serve(ctx, &http.Server{Handler: d.measured.Handler(), ReadHeaderTimeout: headTimeout}, d.metrics); err != nil {
			return err
		}
	}
	go d.sweep(ctx)
	failed := make(chan error, 1)
	go func() { failed <- d.keeper.Run(ctx) }()
	logrus.WithFields(logrus.Fields{"zone": d.settings.Zone, "store": d.settings.StoreAddress}).Info("started")
	for {
		select {
		case err := <-failed:
			return err
		case s := <-signals:
			if s == syscall.SIGHUP {
				d.reload()
				continue
			}
			d.drain(server)
			logrus.Info("stopped")
			return nil
		}
	}
}

func (d *Daemon) serve(ctx context.Context, server *http.Server, address string) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", address)
	if err != nil {
		return errors.Wrapf(err, "cannot listen on %s; free the address or correct the settings", address)
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			logrus.WithError(err).WithField("address", address).Error("listener ended")
		}
	}()
	return nil
}

func (d *Daemon) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.pool.Sweep()
		}
	}
}

// reload reads the settings again. What a process uses of them is fixed for its
// life, so a change is only reported.
func (d *Daemon) reload() {
	_, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		logrus.WithError(err).Error("settings not usable; those in force stay")
		return
	}
	logrus.Info("settings read again")
}

// drain answers not ready at once, goes on serving, and returns when the VM is
// idle or its time is over.
func (d *Daemon) drain(server *http.Server) {
	logrus.WithField("in_flight", d.front.InFlight()).Info("stopping")
	d.reducer.Step(director.Terminating{})
	server.SetKeepAlivesEnabled(false)
	started := time.Now()
	last := d.settings.Bounds.Grace - stopMargin
	for time.Since(started) < last {
		time.Sleep(idleCheck)
		if time.Since(started) > lingerTime && d.front.InFlight() == 0 {
			return
		}
	}
	logrus.WithField("in_flight", d.front.InFlight()).Warn("time is over; requests are cut")
}
