// Package frontd runs the daemon of an entry VM on the users' platform: its
// listeners, its loops and its shutdown.
package frontd

import (
	"bytes"
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
	// settingsInterval is how often the settings file is compared with what is in
	// force: it may change without a signal, and bounds count in seconds.
	settingsInterval = time.Second
)

// Options are what the command line adds to the settings.
type Options struct {
	// MetricsAddress serves the metrics; none when empty.
	MetricsAddress string
	// DroppedLines returns how many log lines were dropped; nil when not known.
	DroppedLines func() uint64
	// SettingsPath is the file to watch for changes; none when empty.
	SettingsPath string
}

// Daemon is the process of an entry VM.
type Daemon struct {
	settings *platform.Settings
	options  Options
	reducer  *front.Reducer
	pool     *upstream.Pool
	front    *front.Front
	keeper   *keeper.Keeper
	measured *front.Metrics
	// lastText is the settings file as it was last looked at.
	lastText []byte
}

// deciding returns what the reducer needs of the settings.
func deciding(s *platform.Settings) director.Settings {
	return director.Settings{
		VM: s.VM, Zone: s.Zone, ConfigApply: s.Bounds.ConfigApply, Revoke: s.Bounds.Revoke, Stall: s.Bounds.Stall,
		Grace:   s.Bounds.Grace,
		Retries: retrybudget.Settings{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow},
	}
}

// New assembles a daemon.
func New(s *platform.Settings, options Options) *Daemon {
	state := director.New(deciding(s))
	d := &Daemon{
		settings: s, options: options, reducer: front.NewReducer(state), pool: upstream.NewPool(),
		measured: front.NewMetrics(),
	}
	d.keeper = keeper.New(s, d.reducer)
	d.front = front.New(d.reducer, d.pool, d.keeper.AskReport, d.measured)
	d.observe()
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
	if d.options.MetricsAddress != "" {
		mux := http.NewServeMux()
		mux.Handle("/", d.measured.Handler())
		mux.HandleFunc("GET "+StatusPath, d.status)
		if err := d.serve(ctx, &http.Server{Handler: mux, ReadHeaderTimeout: headTimeout}, d.options.MetricsAddress); err != nil {
			return err
		}
	}
	go d.sweep(ctx)
	failed := make(chan error, 1)
	go func() { failed <- d.keeper.Run(ctx) }()
	logrus.WithFields(logrus.Fields{"zone": d.settings.Zone, "store": d.settings.StoreAddress}).Info("started")
	watch := time.NewTicker(settingsInterval)
	defer watch.Stop()
	for {
		select {
		case err := <-failed:
			return err
		case <-watch.C:
			d.reload()
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

// reload reads the settings file again and puts what changed in force. Settings
// that are wrong change nothing.
func (d *Daemon) reload() {
	if d.options.SettingsPath == "" {
		return
	}
	text, err := os.ReadFile(d.options.SettingsPath)
	if err != nil {
		text = []byte(err.Error()) // an error that lasts is logged once
	}
	if bytes.Equal(text, d.lastText) {
		return
	}
	d.lastText = text
	next, err := platform.LoadSettings(d.options.SettingsPath)
	if err != nil {
		logrus.WithError(err).Error("settings not usable; those in force stay")
		return
	}
	if *next == *d.settings {
		return
	}
	for _, name := range fixed(d.settings, next) {
		logrus.WithField("setting", name).Warn("this change takes effect when the process starts again")
	}
	d.settings = next
	d.keeper.Apply(next)
	d.reducer.Step(director.SettingsChanged{Settings: deciding(next)})
}

// fixed names the changes that a running process cannot follow: its identity and
// its listeners.
func fixed(was, is *platform.Settings) []string {
	var names []string
	for _, f := range []struct {
		name    string
		changed bool
	}{
		{"VM", was.VM != is.VM}, {"zone", was.Zone != is.Zone}, {"client address", was.ClientAddress != is.ClientAddress},
		{"ready address", was.ReadyAddress != is.ReadyAddress}, {"IP", was.IP != is.IP}, {"peer port", was.PeerPort != is.PeerPort},
	} {
		if f.changed {
			names = append(names, f.name)
		}
	}
	return names
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
