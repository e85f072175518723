package reducer

import (
	"time"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/fault"
	"tamarackreach/internal/model"
	"tamarackreach/internal/settingsync"
)

// divergedRetryAfter is the retry delay for changes while the platform's settings
// differ from those in force, as after a restore from an older state.
const divergedRetryAfter = 30 * time.Second

func (s *State) changeProposed(c *decision.Context, ev event.ChangeProposed) {
	refusal := s.notReady()
	if refusal == nil && s.follower.Diverged() {
		refusal = &fault.Fault{
			Kind: fault.NotRun, Code: fault.SettingsDiverged, Message: "the platform holds other or older settings than those in force",
			Remedy: "see the alarms of tamarackctl status and restore the platform's table", RetryAfter: divergedRetryAfter,
		}
	}
	if refusal != nil {
		c.Emit(event.AnswerChange{Request: ev.Request, Fault: refusal})
		return
	}
	s.committer.Propose(c, ev)
}

// updateSettings passes an input to the follower. If a newer revision came into
// force, it is announced to peers at once and pending changes are tried again.
func (s *State) updateSettings(c *decision.Context, input func()) {
	before := s.follower.Revision()
	input()
	now := s.follower.Revision()
	if now == before {
		return
	}
	s.counters.ChangesApplied += uint64(now - before)
	s.peers.SetInForce(now, s.follower.InForceUnixMs())
	s.peers.SendUrgent(c, s.update())
	s.follower.WriteSnapshot(c, s.peers.HasLowestID())
	s.committer.RevisionInForce(c, now)
	s.trackLeases(c)
}

func (s *State) settingsRead(c *decision.Context, ev event.RowsRead) {
	s.updateSettings(c, func() { s.follower.RowsRead(c, ev) })
}

func (s *State) objectRead(c *decision.Context, ev event.ObjectRead) {
	if ev.Key == settingsync.SnapshotKey {
		s.updateSettings(c, func() { s.follower.SnapshotRead(c, ev) })
	}
}

func (s *State) settingsRequested(c *decision.Context, ev event.SettingsRequested) {
	if peer, ok := s.peers.Get(ev.From); ok {
		s.follower.ServeRequest(c, ev, peer.Address, s.vms)
	}
}

func (s *State) settingsOffered(c *decision.Context, ev event.SettingsOffered) {
	s.updateSettings(c, func() { s.follower.ApplyOffer(c, ev) })
	if len(s.vms) == 0 && len(ev.VMs) > 0 {
		s.vmsListed(c, event.VMsListed{VMs: ev.VMs})
	}
}

func (s *State) pollSettings(c *decision.Context) {
	s.follower.SetZoneNodes(s.peers.LiveInZone())
	s.follower.Poll(c)
}

// settingsAge returns the time since the platform confirmed the settings.
func (s *State) settingsAge(confirmed model.Instant) time.Duration {
	return max(0, s.context.Now.Sub(confirmed))
}
