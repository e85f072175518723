// Package fleet holds the domain types of a deployment on the users' platform:
// what operators configure, what targets report, and the layer ranges that a
// request passes through.
package fleet

import (
	"time"

	"tamarackreach/internal/model"
)

// RequestKind says what may be repeated.
type RequestKind uint8

// The kinds of request.
const (
	// Idempotent requests may run any number of times.
	Idempotent RequestKind = iota + 1
	// NonIdempotent requests run at most once per client attempt.
	NonIdempotent
	// Stream requests answer with events as they are made.
	Stream
)

// String returns the kind as logs show it.
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

// WeightedService is a service's part of a split route.
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
	// Timeout is the longest that a caller is kept waiting.
	Timeout time.Duration
	// LatencyGoal is the time to the first byte that earns full value.
	LatencyGoal time.Duration
	// PauseGoal is the longest pause between events that is on time; 0 on plain
	// routes.
	PauseGoal time.Duration
	// Priority orders routes; 0 is the most urgent.
	Priority int
	Split    []WeightedService
	// MaxTargets bounds the targets that one client attempt may be sent to.
	MaxTargets int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another target.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Hardware describes an accelerator kind.
type Hardware struct {
	// MemoryMB is shared by layers and by the state of requests.
	MemoryMB float64
	// StepFactor multiplies the time of a token step.
	StepFactor float64
	// ReadFactor multiplies the time of reading a prompt.
	ReadFactor float64
}

// Engine describes how the targets of a service run a layered model.
type Engine struct {
	// Slots is the number of requests that a target receives as first hop.
	Slots int
	// StateBytesPerToken is the memory of one token over all layers, in bytes.
	StateBytesPerToken float64
	// StepMs is the fixed time of one token step over all layers.
	StepMs float64
	// StepMsPerSequence is added for each request that is writing.
	StepMsPerSequence float64
	// StepMsPerKToken is added per 1,000 tokens of context of a writing request.
	StepMsPerKToken float64
	// ReadTokensPerSecond is the rate of reading prompts over all layers.
	ReadTokensPerSecond float64
	// ReadTokensPerPass bounds the prompt tokens that one pass reads.
	ReadTokensPerPass float64
	// StepsPerPass is the token steps that one pass takes.
	StepsPerPass float64
	// UsualPrompt and UsualAnswer are mean token counts.
	UsualPrompt, UsualAnswer float64
	Layers                   uint32
	LayerMB                  float64
	// LoadTime is the time of loading all layers.
	LoadTime time.Duration
	// LoadsAtOnce is the number of loads that run at full speed.
	LoadsAtOnce int
	Hardware    map[model.AcceleratorKind]Hardware
}

// StateMBPerTokenLayer is the memory that one token takes in one layer.
func (e *Engine) StateMBPerTokenLayer() float64 {
	const bytesPerMB = 1e6
	return e.StateBytesPerToken / float64(e.Layers) / bytesPerMB
}

// PassMs predicts the time of one pass over some layers on a kind of hardware,
// with sequences writing at the usual context and a full piece of a prompt to
// read, in milliseconds.
func (e *Engine) PassMs(h Hardware, layers uint32, sequences float64) float64 {
	share := float64(layers) / float64(e.Layers)
	read := e.ReadTokensPerPass / e.ReadTokensPerSecond * 1000 * h.ReadFactor
	return share * (e.StepsPerPass*h.StepFactor*e.StepMsAt(sequences) + read)
}

// StepMsAt is the time of a token step over all layers at normal speed, with
// sequences writing at the usual context, in milliseconds.
func (e *Engine) StepMsAt(sequences float64) float64 {
	context := (e.UsualPrompt + e.UsualAnswer/2) / 1000
	return e.StepMs + sequences*(e.StepMsPerSequence+context*e.StepMsPerKToken)
}

// Service is a group of targets.
type Service struct {
	ID         model.ServiceID
	HealthPath string
	// MaxConnections is what a target accepts from all callers together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine *Engine
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Workspace is a customer with its keys.
type Workspace struct {
	ID   model.WorkspaceID
	Keys []string
	// Priority goes before that of the route when HasPriority is true.
	Priority    int
	HasPriority bool
}

// Config is an operator's configuration in full.
type Config struct {
	Version    model.Revision
	Routes     []Route
	Services   map[model.ServiceID]*Service
	Limits     Limits
	Workspaces []Workspace
}

// TargetState is what a target says of itself.
type TargetState uint8

// The states of a target.
const (
	TargetReady TargetState = iota + 1
	TargetDraining
)

// Target is a back end as its registration shows it.
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
	// Born tells lives of the same id apart, Unix milliseconds.
	Born int64
}

// Hop is one target of a path and the layers that it runs.
type Hop struct {
	Target  model.TargetID
	Address string
	Layers  model.LayerRange
}

// Request is one client attempt, decoded.
type Request struct {
	ID     model.RequestID
	Method string
	Host   string
	Path   string
	Key    string
	HasKey bool
	// Deadline is when the client leaves; zero when it named none.
	Deadline time.Duration
	// PromptTokens and AnswerTokens are what the client announced.
	PromptTokens, AnswerTokens int
	// ResumeAfter is the last event that the client has; empty at the start.
	ResumeAfter string
	Body        []byte
}

// Report is a target's own account of its load.
type Report struct {
	Held model.LayerRange
	Busy bool
	// Orders counts the orders that this life of the target accepted.
	Orders  uint64
	Born    int64
	Running int
	Queued  int
	// UsedTokenLayers and TotalTokenLayers count tokens times layers.
	UsedTokenLayers, TotalTokenLayers float64
	// Pace is 1 at normal speed and larger when slow.
	Pace float64
	// Stalled names the addresses that requests wait for.
	Stalled []string
}
