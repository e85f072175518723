package controller

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
	"tamarackreach/internal/ingress"
	"tamarackreach/internal/membership"
	"tamarackreach/internal/model"
	"tamarackreach/internal/zonedigest"
	"tamarackreach/platform"
)

const (
	// minLearnedInterval is the minimum time between two messages that are sent to all VMs
	// without delay.
	minLearnedInterval = 100 * time.Millisecond
	// earlierBuildsEvery is the number of intervals between messages to VMs of other zones
	// whose builds understand no digests.
	earlierBuildsEvery = 3
	// maxMessageBytes is the size of the receive buffer for datagrams.
	maxMessageBytes = 60 << 10
)

// peers exchanges load and failures with other VMs by UDP. A lost message only makes
// the state of its recipients older.
type peers struct {
	settings *platform.Settings
	reducer  *ingress.Reducer
	conn     net.PacketConn
	mu       sync.Mutex
	members  *membership.Members
	// collector holds the states of the VMs of the zone.
	collector *zonedigest.Collector
	// addresses are the decoded addresses of the VMs, by their text.
	addresses map[string]*net.UDPAddr
	// copies is where this VM passes on its copies of the store's tables.
	copies membership.Endpoint
	store  storeState
	// probe carries out the probes that a message makes due.
	probe ingress.Prober
	// digestDue has an element when this VM's zone is to send a digest without delay.
	digestDue chan struct{}
	// recent are the numbers of the last digests received.
	recent     [recentDigests]uint64
	nextRecent int
	counts     messageCounts
}

// storeState is what the messages between VMs need of this VM's state of the store.
type storeState interface {
	// state returns the state as builds of protocol 0 query it.
	state(now model.Instant) *state
	storeFailing(now model.Instant) bool
	// wakeUp has the copies of tables refreshed without delay; a bit stands for each.
	wakeUp(tables byte)
}

func newPeers(s *platform.Settings, r *ingress.Reducer, store storeState, probe ingress.Prober) *peers {
	return &peers{
		settings: s, reducer: r, members: membership.New(s.VM, s.Zone), collector: zonedigest.NewCollector(), store: store, probe: probe,
		addresses: map[string]*net.UDPAddr{}, digestDue: make(chan struct{}, 1),
	}
}

func (p *peers) address() string {
	return net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.PeerPort))
}

func (p *peers) listen(ctx context.Context) error {
	conn, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", p.address())
	if err != nil {
		return errors.Wrapf(err, "cannot listen for other VMs on %s; free the port", p.address())
	}
	p.conn = conn
	return nil
}

// setVMs replaces the list of VMs.
func (p *peers) setVMs(vms map[model.NodeID]vmRecord) {
	registered := make(map[model.NodeID]membership.VM, len(vms))
	addresses := make(map[string]*net.UDPAddr, len(vms))
	for name, record := range vms {
		address, err := netip.ParseAddrPort(record.PeerAddress)
		if err != nil || !address.Addr().Is4() || address.Port() == 0 {
			logrus.WithError(err).WithFields(logrus.Fields{"vm": name, "address": record.PeerAddress}).Warn("VM with an invalid address ignored; IP:PORT is required")
			continue
		}
		registered[name] = membership.VM{Zone: record.Zone, Address: record.PeerAddress, Protocol: record.Protocol}
		addresses[record.PeerAddress] = net.UDPAddrFromAddrPort(address)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members.SetRegistered(registered)
	p.addresses = addresses
}

// RegisteredVMs returns the number of VMs registered in the store, as of the last read.
func (c *Controller) RegisteredVMs() int {
	c.peers.mu.Lock()
	defer c.peers.mu.Unlock()
	return c.peers.members.Registered()
}

// resolved returns the decoded addresses; the caller holds the lock.
func (p *peers) resolved(texts []string) []*net.UDPAddr {
	out := make([]*net.UDPAddr, 0, len(texts))
	for _, text := range texts {
		if address := p.addresses[text]; address != nil {
			out = append(out, address)
		}
	}
	return out
}

// monitors reports whether this VM monitors the targets of its zone.
func (p *peers) monitors(now model.Instant) bool {
	isolated := p.isolated()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.Monitors(now, isolated)
}

func (p *peers) isolated() (isolated bool) {
	p.reducer.Read(func(s *director.State) { isolated = s.Isolated() })
	return isolated
}

// storeSource returns the VM whose copies of the store's tables this VM takes; ok is false
// while it reads the store itself.
func (p *peers) storeSource(now model.Instant, storeFailing bool) (vm model.NodeID, at membership.Endpoint, ok bool) {
	own := p.ownNote(storeFailing)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.StoreSource(now, own)
}

// mayHoldLease reports whether this VM may acquire the placement lease: it reads the store for
// all, and has had the time to hear of the others or is the first of those registered.
func (p *peers) mayHoldLease(now, startedAt model.Instant, storeFailing bool) bool {
	if _, _, other := p.storeSource(now, storeFailing); other {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(startedAt) >= leaseDelay || p.members.First()
}

// first reports whether no VM registered comes before this one.
func (p *peers) first() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.Registered() > 1 && p.members.First()
}

func (p *peers) inZone() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.InZone()
}

