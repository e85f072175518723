// Package engine is a stand-in for a model engine that holds a layer range. It
// batches continuously at a configured speed, caches prompt prefixes, honours
// priorities, resumes and cancels attempts, reports its load periodically and
// accepts orders.
package engine

import (
	"time"

	"tamarackreach/internal/model"
)

// HostConfig is the configuration of a process that runs several engines.
type HostConfig struct {
	ControlAddress  string   `json:"control_address"`
	PlatformAddress string   `json:"platform_address"`
	Engines         []Config `json:"engines"`
}

// Config is the configuration of one engine.
type Config struct {
	ID          string             `json:"id"`
	Address     string             `json:"address"`
	Incarnation uint64             `json:"incarnation"`
	Accelerator string             `json:"accelerator"`
	Model       string             `json:"model"`
	Version     model.ModelVersion `json:"version"`
	Layers      model.LayerRange   `json:"layers"`
	// StepUs is the time of one batch over the engine's layers, in microseconds.
	StepUs   uint32 `json:"step_us"`
	MaxBatch uint32 `json:"max_batch"`
	// LinkUs is the one-way latency to other targets, in microseconds.
	LinkUs        map[string]uint32 `json:"link_us"`
	DefaultLinkUs uint32            `json:"default_link_us"`
	// ChecksFencing makes the engine refuse orders with old fencing numbers.
	ChecksFencing bool `json:"checks_fencing"`
	// ReportMs is the time between two load reports, at least 50.
	ReportMs uint32 `json:"report_ms"`
	// CachePrefixes is the capacity of the prefix cache; 0 disables it.
	CachePrefixes int `json:"cache_prefixes"`
	// PoisonMarker crashes the engine when a prompt contains it.
	PoisonMarker string `json:"poison_marker"`
	// RestartMs is the time until a crashed engine restarts; 0 means never.
	RestartMs uint32 `json:"restart_ms"`
}

// compressMinBytes is the size from which messages are compressed.
const compressMinBytes = 1 << 10

// prefillBytes is the number of bytes whose prefill takes the time of one step.
const prefillBytes = 512

func (c *Config) stepTime() time.Duration { return time.Duration(c.StepUs) * time.Microsecond }

func (c *Config) reportInterval() time.Duration {
	return time.Duration(max(c.ReportMs, 50)) * time.Millisecond
}
