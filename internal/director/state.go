package director

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tamarackreach/internal/drain"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/loadview"
	"tamarackreach/internal/model"
	"tamarackreach/internal/outlier"
	"tamarackreach/internal/priorityadmission"
	"tamarackreach/internal/retrybudget"
	"tamarackreach/internal/targetlimit"
)

// Settings are the parts of a VM's settings that the reducer uses.
type Settings struct {
	VM   model.NodeID
	Zone model.AvailabilityZone
	// ConfigApply bounds the time until an acknowledged configuration is in force.
	ConfigApply time.Duration
	// Revoke bounds the time until a removed key is refused; 0 when not enforced.
	Revoke time.Duration
	// Grace is the time from the request to terminate to the end of the process; 0
	// when unknown.
	Grace time.Duration
	// Stall is how long a path waits for an unreachable target before it fails.
	Stall time.Duration
	// FirstStart is true when the whole deployment starts for the first time.
	FirstStart bool
	// Heartbeat is the interval at which targets renew their registrations; 0 when unknown.
	Heartbeat time.Duration
	// Retries bounds retries over all VMs.
	Retries retrybudget.Settings
	// Process differs between the processes of a VM.
	Process uint32
	// Relay is the relay that this VM offers to others.
	Relay Relay
}

// State is the whole state of the reducer.
type State struct {
	settings Settings
	config   *fleet.Config
	// routesByHost lists the routes of each host, the longest prefix first.
	routesByHost   map[string][]*fleet.Route
	workspaceByKey map[string]*fleet.Workspace
	// newestConfig is the newest version of the configuration that any VM has in force.
	newestConfig model.Revision
	// firstConfigAt is when the first configuration was read; 0 before.
	firstConfigAt model.Instant
	// confirmedAt is when the read that last confirmed the configuration was sent.
	confirmedAt model.Instant
	store       storeReads
	// storeEra is the era of the last read of the store.
	storeEra fleet.StoreEra
	// restore is the last return of the store from an older copy; zero before the first.
	restore     restore
	targets     map[model.TargetID]*target
	byService   map[model.ServiceID][]*target
	byAddress   map[string]*target
	targetsRead bool
	requests    map[model.RequestID]*request
	peers       map[model.NodeID]*peer
	// admission orders requests by priority and workspace, on the capacities of the services.
	admission  *priorityadmission.Controller
	capacities map[model.ServiceID]*serviceCapacity
	// loads are the loads of the other VMs.
	loads   *loadview.View
	balance balance
	// listedVMs is the number of VMs registered in the store; 0 while it is unknown.
	listedVMs int
	budget    *retrybudget.Budget
	// retries holds the figures of each service that has sent a retry or been denied
	// one.
	retries map[model.ServiceID]*serviceRetries
	// budgetChanges are the changes of budgets since the last event.
	budgetChanges []Effect
	// lostAnswers are kept until a crash of their target is confirmed or ruled out.
	lostAnswers []lostAnswer
	// peerLostAnswers are those of each other VM that has some.
	peerLostAnswers map[model.NodeID]*peerAnswers
	// learned counts the observations of this VM that others need soon.
	learned uint64
	// stored are the rows read at the start that are not applied yet.
	stored       []StoredContent
	storedReadAt model.Instant
	// startedAt is when the first event was applied.
	startedAt model.Instant
	// contentChanged counts the changes of ContentToStore.
	contentChanged uint64
	// lead is true while this VM monitors its zone's targets.
	lead bool
	// limits are the request rates that targets have named.
	limits *targetlimit.Limits
	// leaving holds since when incarnations are known to leave.
	leaving map[incarnation]model.Instant
	// backoffs are the times in which targets want no requests from a VM.
	backoffs map[backoffKey]backoff
	// lastLimitVMs are the VMs among which limits are divided, as of limitVMsAt.
	lastLimitVMs targetlimit.VMs
	limitVMsAt   model.Instant
	// answeredParts are the parts of prompts on which answers were received, the last of
	// them by this VM at lastAnswerAt.
	answeredParts answeredParts
	lastAnswerAt  model.Instant
	// crashRecords holds the causes of requests that were running on targets that crashed.
	crashRecords map[Cause]*crashRecord
	// partAttribution and contentAttribution count what became of lost answers.
	partAttribution, contentAttribution Attribution
	// drain is that of the process once its termination was requested.
	drain drain.Drain
	links links
	// unreachedByPeers is the number of targets in the last messages of other VMs that they
	// fail to reach.
	unreachedByPeers int
	// relayed counts the connections that this VM relays for others.
	relayed int
	// outliers are the targets that answer with errors more often than the others.
	outliers *outlier.Tracker
	overflow overflow
}

