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
	// maxPeers bounds the VMs that one message goes to.
	maxPeers = 32
	// maxMessageBytes is the largest datagram that is read.
	maxMessageBytes = 60 << 10
)

// peerMessage is a datagram between VMs.
type peerMessage struct {
	VM    model.NodeID                     `json:"vm"`
	Loads map[model.TargetID]director.Load `json:"loads"`
	// SuspectMs is what is left of the suspicion of each target.
	SuspectMs map[model.TargetID]int64 `json:"suspect_ms,omitempty"`
	// Paces are the targets of its zone that are slow.
	Paces map[model.TargetID]float64 `json:"paces,omitempty"`
}

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
	zone  []model.NodeID
	heard map[model.NodeID]model.Instant
}

func newPeers(s *platform.Settings, r *front.Reducer) *peers {
	return &peers{settings: s, reducer: r, heard: map[model.NodeID]model.Instant{}}
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
	var zone []model.NodeID
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
			zone = append(zone, name)
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
func (p *peers) leads(now model.Instant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, name := range p.zone {
		if at, spoke := p.heard[name]; spoke && name < p.settings.VM && now.Sub(at) < leadMemory {
			return false
		}
	}
	return true
}

func (p *peers) run(ctx context.Context) {
	go p.receive(ctx)
	round := 0
	every(ctx, peerInterval, func() {
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
	message := peerMessage{VM: share.VM, Loads: share.Loads, Paces: share.Paces, SuspectMs: map[model.TargetID]int64{}}
	for id, left := range share.Suspects {
		message.SuspectMs[id] = left.Milliseconds()
	}
	text, err := json.Marshal(message)
	if err != nil {
		logrus.WithError(err).Error("peer message not encoded")
		return
	}
	for _, address := range to {
		if _, err := p.conn.WriteTo(text, address); err != nil {
			logrus.WithError(err).Debug("peer message not sent")
		}
	}
}

func (p *peers) receive(ctx context.Context) {
	go func() {
		<-ctx.Done()
		_ = p.conn.Close() // ends the read below
	}()
	buffer := make([]byte, maxMessageBytes)
	for {
		n, _, err := p.conn.ReadFrom(buffer)
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
		heard := director.PeerHeard{VM: message.VM, Loads: message.Loads, Paces: message.Paces, Suspects: map[model.TargetID]time.Duration{}}
		for id, ms := range message.SuspectMs {
			heard.Suspects[id] = time.Duration(ms) * time.Millisecond
		}
		p.reducer.Step(heard)
	}
}
