// Package model holds the domain types shared by all packages. Each kind of
// identifier has its own type, so that the compiler rejects mixing them.
package model

import (
	"fmt"
	"time"
)

// Instant is a monotonic time in nanoseconds since an arbitrary origin that does
// not change while the process runs.
type Instant int64

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from other to i.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

type (
	// RequestID identifies, on the node that received it, a model request or a call.
	RequestID string
	// AttemptNumber numbers the chains tried for a request, from 1.
	AttemptNumber uint32
	// TokenIndex is the position of a token in an answer, from 0.
	TokenIndex uint32
	// TargetID identifies a back end.
	TargetID string
	// Incarnation distinguishes successive runs of the same VM; it never decreases.
	Incarnation uint64
	// PipelineID names a pipeline.
	PipelineID string
	// ModelName names a model.
	ModelName string
	// ModelVersion names a version of a model.
	ModelVersion string
	// WorkspaceID names a customer.
	WorkspaceID string
	// TeamID names the owner of a settings subtree.
	TeamID string
	// ServiceID names a service, with a layered model or plain.
	ServiceID string
	// MethodName names a method of a plain service.
	MethodName string
	// IdempotencyKey is chosen by the caller of a method that is not idempotent.
	IdempotencyKey string
	// Revision numbers accepted settings changes consecutively, from 1.
	Revision uint64
	// ChangeID identifies a proposed settings change; the client chooses it.
	ChangeID string
	// FencingNumber orders the holders of a lease; it never decreases.
	FencingNumber uint64
	// NodeID identifies an entry VM.
	NodeID string
	// AvailabilityZone names a failure domain.
	AvailabilityZone string
	// AcceleratorKind names a kind of accelerator.
	AcceleratorKind string
	// PartID names a part of a prompt.
	PartID string
	// Fingerprint identifies the content of a request (workspace, model and prompt)
	// independently of its request id.
	Fingerprint uint64
	// RowVersion is the version of a table row; 0 means the row is absent.
	RowVersion uint64
	// Nonce distinguishes writes of the same row by different owners.
	Nonce string
)

// LayerRange is a half-open range of model layers.
type LayerRange struct {
	First uint32 `json:"first"`
	End   uint32 `json:"end"`
}

// Len returns the number of layers.
func (r LayerRange) Len() uint32 { return r.End - r.First }

// String formats the range as [first,end).
func (r LayerRange) String() string { return fmt.Sprintf("[%d,%d)", r.First, r.End) }

// Receipt states that a target computed a layer range of a model version for one
// token.
type Receipt struct {
	Target  TargetID     `json:"target"`
	Layers  LayerRange   `json:"layers"`
	Version ModelVersion `json:"version"`
}

// Hop is one target of a chain.
type Hop struct {
	Target      TargetID    `json:"target"`
	Incarnation Incarnation `json:"incarnation"`
	Address     string      `json:"address"`
	Layers      LayerRange  `json:"layers"`
	// Rebuild is true when the target must rebuild the KV cache of the request.
	Rebuild bool `json:"rebuild"`
}

// Row is a table row; Version 0 means that the row is absent.
type Row struct {
	Key     string     `json:"key"`
	Value   []byte     `json:"value"`
	Version RowVersion `json:"version"`
}
