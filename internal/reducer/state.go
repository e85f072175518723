// Package reducer is the state machine of an entry VM. Reduce takes one event
// and returns the effects to carry out. It is deterministic: it uses no clock,
// goroutine, I/O or global random source and does not depend on map order.
package reducer

import (
	"math/rand/v2"
	"time"

	"tamarackreach/internal/admission"
	"tamarackreach/internal/attempt"
	"tamarackreach/internal/commit"
	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/idempotency"
	"tamarackreach/internal/leases"
	"tamarackreach/internal/model"
	"tamarackreach/internal/peers"
	"tamarackreach/internal/quarantine"
	"tamarackreach/internal/quota"
	"tamarackreach/internal/settingsync"
	"tamarackreach/internal/targets"
	"tamarackreach/internal/timer"
)

// Config is the configuration of a State; it is the header of every recording.
type Config struct {
	Node        model.NodeID           `json:"node"`
	Incarnation model.Incarnation      `json:"incarnation"`
	Zone        model.AvailabilityZone `json:"zone"`
	PeerAddress string                 `json:"peer_address"`
	// EntryNodes is the number of entry VMs that share the quotas.
	EntryNodes uint32 `json:"entry_nodes"`
	// ShutdownLag is how long the balancer may keep sending requests after
	// SIGTERM.
	ShutdownLag time.Duration `json:"shutdown_lag_ns"`
	// WeightLayersPerS is the rate, in model layers per second, at which this
	// node may order targets to load weights for one pipeline.
	WeightLayersPerS float64 `json:"weight_layers_per_s"`
	// Seed seeds the random generator.
	Seed uint64 `json:"seed"`
	// Seeds are the entry VMs to contact at start.
	Seeds []peers.Contact `json:"seeds"`
}

// Counters are totals since the start; package telemetry publishes them.
type Counters struct {
	RequestsAdmitted  uint64
	RequestsRefused   uint64
	RequestsCompleted uint64
	RequestsFailed    uint64
	TokensForwarded   uint64
	FramesDropped     uint64
	StagesReplaced    uint64
	StreamsRedialled  uint64
	StreamsStalled    uint64
	RetriesRefused    uint64
	// RequestsQuarantined counts requests that were ended because their content
	// crashes targets.
	RequestsQuarantined uint64
	CallsSent           uint64
	ChangesApplied      uint64
	HeartbeatsReceived  uint64
}

// State is the whole state of an entry VM.
type State struct {
	config   Config
	context  decision.Context
	counters Counters

	follower         *settingsync.Follower
	committer        *commit.Committer
	targets          *targets.Table
	ledger           *idempotency.Ledger
	leases           *leases.Table
	orders           *leases.Orders
	quarantine       *quarantine.List
	quotas           *quota.Shares
	admissionControl *admission.Controller
	peers            *peers.Members
	announced        announced
	// vms is the platform's VM list as last read.
	vms []event.VM

	requests map[model.RequestID]*attempt.Request
	calls    map[model.RequestID]*retryableCall
	// budget limits the work that retries add.
	budget *attempt.Budget
	// isolated maps a target to the suspect request that runs isolated on it.
	isolated map[model.TargetID]model.RequestID

	// shuttingDown is true from SIGTERM on; Ready then reports false to the
	// balancer.
	shuttingDown bool
	// refusing is true once ShutdownLag has passed since SIGTERM: new requests
	// are refused.
	refusing         bool
	shutdownReported bool
}

// New returns the state of a node that has just started.
func New(config Config) *State {
	follower := settingsync.New()
	leaseTable := leases.New(config.Node, config.Incarnation)
	return &State{
		config: config,
		context: decision.Context{
			Timers: timer.New(),
			Rand:   rand.New(rand.NewPCG(config.Seed, uint64(config.Incarnation))),
		},
		follower:         follower,
		committer:        commit.New(follower),
		targets:          targets.New(),
		ledger:           idempotency.New(config.Node, config.Incarnation),
		leases:           leaseTable,
		orders:           leases.NewOrders(config.Node, leaseTable, config.WeightLayersPerS),
		quarantine:       quarantine.New(),
		quotas:           quota.New(config.Node, config.Incarnation, config.EntryNodes, fixedSlot(config)),
		admissionControl: admission.New(),
		peers: peers.New(event.PeerState{
			Node: config.Node, Incarnation: config.Incarnation, Zone: config.Zone, Address: config.PeerAddress,
		}, config.Seeds),
		announced: newAnnounced(),
		requests:  make(map[model.RequestID]*attempt.Request),
		calls:     make(map[model.RequestID]*retryableCall),
		budget:    attempt.NewBudget(),
		isolated:  make(map[model.TargetID]model.RequestID),
	}
}

// fixedSlot returns the quota slot of a node whose seeds are all the other entry
// VMs; quota.NoSlot if the node and its seeds are not EntryNodes in number.
func fixedSlot(config Config) uint32 {
	others := make([]model.NodeID, 0, len(config.Seeds))
	for _, seed := range config.Seeds {
		others = append(others, seed.Node)
	}
	return quota.FixedSlot(config.Node, others, config.EntryNodes)
}

// Reduce takes one event at a monotonic instant and returns its effects. The
// returned slice is valid until the next call.
func (s *State) Reduce(now model.Instant, unixMs int64, ev event.Event) []event.Effect {
	c := &s.context
	c.Now = now
	c.UnixMs = unixMs
	clear(c.Effects)
	c.Effects = c.Effects[:0]
	s.dispatch(c, ev)
	s.announceAfter(c, ev)
	s.checkShutdown(c)
	return c.Effects
}

// NextTimer returns the instant at which the next Tick is due; false if no timer
// is set.
func (s *State) NextTimer() (model.Instant, bool) { return s.context.Timers.Next() }

// Counters returns the totals so far.
func (s *State) Counters() Counters { return s.counters }

// Follower returns the settings state for queries.
func (s *State) Follower() *settingsync.Follower { return s.follower }

// Targets returns the target table for queries.
func (s *State) Targets() *targets.Table { return s.targets }

// Peers returns the membership of the other entry VMs for queries.
func (s *State) Peers() *peers.Members { return s.peers }

// Ready is true while the balancer may send requests to the node.
func (s *State) Ready() bool { return s.follower.Ready() && !s.shuttingDown }

// Config returns the configuration of the state.
func (s *State) Config() Config { return s.config }
