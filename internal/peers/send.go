package peers

import (
	"slices"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/timer"
)

// Round pings a few peers and sets the next round.
func (m *Members) Round(c *decision.Context, update *Update) {
	c.After(timer.PeerHeartbeat, "", interval)
	m.forget(c)
	if !m.Greeted() {
		for _, id := range sorted(m.greeting) {
			m.ping(c, m.peers[id], update)
		}
	}
	for range zoneFanout {
		m.pingNext(c, &m.inZone, true, update)
	}
	for range crossFanout {
		m.pingNext(c, &m.across, false, update)
	}
	m.pingDead(c, update)
}

// pingNext pings the next peer of a shuffled queue.
func (m *Members) pingNext(c *decision.Context, queue *[]model.NodeID, sameZone bool, update *Update) {
	if len(*queue) == 0 {
		*queue = m.shuffled(c, sameZone)
	}
	for len(*queue) > 0 {
		id := (*queue)[0]
		*queue = (*queue)[1:]
		peer, known := m.peers[id]
		if known && peer.unanswered == 0 && isLive(peer) {
			m.ping(c, peer, update)
			return
		}
	}
}

func isLive(peer *Peer) bool {
	return peer.Status == event.PeerAlive || peer.Status == event.PeerSuspected
}

// pingDead tries one dead peer from time to time: a zone that was cut off may
// be back.
func (m *Members) pingDead(c *decision.Context, update *Update) {
	if c.Now.Sub(m.deadPing) < deadRetry {
		return
	}
	m.deadPing = c.Now
	var dead []*Peer
	for _, id := range m.order {
		if peer := m.peers[id]; peer.Status == event.PeerDead {
			dead = append(dead, peer)
		}
	}
	if len(dead) > 0 {
		m.send(c, dead[c.Rand.IntN(len(dead))], false, update)
	}
}

// forget drops peers that have been dead or leaving for long. Those that the
// process settings or the platform list stay known by address.
func (m *Members) forget(c *decision.Context) {
	for _, id := range slices.Clone(m.order) {
		peer := m.peers[id]
		if !isLive(peer) && !peer.listed && c.Now.Sub(peer.since) >= forgetAfter {
			m.remove(c, id)
		}
	}
}

// ping sends a message that the peer answers, and waits for the answer.
func (m *Members) ping(c *decision.Context, peer *Peer, update *Update) {
	peer.unanswered++
	if peer.Status == event.PeerAlive {
		c.After(timer.PeerSuspect, string(peer.Node), pingTimeout)
	}
	m.send(c, peer, false, update)
	if peer.Status == event.PeerSuspected {
		// The timer of a suspected peer ends in its death; it may be pinged
		// again in the next round.
		peer.unanswered = 0
	}
}

// Reply answers a ping.
func (m *Members) Reply(c *decision.Context, to model.NodeID, update *Update) {
	if peer, known := m.peers[to]; known {
		m.send(c, peer, true, update)
	}
}

// Tell sends urgent news to a few random partners at once, whether or not they
// answer.
func (m *Members) Tell(c *decision.Context, update *Update) {
	partners := append(m.partners(true), m.partners(false)...)
	for i := range min(urgentFanout, len(partners)) {
		j := i + c.Rand.IntN(len(partners)-i)
		partners[i], partners[j] = partners[j], partners[i]
		m.emit(c, m.peers[partners[i]], true, update, []event.PeerState{m.self})
	}
}

// send sends a message with the states of some peers.
func (m *Members) send(c *decision.Context, peer *Peer, reply bool, update *Update) {
	m.emit(c, peer, reply, update, m.records(peer.Node))
}

func (m *Members) emit(c *decision.Context, peer *Peer, reply bool, update *Update, states []event.PeerState) {
	c.Emit(event.SendHeartbeat{
		To: peer.Node, Address: peer.Address, Sequence: m.self.Sequence, Reply: reply,
		Revision: update.Revision, Digest: update.Digest, ConfirmedAgo: update.ConfirmedAgo,
		Peers: states, Quarantine: update.Quarantine, Targets: update.Targets, Quotas: update.Quotas,
	})
}

// records returns the own state and a few others: first what changed lately,
// then the rest in rotation. A peer that is suspected is told so, that it can
// refute it.
func (m *Members) records(to model.NodeID) []event.PeerState {
	states := make([]event.PeerState, 0, maxRecords+1)
	states = append(states, m.self)
	taken := map[model.NodeID]bool{}
	if peer := m.peers[to]; peer.Heard && peer.Status != event.PeerAlive {
		states = append(states, peer.PeerState)
		taken[to] = true
	}
	for len(states) <= maxRecords {
		peer := m.leastTold(taken)
		if peer == nil {
			break
		}
		peer.spread--
		taken[peer.Node] = true
		states = append(states, peer.PeerState)
	}
	for range m.order {
		if len(states) > maxRecords {
			break
		}
		m.rotation = (m.rotation + 1) % len(m.order)
		id := m.order[m.rotation]
		if peer := m.peers[id]; peer.Heard && !taken[id] && id != to {
			states = append(states, peer.PeerState)
		}
	}
	return states
}

// leastTold returns the peer whose changed state was told least often.
func (m *Members) leastTold(taken map[model.NodeID]bool) *Peer {
	var least *Peer
	for _, id := range m.order {
		peer := m.peers[id]
		if peer.spread > 0 && peer.Heard && !taken[id] && (least == nil || peer.spread > least.spread) {
			least = peer
		}
	}
	return least
}
