package peerlink

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"google.golang.org/protobuf/proto"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/model"
	"tamarackreach/internal/telemetry"
)

// Application error codes of closed connections.
const (
	codeReplaced quic.ApplicationErrorCode = iota + 1
	codeWrongNode
)

// peer holds the connection to one node, whichever end dialled it.
type peer struct {
	id model.NodeID
	// dialling is held while a connection is dialled, so that no second one is dialled
	// at the same time.
	dialling sync.Mutex

	mu   sync.Mutex
	conn *quic.Conn
	// awaitingSince is when the oldest message without a reply was sent; zero if
	// there is none.
	awaitingSince time.Time
}

// connection returns a usable connection, dialling a new one if needed.
func (p *peer) connection(ctx context.Context, l *Link, address string) (*quic.Conn, error) {
	p.dialling.Lock()
	defer p.dialling.Unlock()
	if conn := p.usable(address); conn != nil {
		return conn, nil
	}
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve address of %s", p.id)
	}
	tlsConfig, err := l.credentials.client(p.id)
	if err != nil {
		return nil, err
	}
	conn, err := l.transport.Dial(ctx, udp, tlsConfig, quicConfig())
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", p.id)
	}
	p.setConnection(conn)
	go l.receive(conn, p)
	return conn, nil
}

// usable returns the current connection, or nil if it is closed, its peer has
// not replied within replyTimeout or its address is no longer that of the node.
func (p *peer) usable(address string) *quic.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil || p.conn.Context().Err() != nil {
		return nil
	}
	unresponsive := !p.awaitingSince.IsZero() && time.Since(p.awaitingSince) > replyTimeout
	if unresponsive || p.conn.RemoteAddr().String() != address {
		_ = p.conn.CloseWithError(codeReplaced, "replaced")
		p.conn = nil
		p.awaitingSince = time.Time{}
		return nil
	}
	return p.conn
}

// setConnection makes conn the connection to send over. The previous one stays
// open for messages in flight and closes when it is idle.
func (p *peer) setConnection(conn *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conn = conn
	p.awaitingSince = time.Time{}
}

// discard closes a connection on which a send failed.
func (p *peer) discard(conn *quic.Conn) {
	_ = conn.CloseWithError(codeReplaced, "failed")
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == conn {
		p.conn = nil
	}
}

func (p *peer) awaitReply(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.awaitingSince.IsZero() {
		p.awaitingSince = now
	}
}

func (p *peer) replyReceived() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.awaitingSince = time.Time{}
}

// accept accepts connections from peers until the link closes.
func (l *Link) accept(listener *quic.Listener) {
	for {
		conn, err := listener.Accept(l.ctx)
		if err != nil {
			return
		}
		id := nodeOf(conn)
		if id == "" {
			refuse(conn, id, "")
			continue
		}
		p := l.peer(id)
		p.setConnection(conn)
		go l.receive(conn, p)
	}
}

// nodeOf returns the node that a peer's certificate names, or "" if it names
// none. TLS has verified the certificate.
func nodeOf(conn *quic.Conn) model.NodeID {
	leaf := conn.ConnectionState().TLS.PeerCertificates[0]
	if len(leaf.DNSNames) == 0 {
		return ""
	}
	return model.NodeID(leaf.DNSNames[0])
}

// receive posts the messages of a connection until it closes.
func (l *Link) receive(conn *quic.Conn, p *peer) {
	for {
		stream, err := conn.AcceptUniStream(l.ctx)
		if err != nil {
			return
		}
		message, err := readMessage(stream)
		if err != nil {
			messagesDropped.Add(1)
			continue
		}
		if model.NodeID(message.FromNodeId) != p.id {
			refuse(conn, p.id, message.FromNodeId)
			return
		}
		p.replyReceived()
		if ev := Decode(message, conn.RemoteAddr().String()); ev != nil {
			l.post(ev)
		}
	}
}

func readMessage(stream *quic.ReceiveStream) (*tamarackv1.PeerMessage, error) {
	_ = stream.SetReadDeadline(time.Now().Add(sendTimeout))
	data, err := io.ReadAll(io.LimitReader(stream, maxMessageBytes))
	if err != nil {
		stream.CancelRead(0)
		return nil, errors.Wrap(err, "read message")
	}
	message := &tamarackv1.PeerMessage{}
	return message, errors.Wrap(proto.Unmarshal(data, message), "decode message")
}

// refuse closes the connection of a peer whose certificate names the node
// certified, but which claims to be another one.
func refuse(conn *quic.Conn, certified model.NodeID, claimed string) {
	peersRefused.Add(1)
	telemetry.LogState("peer refused: its certificate names another node", claimed, string(certified))
	_ = conn.CloseWithError(codeWrongNode, "the certificate does not name the node")
}
