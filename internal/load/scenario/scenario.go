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
	// Deployment names the deployment's size and composition.
	Deployment DeploymentName `json:"deployment"`
	// Seed seeds the arrival times.
	Seed     uint64 `json:"seed"`
	LengthMs uint32 `json:"length_ms"`
	// StepScale multiplies the step time of every engine; 0 means 1.
	StepScale uint32 `json:"step_scale"`
	// MaxBatch is the batch size of every engine; 0 keeps that of the deployment.
	MaxBatch uint32 `json:"max_batch"`
	// RequestsPerS is the mean rate of model requests.
	RequestsPerS float64 `json:"requests_per_s"`
	// CallsPerS is the mean rate of at-most-once calls.
	CallsPerS    float64   `json:"calls_per_s"`
	AnswerTokens uint32    `json:"answer_tokens"`
	Failures     []Failure `json:"failures"`
}

// DeploymentName names a predefined deployment.
type DeploymentName string

// The deployments that a scenario can name.
const (
	LinhaDourada   DeploymentName = "linha-dourada"
	KootenayLacing DeploymentName = "kootenay-lacing"
)

// Kind is a kind of failure.
type Kind string

// The kinds of failure.
const (
	// CrashTarget crashes an engine, which restarts as a new incarnation.
	CrashTarget Kind = "crash_target"
	// KillProcess kills a process, which is not restarted.
	KillProcess Kind = "kill_process"
	// ReplaceProcess kills a process and restarts it, as a replacement VM would.
	ReplaceProcess Kind = "replace_process"
	// FreezeProcess suspends a process for a time.
	FreezeProcess Kind = "freeze_process"
	// CutZone partitions a zone from the platform for a time.
	CutZone Kind = "cut_zone"
	// SilenceTarget stops all traffic on the open connections to an engine
	// without closing them.
	SilenceTarget Kind = "silence_target"
	// SlowLinks increases the latency of every link between targets for a time.
	SlowLinks Kind = "slow_links"
	// PlatformOutage makes the platform unavailable for a time.
	PlatformOutage Kind = "platform_outage"
	// SlowPlatform delays every response of the platform for a time.
	SlowPlatform Kind = "slow_platform"
	// LoseAnswers drops the responses of transactions for a time.
	LoseAnswers Kind = "lose_answers"
	// CutService breaks the connections of a service after it ran a call and
	// before it responds, for a time.
	CutService Kind = "cut_service"
	// LeavingTarget makes an engine announce that it is leaving.
	LeavingTarget Kind = "leaving_target"
	// PoisonRequest sends a request that crashes every engine that runs it.
	PoisonRequest Kind = "poison_request"
	// OperatorRace sends conflicting settings changes concurrently.
	OperatorRace Kind = "operator_race"
)

// Failure is a failure at a scheduled time. Failures with the same time are
// injected concurrently.
type Failure struct {
	// AtMs is the offset from the start of the load.
	AtMs uint32 `json:"at_ms"`
	Kind Kind   `json:"kind"`
	// LengthMs is the duration of a failure that ends.
	LengthMs uint32 `json:"length_ms"`
	// Target is an engine, a service, a zone or a process, depending on the
	// kind.
	Target string `json:"target"`
	// Factor is the slowdown factor of links, or the delay of the platform in
	// milliseconds.
	Factor uint32 `json:"factor"`
}

// At returns the offset of the failure from the start of the load.
func (f Failure) At() time.Duration { return time.Duration(f.AtMs) * time.Millisecond }

// Length returns the duration of the failure.
func (f Failure) Length() time.Duration { return time.Duration(f.LengthMs) * time.Millisecond }

// String formats the failure for reports.
func (f Failure) String() string {
	text := string(f.Kind)
	if f.Target != "" {
		text += " " + f.Target
	}
	if f.LengthMs > 0 {
		text += " for " + f.Length().String()
	}
	return text
}

// Length returns the length of the load.
func (s *Scenario) Length() time.Duration { return time.Duration(s.LengthMs) * time.Millisecond }

// Load reads and checks a scenario file; the error lists every problem.
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
