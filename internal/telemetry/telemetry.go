// Package telemetry publishes counters through expvar and writes log lines for
// changes of state.
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
	publish("tamarack_changes_in_force_total", func(c *reducer.Counters) uint64 { return c.ChangesInForce })
	publish("tamarack_peer_messages_total", func(c *reducer.Counters) uint64 { return c.PeerMessages })
}

func publish(name string, read func(*reducer.Counters) uint64) {
	expvar.Publish(name, expvar.Func(func() any { return read(counters.Load()) }))
}

// Publish makes the counters of the reducer visible.
func Publish(c reducer.Counters) { counters.Store(&c) }

// SettingsRevision publishes the revision in force.
func SettingsRevision(r model.Revision) { revision.Set(int64(r)) }

// LogState writes one line for a change of state.
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

// SetUpLogs makes log lines structured and names the process in each.
func SetUpLogs(process, id string) {
	logrus.SetFormatter(&logrus.JSONFormatter{})
	logrus.AddHook(nameHook{process: process, id: id})
}

type nameHook struct{ process, id string }

// Levels returns the levels of the hook: all.
func (nameHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire adds the name of the process to a line.
func (h nameHook) Fire(entry *logrus.Entry) error {
	entry.Data["process"] = h.process
	entry.Data["id"] = h.id
	return nil
}
