package reducer

import (
	"time"

	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/fault"
	"tamarackreach/internal/quarantine"
	"tamarackreach/internal/timer"
)

// vmPollInterval is the time between two reads of the VM list.
const vmPollInterval = time.Second

func (s *State) nodeStarted(c *decision.Context) {
	s.follower.Start(c)
	s.peers.Start(c)
	s.quotas.Start(c)
	s.pollVMs(c)
	s.expireQuarantine(c)
}

// expireQuarantine removes expired quarantine records at regular intervals.
func (s *State) expireQuarantine(c *decision.Context) {
	s.quarantine.Lapse(c.Now)
	c.After(timer.QuarantineExpiry, "", quarantine.Lapse)
}

func (s *State) pollVMs(c *decision.Context) {
	c.After(timer.VMPoll, "", c.Jitter(vmPollInterval))
	c.Emit(event.ListVMs{})
}

func (s *State) vmsListed(c *decision.Context, ev event.VMsListed) {
	if ev.Failed {
		return
	}
	s.vms = ev.VMs
	replaced := s.targets.ApplyVMList(c, ev.VMs)
	s.peers.ApplyVMList(c, ev.VMs)
	for _, verdict := range replaced {
		s.applyVerdict(c, verdict)
	}
}

func (s *State) drainRequested(c *decision.Context, ev event.DrainRequested) {
	target, ok := s.targets.Get(ev.Target)
	if !ok {
		c.Emit(event.AnswerChange{Request: ev.Request, Fault: &fault.Fault{
			Kind: fault.NotRun, Code: fault.UnknownTarget, Message: "no target " + string(ev.Target),
			Remedy: "name a target that tamarackctl status lists",
		}})
		return
	}
	s.targets.Mark(c, ev.Target, target.Incarnation, event.TargetLeaving)
	c.Emit(event.AnswerChange{Request: ev.Request, Revision: s.follower.Revision()})
}

func (s *State) shutdownRequested(c *decision.Context) {
	s.shuttingDown = true
	s.peers.Leave()
	s.peers.SendUrgent(c, s.update())
	c.After(timer.ShutdownLag, "", s.config.ShutdownLag)
	c.Emit(event.LogChange{Message: "shutting down; requests in progress run to their end"})
}

// checkShutdown emits ShutdownReady once, when new requests are refused and none is
// in progress.
func (s *State) checkShutdown(c *decision.Context) {
	if !s.refusing || s.shutdownReported {
		return
	}
	if len(s.requests) > 0 || len(s.calls) > 0 || s.ledger.InProgress() > 0 {
		return
	}
	s.shutdownReported = true
	c.Emit(event.ShutdownReady{})
}
