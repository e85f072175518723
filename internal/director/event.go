// Package director is the reducer of an entry VM on the users' platform. Every
// event passes Step, which changes the state and returns effects as data. It
// reads no clock, starts no goroutine and knows no wire name.
package director

import (
	"time"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

// Event is something that happened.
type Event interface{ event() }

// ConfigRead carries the configuration that the store holds, or nil when the
// one in force was confirmed unchanged.
type ConfigRead struct {
	Config *fleet.Config
	// Started is when the read was sent: the configuration was current no earlier.
	Started model.Instant
}

// TargetsRead carries every registration that the store holds.
type TargetsRead struct {
	Targets []*fleet.Target
	// Rows is the version of each registration, by target.
	Rows map[model.TargetID]model.RowVersion
}

// StoreFailed says that a read of the store failed.
type StoreFailed struct{}

// Arrived is a request of a caller.
type Arrived struct {
	Request *fleet.Request
	// Random is uniform in [0,1); it chooses between split services and spreads
	// the times at which refused callers return.
	Random float64
}

// Outcome says how a send to a target ended.
type Outcome uint8

// The outcomes of a send.
const (
	// NotSent means that no byte left for the target.
	NotSent Outcome = iota + 1
	// Rejected means that the target stated that it did not run the request.
	Rejected
	// Lost means that the request may have run and no usable answer came.
	Lost
	// Broken means that a stream broke off after it had begun.
	Broken
	// TimedOut means that the request's time is over.
	TimedOut
	// Failed means that the target answered with a failure of its own.
	Failed
	// Diverted means that the reducer asked for the send to be given up.
	Diverted
)

// String returns the outcome as logs show it.
func (o Outcome) String() string {
	return [...]string{"none", "not sent", "rejected", "lost", "broken", "timed out", "failed", "diverted"}[o]
}

// SendEnded says that a send ended without an answer that can be delivered.
type SendEnded struct {
	ID      model.RequestID
	Outcome Outcome
	// FaultAt is the address of the hop at fault; empty when not known.
	FaultAt string
	// Took is the time since the send.
	Took time.Duration
	// Random spreads the times at which refused callers return.
	Random float64
}

// Began says that the caller got the first of its answer.
type Began struct{ ID model.RequestID }

// Quiet says that a stream has had no event for a while.
type Quiet struct {
	ID model.RequestID
	// For is the time since the last event, or since the send.
	For time.Duration
}

// Waited says that the time of a Wait has passed.
type Waited struct {
	ID model.RequestID
	// Random spreads the times at which refused callers return.
	Random float64
}

// Finished ends a request, however it went.
type Finished struct {
	ID model.RequestID
	// Delivered is true when the caller got a target's whole answer.
	Delivered bool
}

// ReportRead carries a target's own account of its load; Report is nil when it
// did not answer.
type ReportRead struct {
	Target model.TargetID
	Report *fleet.Report
}

// ProbeDue says that it is time to look at targets under suspicion.
type ProbeDue struct {
	// All is true on the VM that places layers: it looks at those that other VMs
	// suspect as well.
	All bool
	// Lead is true on the VM that watches the pace of its zone's targets.
	Lead bool
}

// PeerHeard carries what another VM says of its load and of targets at fault.
type PeerHeard struct {
	VM model.NodeID
	// Loads is the VM's own load by target.
	Loads map[model.TargetID]Load
	// Suspects are the targets that it found at fault.
	Suspects map[model.TargetID]Suspicion
	// Paces are the targets that it found slow; 1 is normal.
	Paces map[model.TargetID]float64
	// Crashes are targets that ended lately under a content.
	Crashes []Crash
}

// Suspicion is a VM's belief that a target is at fault.
type Suspicion struct {
	// Left is what is left of the time for which the target is left out.
	Left time.Duration
	// Age is the time since the fault was last seen.
	Age time.Duration
	// Refuses is true when the fault was that the target took nothing.
	Refuses bool
}

// VMsKnown gives the number of VMs that ever registered.
type VMsKnown struct{ Count int }

// SettingsChanged carries settings that are in force from now on. The VM and its
// zone are fixed for the life of the process.
type SettingsChanged struct{ Settings Settings }

// Terminating says that the process was asked to stop.
type Terminating struct{}

func (ConfigRead) event()      {}
func (TargetsRead) event()     {}
func (StoreFailed) event()     {}
func (Arrived) event()         {}
func (SendEnded) event()       {}
func (Began) event()           {}
func (Quiet) event()           {}
func (Finished) event()        {}
func (Waited) event()          {}
func (ReportRead) event()      {}
func (ProbeDue) event()        {}
func (PeerHeard) event()       {}
func (VMsKnown) event()        {}
func (SettingsChanged) event() {}
func (Terminating) event()     {}

// Effect is something that a driver is to do.
type Effect interface{ effect() }

// Send passes a request to a target.
type Send struct {
	Route     *fleet.Route
	Workspace model.WorkspaceID
	Service   *fleet.Service
	// Hops has one entry without layers on plain services.
	Hops []fleet.Hop
	// TimeLeft bounds the send.
	TimeLeft time.Duration
	// Number counts the sends of the request, from 1.
	Number int
	// Priority orders requests at a target that is short of room; 0 is the most
	// urgent.
	Priority int
	// Predicted is the expected time to the first event; zero on plain services.
	Predicted Prediction
}

// Layered is true when the send passes through layers of several targets.
func (s *Send) Layered() bool { return s.Service != nil && s.Service.Engine != nil }

// Refuse answers a request itself.
type Refuse struct {
	Status int
	// RetryAfter is when a repeat has a chance; 0 when none is named.
	RetryAfter time.Duration
	Reason     string
	// Detail gives the figures that decided, for the log.
	Detail string
}

// Wait holds a stream that has begun until a path is looked for again; a Waited
// follows.
type Wait struct {
	For    time.Duration
	Reason string
}

// Divert gives up the send of a request; a SendEnded with Diverted follows.
type Divert struct{ Reason string }

// AskReport reads a target's own account of its load.
type AskReport struct {
	Target  model.TargetID
	Address string
}

// Changed states a change of belief, for the log.
type Changed struct {
	What, Subject, Detail string
}

func (*Send) effect()      {}
func (*Refuse) effect()    {}
func (*Wait) effect()      {}
func (*Divert) effect()    {}
func (*AskReport) effect() {}
func (*Changed) effect()   {}