// request is a client attempt in flight.
type request struct {
	*fleet.Request
	route     *fleet.Route
	workspace *fleet.Workspace
	service   *fleet.Service
	// contents and parts are the causes of the request, empty until they are needed.
	contents, parts []Cause
	// partsAnswered is true once the request has counted as an answer on its parts.
	partsAnswered bool
	// expiresAt is the earlier of the caller's deadline and the route's timeout.
	expiresAt model.Instant
	sends     int
	// sentAt is when the last send began.
	sentAt model.Instant
	// possibleRuns are the incarnations of targets that may have run the request.
	possibleRuns []incarnation
	// sentTo is the first target of the last send, as registered when it began.
	sentTo incarnation
	// hops is the path of the send in flight; nil between sends.
	hops []fleet.Hop
	// via is the VM through which the send in flight is relayed, "" for a direct one.
	via      model.NodeID
	diverted bool
	// retryReserved is true when the next send is already taken from the retry
	// budget.
	retryReserved bool
	// predicted is the time to the first event on the path chosen last.
	predicted Prediction
	// verdict is the last decision on its admission.
	verdict priorityadmission.Verdict
	// answerStarted is true once the caller has received the start of an answer.
	answerStarted bool
	// waits counts the Wait effects of the request.
	waits int
	// awaitingFirst is true from the send to the first part of the answer.
	awaitingFirst bool
	// progressed is true once a send has progressed; see StreamProgressed.
	progressed bool
	// failedOn are the targets that answered a send with an error, and resultCounted is true
	// once the result of the send in flight has counted.
	failedOn      []model.TargetID
	resultCounted bool
	// random is uniform in [0,1) and drawn for each send.
	random float64
}

// incarnation identifies one incarnation of a target.
type incarnation struct {
	target    model.TargetID
	startedMs int64
}

// mayHaveRunOn reports whether a target may have run the request.
func (r *request) mayHaveRunOn(id model.TargetID) bool {
	return slices.ContainsFunc(r.possibleRuns, func(run incarnation) bool { return run.target == id })
}

// New returns a state without a configuration and without targets.
func New(s Settings) *State {
	return &State{
		settings: s, targets: map[model.TargetID]*target{}, byAddress: map[string]*target{},
		byService: map[model.ServiceID][]*target{}, requests: map[model.RequestID]*request{},
		peers: map[model.NodeID]*peer{}, loads: loadview.New(), balance: newBalance(), budget: retrybudget.New(s.Retries),
		admission: priorityadmission.New(fullOccupancy, firstEventInTime), capacities: map[model.ServiceID]*serviceCapacity{},
		crashRecords: map[Cause]*crashRecord{}, retries: map[model.ServiceID]*serviceRetries{},
		peerLostAnswers: map[model.NodeID]*peerAnswers{}, answeredParts: newAnsweredParts(), limits: targetlimit.New(), backoffs: map[backoffKey]backoff{}, leaving: map[incarnation]model.Instant{},
		outliers: outlier.New(s.VM),
	}
}

// Step applies an event and returns its effects; an effect for the request of the
// event comes last.
func (s *State) Step(now model.Instant, e Event) []Effect {
	s.balance.steps++
	if s.startedAt == 0 {
		s.startedAt = now
	}
	effects := s.apply(now, e)
	if len(s.budgetChanges) > 0 {
		effects = append(s.budgetChanges, effects...)
		s.budgetChanges = nil
	}
	return s.takeOverflowChanges(effects)
}

func (s *State) apply(now model.Instant, e Event) []Effect {
	switch e := e.(type) {
	case RequestArrived:
		return s.requestArrived(now, e)
	case SendEnded:
		return s.sendEnded(now, e)
	case AnswerStarted:
		return s.recordAnswerStart(now, e.ID)
	case RateLimitRead:
		return effectList(s.rateLimitRead(now, e))
	case BackoffRequested:
		return effectList(s.backoffRequested(now, e))
	case TargetLeaving:
		return effectList(s.targetLeaving(now, e))
	case StreamProgressed:
		return s.streamProgressed(now, e.ID)
	case StreamIdle:
		return s.streamIdle(now, e)
	case WaitElapsed:
		return s.waitElapsed(now, e)
	case RequestFinished:
		return s.requestFinished(now, e)
	default:
		return s.stepGlobal(now, e)
	}
}

// stepGlobal applies an event that concerns no single request.
func (s *State) stepGlobal(now model.Instant, e Event) []Effect {
	switch e := e.(type) {
	case ConfigRead:
		return s.configRead(now, e)
	case TargetsRead:
		return s.updateTargets(now, e)
	case ProbeDue:
		return s.probeDue(now, e)
	case PeerState:
		return s.applyPeer(now, e)
	case ZoneState:
		return s.applyZone(now, e)
	case ContentRead:
		s.keepStored(now, e)
	case StoreFailed:
		return s.storeFailed(now)
	case RecoveryStated:
		s.store.statedAt = max(s.store.statedAt, e.At)
	case StoreRestored:
		return s.storeRestored(now, e)
	case StoreReplaced:
		s.restore = restore{}
	case VMsCounted:
		s.vmsCounted(now, e)
	case SettingsChanged:
		return s.settingsChanged(e.Settings)
	case Terminating, DrainPolled, DrainExpired:
		s.stepDrain(now, e)
	default:
		return s.stepLinks(now, e)
	}
	return nil
}

