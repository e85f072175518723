// Package entry is the daemon of an entry VM: one reducer, its drivers and the
// servers for callers, operators and metrics.
package entry

import (
	"context"
	"expvar"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/callerapi"
	"tamarackreach/internal/config"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/node"
	"tamarackreach/internal/operatorapi"
	"tamarackreach/internal/peerlink"
	"tamarackreach/internal/peers"
	"tamarackreach/internal/platformclient"
	"tamarackreach/internal/recording"
	"tamarackreach/internal/reducer"
	"tamarackreach/internal/rpc"
	"tamarackreach/internal/targetclient"
	"tamarackreach/internal/tracing"
)

// shutdownTimeout bounds the wait for the delivery of the last responses.
const shutdownTimeout = 30 * time.Second

// Daemon is the process of an entry VM.
type Daemon struct {
	config   *config.Entry
	node     *node.Node
	drivers  node.Drivers
	peers    *peerlink.Link
	servers  []*listeningServer
	recorder io.Closer
	tracer   *tracing.Tracer
}

type listeningServer struct {
	server  *http.Server
	address string
}

// New builds a daemon; Run starts it.
func New(cfg *config.Entry) (*Daemon, error) {
	// Claims in the idempotency ledger are matched by incarnation, so two runs of the
	// process must differ in it; a start time in nanoseconds does.
	incarnation := model.Incarnation(time.Now().UnixNano())
	reducerConfig := reducer.Config{
		Node:             cfg.NodeID,
		Incarnation:      incarnation,
		Zone:             cfg.Zone,
		PeerAddress:      cfg.PeerAddress,
		EntryNodes:       cfg.EntryNodes,
		ShutdownLag:      time.Duration(cfg.ShutdownLagMs) * time.Millisecond,
		WeightLayersPerS: float64(cfg.WeightLayersPerS),
		Seed:             uint64(incarnation),
		Seeds:            seedContacts(cfg.Seeds),
	}
	d := &Daemon{config: cfg}
	recorder, err := d.openRecorder(reducerConfig)
	if err != nil {
		return nil, err
	}
	if err := d.openTracer(); err != nil {
		return nil, err
	}
	d.node = node.New(reducer.New(reducerConfig), recorder, d.tracer)
	callers := callerapi.New(cfg.NodeID, incarnation, d.node.Post, d.tracer)
	platform := platformclient.New(cfg.PlatformAddress, cfg.Zone, d.node.Post)
	operators := operatorapi.New(cfg.Operators, d.node.Post, d.node.Query, platform)
	d.peers = peerlink.New(peerlink.Config{
		Node: cfg.NodeID, Incarnation: incarnation, Address: cfg.PeerAddress, TLS: cfg.PeerTLS,
	}, d.node.Post)
	d.drivers = node.Drivers{
		Callers:   callers,
		Operators: operators,
		Targets:   targetclient.New(d.node.Post, d.node.Now),
		Platform:  platform,
		Peers:     d.peers,
	}
	d.servers = []*listeningServer{
		{server: rpc.NewServer(callers.Handler()), address: cfg.CallerAddress},
		{server: rpc.NewServer(operators.Handler()), address: cfg.OperatorAddress},
		{server: rpc.NewServer(d.metricsHandler()), address: cfg.MetricsAddress},
	}
	return d, nil
}

func seedContacts(seeds []config.Seed) []peers.Contact {
	contacts := make([]peers.Contact, 0, len(seeds))
	for _, seed := range seeds {
		contacts = append(contacts, peers.Contact{Node: seed.NodeID, Address: seed.Address})
	}
	return contacts
}

func (d *Daemon) openRecorder(header reducer.Config) (*recording.Writer, error) {
	if d.config.EventFile == "" {
		return nil, nil
	}
	file, err := os.Create(d.config.EventFile)
	if err != nil {
		return nil, errors.Wrap(err, "create event file; check event_file")
	}
	d.recorder = file
	return recording.NewWriter(file, recording.Header{Config: header})
}

func (d *Daemon) openTracer() error {
	if d.config.SpanFile == "" {
		return nil
	}
	file, err := os.Create(d.config.SpanFile)
	if err != nil {
		return errors.Wrap(err, "create span file; check span_file")
	}
	d.tracer, err = tracing.New(file, d.config.NodeID)
	return err
}

// metricsHandler serves counters and, at /ready, the health check of the load
// balancer.
func (d *Daemon) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/debug/vars", expvar.Handler())
	mux.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		ready := false
		d.node.Query(func(s *reducer.State) { ready = s.Ready() })
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// Run serves until the context ends, then shuts down gracefully: the node reports
// that it is not ready, accepts requests until the load balancer has reacted to
// that (ShutdownLagMs) and completes the requests in flight.
func (d *Daemon) Run(ctx context.Context) error {
	serveErrors := make(chan error, len(d.servers))
	for _, s := range d.servers {
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s; check the addresses of the configuration", s.address)
		}
		go func() { serveErrors <- s.server.Serve(listener) }()
	}
	if err := d.peers.Start(); err != nil {
		return err
	}
	nodeCtx, stop := context.WithCancel(context.Background())
	defer stop()
	finished := make(chan struct{})
	go func() {
		d.node.Run(nodeCtx, d.drivers)
		close(finished)
	}()
	select {
	case err := <-serveErrors:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	d.node.Post(event.ShutdownRequested{})
	<-finished
	return d.close()
}

// close shuts the servers down after they have delivered their responses, and
// closes the peer link, the tracer and the event file.
func (d *Daemon) close() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range d.servers {
		_ = s.server.Shutdown(ctx)
	}
	_ = d.peers.Close()
	if err := d.tracer.Close(); err != nil {
		return err
	}
	if d.recorder != nil {
		return errors.Wrap(d.recorder.Close(), "close event file")
	}
	return nil
}
