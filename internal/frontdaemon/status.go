package frontdaemon

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/controller"
	"tamarackreach/internal/director"
	"tamarackreach/internal/priorityadmission"
)

// StatusPath is the path on the metrics address that serves Status as JSON.
const StatusPath = "/status"

// registerRefusalMetrics registers what the VM withholds from targets.
func (d *Daemon) registerRefusalMetrics(state func(func(*director.State) float64) func() float64) {
	m := d.metrics
	m.Register(&admissionCollector{read: func() (figures []priorityadmission.Figures) {
		d.reducer.Read(func(s *director.State) { figures = s.Admission(bootclock.Now()) })
		return figures
	}})
	m.Gauge("tamarack_parts_quarantined", "Parts of prompts that are refused because they crash targets.",
		state(func(s *director.State) float64 { parts, _ := s.Quarantined(); return float64(parts) }))
	m.Gauge("tamarack_contents_quarantined", "Contents of requests that are refused because they crash targets.",
		state(func(s *director.State) float64 { _, contents := s.Quarantined(); return float64(contents) }))
	m.Register(&attributionCollector{read: func() (parts, contents director.Attribution) {
		d.reducer.Read(func(s *director.State) { parts, contents = s.Attributions() })
		return parts, contents
	}})
	m.Gauge("tamarack_targets_limited", "Targets that have named a rate limit that is in force.",
		state(func(s *director.State) float64 { return float64(s.LimitedTargets()) }))
}

// registerReachMetrics registers which targets the VM reaches, and what it relays.
func (d *Daemon) registerReachMetrics(state func(func(*director.State) float64) func() float64) {
	m := d.metrics
	m.Gauge("tamarack_targets_unreached", "Targets that this VM fails to reach itself.",
		state(func(s *director.State) float64 { reached, all := s.Reaches(); return float64(all - reached) }))
	m.Gauge("tamarack_isolated", "1 while this VM does not reach most targets although they run.",
		state(func(s *director.State) float64 {
			if s.Isolated() {
				return 1
			}
			return 0
		}))
	m.Gauge("tamarack_relayed_connections", "Connections to targets that this VM holds for other VMs.",
		state(func(s *director.State) float64 { return float64(s.Relayed()) }))
}

// registerPeerMetrics registers what the VM knows of the others, and the messages.
func (d *Daemon) registerPeerMetrics(state func(func(*director.State) float64) func() float64) {
	m := d.metrics
	m.Gauge("tamarack_vms_registered", "VMs registered in the store, this one included.",
		func() float64 { return float64(d.controller.RegisteredVMs()) })
	m.Gauge("tamarack_vms_heard", "Other VMs whose last message counts.",
		state(func(s *director.State) float64 { count, _ := s.KnownVMs(bootclock.Now()); return float64(count) }))
	m.Gauge("tamarack_vm_message_age_seconds", "Age of the oldest message of another VM that counts.",
		state(func(s *director.State) float64 { _, oldest := s.KnownVMs(bootclock.Now()); return oldest.Seconds() }))
	m.Gauge("tamarack_store_reader", "1 while this VM reads the store itself, 0 while it takes another VM's copies.", func() float64 {
		if d.controller.StoreStatus().Source == "" {
			return 1
		}
		return 0
	})
	m.Counter("tamarack_store_table_reads_total", "Reads of whole tables of the store.",
		func() float64 {
			return d.sumTables(func(t controller.TableStatus) float64 { return float64(t.FromStore) })
		})
	m.Counter("tamarack_store_copies_taken_total", "Copies of tables taken from other VMs.",
		func() float64 {
			return d.sumTables(func(t controller.TableStatus) float64 { return float64(t.FromVMs) })
		})
	for name, counter := range map[string]struct {
		help  string
		value func(controller.MessageCounts) uint64
	}{
		"tamarack_peer_messages_invalid_total":      {"Messages of other VMs skipped because they do not decode.", func(c controller.MessageCounts) uint64 { return c.Invalid }},
		"tamarack_peer_messages_unknown_kind_total": {"Messages of other VMs skipped because this build does not know their kind.", func(c controller.MessageCounts) uint64 { return c.UnknownKind }},
		"tamarack_digests_sent_total":               {"Digests of this VM's zone sent to VMs of other zones.", func(c controller.MessageCounts) uint64 { return c.DigestsSent }},
		"tamarack_digest_bytes_sent_total":          {"Bytes of these digests.", func(c controller.MessageCounts) uint64 { return c.DigestBytes }},
		"tamarack_digests_received_total":           {"Digests of other zones received, without copies.", func(c controller.MessageCounts) uint64 { return c.DigestsReceived }},
		"tamarack_digests_too_large_total":          {"Digests not sent because they do not fit into a datagram.", func(c controller.MessageCounts) uint64 { return c.DigestsTooLarge }},
	} {
		m.Counter(name, counter.help, func() float64 { return float64(counter.value(d.controller.MessageCounts())) })
	}
}

func (d *Daemon) sumTables(value func(controller.TableStatus) float64) (sum float64) {
	for _, t := range d.controller.StoreStatus().Tables {
		sum += value(t)
	}
	return sum
}

// missingLayers returns the number of layers without a usable holder, summed over zones.
func missingLayers(s *director.State) float64 {
	missing := uint32(0)
	for _, hole := range s.Status(bootclock.Now()).Holes {
		missing += hole.Layers.Len()
	}
	return float64(missing)
}

