package peers

import (
	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/timer"
)

// Received takes in a heartbeat of a peer. It returns true when the heartbeat
// held a wrong state of this node, which is now refuted.
func (m *Members) Received(c *decision.Context, ev event.PeerHeartbeatReceived, update *Update) (refuted bool) {
	if ev.From == m.self.Node {
		return false
	}
	for _, state := range ev.Peers {
		if state.Node == m.self.Node {
			refuted = m.refute(state) || refuted
			continue
		}
		m.heard(c, state)
	}
	peer, known := m.peers[ev.From]
	if !known || peer.Incarnation > ev.Incarnation {
		return refuted
	}
	delete(m.greeting, ev.From)
	peer.unanswered = 0
	peer.Revision = max(peer.Revision, ev.Revision)
	peer.Confirmed = max(peer.Confirmed, c.Now.Add(-ev.ConfirmedAgo))
	m.hadContact(c, peer, ev.Reply, update)
	return refuted
}

// hadContact takes in that a peer itself was heard. One that does not yet know
// that it is suspected is told, so that it refutes that everywhere.
func (m *Members) hadContact(c *decision.Context, peer *Peer, reply bool, update *Update) {
	switch peer.Status {
	case event.PeerAlive, event.PeerLeaving:
		c.Stop(timer.PeerSuspect, string(peer.Node))
	case event.PeerSuspected, event.PeerDead:
		if peer.Status == event.PeerSuspected {
			c.After(timer.PeerSuspect, string(peer.Node), deadAfter)
		}
		if reply {
			m.send(c, peer, false, update)
		}
	}
}

// heard takes in the state of one node as a peer knows it.
func (m *Members) heard(c *decision.Context, state event.PeerState) {
	peer, known := m.peers[state.Node]
	if !known {
		// What others are about to forget is not learnt anew.
		if state.Status != event.PeerAlive {
			return
		}
		peer = m.add(c, state.Node)
		peer.Status = event.PeerSuspected
	}
	if !newer(state, peer) {
		peer.takeRevision(state)
		return
	}
	status := state.Status
	if state.Incarnation == peer.Incarnation && peer.Status == event.PeerLeaving {
		status = event.PeerLeaving
	}
	before := *peer
	peer.Heard = true
	peer.PeerState = state
	peer.Status = before.Status
	if state.Incarnation == before.Incarnation {
		peer.takeRevision(before.PeerState)
	}
	if status == event.PeerAlive {
		peer.unanswered = 0
		c.Stop(timer.PeerSuspect, string(state.Node))
	}
	if state.Incarnation > before.Incarnation {
		peer.spread = m.transmissions()
	}
	m.setStatus(c, peer, status)
}

// takeRevision takes in a newer revision of the same life of a node.
func (p *Peer) takeRevision(state event.PeerState) {
	if state.Incarnation == p.Incarnation && state.Revision > p.Revision {
		p.Revision = state.Revision
		p.InForceUnixMs = state.InForceUnixMs
	}
}

// newer is true when a state overrides what is known.
func newer(state event.PeerState, peer *Peer) bool {
	if state.Incarnation != peer.Incarnation {
		return state.Incarnation > peer.Incarnation
	}
	if state.Sequence != peer.Sequence {
		return state.Sequence > peer.Sequence
	}
	return state.Status > peer.Status
}

// refute raises the own sequence above that of a wrong state, so that the next
// message overrides it everywhere.
func (m *Members) refute(state event.PeerState) bool {
	if state.Incarnation != m.self.Incarnation || state.Status == m.self.Status || state.Sequence < m.self.Sequence {
		return false
	}
	m.self.Sequence = state.Sequence + 1
	return true
}

// Unreachable takes in that a message could not be sent. The peer is only
// taken for lost when its pings stay unanswered.
func (m *Members) Unreachable(id model.NodeID) { delete(m.greeting, id) }

// SuspectDue fires when a ping was not answered, or when a peer was suspected
// for long enough.
func (m *Members) SuspectDue(c *decision.Context, id model.NodeID, update *Update) {
	peer, known := m.peers[id]
	if !known {
		return
	}
	switch peer.Status {
	case event.PeerSuspected:
		m.setStatus(c, peer, event.PeerDead)
	case event.PeerAlive:
		if peer.unanswered >= pingTries {
			m.setStatus(c, peer, event.PeerSuspected)
			return
		}
		m.ping(c, peer, update)
	case event.PeerDead, event.PeerLeaving:
	}
}