// stepLinks applies an event that shows which targets are reached.
func (s *State) stepLinks(now model.Instant, e Event) []Effect {
	switch e := e.(type) {
	case ReportRead:
		return s.reportRead(now, e)
	case ConnectionProbed:
		return s.connectionProbed(now, e)
	case RelayOpened:
		s.relayOpened(now, e)
	case RelayClosed:
		s.relayed--
	}
	return nil
}

func (s *State) probeDue(now model.Instant, e ProbeDue) []Effect {
	s.lead = e.Lead
	return slices.Concat(
		s.contentRead(now), s.inheritSilent(now), s.updateIsolation(now), s.confirmCrashes(now), s.probe(now, e), s.probeConnections(now, e),
	)
}

func (s *State) vmsCounted(now model.Instant, e VMsCounted) {
	s.listedVMs = max(e.Count, 1)
	s.updateVMs(now)
}

func (s *State) settingsChanged(next Settings) []Effect {
	next.VM, next.Zone, next.Process, next.Relay = s.settings.VM, s.settings.Zone, s.settings.Process, s.settings.Relay
	s.settings = next
	s.budget.SetSettings(next.Retries)
	return []Effect{&StateChanged{What: "settings in force", Detail: fmt.Sprintf("%+v", next.public())}}
}

// public returns the settings without the secret.
func (s Settings) public() Settings {
	s.Relay.Secret = ""
	return s
}

// configRead puts a newer configuration in force.
//
// Invariant: only a read of the newest configuration known confirms it. A read of an
// older one is from a copy of the store that lost the newer.
func (s *State) configRead(now model.Instant, e ConfigRead) []Effect {
	if s.firstConfigAt == 0 && e.Config != nil {
		s.firstConfigAt = now
	}
	if s.confirms(now, e) {
		// Reads may complete out of order; confirmedAt never moves back.
		s.confirmedAt = max(s.confirmedAt, e.Started)
	}
	if e.Config == nil || s.config != nil && e.Config.Version <= s.config.Version {
		return nil
	}
	s.config = e.Config
	s.newestConfig = max(s.newestConfig, e.Config.Version)
	s.routesByHost = map[string][]*fleet.Route{}
	for i := range e.Config.Routes {
		r := &e.Config.Routes[i]
		s.routesByHost[r.Host] = append(s.routesByHost[r.Host], r)
	}
	for _, routes := range s.routesByHost {
		slices.SortStableFunc(routes, func(a, b *fleet.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	s.workspaceByKey = map[string]*fleet.Workspace{}
	for i := range e.Config.Workspaces {
		w := &e.Config.Workspaces[i]
		for _, key := range w.Keys {
			s.workspaceByKey[key] = w
		}
	}
	s.admission.Configure(now, admissionKinds(e.Config))
	effects := s.checkRegistrations()
	s.rebuildIndexes()
	return append(effects, &StateChanged{What: "configuration in force", Subject: version(e.Config.Version), Detail: s.accessDetail()})
}

// accessDetail describes who may send requests, where no key gives access.
func (s *State) accessDetail() string {
	switch {
	case s.config.AllowAnonymous:
		return "it has no list of workspaces; requests need no key"
	case len(s.workspaceByKey) == 0:
		return "its workspaces have no keys; only public routes are served"
	}
	return ""
}

// Ready reports whether the VM should take new connections.
func (s *State) Ready(now model.Instant) bool {
	return !s.drain.Draining() && s.config != nil && s.targetsRead && !s.keysExpired(now)
}

// revokeMargin is subtracted from Settings.Revoke to cover the steps between the
// key check and the send.
const revokeMargin = 200 * time.Millisecond

// keysExpired reports whether the last confirmation of the configuration is too
// old to serve requests with keys.
func (s *State) keysExpired(now model.Instant) bool {
	return s.settings.Revoke > 0 && now.Sub(s.confirmedAt) > s.settings.Revoke-revokeMargin
}

// stale reports whether a newer configuration may be in force on other VMs.
func (s *State) stale(now model.Instant) bool {
	return now.Sub(s.confirmedAt) > s.settings.ConfigApply
}

// route returns the route with the longest prefix of the path, nil without one.
func (s *State) route(host, path string) *fleet.Route {
	for _, r := range s.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Config returns the configuration in force, nil before the first one.
func (s *State) Config() *fleet.Config { return s.config }

// Learned counts what this VM has observed of content that may crash targets. When it
// changes, OwnPeerState is due to be sent without delay.
func (s *State) Learned() uint64 { return s.learned }

// InFlight returns the number of requests in flight.
func (s *State) InFlight() int { return len(s.requests) }
