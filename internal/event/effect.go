package event

import (
	"time"

	"tamarackreach/internal/fault"
	"tamarackreach/internal/model"
)

// Effect is an action that the reducer requests from its driver.
type Effect interface{ isEffect() }

type (
	// RefuseRequest ends a request with a fault.
	RefuseRequest struct {
		Request model.RequestID `json:"request"`
		Fault   fault.Fault     `json:"fault"`
	}

	// OpenChain starts an attempt of a request on a chain of targets.
	OpenChain struct {
		Request   model.RequestID     `json:"request"`
		Attempt   model.AttemptNumber `json:"attempt"`
		Model     model.ModelName     `json:"model"`
		Version   model.ModelVersion  `json:"version"`
		Prompt    string              `json:"prompt"`
		PrefixKey string              `json:"prefix_key"`
		// Tokens were already delivered; generation continues after them.
		Tokens    []string    `json:"tokens"`
		MaxTokens uint32      `json:"max_tokens"`
		Priority  uint32      `json:"priority"`
		Chain     []model.Hop `json:"chain"`
		// FreshConnection asks for new connections to the targets of the chain.
		FreshConnection bool `json:"fresh_connection"`
	}

	// RedialStream reopens the stream of the same attempt over a new connection.
	RedialStream struct {
		Request model.RequestID     `json:"request"`
		Attempt model.AttemptNumber `json:"attempt"`
		Last    model.Hop           `json:"last"`
	}

	// CancelChain cancels an attempt and all earlier ones on a chain.
	CancelChain struct {
		Request model.RequestID     `json:"request"`
		Attempt model.AttemptNumber `json:"attempt"`
		Chain   []model.Hop         `json:"chain"`
	}

	// RetireConnections closes idle connections to a target and makes new
	// streams open new ones.
	RetireConnections struct {
		Target  model.TargetID `json:"target"`
		Address string         `json:"address"`
	}

	// ForwardToken sends a token to the caller.
	ForwardToken struct {
		Request  model.RequestID     `json:"request"`
		Attempt  model.AttemptNumber `json:"attempt"`
		Index    model.TokenIndex    `json:"index"`
		Text     string              `json:"text"`
		Receipts []model.Receipt     `json:"receipts"`
		Last     bool                `json:"last"`
	}

	// SendCall sends a call to a service.
	SendCall struct {
		Request        model.RequestID      `json:"request"`
		Target         model.TargetID       `json:"target"`
		Address        string               `json:"address"`
		Workspace      model.WorkspaceID    `json:"workspace"`
		Method         model.MethodName     `json:"method"`
		IdempotencyKey model.IdempotencyKey `json:"idempotency_key"`
		Body           []byte               `json:"body"`
		Within         time.Duration        `json:"within_ns"`
		// Deadline is checked again just before the first byte is sent.
		Deadline model.Instant `json:"deadline"`
		// AtMostOnce is true for an at-most-once call, which must not be repeated.
		AtMostOnce bool `json:"once"`
	}

	// AnswerCall ends a call with its answer; Recorded is true if Body is the
	// stored outcome of an earlier call.
	AnswerCall struct {
		Request  model.RequestID `json:"request"`
		Body     []byte          `json:"body"`
		Recorded bool            `json:"recorded"`
	}

	// Transact sends a transaction to the table service.
	Transact struct {
		Transaction string      `json:"transaction"`
		Conditions  []Condition `json:"conditions"`
		Writes      []Write     `json:"writes"`
		// Requests are the requests that wait for the answer, for their trace spans.
		Requests []model.RequestID `json:"requests,omitempty"`
	}

	// ReadRows reads table rows, by key or by prefix.
	ReadRows struct {
		Read     string   `json:"read"`
		Keys     []string `json:"keys"`
		Prefix   string   `json:"prefix"`
		StartKey string   `json:"start_key"`
		Limit    uint32   `json:"limit"`
		// Requests are the requests that wait for the answer, for their trace spans.
		Requests []model.RequestID `json:"requests,omitempty"`
	}

	// ReadObject reads an object of the object store.
	ReadObject struct {
		Key string `json:"key"`
	}

	// WriteObject writes an object of the object store.
	WriteObject struct {
		Key  string `json:"key"`
		Body []byte `json:"body"`
	}

	// ListVMs reads the platform's VM list.
	ListVMs struct{}

	// WatchTarget opens a stream of reports from an engine or keeps it open.
	WatchTarget struct {
		Target      model.TargetID    `json:"target"`
		Incarnation model.Incarnation `json:"incarnation"`
		Address     string            `json:"address"`
		// Watch numbers the watches of the target.
		Watch uint64 `json:"watch"`
	}

	// UnwatchTarget closes the stream of reports of a target.
	UnwatchTarget struct {
		Target model.TargetID `json:"target"`
	}

	// SendOrder sends an engine its absolute desired state.
	SendOrder struct {
		Target   model.TargetID      `json:"target"`
		Address  string              `json:"address"`
		Order    string              `json:"order"`
		Pipeline model.PipelineID    `json:"pipeline"`
		Fencing  model.FencingNumber `json:"fencing"`
		Model    model.ModelName     `json:"model"`
		Version  model.ModelVersion  `json:"version"`
		Layers   model.LayerRange    `json:"layers"`
		// Node is the holder of the pipeline's lease, which issues the order.
		Node model.NodeID `json:"node"`
		// ValidUntil is checked again just before the order is sent.
		ValidUntil model.Instant `json:"valid_until"`
		// Within is the time limit of the answer.
		Within time.Duration `json:"within_ns"`
	}

	// AnswerChange answers an operator's change or drain; Fault is nil on
	// success.
	AnswerChange struct {
		Request  model.RequestID `json:"request"`
		Revision model.Revision  `json:"revision"`
		Fault    *fault.Fault    `json:"fault"`
	}

	// SettingsInForce reports that a revision came into force on this node.
	SettingsInForce struct {
		Revision model.Revision `json:"revision"`
	}

	// SendHeartbeat sends this node's heartbeat to a peer.
	SendHeartbeat struct {
		To         model.NodeID     `json:"to"`
		Address    string           `json:"address"`
		Sequence   uint64           `json:"sequence"`
		Reply      bool             `json:"reply"`
		Revision   model.Revision   `json:"revision"`
		Peers      []PeerState      `json:"peers"`
		Quarantine []QuarantineNote `json:"quarantine"`
		Targets    []TargetNote     `json:"targets"`
		Quotas     []QuotaNote      `json:"quotas"`
		// Digest is the digest of the changes up to Revision.
		Digest LogDigest `json:"digest"`
		// ConfirmedAgo is how long ago the platform confirmed the revision.
		ConfirmedAgo time.Duration `json:"confirmed_ago_ns"`
	}

	// RequestSettings requests the changes after a revision from a peer.
	RequestSettings struct {
		To      model.NodeID   `json:"to"`
		Address string         `json:"address"`
		After   model.Revision `json:"after"`
		// Digest is the digest of this node's changes up to After.
		Digest LogDigest `json:"digest"`
	}

	// OfferSettings sends settings to a peer.
	OfferSettings struct {
		To               model.NodeID   `json:"to"`
		Address          string         `json:"address"`
		SnapshotRevision model.Revision `json:"snapshot_revision"`
		TreeJSON         []byte         `json:"tree_json"`
		Changes          []Change       `json:"changes"`
		// Digest is the digest of the changes up to SnapshotRevision.
		Digest LogDigest `json:"digest"`
		// VMs is the platform's VM list as last read, for a node that starts.
		VMs []VM `json:"vms"`
	}

	// LogChange logs a change of state.
	LogChange struct {
		Message string `json:"message"`
		Subject string `json:"subject"`
		Detail  string `json:"detail"`
	}

	// ShutdownReady reports that nothing is in progress and the process may
	// exit.
	ShutdownReady struct{}
)

// Condition requires a row to have a version; 0 requires the row to be absent.
type Condition struct {
	Key     string           `json:"key"`
	Version model.RowVersion `json:"version"`
}

// Write sets or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Delete bool   `json:"delete"`
}

func (RefuseRequest) isEffect()     {}
func (OpenChain) isEffect()         {}
func (RedialStream) isEffect()      {}
func (CancelChain) isEffect()       {}
func (RetireConnections) isEffect() {}
func (*ForwardToken) isEffect()     {}
func (SendCall) isEffect()          {}
func (AnswerCall) isEffect()        {}
func (Transact) isEffect()          {}
func (ReadRows) isEffect()          {}
func (ReadObject) isEffect()        {}
func (WriteObject) isEffect()       {}
func (ListVMs) isEffect()           {}
func (WatchTarget) isEffect()       {}
func (UnwatchTarget) isEffect()     {}
func (SendOrder) isEffect()         {}
func (AnswerChange) isEffect()      {}
func (SettingsInForce) isEffect()   {}
func (SendHeartbeat) isEffect()     {}
func (RequestSettings) isEffect()   {}
func (OfferSettings) isEffect()     {}
func (LogChange) isEffect()         {}
func (ShutdownReady) isEffect()     {}
