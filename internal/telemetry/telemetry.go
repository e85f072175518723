// Package telemetry publishes counters through expvar, sets up structured logs and
// logs state changes.
package telemetry

import (
	"expvar"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"tamarackreach/internal/model"
	"tamarackreach/internal/reducer"
)

var (
	counters atomic.Pointer[reducer.Counters]
	revision = expvar.NewInt("tamarack_settings_revision")
)

func init() {
	counters.Store(&reducer.Counters{})
	publish("tamarack_requests_admitted_total", func(c *reducer.Counters) uint64 { return c.RequestsAdmitted })
	publish("tamarack_requests_refused_total", func(c *reducer.Counters) uint64 { return c.RequestsRefused })
	publish("tamarack_requests_completed_total", func(c *reducer.Counters) uint64 { return c.RequestsCompleted })
	publish("tamarack_requests_failed_total", func(c *reducer.Counters) uint64 { return c.RequestsFailed })
	publish("tamarack_tokens_forwarded_total", func(c *reducer.Counters) uint64 { return c.TokensForwarded })
	publish("tamarack_frames_dropped_total", func(c *reducer.Counters) uint64 { return c.FramesDropped })
	publish("tamarack_stages_replaced_total", func(c *reducer.Counters) uint64 { return c.StagesReplaced })
	publish("tamarack_streams_redialled_total", func(c *reducer.Counters) uint64 { return c.StreamsRedialled })
	publish("tamarack_streams_stalled_total", func(c *reducer.Counters) uint64 { return c.StreamsStalled })
	publish("tamarack_retries_refused_total", func(c *reducer.Counters) uint64 { return c.RetriesRefused })
	publish("tamarack_requests_quarantined_total", func(c *reducer.Counters) uint64 { return c.RequestsQuarantined })
	publish("tamarack_calls_sent_total", func(c *reducer.Counters) uint64 { return c.CallsSent })
	publish("tamarack_changes_in_force_total", func(c *reducer.Counters) uint64 { return c.ChangesApplied })
	publish("tamarack_peer_messages_total", func(c *reducer.Counters) uint64 { return c.HeartbeatsReceived })
}

func publish(name string, read func(*reducer.Counters) uint64) {
	expvar.Publish(name, expvar.Func(func() any { return read(counters.Load()) }))
}

// Publish replaces the counters that expvar serves.
func Publish(c reducer.Counters) { counters.Store(&c) }

// SettingsRevision publishes the settings revision in force.
func SettingsRevision(r model.Revision) { revision.Set(int64(r)) }

// LogState logs a state change; an empty subject or detail is omitted.
func LogState(message, subject, detail string) {
	fields := logrus.Fields{}
	if subject != "" {
		fields["subject"] = subject
	}
	if detail != "" {
		fields["detail"] = detail
	}
	logrus.WithFields(fields).Info(message)
}

// timeFormat is RFC 3339 with milliseconds: lines of several VMs are ordered by their
// times.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// SetUpLogs switches logs to JSON and adds the process name and id to each line.
func SetUpLogs(process, id string) {
	logrus.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	logrus.AddHook(processHook{process: process, id: id})
}

type processHook struct{ process, id string }

// Levels returns all levels.
func (processHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire adds the process name and id to a log line.
func (h processHook) Fire(entry *logrus.Entry) error {
	entry.Data["process"] = h.process
	entry.Data["id"] = h.id
	return nil
}
