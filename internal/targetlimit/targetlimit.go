// Package targetlimit divides the request rates that targets name among the VMs. A target
// in need names the requests a second that it takes from all VMs together; each VM sends a
// share of them, without waiting for the others.
package targetlimit

import (
	"hash/fnv"
	"math"
	"time"

	"tamarackreach/internal/model"
)

const (
	// minPerSecond is the lowest rate that is applied: without any request no answer would
	// show that the limit is over. maxPerSecond is the highest.
	minPerSecond, maxPerSecond = 0.2, 1e6
	// sendsTime is the time constant of the decaying count of sends.
	sendsTime = 2 * time.Second
	// evenFraction is the fraction of a rate that is divided evenly; the rest follows the
	// sends of the VMs. It lets a VM whose demand begins get a share.
	evenFraction = 0.25
	// burstTime is the time for which an unused share accumulates, beyond one request.
	burstTime = 750 * time.Millisecond
	// extraSenders is the number of VMs beyond the rate that may send to a target: each may
	// send one request at once.
	extraSenders = 3
	// memory is how long the sends of a VM count after its last message, and how long the
	// end of a limit is sent to others.
	memory = 10 * time.Second
	// shareInterval is how long a computed share is used: it depends on all VMs.
	shareInterval = 100 * time.Millisecond
	// logChange is the relative change of a rate from which it is reported.
	logChange = 0.2
)

// Shared is what VMs tell each other of a target's limit.
type Shared struct {
	// PerSecond is the rate that the target named last, 0 if it named none.
	PerSecond float64
	// Age is the time since the answer that named it, or did not.
	Age time.Duration
	// Sends is the decaying count of the sender's requests to the target.
	Sends float64
}

// VMs are the VMs that may send to a target.
type VMs struct {
	Self model.NodeID
	// Heard are the other VMs that sent messages lately, in a fixed order.
	Heard []model.NodeID
	// Count is the number of all VMs, as far as it is known.
	Count int
}

// Change is how an observation changed the limit of a target.
type Change uint8

// The changes of a limit.
const (
	Unchanged Change = iota
	Named
	Ended
)

// Limits holds the limits of all targets.
type Limits struct{ targets map[model.TargetID]*limit }

type limit struct {
	// perSecond is the rate in force, 0 for none, observed at observedAt by any VM.
	perSecond  float64
	observedAt model.Instant
	// endedAt is when the last limit ended, 0 without one.
	endedAt model.Instant
	// logged is the rate that was last reported as a change.
	logged float64
	// tokens are the requests that this VM may send now, as of refilledAt.
	tokens     float64
	refilledAt model.Instant
	// share is this VM's share of the rate, as of sharedAt.
	share    float64
	sharedAt model.Instant
	own      decayingCount
	peers    map[model.NodeID]peerSends
}

type peerSends struct {
	sends float64
	at    model.Instant
}

// decayingCount counts events with a weight that decays with time.
type decayingCount struct {
	value float64
	at    model.Instant
}

func (c *decayingCount) get(now model.Instant) float64 {
	return c.value * math.Exp(-now.Sub(c.at).Seconds()/sendsTime.Seconds())
}

func (c *decayingCount) add(now model.Instant, n float64) {
	c.value, c.at = max(c.get(now)+n, 0), now
}

// New returns limits without any target.
func New() *Limits { return &Limits{targets: map[model.TargetID]*limit{}} }

func (l *Limits) get(target model.TargetID) *limit {
	t := l.targets[target]
	if t == nil {
		t = &limit{peers: map[model.NodeID]peerSends{}}
		l.targets[target] = t
	}
	return t
}

// Observe records the rate that an answer of a target named at a time, 0 for none.
func (l *Limits) Observe(now, at model.Instant, target model.TargetID, perSecond float64) Change {
	t := l.get(target)
	if at < t.observedAt {
		return Unchanged
	}
	if perSecond > 0 {
		perSecond = min(max(perSecond, minPerSecond), maxPerSecond)
	}
	switch {
	case t.perSecond == 0 && perSecond > 0:
		t.tokens, t.refilledAt = 0, now
	case t.perSecond > 0 && perSecond == 0:
		t.endedAt = now
	}
	if perSecond != t.perSecond {
		t.sharedAt = 0
	}
	t.perSecond, t.observedAt = perSecond, at
	switch {
	case perSecond == 0 && t.logged > 0:
		t.logged = 0
		return Ended
	case perSecond > 0 && math.Abs(perSecond-t.logged) > logChange*t.logged:
		t.logged = perSecond
		return Named
	}
	return Unchanged
}

