// Package frontdaemon runs the daemon of an entry VM on the users' platform: its
// listeners, background loops and graceful shutdown.
package frontdaemon

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"tamarackreach/internal/controller"
	"tamarackreach/internal/director"
	"tamarackreach/internal/drain"
	"tamarackreach/internal/ingress"
	"tamarackreach/internal/relay"
	"tamarackreach/internal/retrybudget"
	"tamarackreach/internal/upstream"
	"tamarackreach/platform"
)

const (
	// headerReadTimeout limits the time to read a request header: the longest limit
	// that a configuration is expected to set, plus a margin.
	headerReadTimeout = 10 * time.Second
	// idleTimeout closes idle connections of callers; it exceeds the longest idle time
	// after which callers reuse a connection.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes limits the size of a request header: several times the limit that
	// a configuration usually sets.
	maxHeaderBytes = 64 << 10
	// sweepInterval is how often expired idle connections to targets are closed.
	sweepInterval = time.Second
	// minDrainTime is how long a draining VM still accepts new requests: the platform
	// detects within two seconds that it is not ready and directs connections to
	// other VMs.
	minDrainTime = 2500 * time.Millisecond
	// lastAnswersTime is how long the process waits at its end for answers that are being
	// written: within the time between the drain and SIGKILL.
	lastAnswersTime = 150 * time.Millisecond
	// drainPollInterval is how often a draining VM checks whether requests are in
	// flight.
	drainPollInterval = 50 * time.Millisecond
	// settingsPollInterval is how often the settings file is checked for changes: it
	// may change without a signal, and the bounds that it sets are a few seconds long.
	settingsPollInterval = time.Second
)

// Options are set by the command line, in addition to the settings file.
type Options struct {
	// MetricsAddress is the host:port that serves metrics and status; empty disables
	// them.
	MetricsAddress string
	// DroppedLines returns the number of dropped log lines; nil omits the metric.
	DroppedLines func() uint64
	// Dial opens connections to targets and relays; nil selects upstream.Dial.
	Dial upstream.DialFunc
	// SettingsPath is the settings file to poll for changes; empty disables reloading.
	SettingsPath string
}

// Daemon is the process of an entry VM.
type Daemon struct {
	settings   *platform.Settings
	options    Options
	reducer    *ingress.Reducer
	pool       *upstream.Pool
	ingress    *ingress.RequestHandler
	relay      *relay.Server
	controller *controller.Controller
	metrics    *ingress.Metrics
	limits     *limits
	// lastSettingsText is the content of the settings file at the last check, or the
	// error of reading it.
	lastSettingsText []byte
}

// directorSettings returns the settings that the reducer uses.
func directorSettings(s *platform.Settings) director.Settings {
	return director.Settings{
		VM: s.VM, Zone: s.Zone, ConfigApply: s.Bounds.ConfigApply, Revoke: s.Bounds.Revoke, Stall: s.Bounds.Stall,
		Grace: s.Bounds.Grace, FirstStart: s.FirstStart, Heartbeat: s.Heartbeat,
		Retries: retrybudget.Settings{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: s.Bounds.RetryWindow},
	}
}

// New returns a daemon with its reducer, connection pool, controller and handler.
func New(s *platform.Settings, options Options) *Daemon {
	if options.Dial == nil {
		options.Dial = upstream.Dial
	}
	settings := directorSettings(s)
	settings.Process = rand.Uint32()
	settings.Relay = director.Relay{VM: s.VM, Address: relayAddress(s), Secret: relay.NewSecret()}
	state := director.New(settings)
	d := &Daemon{
		settings: s, options: options, reducer: ingress.NewReducer(state), pool: upstream.NewPoolOver(options.Dial),
		metrics: ingress.NewMetrics(), limits: newLimits(s),
	}
	d.relay = newRelay(settings.Relay.Secret, d.reducer, options.Dial)
	d.controller = controller.New(s, d.reducer, options.Dial)
	d.ingress = ingress.New(d.reducer, d.pool, d.controller.Probe, d.metrics)
	d.ingress.SetAccount(d.limits.account)
	d.registerMetrics()
	d.registerLimitMetrics()
	return d
}

