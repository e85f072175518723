package frontdaemon

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"tamarackreach/internal/director"
	"tamarackreach/internal/ingress"
	"tamarackreach/internal/model"
	"tamarackreach/internal/relay"
	"tamarackreach/internal/upstream"
	"tamarackreach/platform"
)

// relayKeepAlive detects senders whose machine has stopped within ten seconds.
var relayKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 5}

// relayIdleTime is how long a relayed connection is idle behind bytes of its target before it holds
// no request in flight: longer than the pauses of a stream.
const relayIdleTime = time.Second

// relayAddress returns the address of this VM's relay: the port for messages between VMs,
// as a TCP port. It is empty where the settings name no such port.
func relayAddress(s *platform.Settings) string {
	if s.PeerPort == 0 {
		return ""
	}
	return net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort))
}

func newRelay(secret string, r *ingress.Reducer, dial upstream.DialFunc) *relay.Server {
	return &relay.Server{
		Secret: secret, Dial: dial,
		Resolve: func(id model.TargetID) (address string, ok bool) {
			r.Read(func(s *director.State) { address, ok = s.RelayTarget(id) })
			return address, ok
		},
		Opened: func(id model.TargetID, connected bool) {
			r.Step(director.RelayOpened{Target: id, Connected: connected})
		},
		Closed: func() { r.Step(director.RelayClosed{}) },
	}
}

// serveRelay starts the relay for other VMs.
func (d *Daemon) serveRelay(ctx context.Context, address string) error {
	if address == "" {
		logrus.Info("settings name no port for other VMs; no relay is offered")
		return nil
	}
	listener, err := (&net.ListenConfig{KeepAliveConfig: relayKeepAlive}).Listen(ctx, "tcp4", address)
	if err != nil {
		return errors.Wrapf(err, "cannot listen for other VMs' connections on %s; free the port", address)
	}
	go func() {
		if err := d.relay.Serve(ctx, listener); err != nil {
			logrus.WithError(err).Error("relay failed")
		}
	}()
	return nil
}
