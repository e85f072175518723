// Package fleet holds the domain types of a deployment on the users' platform:
// operator configuration, target registrations and reports, and the hops of a
// request's path.
package fleet

import (
	"time"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/model"
)

// RequestKind determines which requests may be retried.
type RequestKind uint8

// The kinds of request.
const (
	// Idempotent requests may run any number of times.
	Idempotent RequestKind = iota + 1
	// NonIdempotent requests run at most once per client attempt.
	NonIdempotent
	// Stream requests are answered with a stream of events.
	Stream
)

// String returns the kind's name in logs.
func (k RequestKind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non_idempotent"
	case Stream:
		return "stream"
	}
	return "unknown"
}

// WeightedService is a service and its weight in a route's traffic split.
type WeightedService struct {
	Service model.ServiceID
	Weight  uint32
}

// Route maps a host and a path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RequestKind
	// Timeout bounds the time from a request's arrival to its answer.
	Timeout time.Duration
	// LatencyGoal is the objective for the time to first byte; a later first byte
	// reduces the request's value.
	LatencyGoal time.Duration
	// EventGapGoal is the objective for the longest gap between events of a stream; 0 on
	// plain routes.
	EventGapGoal time.Duration
	// Priority orders routes; 0 is the highest.
	Priority int
	Split    []WeightedService
	// MaxTargets bounds the targets that one client attempt may be sent to.
	MaxTargets int
	// Public routes require no API key.
	Public bool
	// Resumable streams may be continued at another target.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Hardware describes an accelerator kind.
type Hardware struct {
	// MemoryMB is the memory for layer weights and KV cache together.
	MemoryMB float64
	// DecodeFactor multiplies the time of a decode step.
	DecodeFactor float64
	// PrefillFactor multiplies the time of prefill.
	PrefillFactor float64
}

// Engine describes how the targets of a service run a layered model.
type Engine struct {
	// Slots is the number of concurrent requests that a target accepts as first hop.
	Slots int
	// KVBytesPerToken is the KV cache size of one token over all layers, in bytes.
	KVBytesPerToken float64
	// StepMs is the fixed time of one decode step over all layers, in milliseconds.
	StepMs float64
	// StepMsPerSequence is the time added per decoding sequence, in milliseconds.
	StepMsPerSequence float64
	// StepMsPerKToken is the time added per 1,000 tokens of context of a decoding
	// sequence, in milliseconds.
	StepMsPerKToken float64
	// PrefillTokensPerSecond is the prefill throughput over all layers.
	PrefillTokensPerSecond float64
	// PrefillChunkTokens is the size of a prefill chunk: the most prompt tokens that
	// one pass processes.
	PrefillChunkTokens float64
	// StepsPerPass is the number of decode steps in one pass.
	StepsPerPass float64
	// MeanPromptTokens and MeanAnswerTokens are the mean token counts of prompts and
	// answers.
	MeanPromptTokens, MeanAnswerTokens float64
	Layers                             uint32
	LayerMB                            float64
	// LoadTime is the time of loading all layers.
	LoadTime time.Duration
	// MaxFullSpeedLoads is the number of concurrent loads that run at full speed.
	MaxFullSpeedLoads int
	Hardware          map[model.AcceleratorKind]Hardware
}

// CheckHeld returns an error where no target of a kind can hold a layer range: it is not within
// the model, the kind is unknown, or its memory is too small.
func (e *Engine) CheckHeld(kind model.AcceleratorKind, held model.LayerRange) error {
	if held.First == held.End {
		return nil
	}
	if held.First > held.End || held.End > e.Layers {
		return errors.Newf("layers %s are not within the model's %d", held, e.Layers)
	}
	hardware, known := e.Hardware[kind]
	if !known {
		return errors.Newf("layers %s are on unknown hardware %q", held, kind)
	}
	if size := float64(held.Len()) * e.LayerMB; size > hardware.MemoryMB {
		return errors.Newf("layers %s take %.0f MB, and hardware %q has %.0f MB", held, size, kind, hardware.MemoryMB)
	}
	return nil
}

// KVMBPerTokenLayer returns the KV cache size of one token in one layer, in
// megabytes.
func (e *Engine) KVMBPerTokenLayer() float64 {
	const bytesPerMB = 1e6
	return e.KVBytesPerToken / float64(e.Layers) / bytesPerMB
}

