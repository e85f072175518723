package peers

import (
	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/timer"
)

// Received processes a heartbeat from a peer. refuted is true if the heartbeat
// held a wrong state of this node, which the next message overrides.
func (m *Members) Received(c *decision.Context, ev event.PeerHeartbeatReceived, update *Update) (refuted bool) {
	if ev.From == m.self.Node {
		return false
	}
	for _, state := range ev.Peers {
		if state.Node == m.self.Node {
			refuted = m.refute(state) || refuted
			continue
		}
		m.mergeState(c, state)
	}
	peer, known := m.peers[ev.From]
	if !known || peer.Incarnation > ev.Incarnation {
		return refuted
	}
	delete(m.awaitingSync, ev.From)
	peer.unanswered = 0
	peer.Revision = max(peer.Revision, ev.Revision)
	peer.ConfirmedAt = max(peer.ConfirmedAt, c.Now.Add(-ev.ConfirmedAgo))
	m.recordContact(c, peer, ev.Reply, update)
	return refuted
}

// recordContact processes direct contact with a peer. A suspected or dead peer must
// learn of that state to refute it: a ping from it is answered with the state, so
// only a reply from it needs a message of its own.
func (m *Members) recordContact(c *decision.Context, peer *Peer, reply bool, update *Update) {
	switch peer.Status {
	case event.PeerAlive, event.PeerLeaving:
		c.Stop(timer.PeerSuspect, string(peer.Node))
	case event.PeerSuspected, event.PeerDead:
		if peer.Status == event.PeerSuspected {
			c.After(timer.PeerSuspect, string(peer.Node), suspicionTimeout)
		}
		if reply {
			m.send(c, peer, false, update)
		}
	}
}

// mergeState merges the state of a node that a peer reported.
func (m *Members) mergeState(c *decision.Context, state event.PeerState) {
	peer, known := m.peers[state.Node]
	if !known {
		// A node that is not alive is not added: the reporting peer may be about to
		// remove it.
		if state.Status != event.PeerAlive {
			return
		}
		peer = m.add(c, state.Node)
		peer.Status = event.PeerSuspected
	}
	if !supersedes(state, peer) {
		peer.mergeRevision(state)
		return
	}
	status := state.Status
	if state.Incarnation == peer.Incarnation && peer.Status == event.PeerLeaving {
		status = event.PeerLeaving
	}
	before := *peer
	peer.StateKnown = true
	peer.PeerState = state
	peer.Status = before.Status
	if state.Incarnation == before.Incarnation {
		peer.mergeRevision(before.PeerState)
	}
	if status == event.PeerAlive {
		peer.unanswered = 0
		c.Stop(timer.PeerSuspect, string(state.Node))
	}
	if state.Incarnation > before.Incarnation {
		peer.resendsLeft = m.resendLimit()
	}
	m.setStatus(c, peer, status)
}

// mergeRevision merges a newer revision of the same incarnation of a node.
func (p *Peer) mergeRevision(state event.PeerState) {
	if state.Incarnation == p.Incarnation && state.Revision > p.Revision {
		p.Revision = state.Revision
		p.InForceUnixMs = state.InForceUnixMs
	}
}

// supersedes reports whether a received state overrides the known one.
func supersedes(state event.PeerState, peer *Peer) bool {
	if state.Incarnation != peer.Incarnation {
		return state.Incarnation > peer.Incarnation
	}
	if state.Sequence != peer.Sequence {
		return state.Sequence > peer.Sequence
	}
	return state.Status > peer.Status
}

// refute raises the sequence of this node above that of a wrong state, so that the
// next message overrides it on every node. It returns false if the state needs no
// refutation.
func (m *Members) refute(state event.PeerState) bool {
	if state.Incarnation != m.self.Incarnation || state.Status == m.self.Status || state.Sequence < m.self.Sequence {
		return false
	}
	m.self.Sequence = state.Sequence + 1
	return true
}

// Unreachable records that a message could not be sent to a peer. The peer is
// suspected only after its pings stay unanswered.
func (m *Members) Unreachable(id model.NodeID) { delete(m.awaitingSync, id) }

// SuspectDue handles the timer of a peer: a ping was not answered, or the peer did
// not refute its suspicion in time.
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
