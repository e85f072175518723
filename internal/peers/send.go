package peers

import (
	"slices"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/timer"
)

// PingRound pings a few peers and schedules the next round.
func (m *Members) PingRound(c *decision.Context, update *Update) {
	c.After(timer.PeerHeartbeat, "", pingInterval)
	m.removeExpired(c)
	if !m.StartupSyncDone() {
		for _, id := range sortedKeys(m.awaitingSync) {
			m.ping(c, m.peers[id], update)
		}
	}
	for range sameZoneFanout {
		m.pingNext(c, &m.sameZoneQueue, true, update)
	}
	for range crossZoneFanout {
		m.pingNext(c, &m.crossZoneQueue, false, update)
	}
	m.pingDead(c, update)
}

// pingNext pings the next live peer of a queue that has no unanswered ping. It
// refills an empty queue.
func (m *Members) pingNext(c *decision.Context, queue *[]model.NodeID, sameZone bool, update *Update) {
	if len(*queue) == 0 {
		*queue = m.shuffledPartners(c, sameZone)
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

// isLive reports whether a peer is alive or suspected.
func isLive(peer *Peer) bool {
	return peer.Status == event.PeerAlive || peer.Status == event.PeerSuspected
}

// pingDead pings a random dead peer every deadPingInterval: a partition between
// zones may have healed.
func (m *Members) pingDead(c *decision.Context, update *Update) {
	if c.Now.Sub(m.lastDeadPing) < deadPingInterval {
		return
	}
	m.lastDeadPing = c.Now
	var dead []*Peer
	for _, id := range m.sortedIDs {
		if peer := m.peers[id]; peer.Status == event.PeerDead {
			dead = append(dead, peer)
		}
	}
	if len(dead) > 0 {
		m.send(c, dead[c.Rand.IntN(len(dead))], false, update)
	}
}

// removeExpired removes peers that have been dead or leaving for deadRetention.
// Peers in the configuration or the platform's VM list are kept.
func (m *Members) removeExpired(c *decision.Context) {
	for _, id := range slices.Clone(m.sortedIDs) {
		peer := m.peers[id]
		if !isLive(peer) && !peer.listed && c.Now.Sub(peer.statusSince) >= deadRetention {
			m.remove(c, id)
		}
	}
}

// ping sends a message to which the peer is expected to answer and counts it as
// unanswered.
func (m *Members) ping(c *decision.Context, peer *Peer, update *Update) {
	peer.unanswered++
	if peer.Status == event.PeerAlive {
		c.After(timer.PeerSuspect, string(peer.Node), pingTimeout)
	}
	m.send(c, peer, false, update)
	if peer.Status == event.PeerSuspected {
		// The timer of a suspected peer declares it dead, so pings are not
		// counted; the peer may be pinged again in the next round.
		peer.unanswered = 0
	}
}

// Reply answers a ping.
func (m *Members) Reply(c *decision.Context, to model.NodeID, update *Update) {
	if peer, known := m.peers[to]; known {
		m.send(c, peer, true, update)
	}
}

// SendUrgent sends an urgent update to a few random partners at once and expects
// no answer.
func (m *Members) SendUrgent(c *decision.Context, update *Update) {
	partners := append(m.partners(true), m.partners(false)...)
	for i := range min(urgentFanout, len(partners)) {
		j := i + c.Rand.IntN(len(partners)-i)
		partners[i], partners[j] = partners[j], partners[i]
		m.emit(c, m.peers[partners[i]], true, update, []event.PeerState{m.self})
	}
}

// send sends a message with the states of this node and some peers.
func (m *Members) send(c *decision.Context, peer *Peer, reply bool, update *Update) {
	m.emit(c, peer, reply, update, m.selectStates(peer.Node))
}

func (m *Members) emit(c *decision.Context, peer *Peer, reply bool, update *Update, states []event.PeerState) {
	c.Emit(event.SendHeartbeat{
		To: peer.Node, Address: peer.Address, Sequence: m.self.Sequence, Reply: reply,
		Revision: update.Revision, Digest: update.Digest, ConfirmedAgo: update.ConfirmedAgo,
		Peers: states, Quarantine: update.Quarantine, Targets: update.Targets, Quotas: update.Quotas,
	})
}

// selectStates returns the states to send to a peer: this node's own, the
// recipient's if it is not alive, so that it can refute it, then recently changed
// ones and the rest in rotation.
func (m *Members) selectStates(to model.NodeID) []event.PeerState {
	states := make([]event.PeerState, 0, maxRecords+1)
	states = append(states, m.self)
	included := map[model.NodeID]bool{}
	if peer := m.peers[to]; peer.StateKnown && peer.Status != event.PeerAlive {
		states = append(states, peer.PeerState)
		included[to] = true
	}
	for len(states) <= maxRecords {
		peer := m.leastSent(included)
		if peer == nil {
			break
		}
		peer.resendsLeft--
		included[peer.Node] = true
		states = append(states, peer.PeerState)
	}
	for range m.sortedIDs {
		if len(states) > maxRecords {
			break
		}
		m.rotation = (m.rotation + 1) % len(m.sortedIDs)
		id := m.sortedIDs[m.rotation]
		if peer := m.peers[id]; peer.StateKnown && !included[id] && id != to {
			states = append(states, peer.PeerState)
		}
	}
	return states
}

// leastSent returns the peer whose changed state was sent least often, or nil.
func (m *Members) leastSent(included map[model.NodeID]bool) *Peer {
	var least *Peer
	for _, id := range m.sortedIDs {
		peer := m.peers[id]
		if peer.resendsLeft > 0 && peer.StateKnown && !included[id] && (least == nil || peer.resendsLeft > least.resendsLeft) {
			least = peer
		}
	}
	return least
}