// PassMs predicts the time of one pass over a number of layers on a kind of
// hardware, in milliseconds, with a number of sequences decoding at the mean
// context length and one full prefill chunk.
func (e *Engine) PassMs(h Hardware, layers uint32, sequences float64) float64 {
	share := float64(layers) / float64(e.Layers)
	prefill := e.PrefillChunkTokens / e.PrefillTokensPerSecond * 1000 * h.PrefillFactor
	return share * (e.StepsPerPass*h.DecodeFactor*e.StepMsAt(sequences) + prefill)
}

// StepMsAt predicts the time of one decode step over all layers, in milliseconds,
// with a number of sequences decoding at the mean context length. It applies no
// DecodeFactor.
func (e *Engine) StepMsAt(sequences float64) float64 {
	context := (e.MeanPromptTokens + e.MeanAnswerTokens/2) / 1000
	return e.StepMs + sequences*(e.StepMsPerSequence+context*e.StepMsPerKToken)
}

// Service is a group of targets.
type Service struct {
	ID         model.ServiceID
	HealthPath string
	// MaxConnections is the number of connections that a target accepts from all
	// callers together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits are the limits for connections and requests of clients.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Workspace is a customer with its API keys.
type Workspace struct {
	ID   model.WorkspaceID
	Keys []string
	// Priority overrides that of the route when HasPriority is true.
	Priority    int
	HasPriority bool
}

// Config is the complete operator configuration.
type Config struct {
	Version    model.Revision
	Routes     []Route
	Services   map[model.ServiceID]*Service
	Limits     Limits
	Workspaces []Workspace
	// AllowAnonymous is true when the configuration has no list of workspaces, so that
	// requests need no key. An empty list removes all keys instead.
	AllowAnonymous bool
}

// TargetState is the state in a target's registration.
type TargetState uint8

// The states of a target.
const (
	TargetReady TargetState = iota + 1
	TargetDraining
)

// Target is a back end as registered.
type Target struct {
	ID      model.TargetID
	Service model.ServiceID
	Address string
	Zone    model.AvailabilityZone
	State   TargetState
	Slots   int
	// Kind is empty on plain services.
	Kind model.AcceleratorKind
	// Held is the layer range that the target serves; empty when it holds none.
	Held model.LayerRange
	// StartedMs is the start time of the target's process, Unix milliseconds; it
	// distinguishes incarnations of the same id.
	StartedMs int64
}

// Hop is one target of a path and the layers that it computes.
type Hop struct {
	Target  model.TargetID
	Address string
	Layers  model.LayerRange
}

// Request is a decoded client attempt.
type Request struct {
	ID     model.RequestID
	Method string
	Host   string
	// Path is without the query, and both are escaped as the client sent them.
	Path   string
	Query  string
	Key    string
	HasKey bool
	// Deadline is the time until the client's deadline; zero when it sets none.
	Deadline time.Duration
	// PromptTokens and AnswerTokens are the token counts that the client declared.
	PromptTokens, AnswerTokens int
	// Model is the model that the client asks for, and Prompt its whole declaration of the
	// prompt's parts; both are empty on routes without models.
	Model  model.ModelName
	Prompt string
	// SharedParts are the parts of the prompt that other requests may share, in order:
	// all that the client declared but the last, which is the request's or session's own.
	SharedParts []model.PartID
	// ResumeAfter is the id of the last event that the client received; empty for a
	// new stream.
	ResumeAfter string
	Body        []byte
}

// Report is a target's report of its state and load.
type Report struct {
	// Leaving is true when the target states that it leaves.
	Leaving bool
	Held    model.LayerRange
	Busy    bool
	// Orders counts the orders accepted by this incarnation of the target.
	Orders    uint64
	StartedMs int64
	Running   int
	Queued    int
	// UsedTokenLayers and TotalTokenLayers measure KV cache in tokens times layers.
	UsedTokenLayers, TotalTokenLayers float64
	// Slowdown is the slowdown factor: 1 at normal speed, larger when slower.
	Slowdown float64
	// Stalled lists the addresses of targets that requests are waiting for.
	Stalled []string
}
