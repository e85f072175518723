package reducer

import (
	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/peers"
)

// maxNotes is the number of notes of each kind in one heartbeat.
const maxNotes = 3

// news is what peers were already told at once.
type news struct {
	crashes map[model.Fingerprint]uint32
	targets map[model.TargetID]event.TargetNote
	// rotation moves on the notes that the next heartbeat carries.
	rotation int
}

func newNews() news {
	return news{crashes: make(map[model.Fingerprint]uint32), targets: make(map[model.TargetID]event.TargetNote)}
}

// rotate returns up to maxNotes notes from an offset on.
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

// update returns what a message to peers tells of this node, without notes.
func (s *State) update() *peers.Update {
	return &peers.Update{
		Revision:     s.follower.Revision(),
		Digest:       s.follower.Digest(),
		ConfirmedAgo: s.settingsAge(s.follower.Confirmed()),
	}
}

// heartbeat returns an update with some of the notes.
func (s *State) heartbeat(c *decision.Context) *peers.Update {
	update := s.update()
	s.news.rotation += maxNotes
	update.Quarantine = rotate(s.quarantine.Notes(c.Now), s.news.rotation)
	update.Targets = rotate(s.targets.Notes(), s.news.rotation)
	update.Quotas = rotate(s.quotas.Notes(c.Now), s.news.rotation)
	return update
}

func (s *State) heartbeatDue(c *decision.Context) { s.peers.Round(c, s.heartbeat(c)) }

func (s *State) peerHeartbeat(c *decision.Context, ev event.PeerHeartbeatReceived) {
	s.counters.PeerMessages++
	if s.peers.Received(c, ev, s.update()) {
		s.peers.Tell(c, s.update())
	}
	address := ev.Address
	if peer, ok := s.peers.Get(ev.From); ok {
		address = peer.Address
	}
	s.quarantine.Heard(c.Now, ev.Quarantine)
	s.targets.Heard(c, ev.Targets)
	s.quotas.Heard(c.Now, ev.From, ev.Quotas)
	s.follower.PeerHas(c, &ev, address)
	s.greeted(s.peers.Greeted())
	if !ev.Reply {
		s.peers.Reply(c, ev.From, s.heartbeat(c))
	}
}

func (s *State) peerUnreachable(ev event.PeerUnreachable) {
	s.peers.Unreachable(ev.Peer)
	s.greeted(s.peers.Greeted())
}

func (s *State) greetDue() {
	s.peers.GreetDue()
	s.greeted(true)
}

// greeted lets a starting node serve once its peers told what they have.
func (s *State) greeted(done bool) {
	if done {
		s.follower.Greeted()
	}
}

// shareNews tells peers what an event may have brought up. Token frames bring
// nothing, so that their path stays short.
func (s *State) shareNews(c *decision.Context, ev event.Event) {
	switch ev := ev.(type) {
	case event.StreamBroken, event.TargetLost, event.VMsListed, event.DrainRequested, event.PeerHeartbeatReceived:
		s.tellNews(c)
	case event.EngineReported:
		if ev.Leaving {
			s.tellNews(c)
		}
	}
}

// tellNews tells peers at once of crashes and of leaving targets that they were
// not told of yet.
func (s *State) tellNews(c *decision.Context) {
	update := s.update()
	told := newNews()
	told.rotation = s.news.rotation
	for _, note := range s.quarantine.Notes(c.Now) {
		told.crashes[note.Fingerprint] = note.Crashes
		if s.news.crashes[note.Fingerprint] != note.Crashes {
			update.Quarantine = append(update.Quarantine, note)
		}
	}
	for _, note := range s.targets.Notes() {
		told.targets[note.Target] = note
		if s.news.targets[note.Target] != note {
			update.Targets = append(update.Targets, note)
		}
	}
	s.news = told
	if len(update.Quarantine)+len(update.Targets) > 0 {
		s.peers.Tell(c, update)
	}
}
