package controller

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
	"tamarackreach/internal/membership"
	"tamarackreach/internal/model"
	"tamarackreach/internal/zonedigest"
)

// A datagram that is not JSON begins with its kind. Builds without digests read JSON only,
// and skip these. A digest goes on with its number in eight bytes, since it may arrive over
// several VMs, and its body.
const (
	// digestKind is a digest from the leader of another zone, forwardedKind one that the
	// leader of this zone passes on.
	digestKind    byte = 1
	forwardedKind byte = 2
)

const (
	// digestHeaderBytes is the size of the kind and the number.
	digestHeaderBytes = 9
	// maxDigestBytes bounds a digest when it is decoded.
	maxDigestBytes = 4 << 20
	// recentDigests is the number of digests whose copies are skipped.
	recentDigests = 256
)

// errUnknownKind means that a datagram is of a kind that this build does not know.
var errUnknownKind = errors.New("the message is of a kind that this build does not know; upgrade the VM")

// digestMessage is the body of a digest: JSON, compressed.
type digestMessage struct {
	Zone model.AvailabilityZone  `json:"zone"`
	VM   model.NodeID            `json:"vm"`
	Load map[model.TargetID]load `json:"loads,omitempty"`
	VMs  []peerMessage           `json:"vms"`
}

// compressors and decompressors are reused, since each has some hundred kilobytes of state.
var (
	compressors = sync.Pool{New: func() any {
		w, _ := flate.NewWriter(nil, flate.BestSpeed) // the level is valid
		return w
	}}
	decompressors = sync.Pool{New: func() any { return flate.NewReader(nil) }}
)

func encodeDigest(d *zonedigest.Digest, number uint64) ([]byte, error) {
	body := digestMessage{Zone: d.Zone, VM: d.Sender, Load: make(map[model.TargetID]load, len(d.Loads))}
	for id, l := range d.Loads {
		body.Load[id] = encodeLoad(l)
	}
	for _, m := range d.Members {
		message := encodePeerState(m.State)
		message.AgeMs = m.Age.Milliseconds()
		body.VMs = append(body.VMs, message)
	}
	var out bytes.Buffer
	out.WriteByte(digestKind)
	out.Write(binary.BigEndian.AppendUint64(nil, number))
	compressed := compressors.Get().(*flate.Writer)
	defer compressors.Put(compressed)
	compressed.Reset(&out)
	if err := json.NewEncoder(compressed).Encode(&body); err != nil {
		return nil, errors.Wrap(err, "cannot encode the digest")
	}
	if err := compressed.Close(); err != nil {
		return nil, errors.Wrap(err, "cannot compress the digest")
	}
	return out.Bytes(), nil
}

// digestNumber returns the number of a digest, which tells copies of it.
func digestNumber(text []byte) (uint64, error) {
	if len(text) == 0 || text[0] != digestKind && text[0] != forwardedKind {
		return 0, errUnknownKind
	}
	if len(text) < digestHeaderBytes {
		return 0, errors.New("the digest of a zone is skipped: it is cut short")
	}
	return binary.BigEndian.Uint64(text[1:]), nil
}

// decodeDigest decodes a digest whose number was read.
func decodeDigest(text []byte) (*zonedigest.Digest, error) {
	body := decompressors.Get().(io.Reader)
	defer decompressors.Put(body)
	if err := body.(flate.Resetter).Reset(bytes.NewReader(text[digestHeaderBytes:]), nil); err != nil {
		return nil, errors.Wrap(err, "cannot decompress the digest")
	}
	var message digestMessage
	if err := json.NewDecoder(io.LimitReader(body, maxDigestBytes)).Decode(&message); err != nil {
		return nil, errors.Wrap(err, "the digest of a zone is skipped: it does not decode")
	}
	if message.Zone == "" || message.VM == "" {
		return nil, errors.New("the digest of a zone is skipped: it names no zone or no sender")
	}
	out := &zonedigest.Digest{Zone: message.Zone, Sender: message.VM, Loads: make(map[model.TargetID]director.Load, len(message.Load))}
	for id, l := range message.Load {
		out.Loads[id] = l.decode()
	}
	for i := range message.VMs {
		state := message.VMs[i].received()
		age := state.Age
		state.Age, state.Loads = 0, nil
		if state.VM != "" && state.Zone == message.Zone && age >= 0 {
			out.Members = append(out.Members, zonedigest.Member{State: state, Age: age})
		}
	}
	return out, nil
}

// messageCounts counts messages between VMs.
type messageCounts struct {
	digestsSent, digestsReceived, digestBytes, tooLarge atomic.Uint64
	skipped                                             [skippedReasons]atomic.Uint64
}

// The reasons for which a message is skipped.
const (
	skippedInvalid = iota
	skippedUnknownKind
	skippedReasons
)

