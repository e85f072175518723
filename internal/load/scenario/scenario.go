// Package scenario reads and checks the JSON files that describe an
// experiment: a deployment, the load on it and the failures injected into it.
package scenario

import (
	"os"
	"time"

	"tamarackreach/internal/strictjson"

	"github.com/cockroachdb/errors"
)

// Scenario is one experiment.
type Scenario struct {
	Name string `json:"name"`
	// Deployment names the shape that is laid out.
	Deployment DeploymentName `json:"deployment"`
	// Seed seeds the arrival times.
	Seed     uint64 `json:"seed"`
	LengthMs uint32 `json:"length_ms"`
	// StepScale multiplies the step time of every engine; 0 is 1.
	StepScale uint32 `json:"step_scale"`
	// MaxBatch is the batch size of every engine; 0 keeps the shape's.
	MaxBatch uint32 `json:"max_batch"`
	// RequestsPerS is the mean rate of model requests.
	RequestsPerS float64 `json:"requests_per_s"`
	// CallsPerS is the mean rate of calls that must not be repeated.
	CallsPerS    float64   `json:"calls_per_s"`
	AnswerTokens uint32    `json:"answer_tokens"`
	Failures     []Failure `json:"failures"`
}

// DeploymentName names a shape.
type DeploymentName string

// The deployments that a scenario can name.
const (
	LinhaDourada   DeploymentName = "linha-dourada"
	KootenayLacing DeploymentName = "kootenay-lacing"
)

// Kind says what fails.
type Kind string

// The kinds of failure.
const (
	// CrashTarget crashes an engine; it comes back as a new incarnation.
	CrashTarget Kind = "crash_target"
	// KillProcess kills a process for good.
	KillProcess Kind = "kill_process"
	// ReplaceProcess kills a process and starts it again, as a new VM.
	ReplaceProcess Kind = "replace_process"
	// FreezeProcess stops a process for a time.
	FreezeProcess Kind = "freeze_process"
	// CutZone cuts a zone off from the platform for a time.
	CutZone Kind = "cut_zone"
	// SilenceTarget makes the open connections to an engine silent.
	SilenceTarget Kind = "silence_target"
	// SlowLinks slows every link between targets for a time.
	SlowLinks Kind = "slow_links"
	// PlatformOutage makes the platform answer nothing for a time.
	PlatformOutage Kind = "platform_outage"
	// SlowPlatform delays every answer of the platform for a time.
	SlowPlatform Kind = "slow_platform"
	// LoseAnswers loses the answers of transactions for a time.
	LoseAnswers Kind = "lose_answers"
	// CutService cuts the connections of a service after a call ran, for a time.
	CutService Kind = "cut_service"
	// LeavingTarget makes an engine say that it is leaving.
	LeavingTarget Kind = "leaving_target"
	// PoisonRequest sends a request that crashes every engine that runs it.
	PoisonRequest Kind = "poison_request"
	// OperatorRace sends conflicting settings changes at the same moment.
	OperatorRace Kind = "operator_race"
)

// Failure is a failure at a stated time. Two failures with the same time happen
// at once.
type Failure struct {
	// AtMs counts from the start of the load.
	AtMs uint32 `json:"at_ms"`
	Kind Kind   `json:"kind"`
	// LengthMs is how long a failure that ends lasts.
	LengthMs uint32 `json:"length_ms"`
	// Target is an engine, a zone or a process, as the kind asks.
	Target string `json:"target"`
	// Factor is the slowdown of links, or the milliseconds that the platform
	// takes longer.
	Factor uint32 `json:"factor"`
}

// At returns when the failure starts.
func (f Failure) At() time.Duration { return time.Duration(f.AtMs) * time.Millisecond }

// Lasts returns how long the failure lasts.
func (f Failure) Lasts() time.Duration { return time.Duration(f.LengthMs) * time.Millisecond }

// String formats the failure for reports.
func (f Failure) String() string {
	text := string(f.Kind)
	if f.Target != "" {
		text += " " + f.Target
	}
	if f.LengthMs > 0 {
		text += " for " + f.Lasts().String()
	}
	return text
}

// Length returns the length of the load.
func (s *Scenario) Length() time.Duration { return time.Duration(s.LengthMs) * time.Millisecond }

// Load reads and checks a scenario; the error lists every problem.
func Load(path string) (*Scenario, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read scenario; name a readable file with -scenario")
	}
	return Decode(data)
}

// Decode decodes a scenario and checks it.
func Decode(data []byte) (*Scenario, error) {
	s := &Scenario{}
	if err := strictjson.Decode(data, s); err != nil {
		return nil, errors.Wrap(err, "decode scenario; the fields are in docs/EXPERIMENTS.md")
	}
	if err := strictjson.Join("scenario", s.Check()); err != nil {
		return nil, err
	}
	return s, nil
}
