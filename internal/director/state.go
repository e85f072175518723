package director

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/internal/retrybudget"
)

// Settings are what the reducer needs of a VM's settings.
type Settings struct {
	VM   model.NodeID
	Zone model.AvailabilityZone
	// ConfigApply is how soon an acknowledged configuration must be in force.
	ConfigApply time.Duration
	// Revoke is how soon a removed key must be refused; 0 when not enforced.
	Revoke time.Duration
	// Grace is the time between the request to stop and the end of the process; 0
	// when not known.
	Grace time.Duration
	// Stall is how long a path waits for a dead target before it is cut off.
	Stall time.Duration
	// Retries bounds repeated sends over all VMs.
	Retries retrybudget.Settings
}

// State is the whole state of the reducer.
type State struct {
	settings Settings
	config   *fleet.Config
	// hosts lists the routes of each host, the longest prefix first.
	hosts map[string][]*fleet.Route
	// keys maps a key to its workspace.
	keys map[string]*fleet.Workspace
	// confirmed is when the read that last confirmed the configuration was sent.
	confirmed model.Instant
	// storeLost is when reads of the store began to fail; 0 while they succeed.
	storeLost model.Instant
	// storeBack is when the store last answered again after failing.
	storeBack   model.Instant
	targets     map[model.TargetID]*target
	byService   map[model.ServiceID][]*target
	byAddress   map[string]*target
	targetsRead bool
	requests    map[model.RequestID]*request
	peers       map[model.NodeID]*peer
	vms         int
	budget      *retrybudget.Budget
	// losses wait for a confirmation that their targets crashed; crashers is what
	// did so again and again.
	losses   []loss
	crashers map[model.Fingerprint]*crasher
	// terminating is when the process was asked to stop; 0 before.
	terminating model.Instant
}

// request is a client attempt while it is served.
type request struct {
	*fleet.Request
	route     *fleet.Route
	workspace *fleet.Workspace
	service   *fleet.Service
	// ends is when the caller's or the route's time is over.
	ends  model.Instant
	sends int
	// sentAt is when the last send began.
	sentAt model.Instant
	// ran are the targets that were sent the request and may have run it.
	ran []run
	// hops is the path of the send under way; nil between sends.
	hops     []fleet.Hop
	diverted bool
	// prepaid is true when the next send was taken from the retry budget already.
	prepaid bool
	// predicted is the time to the first event on the path that was chosen last.
	predicted Prediction
	// begun is true once the caller has the first of an answer.
	begun bool
	// waits counts how often the request waited for a path.
	waits int
	// waiting is true from the send to the first of the answer.
	waiting bool
	// random is uniform in [0,1); it is drawn anew for each send.
	random float64
}

// run is a life of a target that may have run a request.
type run struct {
	target model.TargetID
	born   int64
}

// mayHaveRunOn reports whether the request was sent to a target that may have
// run it.
func (r *request) mayHaveRunOn(id model.TargetID) bool {
	return slices.ContainsFunc(r.ran, func(one run) bool { return one.target == id })
}

// New returns an empty state: it knows no configuration and no target.
func New(s Settings) *State {
	return &State{
		settings: s, targets: map[model.TargetID]*target{}, byAddress: map[string]*target{},
		byService: map[model.ServiceID][]*target{}, requests: map[model.RequestID]*request{},
		peers: map[model.NodeID]*peer{}, vms: 1, budget: retrybudget.New(s.Retries),
		crashers: map[model.Fingerprint]*crasher{},
	}
}

// Step applies an event and returns its effects.
func (s *State) Step(now model.Instant, e Event) []Effect {
	switch e := e.(type) {
	case Arrived:
		return s.arrive(now, e)
	case SendEnded:
		return s.sendEnded(now, e)
	case Began:
		s.began(now, e.ID)
	case Quiet:
		return s.quiet(now, e)
	case Waited:
		return s.waited(now, e)
	case Finished:
		return s.finished(now, e)
	default:
		return s.learn(now, e)
	}
	return nil
}