// Run serves until a signal other than SIGHUP arrives and the drain ends, or until
// the controller fails. SIGHUP reloads the settings file.
func (d *Daemon) Run(ctx context.Context, signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &http.Server{
		Handler: d.ingress, ReadHeaderTimeout: headerReadTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		WriteTimeout: clientWriteTimeout, ConnContext: ingress.ConnContext,
	}
	if err := d.serveClients(ctx, server, d.settings.ClientAddress, d.limits.budget.Connections, &d.limits.clients); err != nil {
		return err
	}
	ready := &http.Server{
		Handler: d.ingress.Ready(), ReadTimeout: readyTimeout, WriteTimeout: readyTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	if err := d.serveClients(ctx, ready, d.settings.ReadyAddress, d.limits.budget.ReadyConnections, &d.limits.ready); err != nil {
		return err
	}
	if d.options.MetricsAddress != "" {
		mux := http.NewServeMux()
		mux.Handle("/", d.metrics.Handler())
		mux.HandleFunc("GET "+StatusPath, d.status)
		mux.HandleFunc("POST "+RoutePath, d.dryRun)
		if err := d.serve(ctx, &http.Server{Handler: mux, ReadHeaderTimeout: headerReadTimeout}, d.options.MetricsAddress); err != nil {
			return err
		}
	}
	if err := d.serveRelay(ctx, relayAddress(d.settings)); err != nil {
		return err
	}
	go d.sweep(ctx)
	controllerFailed := make(chan error, 1)
	go func() { controllerFailed <- d.controller.Run(ctx) }()
	logrus.WithFields(logrus.Fields{"zone": d.settings.Zone, "store": d.settings.StoreAddress}).Info("started")
	settingsTicker := time.NewTicker(settingsPollInterval)
	defer settingsTicker.Stop()
	for {
		select {
		case err := <-controllerFailed:
			return err
		case <-settingsTicker.C:
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
			logrus.WithError(err).WithField("address", address).Error("listener failed")
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

// reload reads the settings file and applies its changes. An invalid file leaves
// the settings in force unchanged.
func (d *Daemon) reload() {
	if d.options.SettingsPath == "" {
		return
	}
	text, err := os.ReadFile(d.options.SettingsPath)
	if err != nil {
		text = []byte(err.Error()) // a persistent error is logged once
	}
	if bytes.Equal(text, d.lastSettingsText) {
		return
	}
	d.lastSettingsText = text
	next, err := platform.LoadSettings(d.options.SettingsPath)
	if err != nil {
		logrus.WithError(err).Error("settings file is invalid; the settings in force are kept")
		return
	}
	if *next == *d.settings {
		return
	}
	for _, name := range changesNeedingRestart(d.settings, next) {
		logrus.WithField("setting", name).Warn("setting changed; a restart is needed to apply it")
	}
	d.settings = next
	d.controller.Apply(next)
	d.reducer.Step(director.SettingsChanged{Settings: directorSettings(next)})
}

// changesNeedingRestart returns the names of changed settings that a running
// process cannot apply: its identity and its listeners.
func changesNeedingRestart(old, updated *platform.Settings) []string {
	var names []string
	for _, f := range []struct {
		name    string
		changed bool
	}{
		{"VM", old.VM != updated.VM}, {"zone", old.Zone != updated.Zone}, {"client address", old.ClientAddress != updated.ClientAddress},
		{"ready address", old.ReadyAddress != updated.ReadyAddress}, {"IP", old.IP != updated.IP}, {"peer port", old.PeerPort != updated.PeerPort},
		{"memory", old.MemoryMB != updated.MemoryMB}, {"descriptors", old.MaxFiles != updated.MaxFiles},
	} {
		if f.changed {
			names = append(names, f.name)
		}
	}
	return names
}

// drain reports not ready at once and keeps serving, also as a relay, until no request is in
// flight after minDrainTime, or until the drain time has expired: the requests that are left are
// answered 504 then, since they may have run. It returns when all answers are written, or after
// lastAnswersTime.
func (d *Daemon) drain(server *http.Server) {
	logrus.WithField("in_flight", d.ingress.InFlight()).Info("stopping")
	d.reducer.Step(director.Terminating{})
	server.SetKeepAlivesEnabled(false)
	if !d.drainedWithin(drain.Window(d.settings.Bounds.Grace)) {
		logrus.WithField("in_flight", d.ingress.InFlight()).Warn("drain time expired; requests in flight are answered 504, since they may have run")
		d.ingress.Stop()
	}
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswersTime)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		logrus.WithError(err).WithField("in_flight", d.ingress.InFlight()).Warn("connections of callers are closed that are in use")
	}
}

// drainedWithin serves until no request is in flight after minDrainTime, and reports whether that
// is so within limit.
func (d *Daemon) drainedWithin(limit time.Duration) bool {
	for started := time.Now(); time.Since(started) < limit; {
		time.Sleep(drainPollInterval)
		if time.Since(started) > minDrainTime && d.relay.Active(relayIdleTime) == 0 && d.ingress.Drained() {
			return true
		}
	}
	return false
}
