package controller

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
	"tamarackreach/internal/ingress"
	"tamarackreach/internal/model"
	"tamarackreach/platform"
)

const (
	// peerStateInterval is the interval of messages within a zone.
	peerStateInterval = 200 * time.Millisecond
	// minLearnedInterval is the minimum time between two messages that are sent to all VMs
	// without delay.
	minLearnedInterval = 100 * time.Millisecond
	// crossZoneEvery is the number of intervals between messages to other zones:
	// traffic between zones is expensive.
	crossZoneEvery = 3
	// peerTimeout is the time without a message after which a VM of the zone counts
	// as failed: five messages.
	peerTimeout = time.Second
	// queryTimeout bounds the wait for the leader's reply, which takes milliseconds
	// within a zone.
	queryTimeout = 100 * time.Millisecond
	// maxPeers bounds the recipients of a message in this zone, and those in other
	// zones.
	maxPeers = 32
	// maxMessageBytes is the size of the receive buffer for datagrams.
	maxMessageBytes = 60 << 10
)

// peers exchanges load and failures with other VMs by UDP. A lost message only makes
// the state of its recipients older.
type peers struct {
	settings   *platform.Settings
	reducer    *ingress.Reducer
	conn       net.PacketConn
	mu         sync.Mutex
	sameZone   []*net.UDPAddr
	otherZones []*net.UDPAddr
	// zonePeers are the addresses of the other VMs of the zone; received is when
	// the last message of each VM arrived.
	zonePeers map[model.NodeID]*net.UDPAddr
	received  map[model.NodeID]model.Instant
	// isolated are the VMs that state that they do not reach the targets.
	isolated map[model.NodeID]bool
	view     *view
	// probe carries out the probes that a message makes due.
	probe ingress.Prober
	// lastQuery is the number of the last query; pending are those without a reply.
	lastQuery uint64
	pending   map[uint64]chan *state
}

func newPeers(s *platform.Settings, r *ingress.Reducer, v *view, probe ingress.Prober) *peers {
	return &peers{
		settings: s, reducer: r, received: map[model.NodeID]model.Instant{}, isolated: map[model.NodeID]bool{}, view: v, probe: probe,
		pending: map[uint64]chan *state{},
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
	var sameZone, otherZones []*net.UDPAddr
	zonePeers := map[model.NodeID]*net.UDPAddr{}
	for name, record := range vms {
		if name == p.settings.VM {
			continue
		}
		address, err := net.ResolveUDPAddr("udp4", record.PeerAddress)
		if err != nil {
			logrus.WithError(err).WithField("vm", name).Warn("invalid VM address ignored")
			continue
		}
		if record.Zone == p.settings.Zone {
			sameZone = append(sameZone, address)
			zonePeers[name] = address
		} else {
			otherZones = append(otherZones, address)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sameZone, p.otherZones = sameZone[:min(len(sameZone), maxPeers)], otherZones[:min(len(otherZones), maxPeers)]
	p.zonePeers = zonePeers
}

// isLeader reports whether no live VM of the zone has a smaller name. Two VMs may
// both be leader for a time; both then do the leader's reads.
func (p *peers) isLeader(now model.Instant) bool { return p.leader(now) == nil }

// monitors reports whether this VM monitors the targets of its zone: no live VM of the zone
// with a smaller name reaches them.
func (p *peers) monitors(now model.Instant) bool {
	isolated := false
	p.reducer.Read(func(s *director.State) { isolated = s.Isolated() })
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range p.zonePeers {
		if received, found := p.received[name]; found && name < p.settings.VM && !p.isolated[name] && now.Sub(received) < peerTimeout {
			return false
		}
	}
	return !isolated
}

// leader returns the address of the zone leader, or nil when this VM is the leader.
func (p *peers) leader(now model.Instant) *net.UDPAddr {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := p.settings.VM
	var address *net.UDPAddr
	for name, candidate := range p.zonePeers {
		if received, found := p.received[name]; found && name < first && now.Sub(received) < peerTimeout {
			first, address = name, candidate
		}
	}
	return address
}

// queryLeader returns the zone leader's store state and the time of the query. It
// returns false when this VM is the leader or no reply arrived in time.
func (p *peers) queryLeader(ctx context.Context) (*state, model.Instant, bool) {
	now := bootclock.Now()
	address := p.leader(now)
	if address == nil {
		return nil, now, false
	}
	reply := make(chan *state, 1)
	p.mu.Lock()
	p.lastQuery++
	number := p.lastQuery
	p.pending[number] = reply
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.pending, number)
		p.mu.Unlock()
	}()
	p.sendMessage(address, peerMessage{VM: p.settings.VM, Query: number})
	timer := time.NewTimer(queryTimeout)
	defer timer.Stop()
	select {
	case s := <-reply:
		return s, now, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil, now, false
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

// deliver passes a reply to its query; a late reply is discarded.
func (p *peers) deliver(number uint64, s *state) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pending := p.pending[number]; pending != nil {
		pending <- s
		delete(p.pending, number)
	}
}

func (p *peers) run(ctx context.Context) {
	go p.receive(ctx)
	go p.sendLearned(ctx)
	round := 0
	every(ctx, constant(peerStateInterval), func() {
		round++
		p.sendPeerState(p.recipients(round%crossZoneEvery == 0))
	})
}

// recipients returns the addresses of the VMs of this zone, or of all zones.
func (p *peers) recipients(allZones bool) []*net.UDPAddr {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !allZones {
		return p.sameZone
	}
	return slices.Concat(p.sameZone, p.otherZones)
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
		p.sendPeerState(p.recipients(true))
		select {
		case <-ctx.Done():
			return
		case <-time.After(minLearnedInterval):
		}
	}
}

func (p *peers) sendPeerState(addresses []*net.UDPAddr) {
	if len(addresses) == 0 {
		return
	}
	var peerState director.PeerState
	p.reducer.Read(func(s *director.State) { peerState = s.OwnPeerState(bootclock.Now()) })
	text, err := json.Marshal(encodePeerState(peerState))
	if err != nil {
		logrus.WithError(err).Error("cannot encode the peer message")
		return
	}
	for _, address := range addresses {
		p.write(address, text)
	}
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
		var message peerMessage
		if err := json.Unmarshal(buffer[:n], &message); err != nil {
			logrus.WithError(err).Debug("invalid peer message ignored")
			continue
		}
		p.mu.Lock()
		p.received[message.VM] = bootclock.Now()
		p.mu.Unlock()
		switch {
		case message.State != nil:
			p.deliver(message.Query, message.State)
			continue
		case message.Query != 0:
			p.sendMessage(from, peerMessage{VM: p.settings.VM, Query: message.Query, State: p.view.snapshot(bootclock.Now())})
			continue
		}
		p.mu.Lock()
		p.isolated[message.VM] = message.Isolated
		p.mu.Unlock()
		p.probe(p.reducer.Step(message.received()))
	}
}