// learn applies an event that concerns no single request.
func (s *State) learn(now model.Instant, e Event) []Effect {
	switch e := e.(type) {
	case ConfigRead:
		return s.configRead(now, e)
	case TargetsRead:
		return s.targetsSeen(now, e)
	case ReportRead:
		return s.reportRead(now, e)
	case ProbeDue:
		return s.probe(now, e)
	case PeerHeard:
		return s.peerHeard(now, e)
	case StoreFailed:
		return s.storeFailed(now)
	case VMsKnown:
		s.vms = max(e.Count, 1)
		s.budget.SetVMs(s.vms)
	case SettingsChanged:
		return s.settingsChanged(e.Settings)
	case Terminating:
		s.terminating = now
	}
	return nil
}

func (s *State) settingsChanged(next Settings) []Effect {
	next.VM, next.Zone = s.settings.VM, s.settings.Zone
	s.settings = next
	s.budget.SetSettings(next.Retries)
	return []Effect{&Changed{What: "settings in force", Detail: fmt.Sprintf("%+v", next)}}
}

func (s *State) configRead(now model.Instant, e ConfigRead) []Effect {
	// Reads may overtake each other; a confirmation never moves back.
	s.confirmed = max(s.confirmed, e.Started)
	effects := s.storeAnswered(now)
	if e.Config == nil || s.config != nil && e.Config.Version <= s.config.Version {
		return effects
	}
	s.config = e.Config
	s.hosts = map[string][]*fleet.Route{}
	for i := range e.Config.Routes {
		r := &e.Config.Routes[i]
		s.hosts[r.Host] = append(s.hosts[r.Host], r)
	}
	for _, routes := range s.hosts {
		slices.SortStableFunc(routes, func(a, b *fleet.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	s.keys = map[string]*fleet.Workspace{}
	for i := range e.Config.Workspaces {
		w := &e.Config.Workspaces[i]
		for _, key := range w.Keys {
			s.keys[key] = w
		}
	}
	return append(effects, &Changed{What: "configuration in force", Subject: version(e.Config.Version)})
}

func (s *State) storeFailed(now model.Instant) []Effect {
	if s.storeLost != 0 {
		return nil
	}
	s.storeLost = now
	return []Effect{&Changed{What: "store lost", Detail: "serving goes on with what is known"}}
}

func (s *State) storeAnswered(now model.Instant) []Effect {
	if s.storeLost == 0 {
		return nil
	}
	away := now.Sub(s.storeLost)
	s.storeLost, s.storeBack = 0, now
	return []Effect{&Changed{What: "store regained", Detail: "away for " + away.String()}}
}

// Ready reports whether the VM should take new connections.
func (s *State) Ready(now model.Instant) bool {
	return s.terminating == 0 && s.config != nil && s.targetsRead && !s.keysExpired(now)
}

// revokeMargin is kept from the bound on revoked keys, for the steps between the
// check and the send.
const revokeMargin = 200 * time.Millisecond

// keysExpired is true when the configuration was not confirmed recently enough
// to serve requests with keys.
func (s *State) keysExpired(now model.Instant) bool {
	return s.settings.Revoke > 0 && now.Sub(s.confirmed) > s.settings.Revoke-revokeMargin
}

// stale is true when a newer configuration may be in force elsewhere.
func (s *State) stale(now model.Instant) bool {
	return now.Sub(s.confirmed) > s.settings.ConfigApply
}

// route returns the route with the longest prefix that begins the path.
func (s *State) route(host, path string) *fleet.Route {
	for _, r := range s.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Config returns the configuration in force, nil before the first.
func (s *State) Config() *fleet.Config { return s.config }

// InFlight is the number of requests that are being served.
func (s *State) InFlight() int { return len(s.requests) }
