package reducer

import (
	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/peers"
)

// maxNotes is the maximum number of notes of each kind (quarantine, target, quota)
// in one heartbeat.
const maxNotes = 3

// announced holds the notes that were already sent to peers outside the regular
// heartbeats.
type announced struct {
	crashes map[model.Fingerprint]uint32
	targets map[model.TargetID]event.TargetNote
	// rotation is the offset of the first note that the next heartbeat carries.
	rotation int
}

func newAnnounced() announced {
	return announced{crashes: make(map[model.Fingerprint]uint32), targets: make(map[model.TargetID]event.TargetNote)}
}

// rotate returns up to maxNotes notes, starting at an offset modulo their number.
func rotate[T any](notes []T, offset int) []T {
	if len(notes) <= maxNotes {
		return notes
	}
	picked := make([]T, 0, maxNotes)
	for i := range maxNotes {
		picked = append(picked, notes[(offset+i)%len(notes)])
	}
	return picked
}

// update returns the state of this node for a message to peers, without notes.
func (s *State) update() *peers.Update {
	return &peers.Update{
		Revision:     s.follower.Revision(),
		Digest:       s.follower.Digest(),
		ConfirmedAgo: s.settingsAge(s.follower.ConfirmedAt()),
	}
}

// heartbeat returns an update with the next notes in rotation.
func (s *State) heartbeat(c *decision.Context) *peers.Update {
	update := s.update()
	s.announced.rotation += maxNotes
	update.Quarantine = rotate(s.quarantine.Notes(c.Now), s.announced.rotation)
	update.Targets = rotate(s.targets.Notes(), s.announced.rotation)
	update.Quotas = rotate(s.quotas.Notes(c.Now), s.announced.rotation)
	return update
}

func (s *State) heartbeatDue(c *decision.Context) { s.peers.PingRound(c, s.heartbeat(c)) }

func (s *State) peerHeartbeat(c *decision.Context, ev event.PeerHeartbeatReceived) {
	s.counters.HeartbeatsReceived++
	if s.peers.Received(c, ev, s.update()) {
		s.peers.SendUrgent(c, s.update())
	}
	address := ev.Address
	if peer, ok := s.peers.Get(ev.From); ok {
		address = peer.Address
	}
	s.quarantine.MergeNotes(c.Now, ev.Quarantine)
	s.targets.MergeNotes(c, ev.Targets)
	s.quotas.MergeNotes(c.Now, ev.From, ev.Quotas)
	s.follower.ObservePeer(c, &ev, address)
	s.finishStartupSync(s.peers.StartupSyncDone())
	if !ev.Reply {
		s.peers.Reply(c, ev.From, s.heartbeat(c))
	}
}

func (s *State) peerUnreachable(ev event.PeerUnreachable) {
	s.peers.Unreachable(ev.Peer)
	s.finishStartupSync(s.peers.StartupSyncDone())
}

func (s *State) startupSyncDue() {
	s.peers.StartupSyncDue()
	s.finishStartupSync(true)
}

// finishStartupSync reports to the follower that a starting node has received the
// settings revisions of its reachable peers, if done is true.
func (s *State) finishStartupSync(done bool) {
	if done {
		s.follower.PeersSynced()
	}
}

// announceAfter announces the changes that an event may have caused. Token frames
// cause none; they skip the comparison because they are frequent.
func (s *State) announceAfter(c *decision.Context, ev event.Event) {
	switch ev := ev.(type) {
	case event.StreamBroken, event.TargetLost, event.VMsListed, event.DrainRequested, event.PeerHeartbeatReceived:
		s.announceChanges(c)
	case event.EngineReported:
		if ev.Leaving {
			s.announceChanges(c)
		}
	}
}

// announceChanges sends peers at once the crashes and the changed target statuses
// that were not announced before.
func (s *State) announceChanges(c *decision.Context) {
	update := s.update()
	sent := newAnnounced()
	sent.rotation = s.announced.rotation
	for _, note := range s.quarantine.Notes(c.Now) {
		sent.crashes[note.Fingerprint] = note.Crashes
		if s.announced.crashes[note.Fingerprint] != note.Crashes {
			update.Quarantine = append(update.Quarantine, note)
		}
	}
	for _, note := range s.targets.Notes() {
		sent.targets[note.Target] = note
		if s.announced.targets[note.Target] != note {
			update.Targets = append(update.Targets, note)
		}
	}
	s.announced = sent
	if len(update.Quarantine)+len(update.Targets) > 0 {
		s.peers.SendUrgent(c, update)
	}
}
