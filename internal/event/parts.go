package event

import (
	"encoding/json"
	"time"

	"tamarackreach/internal/model"
)

// Role is the kind of process that a VM runs.
type Role string

// The roles of VMs.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// VM is one entry of the platform's VM list.
type VM struct {
	ID          string                 `json:"id"`
	Incarnation model.Incarnation      `json:"incarnation"`
	Zone        model.AvailabilityZone `json:"zone"`
	Role        Role                   `json:"role"`
	Address     string                 `json:"address"`
	PeerAddress string                 `json:"peer_address"`
	Accelerator model.AcceleratorKind  `json:"accelerator"`
	Leaving     bool                   `json:"leaving"`
}

// Link is a measured link from one target to another.
type Link struct {
	To      model.TargetID `json:"to"`
	Latency time.Duration  `json:"latency_ns"`
}

// CacheEvent reports that a target's KV cache gained or evicted a prompt prefix.
type CacheEvent struct {
	PrefixKey string `json:"prefix_key"`
	Evicted   bool   `json:"evicted"`
}

// Edit sets one object of a team's subtree to Value, or removes it if Value is nil.
type Edit struct {
	Path  string          `json:"path"`
	Value json.RawMessage `json:"value,omitempty"`
}

// Change is a set of edits to one team's subtree, accepted as a whole or not at
// all.
type Change struct {
	ID             model.ChangeID `json:"id"`
	Team           model.TeamID   `json:"team"`
	Author         string         `json:"author"`
	Reason         string         `json:"reason"`
	BaseRevision   model.Revision `json:"base_revision"`
	Edits          []Edit         `json:"edits"`
	Revision       model.Revision `json:"revision"`
	AcceptedUnixMs int64          `json:"accepted_unix_ms"`
}

// PeerStatus is the status of a node according to another node.
type PeerStatus uint8

// The peer statuses, in rising order of precedence: for the same incarnation and
// sequence number, a later one overrides an earlier one.
const (
	PeerAlive PeerStatus = iota
	PeerSuspected
	PeerDead
	PeerLeaving
)

// PeerState is the state of a node according to another node.
type PeerState struct {
	Node          model.NodeID           `json:"node"`
	Incarnation   model.Incarnation      `json:"incarnation"`
	Zone          model.AvailabilityZone `json:"zone"`
	Address       string                 `json:"address"`
	Status        PeerStatus             `json:"status"`
	Revision      model.Revision         `json:"revision"`
	InForceUnixMs int64                  `json:"in_force_unix_ms"`
	// Sequence is raised only by the node itself; a state with a higher one is
	// newer.
	Sequence uint64 `json:"sequence"`
}

// LogDigest is a hash over all accepted changes up to a revision; two nodes
// with the same revision and digest have the same settings.
type LogDigest uint64

// QuarantineNote is the crash record of a request's content, as sent to peers.
type QuarantineNote struct {
	Fingerprint model.Fingerprint `json:"fingerprint"`
	Crashes     uint32            `json:"crashes"`
	Quarantined bool              `json:"quarantined"`
	Remaining   time.Duration     `json:"remaining_ns"`
}

// TargetStatus is the lifecycle status of a target.
type TargetStatus uint8

// The target statuses, in rising order of precedence: for the same incarnation, a
// later one overrides an earlier one.
const (
	TargetLive TargetStatus = iota
	TargetLeaving
	TargetGone
)

// TargetNote is the status of a target that is leaving or gone, as sent to peers.
type TargetNote struct {
	Target      model.TargetID    `json:"target"`
	Incarnation model.Incarnation `json:"incarnation"`
	Status      TargetStatus      `json:"status"`
}

// QuotaNote is a node's share of a workspace quota and its demand, as sent to
// peers.
type QuotaNote struct {
	Workspace model.WorkspaceID `json:"workspace"`
	// SharePerMille is the part of the quota that the sender holds, in
	// thousandths.
	SharePerMille uint32 `json:"share_per_mille"`
	// DemandTokensPerS is the rate that the sender would use if it were not limited.
	DemandTokensPerS uint32 `json:"demand_tokens_per_s"`
	// Epoch numbers the allocation that the share belongs to.
	Epoch uint64 `json:"epoch"`
}
