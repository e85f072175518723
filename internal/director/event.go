// Package director is the reducer of an entry VM on the users' platform. Step
// applies every event to the state and returns effects as data. The package reads
// no clock, starts no goroutine and uses no wire names.
package director

import (
	"time"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/membership"
	"tamarackreach/internal/model"
	"tamarackreach/internal/outlier"
)

// Event is an input of the reducer.
type Event interface{ event() }

// ConfigRead reports a successful read of the configuration. Config is nil when
// the one in force is unchanged.
type ConfigRead struct {
	Config *fleet.Config
	// Started is when the read was sent; the configuration was current at that time
	// or later.
	Started model.Instant
	// Era is the era of the store in which it was read; 0 where the store states none.
	Era fleet.StoreEra
}

// TargetsRead carries all registrations in the store.
type TargetsRead struct {
	Targets []*fleet.Target
	// Rows is the row version of each registration.
	Rows map[model.TargetID]fleet.StoreVersion
	// Newest is the newest version of any row of the store.
	Newest fleet.StoreVersion
	// ConfirmedAt is when the read began, by this VM or another one, that last returned these
	// registrations; 0 means now.
	ConfirmedAt model.Instant
}

// StoreRestored reports that the store has come back from an older copy: a new era
// has begun. What the store acknowledged in the last seconds before may be lost, until
// the operator, the targets and the VMs write it again.
type StoreRestored struct{ Era fleet.StoreEra }

// StoreReplaced reports that another store is used from now on: its eras are not those
// of the earlier one.
type StoreReplaced struct{}

// StoreFailed reports a failed read of the store by this VM.
type StoreFailed struct{}

// RecoveryStated reports when the last outage of the store ended by the word of the VM whose
// copies are taken.
type RecoveryStated struct{ At model.Instant }

// RequestArrived reports a new request of a caller.
type RequestArrived struct {
	Request *fleet.Request
	// At is when the head of the request was read: its deadline counts from then; 0
	// means now.
	At model.Instant
	// Random is uniform in [0,1); it chooses between split services and jitters
	// Refuse.RetryAfter.
	Random float64
	// inspect receives the request in a dry run, in place of a path for it; nil otherwise.
	inspect func(*request)
}

// Outcome is how a send to a target ended.
type Outcome uint8

// The outcomes of a send.
const (
	// NotSent means that no byte was sent to the target.
	NotSent Outcome = iota + 1
	// Rejected means that the target declared that it did not run the request.
	Rejected
	// Lost means that the request may have run and no usable answer was received.
	Lost
	// Broken means that a stream failed after the head of this send's response, or
	// after an event of an earlier send.
	Broken
	// TimedOut means that the request's deadline passed.
	TimedOut
	// Failed means that the target answered with an error, also to the resumption of a
	// stream.
	Failed
	// Diverted means that the send was cancelled by a Divert.
	Diverted
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"none", "not sent", "rejected", "lost", "broken", "timed out", "failed", "diverted"}[o]
}

// SendEnded reports a send that ended without an answer that can be delivered.
type SendEnded struct {
	ID      model.RequestID
	Outcome Outcome
	// FaultAt is the address of the failed hop; empty when unknown.
	FaultAt string
	// Took is the duration of the send.
	Took time.Duration
	// Unconnected is true when no connection could be opened to the target, or to the relay.
	Unconnected bool
	// RelayFailed is true when the relay could not be reached or refused the connection.
	RelayFailed bool
	// Responded is true when the head of a response was received.
	Responded bool
	// Status is that of the response; 0 without one.
	Status int
	// Unresumable is true when no target can continue the answer that the caller has
	// begun to receive.
	Unresumable bool
	// Random is uniform in [0,1); it jitters Refuse.RetryAfter.
	Random float64
}

// AnswerStarted reports that the caller received the first part of its answer.
type AnswerStarted struct{ ID model.RequestID }

// RateLimitRead reports the rate that the answer to a request's send in flight named.
type RateLimitRead struct {
	ID model.RequestID
	// PerSecond is the number of requests a second that the target takes from all VMs; 0
	// when it names none.
	PerSecond float64
}

// BackoffRequested reports that the target of a request's send in flight wants no further
// request for a time.
type BackoffRequested struct {
	ID  model.RequestID
	For time.Duration
}

// TargetLeaving reports that the target of a request's send in flight stated that it leaves.
type TargetLeaving struct{ ID model.RequestID }

