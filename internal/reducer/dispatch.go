package reducer

import (
	"tamarackreach/internal/commit"
	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/idempotency"
	"tamarackreach/internal/leases"
	"tamarackreach/internal/model"
	"tamarackreach/internal/quota"
	"tamarackreach/internal/settingsync"
	"tamarackreach/internal/timer"
)

// dispatch passes an event to its handler.
func (s *State) dispatch(c *decision.Context, ev event.Event) {
	switch ev := ev.(type) {
	case *event.TokenArrived:
		s.tokenArrived(c, ev)
	case event.StreamHeartbeat:
		s.streamHeartbeat(c, ev)
	case event.Tick:
		s.tick(c)
	case event.RequestArrived:
		s.requestArrived(c, ev)
	case event.CallerGone:
		s.callerGone(c, ev)
	case event.StreamBroken:
		s.streamBroken(c, ev)
	case event.CallArrived:
		s.callArrived(c, ev)
	case event.CallAnswered:
		s.callAnswered(c, ev)
	case event.CallCut:
		s.callCut(c, ev)
	case event.EngineReported:
		s.engineReported(c, ev)
	case event.TargetLost:
		s.targetLost(c, ev)
	case event.VMsListed:
		s.vmsListed(c, ev)
	case event.OrderAnswered:
		s.orders.HandleAnswer(c, ev)
	case event.DrainRequested:
		s.drainRequested(c, ev)
	case event.ChangeProposed:
		s.changeProposed(c, ev)
	case event.NodeStarted:
		s.nodeStarted(c)
	case event.ShutdownRequested:
		s.shutdownRequested(c)
	default:
		s.dispatchPlatform(c, ev)
	}
}

// dispatchPlatform passes an answer of the platform to its handler.
func (s *State) dispatchPlatform(c *decision.Context, ev event.Event) {
	switch ev := ev.(type) {
	case event.TransactionDone:
		s.transactionDone(c, ev)
	case event.TransactionUnknown:
		s.transactionUnknown(c, ev)
	case event.RowsRead:
		s.rowsRead(c, ev)
	case event.ReadFailed:
		s.readFailed(c, ev)
	case event.ObjectRead:
		s.objectRead(c, ev)
	default:
		s.dispatchPeers(c, ev)
	}
}

// dispatchPeers passes a message of a peer to its handler.
func (s *State) dispatchPeers(c *decision.Context, ev event.Event) {
	switch ev := ev.(type) {
	case event.PeerHeartbeatReceived:
		s.peerHeartbeat(c, ev)
	case event.PeerUnreachable:
		s.peerUnreachable(ev)
	case event.SettingsRequested:
		s.settingsRequested(c, ev)
	case event.SettingsOffered:
		s.settingsOffered(c, ev)
	}
}

func (s *State) transactionDone(c *decision.Context, ev event.TransactionDone) {
	switch {
	case leases.Owns(ev.Transaction):
		s.leases.TransactionDone(c, ev)
	case idempotency.Owns(ev.Transaction):
		s.ledger.TransactionDone(c, ev)
	case commit.Owns(ev.Transaction):
		s.updateSettings(c, func() { s.committer.TransactionDone(c, ev) })
	case quota.Owns(ev.Transaction):
		s.quotas.TransactionDone(c, ev)
	}
}

func (s *State) transactionUnknown(c *decision.Context, ev event.TransactionUnknown) {
	switch {
	case leases.Owns(ev.Transaction):
		s.leases.TransactionUnknown(c, ev)
	case idempotency.Owns(ev.Transaction):
		s.ledger.TransactionUnknown(c, ev)
	case commit.Owns(ev.Transaction):
		s.committer.TransactionUnknown(c, ev)
	case quota.Owns(ev.Transaction):
		s.quotas.TransactionUnknown(ev)
	}
}

func (s *State) rowsRead(c *decision.Context, ev event.RowsRead) {
	switch {
	case leases.Owns(ev.Read):
		s.leases.RowsRead(c, ev)
	case idempotency.Owns(ev.Read):
		s.ledger.RowsRead(c, ev)
	case commit.Owns(ev.Read):
		s.committer.RowsRead(c, ev)
	case quota.Owns(ev.Read):
		s.quotas.RowsRead(c, ev)
	case settingsync.Owns(ev.Read):
		s.settingsRead(c, ev)
	}
}

func (s *State) readFailed(c *decision.Context, ev event.ReadFailed) {
	switch {
	case idempotency.Owns(ev.Read):
		s.ledger.ReadFailed(c, ev)
	case commit.Owns(ev.Read):
		s.committer.ReadFailed(c, ev)
	case settingsync.Owns(ev.Read):
		s.follower.ReadFailed(c, ev)
	}
}

// tick fires every due timer, earliest first.
func (s *State) tick(c *decision.Context) {
	for {
		key, ok := c.Timers.PopDue(c.Now)
		if !ok {
			return
		}
		s.fire(c, key)
	}
}

func (s *State) fire(c *decision.Context, key timer.Key) {
	switch key.Kind {
	case timer.StreamIdle:
		s.streamIdle(c, model.RequestID(key.ID))
	case timer.RetryRequest:
		s.retryDue(c, model.RequestID(key.ID))
	case timer.CallDeadline:
		s.ledger.DeadlineDue(c, model.RequestID(key.ID))
	case timer.ClaimRead:
		s.ledger.ReadDue(c, key.ID)
	case timer.LedgerFlush:
		s.ledger.FlushDue(c)
	case timer.SettingsPoll:
		s.pollSettings(c)
	case timer.SettingsFetch:
		s.follower.FetchDue(c)
	case timer.StartupSync:
		s.startupSyncDue()
	case timer.PeerHeartbeat:
		s.heartbeatDue(c)
	case timer.PeerSuspect:
		s.peers.SuspectDue(c, model.NodeID(key.ID), s.update())
	case timer.ChangeRetry:
		s.committer.RetryDue(c, model.ChangeID(key.ID))
	case timer.VMPoll:
		s.pollVMs(c)
	case timer.ShutdownLag:
		s.refusing = true
		s.quotas.Release(c)
	case timer.LeaseRenew:
		s.leases.RenewDue(c, model.PipelineID(key.ID), s.liveNodes())
	case timer.OrderRetry:
		s.orders.Reconcile(c, model.PipelineID(key.ID), s.follower.View(), s.targets)
	case timer.QuotaRebalance:
		s.quotas.TimerDue(c, s.follower.View())
	case timer.TargetProbe:
		s.probeDue(c, model.TargetID(key.ID))
	case timer.QuarantineExpiry:
		s.expireQuarantine(c)
	}
}