// ObservePeer records what another VM told of a target.
func (l *Limits) ObservePeer(now model.Instant, vm model.NodeID, target model.TargetID, s Shared) Change {
	l.get(target).peers[vm] = peerSends{sends: s.Sends, at: now}
	return l.Observe(now, now.Add(-s.Age), target, s.PerSecond)
}

// Forget removes what is known of a target that has ended.
func (l *Limits) Forget(target model.TargetID) { delete(l.targets, target) }

// Limited reports whether a limit of a target is in force.
func (l *Limits) Limited(target model.TargetID) bool {
	t := l.targets[target]
	return t != nil && t.perSecond > 0
}

// Allow reports whether this VM may send a request to a target now.
func (l *Limits) Allow(now model.Instant, target model.TargetID, vms VMs) bool {
	t := l.targets[target]
	if t == nil || t.perSecond == 0 {
		return true
	}
	t.refill(now, t.currentShare(now, target, vms))
	return t.tokens >= 1
}

// Sent counts a request that this VM sends to a target.
func (l *Limits) Sent(now model.Instant, target model.TargetID) { l.count(now, target, 1) }

// NotSent takes back a request that was counted and not sent after all.
func (l *Limits) NotSent(now model.Instant, target model.TargetID) { l.count(now, target, -1) }

func (l *Limits) count(now model.Instant, target model.TargetID, n float64) {
	t := l.get(target)
	t.own.add(now, n)
	t.tokens -= n
}

// Wait returns the time until this VM may send a request to a target.
func (l *Limits) Wait(now model.Instant, target model.TargetID, vms VMs) time.Duration {
	if l.Allow(now, target, vms) {
		return 0
	}
	t := l.targets[target]
	share := t.currentShare(now, target, vms)
	if share == 0 {
		return memory
	}
	return min(time.Duration((1-t.tokens)/share*float64(time.Second)), memory)
}

// Share returns what to tell other VMs: the targets with a limit, and those whose limit
// ended lately.
func (l *Limits) Share(now model.Instant) map[model.TargetID]Shared {
	var out map[model.TargetID]Shared
	for target, t := range l.targets {
		if t.perSecond == 0 && (t.endedAt == 0 || now.Sub(t.endedAt) > memory) {
			continue
		}
		if out == nil {
			out = map[model.TargetID]Shared{}
		}
		out[target] = Shared{PerSecond: t.perSecond, Age: now.Sub(t.observedAt), Sends: t.own.get(now)}
	}
	return out
}

// currentShare returns this VM's share of the rate, at most shareInterval old.
func (t *limit) currentShare(now model.Instant, target model.TargetID, vms VMs) float64 {
	if t.sharedAt == 0 || now.Sub(t.sharedAt) >= shareInterval {
		t.share, t.sharedAt = t.shareOf(now, target, vms), now
	}
	return t.share
}

// shareOf computes this VM's share of the rate, in requests a second.
//
// Invariant: the shares of all VMs that know each other, and one request of each VM that
// has a share, stay below one and a half times the rate and five requests over four
// seconds. A VM that does not know the sends of all others takes an even share.
func (t *limit) shareOf(now model.Instant, target model.TargetID, vms VMs) float64 {
	count := max(vms.Count, len(vms.Heard)+1)
	if senders := int(t.perSecond) + extraSenders; count > senders {
		if rank(target, vms) >= senders {
			return 0
		}
		return t.perSecond / float64(senders)
	}
	even := t.perSecond / float64(count)
	own := t.own.get(now)
	total, known := own, 1
	for _, vm := range vms.Heard {
		known++
		if p, found := t.peers[vm]; found && now.Sub(p.at) < memory {
			total += p.sends
		}
	}
	if known < count || total <= 0 {
		return even
	}
	return evenFraction*even + (1-evenFraction)*t.perSecond*own/total
}

// rank returns how many other VMs come before this one in the order of a target, which
// differs between targets.
func rank(target model.TargetID, vms VMs) int {
	weight := func(vm model.NodeID) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte(string(target) + "\x00" + string(vm))) // a hash's Write never fails
		return h.Sum64()
	}
	self, before := weight(vms.Self), 0
	for _, vm := range vms.Heard {
		if w := weight(vm); w > self || w == self && vm < vms.Self {
			before++
		}
	}
	return before
}

func (t *limit) refill(now model.Instant, share float64) {
	burst := max(1, share*burstTime.Seconds())
	t.tokens = min(t.tokens+share*now.Sub(t.refilledAt).Seconds(), burst)
	t.refilledAt = now
}
