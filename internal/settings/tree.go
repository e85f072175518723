// Package settings is the tree that operators change: one subtree per team, its
// objects, the checks that a tree must pass and the application of changes.
package settings

import (
	"strings"
	"time"

	"tamarackreach/internal/model"
)

// Tree is the whole of the settings, one subtree per team.
type Tree struct {
	Teams map[model.TeamID]*Team `json:"teams"`
}

// Team is one team's subtree. Only the team itself changes it.
type Team struct {
	Models     map[model.ModelName]*Model       `json:"models,omitempty"`
	Pipelines  map[model.PipelineID]*Pipeline   `json:"pipelines,omitempty"`
	Workspaces map[model.WorkspaceID]*Workspace `json:"workspaces,omitempty"`
	Services   map[model.ServiceID]*Service     `json:"services,omitempty"`
	Targets    map[model.TargetID]*Target       `json:"targets,omitempty"`
}

// Model lists the versions that may be in use.
type Model struct {
	Versions []model.ModelVersion `json:"versions"`
	// Layers is the number of layers of the model.
	Layers uint32 `json:"layers"`
}

// Recovery says how a pipeline goes on after the loss of a stage.
type Recovery string

// The ways of recovery.
const (
	// RecoverStage replaces the lost stage alone.
	RecoverStage Recovery = "stage"
	// RecoverRestart starts again on a new chain.
	RecoverRestart Recovery = "restart"
)

// Pipeline serves one version of one model over stages.
type Pipeline struct {
	Model   model.ModelName    `json:"model"`
	Version model.ModelVersion `json:"version"`
	Stages  []Stage            `json:"stages"`
	// CapacityTokensPerS is what the shares of workspaces may sum to.
	CapacityTokensPerS uint32   `json:"capacity_tokens_per_s"`
	Recovery           Recovery `json:"recovery"`
	// MaxPromptBytes is the longest accepted prompt.
	MaxPromptBytes uint32 `json:"max_prompt_bytes"`
}

// Stage is a layer range and the targets that are to hold it.
type Stage struct {
	Layers  model.LayerRange `json:"layers"`
	Targets []model.TargetID `json:"targets"`
}

// Workspace is a customer.
type Workspace struct {
	// KeySHA256 is the hex SHA-256 of the workspace key.
	KeySHA256 string `json:"key_sha256"`
	// SharesTokensPerS is the quota of the workspace on each pipeline it uses.
	SharesTokensPerS map[model.PipelineID]uint32 `json:"shares_tokens_per_s,omitempty"`
	// Priority orders waiting requests; a higher one goes first.
	Priority uint32 `json:"priority"`
	// FirstTokenMs is how long callers wait for the first token by default.
	FirstTokenMs uint32 `json:"first_token_ms"`
}

// Service is a plain service beside the model engines.
type Service struct {
	Targets []model.TargetID            `json:"targets"`
	Methods map[model.MethodName]Method `json:"methods"`
}

// Method is one method of a service.
type Method struct {
	// Once is true for a method that may not be repeated.
	Once bool `json:"once"`
	// DeadlineMs is the longest a call may take.
	DeadlineMs uint32 `json:"deadline_ms"`
}

// Target says what an engine checks.
type Target struct {
	// ChecksFencing is true when the engine refuses an order with an old
	// fencing number.
	ChecksFencing bool `json:"checks_fencing"`
	// ChecksIdentity is true when the engine checks who gives an order.
	ChecksIdentity bool `json:"checks_identity"`
}

// keyHash returns the hash of the workspace key in lower case.
func (w *Workspace) keyHash() string { return strings.ToLower(w.KeySHA256) }

// FirstToken returns how long callers wait for the first token by default.
func (w *Workspace) FirstToken() time.Duration {
	return time.Duration(w.FirstTokenMs) * time.Millisecond
}

// Deadline returns the longest a call may take.
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