func (p *peers) sendMessage(to net.Addr, message peerMessage) {
	text, err := json.Marshal(message)
	if err != nil {
		logrus.WithError(err).Error("cannot encode the peer message")
		return
	}
	p.write(to, text)
}

func (p *peers) write(to net.Addr, text []byte) {
	if _, err := p.conn.WriteTo(text, to); err != nil {
		logrus.WithError(err).Debug("cannot send the peer message")
	}
}

func (p *peers) run(ctx context.Context) {
	go p.receive(ctx)
	go p.sendLearned(ctx)
	go p.sendDigests(ctx)
	round := 0
	every(ctx, p.interval, func() {
		round++
		p.sendPeerState(p.recipients(round%earlierBuildsEvery == 0), false)
	})
}

func (p *peers) interval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.Interval()
}

// recipients returns the addresses to which this VM's own messages go.
func (p *peers) recipients(otherZones bool) []*net.UDPAddr {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resolved(p.members.MessageRecipients(otherZones))
}

// sendLearned sends the state to all VMs when this VM has learned of content that
// crashes targets: the process may end before the next regular message.
func (p *peers) sendLearned(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.reducer.Learned():
		}
		p.sendPeerState(p.recipients(true), true)
		p.hastenDigest()
		select {
		case <-ctx.Done():
			return
		case <-time.After(minLearnedInterval):
		}
	}
}

// sendPeerState sends this VM's state; urgent is true when other zones are to receive it
// without delay.
func (p *peers) sendPeerState(addresses []*net.UDPAddr, urgent bool) {
	if len(addresses) == 0 {
		return
	}
	message := encodePeerState(p.ownState(bootclock.Now()))
	message.Urgent = urgent
	text, err := json.Marshal(message)
	if err != nil {
		logrus.WithError(err).Error("cannot encode the peer message")
		return
	}
	for _, address := range addresses {
		p.write(address, text)
	}
}

func (p *peers) ownState(now model.Instant) (out director.PeerState) {
	p.reducer.Read(func(s *director.State) { out = s.OwnPeerState(now) })
	out.StoreFailing, out.Copies = p.store.storeFailing(now), p.copies
	return out
}

func (p *peers) receive(ctx context.Context) {
	go func() {
		<-ctx.Done()
		_ = p.conn.Close() // ends the read below
	}()
	buffer := make([]byte, maxMessageBytes)
	for {
		n, from, err := p.conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			logrus.WithError(err).Debug("cannot read a peer message")
			continue
		}
		p.received(buffer[:n], from)
	}
}

// received applies a datagram.
func (p *peers) received(text []byte, from net.Addr) {
	if len(text) == 0 || text[0] != '{' {
		p.receivedBinary(text)
		return
	}
	var message peerMessage
	if err := json.Unmarshal(text, &message); err != nil || message.VM == "" {
		p.counts.skip(skippedInvalid)
		logrus.WithError(err).WithField("from", from).Debug("invalid peer message ignored")
		return
	}
	switch now := bootclock.Now(); {
	case message.State != nil:
		p.counts.skip(skippedUnknownKind) // this build sends no queries
	case message.Query != 0:
		p.answered(now, message.VM)
		p.sendMessage(from, peerMessage{VM: p.settings.VM, Query: message.Query, State: p.store.state(now)})
	default:
		p.receivedState(now, &message)
	}
}

// receivedBinary applies a datagram that is not JSON.
func (p *peers) receivedBinary(text []byte) {
	if len(text) == 2 && text[0] == hintKind {
		p.store.wakeUp(text[1])
		return
	}
	p.receivedDigest(text)
}

// answered records that a VM runs.
func (p *peers) answered(now model.Instant, vm model.NodeID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members.Answered(now, vm)
}

// receivedState applies a VM's own message.
func (p *peers) receivedState(now model.Instant, message *peerMessage) {
	state := message.received()
	inZone := state.Zone == p.settings.Zone
	p.mu.Lock()
	p.members.Heard(now, state.VM, noteOf(&state))
	if inZone {
		p.collector.Put(now, state)
	}
	p.mu.Unlock()
	p.probe(p.reducer.Step(state))
	if inZone && message.Urgent {
		p.hastenDigest()
	}
}

// ownNote returns what this VM states of itself for the choice of a source.
func (p *peers) ownNote(storeFailing bool) membership.Note {
	return membership.Note{Isolated: p.isolated(), StoreFailing: storeFailing, Copies: p.copies}
}
