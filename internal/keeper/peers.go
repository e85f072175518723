package keeper

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
	"tamarackreach/internal/front"
	"tamarackreach/internal/model"
	"tamarackreach/platform"
)

const (
	// peerInterval is how often load is shared inside a zone.
	peerInterval = 200 * time.Millisecond
	// farEvery is how many intervals pass between messages to other zones: bytes
	// between zones are dear.
	farEvery = 3
	// leadMemory is how long a VM of the zone counts as alive: five messages.
	leadMemory = time.Second
	// askTimeout bounds the wait for the lead's answer; inside a zone it comes
	// within milliseconds.
	askTimeout = 100 * time.Millisecond
	// maxPeers bounds the VMs that one message goes to.
	maxPeers = 32
	// maxMessageBytes is the largest datagram that is read.
	maxMessageBytes = 60 << 10
)

// peers shares load and faults with other VMs. A lost message only makes the
// view older.
type peers struct {
	settings *platform.Settings
	reducer  *front.Reducer
	conn     net.PacketConn
	mu       sync.Mutex
	near     []*net.UDPAddr
	far      []*net.UDPAddr
	// zone names the other VMs of the zone; heard is when each last spoke.
	zone  map[model.NodeID]*net.UDPAddr
	heard map[model.NodeID]model.Instant
	view  *view
	// asked is the number of the last question; waiting are those without an
	// answer.
	asked   uint64
	waiting map[uint64]chan *seen
}

func newPeers(s *platform.Settings, r *front.Reducer, v *view) *peers {
	return &peers{
		settings: s, reducer: r, heard: map[model.NodeID]model.Instant{}, view: v, waiting: map[uint64]chan *seen{},
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

// set replaces the list of VMs.
func (p *peers) set(vms map[model.NodeID]vmRecord) {
	var near, far []*net.UDPAddr
	zone := map[model.NodeID]*net.UDPAddr{}
	for name, record := range vms {
		if name == p.settings.VM {
			continue
		}
		address, err := net.ResolveUDPAddr("udp4", record.PeerAddress)
		if err != nil {
			logrus.WithError(err).WithField("vm", name).Warn("VM address passed over")
			continue
		}
		if record.Zone == p.settings.Zone {
			near = append(near, address)
			zone[name] = address
		} else {
			far = append(far, address)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.near, p.far = near[:min(len(near), maxPeers)], far[:min(len(far), maxPeers)]
	p.zone = zone
}

// leads is true when no VM of the zone with a smaller name was heard lately.
// Two VMs may lead at a time; each then reads what one would.
func (p *peers) leads(now model.Instant) bool { return p.lead(now) == nil }

// lead returns the address of the zone's lead, or nil when this VM leads.
func (p *peers) lead(now model.Instant) *net.UDPAddr {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := p.settings.VM
	var address *net.UDPAddr
	for name, at := range p.zone {
		if heard, spoke := p.heard[name]; spoke && name < first && now.Sub(heard) < leadMemory {
			first, address = name, at
		}
	}
	return address
}

// askLead asks the zone's lead what it last saw of the store, and returns when
// it was asked. It returns false when this VM leads or no answer came in time.
func (p *peers) askLead(ctx context.Context) (*seen, model.Instant, bool) {
	now := bootclock.Now()
	address := p.lead(now)
	if address == nil {
		return nil, now, false
	}
	answer := make(chan *seen, 1)
	p.mu.Lock()
	p.asked++
	number := p.asked
	p.waiting[number] = answer
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.waiting, number)
		p.mu.Unlock()
	}()
	p.post(address, peerMessage{VM: p.settings.VM, Ask: number})
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case s := <-answer:
		return s, now, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil, now, false
}

func (p *peers) post(to net.Addr, message peerMessage) {
	text, err := json.Marshal(message)
	if err != nil {
		logrus.WithError(err).Error("peer message not encoded")
		return
	}
	p.write(to, text)
}

func (p *peers) write(to net.Addr, text []byte) {
	if _, err := p.conn.WriteTo(text, to); err != nil {
		logrus.WithError(err).Debug("peer message not sent")
	}
}

// answered hands an answer to the question that waits for it.
func (p *peers) answered(number uint64, s *seen) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if waiting := p.waiting[number]; waiting != nil {
		waiting <- s
		delete(p.waiting, number)
	}
}

func (p *peers) run(ctx context.Context) {
	go p.receive(ctx)
	round := 0
	every(ctx, always(peerInterval), func() {
		round++
		p.mu.Lock()
		to := p.near
		if round%farEvery == 0 {
			to = append(append([]*net.UDPAddr{}, p.near...), p.far...)
		}
		p.mu.Unlock()
		p.send(to)
	})
}

func (p *peers) send(to []*net.UDPAddr) {
	if len(to) == 0 {
		return
	}
	var share director.PeerHeard
	p.reducer.Read(func(s *director.State) { share = s.Share(bootclock.Now()) })
	text, err := json.Marshal(shareMessage(share))
	if err != nil {
		logrus.WithError(err).Error("peer message not encoded")
		return
	}
	for _, address := range to {
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
			logrus.WithError(err).Debug("peer message not read")
			continue
		}
		var message peerMessage
		if err := json.Unmarshal(buffer[:n], &message); err != nil {
			logrus.WithError(err).Debug("peer message passed over")
			continue
		}
		p.mu.Lock()
		p.heard[message.VM] = bootclock.Now()
		p.mu.Unlock()
		switch {
		case message.Seen != nil:
			p.answered(message.Ask, message.Seen)
			continue
		case message.Ask != 0:
			p.post(from, peerMessage{VM: p.settings.VM, Ask: message.Ask, Seen: p.view.state(bootclock.Now())})
			continue
		}
		p.reducer.Step(message.heard())
	}
}