// StreamProgressed reports that the send in flight has delivered several events over
// ProgressTime or longer: what crashes targets does so with its first events. A VM that was
// suspended reads late events together, so that time alone shows no progress.
type StreamProgressed struct{ ID model.RequestID }

// ProgressTime is the time from the first event of a send, and ProgressEvents the number
// of its events, from which a stream has progressed.
const (
	ProgressTime   = 500 * time.Millisecond
	ProgressEvents = 5
)

// StreamIdle reports that a stream is idle.
type StreamIdle struct {
	ID model.RequestID
	// For is the time since the last event, or since the send.
	For time.Duration
}

// WaitElapsed reports that the delay of a Wait has elapsed.
type WaitElapsed struct {
	ID model.RequestID
	// Random is uniform in [0,1); it jitters Refuse.RetryAfter.
	Random float64
}

// RequestFinished ends a request, whatever its result.
type RequestFinished struct {
	ID model.RequestID
	// Delivered is true when the caller received a target's complete answer.
	Delivered bool
	// Failure is true when that was a failure or a stream without an event: it does not
	// show that the request can be answered without a crash.
	Failure bool
	// Status is that of the answer; 0 when unknown.
	Status int
}

// ReportRead carries a target's load report; Report is nil when the target did not
// answer.
type ReportRead struct {
	Target model.TargetID
	Report *fleet.Report
	// Refused is true when the target refused or reset the connection: it did not stay
	// silent.
	Refused bool
}

// ConnectionProbed reports whether a target accepted or refused a connection; neither when
// it did not answer.
type ConnectionProbed struct {
	Target            model.TargetID
	Accepted, Refused bool
}

// RelayOpened reports whether this VM, as a relay, could connect to a target; RelayClosed
// follows a connection.
type RelayOpened struct {
	Target    model.TargetID
	Connected bool
}

// RelayClosed reports the end of a connection that this VM relayed.
type RelayClosed struct{}

// ProbeDue triggers probes of targets under suspicion.
type ProbeDue struct {
	// All also selects targets that only other VMs suspect; true on the VM that
	// places layers.
	All bool
	// Lead is true on the VM that monitors its zone's targets: the first that is not
	// isolated.
	Lead bool
}

// PeerState carries the load of another VM and the targets that it found faulty.
type PeerState struct {
	VM   model.NodeID
	Zone model.AvailabilityZone
	// Process differs between the processes of the VM.
	Process uint32
	// Uptime is the time for which the process has run.
	Uptime time.Duration
	// Age is the time since the VM sent the state; 0 for its own message.
	Age time.Duration
	// Loads is the load that the VM itself puts on each target.
	Loads map[model.TargetID]Load
	// Suspects are the targets that the VM suspects.
	Suspects map[model.TargetID]Suspicion
	// Paces are the slowdowns of slow targets of the VM's zone that it has read from them; 1 is
	// normal. A VM that is told of one does not state it.
	Paces map[model.TargetID]float64
	// Crashes are recent crashes of targets and the content that they were running.
	Crashes []Crash
	// Config is the version of the configuration in force there, 0 before the first.
	Config model.Revision
	// Quarantines are the quarantines of content that crashed targets.
	Quarantines []Quarantine
	// LostAnswers are the answers lost there whose targets may have crashed.
	LostAnswers []LostAnswer
	// Answers are the parts of prompts on which the VM has received an answer, of those
	// that may have crashed targets.
	Answers []AnsweredPart
	// Limits are the rates that targets have named, and the VM's sends to them.
	Limits map[model.TargetID]TargetLimit
	// Leaving are the targets that stated that they leave, though their registrations say
	// that they are ready, with the start times of their processes in Unix milliseconds.
	Leaving map[model.TargetID]int64
	// Backoffs are the backoffs that the VM read from answers.
	Backoffs []Backoff
	// Isolated is true when the VM lost most targets while they run.
	Isolated bool
	// Unreachable are the targets that the VM fails to reach; others reply with signs of life.
	Unreachable []model.TargetID
	// Signs are the signs of life of targets that other VMs do not reach.
	Signs map[model.TargetID]Sign
	// StoreFailing is true when the VM's last call to the store failed, and Copies is where it
	// passes on its copies of the store's tables. The reducer uses neither.
	StoreFailing bool
	Copies       membership.Endpoint
	// Relay is the relay that the VM offers, and InFlight the number of requests and relayed
	// connections there.
	Relay    Relay
	InFlight int
	// Outliers are the VM's results of targets that answer with errors.
	Outliers outlier.Observations
	// Demand is the rate at which requests for each service arrive at the VM, in requests per
	// second; nil when it is not known.
	Demand map[model.ServiceID]float64
}

