// Package engine is a stand-in for a model engine that holds a layer range. It
// batches continuously at a stated speed, caches prompt prefixes, honours
// priorities, resumes and cancels, reports load with a lag and takes orders.
package engine

import (
	"time"

	"tamarackreach/internal/model"
)

// HostConfig is the configuration of a process that plays several engines.
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
	// StepUs is the time of one batch over the held layers, in microseconds.
	StepUs   uint32 `json:"step_us"`
	MaxBatch uint32 `json:"max_batch"`
	// LinkUs is the one-way latency to other targets, in microseconds.
	LinkUs        map[string]uint32 `json:"link_us"`
	DefaultLinkUs uint32            `json:"default_link_us"`
	// ChecksFencing is true for an engine that refuses old fencing numbers.
	ChecksFencing bool `json:"checks_fencing"`
	// ReportMs is the time between two load reports.
	ReportMs uint32 `json:"report_ms"`
	// CachePrefixes is the number of prompt prefixes that the cache holds.
	CachePrefixes int `json:"cache_prefixes"`
	// PoisonMarker crashes the engine when a prompt contains it.
	PoisonMarker string `json:"poison_marker"`
	// RestartMs is the time until a crashed engine is back; 0 is never.
	RestartMs uint32 `json:"restart_ms"`
}

// compressMinBytes is the length from which a message is compressed.
const compressMinBytes = 1 << 10

// prefillBytes is the number of prompt bytes that one step's time covers.
const prefillBytes = 512

func (c *Config) stepTime() time.Duration { return time.Duration(c.StepUs) * time.Microsecond }

func (c *Config) reportInterval() time.Duration {
	return time.Duration(max(c.ReportMs, 50)) * time.Millisecond
}
