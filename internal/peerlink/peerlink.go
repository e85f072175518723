// Package peerlink sends messages between entry VMs over QUIC with mutual TLS.
// Each message is one unidirectional stream. A peer whose certificate does not
// name its node ID is refused.
package peerlink

import (
	"context"
	"crypto/sha256"
	"expvar"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/proto"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/config"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
)

const (
	// maxMessageBytes is the maximum size of a message; a whole settings tree
	// fits.
	maxMessageBytes = 8 << 20
	// sendTimeout bounds dialling and sending one message.
	sendTimeout = 2 * time.Second
	// maxInFlightSends is the maximum number of concurrent sends.
	maxInFlightSends = 64
	// maxIncomingStreams is the maximum number of incoming messages in flight per
	// connection.
	maxIncomingStreams = 16
	// idleTimeout closes unused connections. It is long because in large
	// deployments a pair of nodes exchanges messages rarely, and a handshake costs
	// more than all messages between two handshakes.
	idleTimeout = 10 * time.Minute
	// replyTimeout is how long a message may stay without a reply before the next
	// one is sent over a new connection.
	replyTimeout = 1200 * time.Millisecond
)

var (
	messagesDropped = expvar.NewInt("tamarack_peer_messages_dropped_total")
	peersRefused    = expvar.NewInt("tamarack_peer_connections_refused_total")
	bytesSent       = expvar.NewInt("tamarack_peer_bytes_sent_total")
)

// Config configures a link.
type Config struct {
	Node        model.NodeID
	Incarnation model.Incarnation
	// Address is the UDP address, IP:port, on which the link listens.
	Address string
	TLS     config.PeerTLS
}

// Link sends messages to peers and posts the messages that it receives.
type Link struct {
	config      Config
	post        func(event.Event)
	credentials *credentials
	transport   *quic.Transport
	sendSlots   chan struct{}
	ctx         context.Context
	stop        context.CancelFunc

	mu    sync.Mutex
	peers map[model.NodeID]*peer
}

// New returns a link; Start opens it. Messages from peers are passed to post.
func New(cfg Config, post func(event.Event)) *Link {
	ctx, stop := context.WithCancel(context.Background())
	return &Link{
		config: cfg, post: post, credentials: &credentials{files: cfg.TLS},
		sendSlots: make(chan struct{}, maxInFlightSends), ctx: ctx, stop: stop,
		peers: make(map[model.NodeID]*peer),
	}
}

// Start listens for connections from peers.
func (l *Link) Start() error {
	if _, err := l.credentials.load(); err != nil {
		return err
	}
	address, err := net.ResolveUDPAddr("udp", l.config.Address)
	if err != nil {
		return errors.Wrap(err, "resolve peer_address")
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s; check peer_address", l.config.Address)
	}
	l.transport = &quic.Transport{Conn: socket, StatelessResetKey: l.resetKey()}
	listener, err := l.transport.Listen(l.credentials.server(), quicConfig())
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	go l.accept(listener)
	return nil
}

// resetKey derives the stateless reset key from the node's private key. It is the
// same after a restart of the node, so that its peers detect immediately that
// their connections are lost.
func (l *Link) resetKey() *quic.StatelessResetKey {
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("stateless reset "), l.credentials.keyPEM()...)))
	return &key
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  sendTimeout,
		MaxIdleTimeout:        idleTimeout,
		MaxIncomingStreams:    -1,
		MaxIncomingUniStreams: maxIncomingStreams,
		// Messages are small; path MTU probes would cost more than they save.
		DisablePathMTUDiscovery: true,
	}
}

// Close ends every connection.
func (l *Link) Close() error {
	l.stop()
	if l.transport == nil {
		return nil
	}
	return errors.CombineErrors(l.transport.Close(), l.transport.Conn.Close())
}

// Heartbeat sends this node's heartbeat to a peer.
func (l *Link) Heartbeat(effect event.SendHeartbeat) {
	l.send(effect, effect.Address, !effect.Reply)
}

// RequestSettings requests the changes after a revision from a peer.
func (l *Link) RequestSettings(effect event.RequestSettings) {
	l.send(effect, effect.Address, true)
}

// OfferSettings sends settings to a peer.
func (l *Link) OfferSettings(effect event.OfferSettings) {
	l.send(effect, effect.Address, false)
}

// send sends a message in the background. It drops the message if
// maxInFlightSends sends are in flight; the reducer repeats heartbeats and
// requests.
func (l *Link) send(effect event.Effect, address string, expectsReply bool) {
	select {
	case l.sendSlots <- struct{}{}:
	default:
		messagesDropped.Add(1)
		return
	}
	to, message := Encode(l.config.Node, l.config.Incarnation, effect)
	go func() {
		defer func() { <-l.sendSlots }()
		if err := l.deliver(to, address, message, expectsReply); err != nil && l.ctx.Err() == nil {
			l.post(event.PeerUnreachable{Peer: to})
		}
	}()
}

func (l *Link) deliver(to model.NodeID, address string, message *tamarackv1.PeerMessage, expectsReply bool) error {
	data, err := proto.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	ctx, cancel := context.WithTimeout(l.ctx, sendTimeout)
	defer cancel()
	p := l.peer(to)
	conn, err := p.connection(ctx, l, address)
	if err != nil {
		return err
	}
	stream, err := conn.OpenUniStreamSync(ctx)
	if err != nil {
		p.discard(conn)
		return errors.Wrap(err, "open stream")
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetWriteDeadline(deadline)
	}
	if _, err := stream.Write(data); err != nil {
		stream.CancelWrite(0)
		p.discard(conn)
		return errors.Wrap(err, "write message")
	}
	bytesSent.Add(int64(len(data)))
	if expectsReply {
		p.awaitReply(time.Now())
	}
	return errors.Wrap(stream.Close(), "end message")
}

func (l *Link) peer(id model.NodeID) *peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.peers[id]
	if !ok {
		p = &peer{id: id}
		l.peers[id] = p
	}
	return p
}
