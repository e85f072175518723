// Package event holds the typed messages of the reducer: events report what
// happened outside, effects say what is to be done. Both are plain data and can
// be recorded as JSON lines and replayed.
package event

import (
	"time"

	"tamarackreach/internal/model"
)

// Event is something that happened outside the reducer.
type Event interface{ isEvent() }

type (
	// Tick reports that time passed; due timers fire.
	Tick struct{}

	// NodeStarted reports the start of the process.
	NodeStarted struct {
		// UnixMs is the wall clock, for records that people read.
		UnixMs int64 `json:"unix_ms"`
	}

	// ShutdownRequested reports SIGTERM.
	ShutdownRequested struct{}

	// RequestArrived reports a model request from a caller.
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

	// StreamHeartbeat reports that an attempt's stream is alive.
	StreamHeartbeat struct {
		Request model.RequestID     `json:"request"`
		Attempt model.AttemptNumber `json:"attempt"`
	}

	// StreamBroken reports that an attempt ended without its last token.
	StreamBroken struct {
		Request model.RequestID     `json:"request"`
		Attempt model.AttemptNumber `json:"attempt"`
		// Lost is the target that failed; empty when unknown.
		Lost   model.TargetID `json:"lost"`
		Reason string         `json:"reason"`
		// Refused is true when the target answered and would not run it.
		Refused bool `json:"refused"`
		// Direct is true when this node's own connection to Lost broke.
		Direct bool `json:"direct"`
		// NotListening is true when no process listened at Lost, so that the
		// attempt did not run there.
		NotListening bool `json:"not_listening"`
	}

	// CallArrived reports a service call from a caller.
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
		// Failed is true when the service answered with an error of its own.
		Failed  bool   `json:"failed"`
		Message string `json:"message"`
	}

	// CallCut reports that no answer of a service will come.
	CallCut struct {
		Request model.RequestID `json:"request"`
		// BytesLeft is true when the service may have seen the call.
		BytesLeft bool   `json:"bytes_left"`
		Reason    string `json:"reason"`
	}

	// TransactionDone reports a table transaction's answer.
	TransactionDone struct {
		Transaction string           `json:"transaction"`
		Committed   bool             `json:"committed"`
		Version     model.RowVersion `json:"version"`
		Conflicts   []model.Row      `json:"conflicts"`
	}

	// TransactionUnknown reports that a transaction's answer was lost or that
	// the platform refused it; it may or may not have taken effect.
	TransactionUnknown struct {
		Transaction string `json:"transaction"`
		Reason      string `json:"reason"`
		// NotSent is true when the transaction surely never left this node.
		NotSent bool `json:"not_sent"`
	}

	// RowsRead reports the answer of a table read.
	RowsRead struct {
		Read string      `json:"read"`
		Rows []model.Row `json:"rows"`
	}

	// ReadFailed reports that a table read got no answer.
	ReadFailed struct {
		Read   string `json:"read"`
		Reason string `json:"reason"`
	}

	// ObjectRead reports the answer of an object read.
	ObjectRead struct {
		Key   string `json:"key"`
		Body  []byte `json:"body"`
		Found bool   `json:"found"`
		// Failed is true when the object store did not answer.
		Failed bool `json:"failed"`
	}

	// ObjectWritten reports the answer of an object write.
	ObjectWritten struct {
		Key    string `json:"key"`
		Failed bool   `json:"failed"`
	}

	// VMsListed reports the platform's list of VMs.
	VMsListed struct {
		VMs    []VM `json:"vms"`
		Failed bool `json:"failed"`
	}

	// EngineReported reports the state that an engine says it is in.
	EngineReported struct {
		Target      model.TargetID        `json:"target"`
		Incarnation model.Incarnation     `json:"incarnation"`
		Sequence    uint64                `json:"sequence"`
		Model       model.ModelName       `json:"model"`
		Version     model.ModelVersion    `json:"version"`
		Layers      model.LayerRange      `json:"layers"`
		Accelerator model.AcceleratorKind `json:"accelerator"`
		// StepTime is the time for one token over the held layers.
		StepTime time.Duration       `json:"step_time_ns"`
		MaxBatch uint32              `json:"max_batch"`
		Running  uint32              `json:"running"`
		Queued   uint32              `json:"queued"`
		Leaving  bool                `json:"leaving"`
		Fencing  model.FencingNumber `json:"fencing"`
		Links    []Link              `json:"links"`
		Cache    []CacheEvent        `json:"cache"`
		// Watch is the number of the watch that brought the report.
		Watch uint64 `json:"watch"`
	}

	// TargetLost reports that a target's watch connection broke.
	TargetLost struct {
		Target      model.TargetID    `json:"target"`
		Incarnation model.Incarnation `json:"incarnation"`
		Reason      string            `json:"reason"`
		// Watch is the number of the watch that broke.
		Watch uint64 `json:"watch"`
		// NotListening is true when the target's VM answered that no process
		// listens at the address.
		NotListening bool `json:"not_listening"`
	}

	// OrderAnswered reports an engine's answer to an order.
	OrderAnswered struct {
		Target   model.TargetID      `json:"target"`
		Order    string              `json:"order"`
		Fencing  model.FencingNumber `json:"fencing"`
		Accepted bool                `json:"accepted"`
		// Unknown is true when no answer came.
		Unknown bool   `json:"unknown"`
		Reason  string `json:"reason"`
	}

	// ChangeProposed reports a settings change from an operator.
	ChangeProposed struct {
		Request model.RequestID `json:"request"`
		Change  Change          `json:"change"`
	}

	// DrainRequested reports an operator's wish that a target leave.
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

	// SettingsRequested reports that a peer asks for changes.
	SettingsRequested struct {
		From  model.NodeID   `json:"from"`
		After model.Revision `json:"after"`
		// Digest is the digest of the peer's changes up to After.
		Digest LogDigest `json:"digest"`
	}

	// SettingsOffered reports changes served by a peer.
	SettingsOffered struct {
		From             model.NodeID   `json:"from"`
		SnapshotRevision model.Revision `json:"snapshot_revision"`
		TreeJSON         []byte         `json:"tree_json"`
		Changes          []Change       `json:"changes"`
		// Digest is the digest of the changes up to SnapshotRevision.
		Digest LogDigest `json:"digest"`
		// VMs is the platform's list as last read, for a node that starts.
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