func (c *messageCounts) skip(reason int) { c.skipped[reason].Add(1) }

// MessageCounts are counters of the messages between VMs, from the start of the process.
type MessageCounts struct {
	// Invalid counts messages that did not decode, UnknownKind those of a kind that this
	// build does not know. Both were skipped.
	Invalid, UnknownKind uint64
	// DigestsSent and DigestsReceived count digests of zones, DigestBytes the bytes sent to
	// other zones in them, and DigestsTooLarge those that did not fit into a datagram.
	DigestsSent, DigestsReceived, DigestBytes, DigestsTooLarge uint64
}

// MessageCounts returns the counters of the messages between VMs.
func (c *Controller) MessageCounts() MessageCounts {
	counts := &c.peers.counts
	return MessageCounts{
		Invalid: counts.skipped[skippedInvalid].Load(), UnknownKind: counts.skipped[skippedUnknownKind].Load(),
		DigestsSent: counts.digestsSent.Load(), DigestsReceived: counts.digestsReceived.Load(), DigestBytes: counts.digestBytes.Load(),
		DigestsTooLarge: counts.tooLarge.Load(),
	}
}

// hastenDigest has the digest of this zone sent without delay, if this VM sends it.
func (p *peers) hastenDigest() {
	select {
	case p.digestDue <- struct{}{}:
	default: // already due
	}
}

// sendDigests sends the digest of this zone to other zones while this VM exchanges digests:
// at an interval, and without delay when a VM has learned of something urgent.
func (p *peers) sendDigests(ctx context.Context) {
	ticker := time.NewTicker(membership.DigestInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		p.sendDigest(round)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			continue
		case <-p.digestDue:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(minLearnedInterval):
		}
	}
}

func (p *peers) sendDigest(round int) {
	now := bootclock.Now()
	p.mu.Lock()
	leads := p.members.LeadsDigests(now)
	addresses := p.resolved(p.members.DigestRecipients(now, round))
	p.mu.Unlock()
	if !leads || len(addresses) == 0 {
		return
	}
	own := p.ownState(now)
	p.mu.Lock()
	digest := p.collector.Digest(now, own)
	p.mu.Unlock()
	text, err := encodeDigest(&digest, rand.Uint64())
	if err != nil {
		logrus.WithError(err).Error("digest not sent")
		return
	}
	if len(text) > maxMessageBytes {
		p.counts.tooLarge.Add(1)
		logrus.WithField("bytes", len(text)).Warn("digest not sent; it does not fit into a datagram")
		return
	}
	for _, address := range addresses {
		p.write(address, text)
		p.counts.digestsSent.Add(1)
		p.counts.digestBytes.Add(uint64(len(text)))
	}
}

// noteOf returns what a VM states of itself.
func noteOf(s *director.PeerState) membership.Note {
	return membership.Note{Isolated: s.Isolated, StoreFailing: s.StoreFailing, Copies: s.Copies}
}

// receivedDigest applies the digest of another zone, unless it is a copy, and passes it on:
// as the leader to the VMs of this zone, otherwise to the leader.
func (p *peers) receivedDigest(text []byte) {
	number, err := digestNumber(text)
	if errors.Is(err, errUnknownKind) {
		p.counts.skip(skippedUnknownKind)
		return
	}
	if err == nil && !p.firstCopy(number) {
		return
	}
	var digest *zonedigest.Digest
	if err == nil {
		digest, err = decodeDigest(text)
	}
	if err != nil {
		p.counts.skip(skippedInvalid)
		logrus.WithError(err).Debug("message skipped")
		return
	}
	p.counts.digestsReceived.Add(1)
	if digest.Zone == p.settings.Zone {
		return
	}
	now := bootclock.Now()
	p.mu.Lock()
	for _, m := range digest.Members {
		p.members.Heard(now.Add(-m.Age), m.State.VM, noteOf(&m.State))
	}
	p.mu.Unlock()
	if text[0] == digestKind {
		p.forward(now, text)
	}
	p.probe(p.reducer.Step(digest.Received()))
}

// firstCopy reports whether no copy of a digest was received yet. Only the receiving
// goroutine calls it.
func (p *peers) firstCopy(number uint64) bool {
	if slices.Contains(p.recent[:min(p.nextRecent, recentDigests)], number) {
		return false
	}
	p.recent[p.nextRecent%recentDigests] = number
	p.nextRecent++
	return true
}

func (p *peers) forward(now model.Instant, text []byte) {
	p.mu.Lock()
	leads := p.members.LeadsDigests(now)
	addresses := p.resolved(p.members.ForwardRecipients(now))
	p.mu.Unlock()
	if leads {
		text[0] = forwardedKind
	}
	for _, address := range addresses {
		p.write(address, text)
	}
}