// registerMetrics registers the metrics whose values are read at scrape time.
func (d *Daemon) registerMetrics() {
	state := func(read func(*director.State) float64) func() float64 {
		return func() (value float64) {
			d.reducer.Read(func(s *director.State) { value = read(s) })
			return value
		}
	}
	targets := func(name string) func() float64 {
		return state(func(s *director.State) float64 { return float64(s.TargetStates(bootclock.Now())[name]) })
	}
	m := d.metrics
	m.Gauge("tamarack_requests_in_flight", "Requests that are being served.",
		state(func(s *director.State) float64 { return float64(s.InFlight()) }))
	m.Gauge("tamarack_configuration_version", "Version of the configuration in force, 0 before the first.",
		state(func(s *director.State) float64 { return float64(s.Status(bootclock.Now()).Configuration) }))
	m.Gauge("tamarack_configuration_age_seconds", "Time since a read began that confirmed the configuration.",
		state(func(s *director.State) float64 { return s.ConfigAge(bootclock.Now()).Seconds() }))
	m.Gauge("tamarack_targets_ready", "Targets that take requests.", targets("ready"))
	m.Gauge("tamarack_targets_suspected", "Targets that are left out for a while after a fault.", targets("suspected"))
	m.Gauge("tamarack_targets_draining", "Targets that are leaving.", targets("draining"))
	m.Gauge("tamarack_targets_dead", "Targets that do not answer for themselves.", targets("dead"))
	m.Gauge("tamarack_layers_missing", "Layers without a usable holder, summed over zones.",
		state(missingLayers))
	d.registerRefusalMetrics(state)
	d.registerOutlierMetrics(state)
	d.registerRegistrationMetrics(state)
	d.registerReachMetrics(state)
	d.registerPeerMetrics(state)
	d.registerBalanceMetrics()
	m.Gauge("tamarack_placement_duty", "1 while this VM places layers.", func() float64 {
		if d.controller.HoldsLease() {
			return 1
		}
		return 0
	})
	m.Gauge("tamarack_orders_open", "Orders to targets whose effect was not seen yet.",
		func() float64 { return float64(d.controller.PendingOrders()) })
	m.Gauge("tamarack_store_era", "Era of the platform's store: how often it came back from an older copy.",
		func() float64 { return float64(d.controller.EraCounts().Current) })
	m.Counter("tamarack_store_responses_stale_total", "Responses of the store discarded because they are of an earlier era.",
		func() float64 { return float64(d.controller.EraCounts().Stale) })
	m.Counter("tamarack_store_responses_invalid_total", "Responses of the store discarded because their era is not a number.",
		func() float64 { return float64(d.controller.EraCounts().Invalid) })
	m.Counter("tamarack_content_records_written_total", "Writes of this VM's record of content that crashes targets.",
		func() float64 { succeeded, _ := d.controller.ContentWrites(); return float64(succeeded) })
	m.Counter("tamarack_content_record_writes_failed_total", "Writes of that record which the store did not acknowledge; they are retried.",
		func() float64 { _, failed := d.controller.ContentWrites(); return float64(failed) })
	m.Counter("tamarack_unsolicited_responses_total", "Connections to targets closed because bytes arrived that belong to no request in flight.",
		func() float64 { return float64(d.pool.Unsolicited()) })
	d.registerConnectionMetrics()
	m.Register(&retryCollector{read: func() (budgets []director.RetryBudget) {
		d.reducer.Read(func(s *director.State) { budgets = s.RetryBudgets(bootclock.Now()) })
		return budgets
	}})
	d.registerOverflowMetrics()
	if d.options.DroppedLines != nil {
		m.Counter("tamarack_log_lines_dropped_total", "Log lines dropped to bound their volume.",
			func() float64 { return float64(d.options.DroppedLines()) })
	}
}

// registerConnectionMetrics registers the metrics of connections to targets.
func (d *Daemon) registerConnectionMetrics() {
	m := d.metrics
	m.Counter("tamarack_target_connections_opened_total", "Connections opened to targets.",
		func() float64 { opened, _ := d.pool.Counts(); return float64(opened) })
	m.Counter("tamarack_target_connections_reused_total", "Sends over a connection that was kept.",
		func() float64 { _, reused := d.pool.Counts(); return float64(reused) })
}

// registerRegistrationMetrics registers the metric of registrations that name no target to use.
func (d *Daemon) registerRegistrationMetrics(state func(func(*director.State) float64) func() float64) {
	d.metrics.Gauge("tamarack_registrations_invalid", "Rows of the targets' table that name no target to use: they do not decode, or contradict the configuration.",
		state(func(s *director.State) float64 {
			return float64(d.controller.InvalidRegistrations() + s.RefusedRegistrations())
		}))
}

// Status is the view of an entry VM, as served on StatusPath.
type Status struct {
	director.Status
	// Store is how the VM knows the store's state.
	Store controller.StoreStatus `json:"store"`
	// VMsRegistered is the number of VMs in the store, VMsHeard that of others whose last
	// message counts, and OldestMessageMs the age of the oldest of these.
	VMsRegistered   int   `json:"vms_registered"`
	VMsHeard        int   `json:"vms_heard"`
	OldestMessageMs int64 `json:"oldest_message_ms"`
}

// status serves Status as JSON.
func (d *Daemon) status(w http.ResponseWriter, _ *http.Request) {
	status := Status{Store: d.controller.StoreStatus(), VMsRegistered: d.controller.RegisteredVMs()}
	d.reducer.Read(func(s *director.State) {
		now := bootclock.Now()
		status.Status = s.Status(now)
		var oldest time.Duration
		status.VMsHeard, oldest = s.KnownVMs(now)
		status.OldestMessageMs = oldest.Milliseconds()
	})
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(status); err != nil {
		logrus.WithError(err).Debug("cannot write the status response")
	}
}