// Suspicion is a VM's suspicion that a target is faulty.
type Suspicion struct {
	// Remaining is the time for which the target is still avoided.
	Remaining time.Duration
	// Age is the time since the fault was last observed.
	Age time.Duration
	// RejectsRequests is true when the fault is that the target rejects all requests.
	RejectsRequests bool
}

// VMsCounted carries the number of VMs that ever registered.
type VMsCounted struct{ Count int }

// SettingsChanged puts settings in force. The VM and its zone are fixed for the
// lifetime of the process and not changed by it.
type SettingsChanged struct{ Settings Settings }

// Terminating reports that termination of the process was requested.
type Terminating struct{}

// DrainPolled ends the drain if no request is in flight.
type DrainPolled struct{}

// DrainExpired reports that the process ends shortly: requests in flight are answered now, and
// none is sent any more.
type DrainExpired struct{}

func (ConfigRead) event()       {}
func (TargetsRead) event()      {}
func (StoreFailed) event()      {}
func (RecoveryStated) event()   {}
func (StoreRestored) event()    {}
func (StoreReplaced) event()    {}
func (RequestArrived) event()   {}
func (SendEnded) event()        {}
func (AnswerStarted) event()    {}
func (StreamProgressed) event() {}
func (RateLimitRead) event()    {}
func (BackoffRequested) event() {}
func (TargetLeaving) event()    {}
func (StreamIdle) event()       {}
func (RequestFinished) event()  {}
func (WaitElapsed) event()      {}
func (ReportRead) event()       {}
func (ConnectionProbed) event() {}
func (RelayOpened) event()      {}
func (RelayClosed) event()      {}
func (ProbeDue) event()         {}
func (PeerState) event()        {}
func (VMsCounted) event()       {}
func (SettingsChanged) event()  {}
func (Terminating) event()      {}
func (DrainPolled) event()      {}
func (DrainExpired) event()     {}

// Effect is an action for the driver.
type Effect interface{ effect() }

// Send passes a request to a target.
type Send struct {
	Route     *fleet.Route
	Workspace model.WorkspaceID
	Service   *fleet.Service
	// Hops is the path; on plain services, one entry without layers.
	Hops []fleet.Hop
	// ExpiresAt is the request's deadline, and TimeLeft the time until then.
	ExpiresAt model.Instant
	TimeLeft  time.Duration
	// Number counts the sends of the request, from 1.
	Number int
	// Priority orders requests at a target that lacks capacity; 0 is the most
	// urgent.
	Priority int
	// Predicted is the expected time to the first event; zero on plain services.
	Predicted Prediction
	// Relay is the VM through which the first target is reached, nil for a direct send.
	Relay *Relay
}

// Layered reports whether the send is to a service with a layered model.
func (s *Send) Layered() bool { return s.Service != nil && s.Service.Engine != nil }

// Refuse answers a request with an error of the VM's own.
type Refuse struct {
	Status int
	// RetryAfter is the delay after which a retry may succeed; 0 for none.
	RetryAfter time.Duration
	Reason     string
	// Detail holds the figures behind the decision, for the log.
	Detail string
}

// Wait holds a started stream until the next search for a path; a WaitElapsed
// follows.
type Wait struct {
	// For is the time until the WaitElapsed.
	For    time.Duration
	Reason string
}

// Divert cancels the send of a request so that it can be sent on another path; a
// SendEnded with Diverted follows.
type Divert struct{ Reason string }

// RequestReport requests a target's load report; a ReportRead follows.
type RequestReport struct {
	Target  model.TargetID
	Address string
	// NewConnection is true when an open connection would not show whether the target is
	// reached.
	NewConnection bool
}

// ProbeConnection opens and closes a connection to a target; a ConnectionProbed
// follows.
type ProbeConnection struct {
	Target  model.TargetID
	Address string
}

// StateChanged records a change of the state, for the log.
type StateChanged struct {
	What, Subject, Detail string
}

func (*Send) effect()            {}
func (*Refuse) effect()          {}
func (*Wait) effect()            {}
func (*Divert) effect()          {}
func (*RequestReport) effect()   {}
func (*ProbeConnection) effect() {}
func (*StateChanged) effect()    {}
