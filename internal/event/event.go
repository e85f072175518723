// Package event holds the inputs and outputs of the reducer: events report what
// happened outside it, effects are the actions to carry out. Both are plain data
// and can be recorded as JSON lines and replayed.
package event

import (
	"time"

	"tamarackreach/internal/model"
)

// Event is something that happened outside the reducer.
type Event interface{ isEvent() }

type (
	// Tick fires the timers that are due.
	Tick struct{}

	// NodeStarted reports the start of the process.
	NodeStarted struct {
		// UnixMs is the wall clock in milliseconds, for records that people read.
		UnixMs int64 `json:"unix_ms"`
	}

	// ShutdownRequested reports SIGTERM.
	ShutdownRequested struct{}

	// RequestArrived reports a model request of a caller.
	RequestArrived struct {
		Request      model.RequestID `json:"request"`
		WorkspaceKey string          `json:"workspace_key"`
		Model        model.ModelName `json:"model"`
		Prompt       string          `json:"prompt"`
		PrefixKey    string          `json:"prefix_key"`
		MaxTokens    uint32          `json:"max_tokens"`
		// FirstTokenWithin is how long the caller waits for the first token.
		FirstTokenWithin time.Duration `json:"first_token_within_ns"`
	}

	// CallerGone reports that a caller cancelled or disconnected.
	CallerGone struct {
		Request model.RequestID `json:"request"`
	}

	// TokenArrived reports a frame of an attempt's stream.
	TokenArrived struct {
		Request  model.RequestID     `json:"request"`
		Attempt  model.AttemptNumber `json:"attempt"`
		Index    model.TokenIndex    `json:"index"`
		Text     string              `json:"text"`
		Receipts []model.Receipt     `json:"receipts"`
		Last     bool                `json:"last"`
	}

	// StreamHeartbeat reports a heartbeat on an attempt's stream.
	StreamHeartbeat struct {
		Request model.RequestID     `json:"request"`
		Attempt model.AttemptNumber `json:"attempt"`
	}

	// StreamBroken reports that an attempt ended without its last token.
	StreamBroken struct {
		Request model.RequestID     `json:"request"`
		Attempt model.AttemptNumber `json:"attempt"`
		// FailedTarget is the target that failed or refused; empty if unknown.
		FailedTarget model.TargetID `json:"lost"`
		Reason       string         `json:"reason"`
		// Refused is true if the target answered that it does not run the attempt.
		Refused bool `json:"refused"`
		// OwnConnection is true if this node's own connection to FailedTarget
		// broke, false if a neighbour in the chain could not reach it.
		OwnConnection bool `json:"direct"`
		// NotListening is true if no process listened at the address of
		// FailedTarget, so that the attempt did not run there.
		NotListening bool `json:"not_listening"`
	}

	// CallArrived reports a service call of a caller.
	CallArrived struct {
		Request        model.RequestID      `json:"request"`
		WorkspaceKey   string               `json:"workspace_key"`
		Service        model.ServiceID      `json:"service"`
		Method         model.MethodName     `json:"method"`
		IdempotencyKey model.IdempotencyKey `json:"idempotency_key"`
		Body           []byte               `json:"body"`
		Within         time.Duration        `json:"within_ns"`
	}

	// CallAnswered reports the answer of a service.
	CallAnswered struct {
		Request model.RequestID `json:"request"`
		Body    []byte          `json:"body"`
		// Failed is true if the service answered with an error.
		Failed  bool   `json:"failed"`
		Message string `json:"message"`
	}

	// CallCut reports that a call ended without an answer of the service.
	CallCut struct {
		Request model.RequestID `json:"request"`
		// MaybeSent is true if bytes of the call may have left this node, so that
		// the service may have received it.
		MaybeSent bool   `json:"bytes_left"`
		Reason    string `json:"reason"`
	}

	// TransactionDone reports the answer to a table transaction.
	TransactionDone struct {
		Transaction string           `json:"transaction"`
		Committed   bool             `json:"committed"`
		Version     model.RowVersion `json:"version"`
		Conflicts   []model.Row      `json:"conflicts"`
	}

	// TransactionUnknown reports that the answer to a transaction was lost or
	// that the platform refused it; it may or may not have taken effect.
	TransactionUnknown struct {
		Transaction string `json:"transaction"`
		Reason      string `json:"reason"`
		// NotSent is true if the transaction certainly never left this node.
		NotSent bool `json:"not_sent"`
	}

	// RowsRead reports the answer to a table read.
	RowsRead struct {
		Read string      `json:"read"`
		Rows []model.Row `json:"rows"`
	}

	// ReadFailed reports that a table read got no answer.
	ReadFailed struct {
		Read   string `json:"read"`
		Reason string `json:"reason"`
	}

	// ObjectRead reports the answer to an object read.
	ObjectRead struct {
		Key   string `json:"key"`
		Body  []byte `json:"body"`
		Found bool   `json:"found"`
		// Failed is true if the object store did not answer.
		Failed bool `json:"failed"`
	}

	// ObjectWritten reports the answer to an object write.
	ObjectWritten struct {
		Key    string `json:"key"`
		Failed bool   `json:"failed"`
	}

	// VMsListed reports the platform's list of VMs.
	VMsListed struct {
		VMs    []VM `json:"vms"`
		Failed bool `json:"failed"`
	}

	// EngineReported is the state of an engine as the engine reports it.
	EngineReported struct {
		Target      model.TargetID        `json:"target"`
		Incarnation model.Incarnation     `json:"incarnation"`
		Sequence    uint64                `json:"sequence"`
		Model       model.ModelName       `json:"model"`
		Version     model.ModelVersion    `json:"version"`
		Layers      model.LayerRange      `json:"layers"`
		Accelerator model.AcceleratorKind `json:"accelerator"`
		// StepTime is the time of one decode step over the loaded layers.
		StepTime time.Duration       `json:"step_time_ns"`
		MaxBatch uint32              `json:"max_batch"`
		Running  uint32              `json:"running"`
		Queued   uint32              `json:"queued"`
		Leaving  bool                `json:"leaving"`
		Fencing  model.FencingNumber `json:"fencing"`
		Links    []Link              `json:"links"`
		Cache    []CacheEvent        `json:"cache"`
		// Watch is the number of the watch that delivered the report.
		Watch uint64 `json:"watch"`
	}

	// TargetLost reports that a target's watch connection broke.
	TargetLost struct {
		Target      model.TargetID    `json:"target"`
		Incarnation model.Incarnation `json:"incarnation"`
		Reason      string            `json:"reason"`
		// Watch is the number of the watch that broke.
		Watch uint64 `json:"watch"`
		// NotListening is true if the target's VM answered that no process
		// listens at the address.
		NotListening bool `json:"not_listening"`
	}

	// OrderAnswered reports an engine's answer to an order.
	OrderAnswered struct {
		Target   model.TargetID      `json:"target"`
		Order    string              `json:"order"`
		Fencing  model.FencingNumber `json:"fencing"`
		Accepted bool                `json:"accepted"`
		// Unknown is true if no answer came.
		Unknown bool   `json:"unknown"`
		Reason  string `json:"reason"`
	}

	// ChangeProposed reports a settings change proposed by an operator.
	ChangeProposed struct {
		Request model.RequestID `json:"request"`
		Change  Change          `json:"change"`
	}

	// DrainRequested reports an operator's request to drain a target.
	DrainRequested struct {
		Request model.RequestID `json:"request"`
		Target  model.TargetID  `json:"target"`
	}

	// PeerHeartbeatReceived reports a peer's heartbeat.
	PeerHeartbeatReceived struct {
		From        model.NodeID      `json:"from"`
		Incarnation model.Incarnation `json:"incarnation"`
		Sequence    uint64            `json:"sequence"`
		Reply       bool              `json:"reply"`
		Revision    model.Revision    `json:"revision"`
		// Address is where the peer receives heartbeats.
		Address    string           `json:"address"`
		Peers      []PeerState      `json:"peers"`
		Quarantine []QuarantineNote `json:"quarantine"`
		Targets    []TargetNote     `json:"targets"`
		Quotas     []QuotaNote      `json:"quotas"`
		// Digest is the digest of the changes up to Revision.
		Digest LogDigest `json:"digest"`
		// ConfirmedAgo is how long ago the platform confirmed the revision.
		ConfirmedAgo time.Duration `json:"confirmed_ago_ns"`
	}

	// PeerUnreachable reports that a message to a peer could not be sent.
	PeerUnreachable struct {
		Peer model.NodeID `json:"peer"`
	}

	// SettingsRequested reports a peer's request for settings changes.
	SettingsRequested struct {
		From  model.NodeID   `json:"from"`
		After model.Revision `json:"after"`
		// Digest is the digest of the peer's changes up to After.
		Digest LogDigest `json:"digest"`
	}

	// SettingsOffered reports settings changes sent by a peer.
	SettingsOffered struct {
		From             model.NodeID   `json:"from"`
		SnapshotRevision model.Revision `json:"snapshot_revision"`
		TreeJSON         []byte         `json:"tree_json"`
		Changes          []Change       `json:"changes"`
		// Digest is the digest of the changes up to SnapshotRevision.
		Digest LogDigest `json:"digest"`
		// VMs is the platform's VM list as the peer last read it, for a node that
		// starts.
		VMs []VM `json:"vms"`
	}
)

func (Tick) isEvent()                  {}
func (NodeStarted) isEvent()           {}
func (ShutdownRequested) isEvent()     {}
func (RequestArrived) isEvent()        {}
func (CallerGone) isEvent()            {}
func (*TokenArrived) isEvent()         {}
func (StreamHeartbeat) isEvent()       {}
func (StreamBroken) isEvent()          {}
func (CallArrived) isEvent()           {}
func (CallAnswered) isEvent()          {}
func (CallCut) isEvent()               {}
func (TransactionDone) isEvent()       {}
func (TransactionUnknown) isEvent()    {}
func (RowsRead) isEvent()              {}
func (ReadFailed) isEvent()            {}
func (ObjectRead) isEvent()            {}
func (ObjectWritten) isEvent()         {}
func (VMsListed) isEvent()             {}
func (EngineReported) isEvent()        {}
func (TargetLost) isEvent()            {}
func (OrderAnswered) isEvent()         {}
func (ChangeProposed) isEvent()        {}
func (DrainRequested) isEvent()        {}
func (PeerHeartbeatReceived) isEvent() {}
func (PeerUnreachable) isEvent()       {}
func (SettingsRequested) isEvent()     {}
func (SettingsOffered) isEvent()       {}
