// Package settings holds the settings tree that operators change at run time: one
// subtree per team with its objects, the checks that a tree must pass and the
// application of changes.
package settings

import (
	"strings"
	"time"

	"tamarackreach/internal/model"
)

// Tree is the complete settings, one subtree per team.
type Tree struct {
	Teams map[model.TeamID]*Team `json:"teams"`
}

// Team is the subtree of one team. Only that team may change it.
type Team struct {
	Models     map[model.ModelName]*Model       `json:"models,omitempty"`
	Pipelines  map[model.PipelineID]*Pipeline   `json:"pipelines,omitempty"`
	Workspaces map[model.WorkspaceID]*Workspace `json:"workspaces,omitempty"`
	Services   map[model.ServiceID]*Service     `json:"services,omitempty"`
	Targets    map[model.TargetID]*Target       `json:"targets,omitempty"`
}

// Model lists the versions of a model that pipelines may use.
type Model struct {
	Versions []model.ModelVersion `json:"versions"`
	// Layers is the number of layers of the model.
	Layers uint32 `json:"layers"`
}

// Recovery is how a pipeline recovers a request after the loss of a stage.
type Recovery string

// The recovery modes.
const (
	// RecoverStage replaces only the lost stage.
	RecoverStage Recovery = "stage"
	// RecoverRestart restarts the request on a new chain.
	RecoverRestart Recovery = "restart"
)

// Pipeline serves one version of a model, split into stages.
type Pipeline struct {
	Model   model.ModelName    `json:"model"`
	Version model.ModelVersion `json:"version"`
	Stages  []Stage            `json:"stages"`
	// CapacityTokensPerS is the maximum sum of the workspaces' shares, in
	// tokens/s.
	CapacityTokensPerS uint32   `json:"capacity_tokens_per_s"`
	Recovery           Recovery `json:"recovery"`
	// MaxPromptBytes is the length of the longest accepted prompt.
	MaxPromptBytes uint32 `json:"max_prompt_bytes"`
}

// Stage is a layer range and the targets assigned to it.
type Stage struct {
	Layers  model.LayerRange `json:"layers"`
	Targets []model.TargetID `json:"targets"`
}

// Workspace is a customer.
type Workspace struct {
	// KeySHA256 is the hex SHA-256 of the workspace key.
	KeySHA256 string `json:"key_sha256"`
	// SharesTokensPerS is the quota of the workspace on each pipeline that it
	// uses, in tokens/s.
	SharesTokensPerS map[model.PipelineID]uint32 `json:"shares_tokens_per_s,omitempty"`
	// Priority orders waiting requests; the highest is served first.
	Priority uint32 `json:"priority"`
	// FirstTokenMs is the default time limit for the first token, in
	// milliseconds.
	FirstTokenMs uint32 `json:"first_token_ms"`
}

// Service is a service other than a model engine.
type Service struct {
	Targets []model.TargetID            `json:"targets"`
	Methods map[model.MethodName]Method `json:"methods"`
}

// Method is one method of a service.
type Method struct {
	// AtMostOnce marks a method that is not idempotent and may not be repeated.
	AtMostOnce bool `json:"once"`
	// DeadlineMs is the maximum duration of a call, in milliseconds.
	DeadlineMs uint32 `json:"deadline_ms"`
}

// Target declares which checks an engine performs.
type Target struct {
	// ChecksFencing is true if the engine rejects an order with an outdated
	// fencing number.
	ChecksFencing bool `json:"checks_fencing"`
	// ChecksIdentity is true if the engine authenticates the sender of an
	// order.
	ChecksIdentity bool `json:"checks_identity"`
}

// keyHash returns the hash of the workspace key in lower case.
func (w *Workspace) keyHash() string { return strings.ToLower(w.KeySHA256) }

// FirstTokenLimit returns the default time limit for the first token.
func (w *Workspace) FirstTokenLimit() time.Duration {
	return time.Duration(w.FirstTokenMs) * time.Millisecond
}

// Deadline returns the maximum duration of a call.
func (m Method) Deadline() time.Duration {
	return time.Duration(m.DeadlineMs) * time.Millisecond
}

// NewTree returns an empty tree.
func NewTree() *Tree { return &Tree{Teams: make(map[model.TeamID]*Team)} }

func newTeam() *Team {
	return &Team{
		Models:     make(map[model.ModelName]*Model),
		Pipelines:  make(map[model.PipelineID]*Pipeline),
		Workspaces: make(map[model.WorkspaceID]*Workspace),
		Services:   make(map[model.ServiceID]*Service),
		Targets:    make(map[model.TargetID]*Target),
	}
}
