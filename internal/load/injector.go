package load

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/deployment"
	"tamarackreach/internal/load/audit"
	"tamarackreach/internal/load/scenario"
	"tamarackreach/internal/model"
)

const (
	// drainGrace is how long a target that announced that it is leaving may still
	// receive new requests.
	drainGrace = 3 * time.Second
	// poisonAttempts is how many times a caller sends a poison request.
	poisonAttempts = 4
	poisonInterval = 500 * time.Millisecond
)

// Injected is a failure that was injected.
type Injected struct {
	Failure scenario.Failure
	// At and Ended are offsets from the start of the load.
	At    time.Duration
	Ended time.Duration
}

// injector injects the failures of a scenario at their scheduled times.
type injector struct {
	driver   *Driver
	failures []scenario.Failure

	mu        sync.Mutex
	completed []Injected
	// faults holds the active faults by control endpoint.
	faults map[string]*tamarackv1.Faults
}

func newInjector(d *Driver, s *scenario.Scenario) *injector {
	return &injector{driver: d, failures: s.Failures, faults: make(map[string]*tamarackv1.Faults)}
}

func (n *injector) run(ctx context.Context) {
	var running sync.WaitGroup
	for _, failure := range n.failures {
		running.Go(func() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(failure.At() - n.driver.observed.now()):
			}
			n.inject(ctx, failure)
		})
	}
	running.Wait()
}

// injected returns the injected failures, sorted by their scheduled time.
func (n *injector) injected() []Injected {
	n.mu.Lock()
	defer n.mu.Unlock()
	slices.SortFunc(n.completed, func(a, b Injected) int {
		return cmp.Or(cmp.Compare(a.Failure.AtMs, b.Failure.AtMs), cmp.Compare(a.Failure.String(), b.Failure.String()))
	})
	return n.completed
}

func (n *injector) inject(ctx context.Context, failure scenario.Failure) {
	n.driver.progressf("%5d ms: %s", n.driver.observed.now().Milliseconds(), failure)
	injected := Injected{Failure: failure, At: n.driver.observed.now()}
	if err := n.trigger(ctx, failure); err != nil {
		n.driver.observed.addViolation("failure injected", fmt.Sprintf("%s: %v", failure, err))
		return
	}
	injected.Ended = n.driver.observed.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.completed = append(n.completed, injected)
}

func (n *injector) trigger(ctx context.Context, f scenario.Failure) error {
	switch f.Kind {
	case scenario.KillProcess:
		return n.killProcess(f.Target, false)
	case scenario.ReplaceProcess:
		return n.killProcess(f.Target, true)
	case scenario.FreezeProcess:
		return n.freezeProcess(f.Target, f.Length())
	case scenario.PoisonRequest:
		return n.sendPoison(ctx, f)
	case scenario.OperatorRace:
		return n.driver.raceOperators(ctx, fmt.Sprintf("race-%d", f.AtMs))
	case scenario.CrashTarget, scenario.SilenceTarget, scenario.LeavingTarget:
		return n.failTarget(ctx, f)
	case scenario.SlowLinks:
		return n.failTemporarily(ctx, n.driver.deployment.EngineControls, f.Length(), func(faults *tamarackv1.Faults, on bool) {
			faults.LinkSlowdown = valueIf(on, f.Factor)
		})
	case scenario.CutService:
		return n.cutService(ctx, f)
	default:
		return n.failPlatform(ctx, f)
	}
}

func valueIf(on bool, value uint32) uint32 {
	if on {
		return value
	}
	return 0
}

// updateFaults applies edit to the faults of a control endpoint and sends the
// result there. Crashes and silences are one-off requests and are cleared after
// they are sent.
func (n *injector) updateFaults(ctx context.Context, address string, edit func(*tamarackv1.Faults)) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	faults, ok := n.faults[address]
	if !ok {
		faults = &tamarackv1.Faults{}
		n.faults[address] = faults
	}
	edit(faults)
	_, err := n.driver.controlClient(address).SetFaults(ctx, connect.NewRequest(&tamarackv1.SetFaultsRequest{Faults: faults}))
	faults.CrashTargetIds = nil
	faults.SilentTargetIds = nil
	return err
}

// failTemporarily turns a failure on at several endpoints and off again after
// duration.
func (n *injector) failTemporarily(ctx context.Context, addresses []string, duration time.Duration, edit func(faults *tamarackv1.Faults, on bool)) error {
	for _, on := range []bool{true, false} {
		for _, address := range addresses {
			if err := n.updateFaults(ctx, address, func(faults *tamarackv1.Faults) { edit(faults, on) }); err != nil {
				return err
			}
		}
		if on {
			time.Sleep(duration)
		}
	}
	return nil
}

func (n *injector) failPlatform(ctx context.Context, f scenario.Failure) error {
	return n.failTemporarily(ctx, []string{n.driver.deployment.Platform}, f.Length(), func(faults *tamarackv1.Faults, on bool) {
		switch f.Kind {
		case scenario.PlatformOutage:
			faults.Outage = on
		case scenario.LoseAnswers:
			faults.LoseAnswers = on
		case scenario.SlowPlatform:
			faults.DelayMs = valueIf(on, f.Factor)
		case scenario.CutZone:
			faults.CutZones = slices.DeleteFunc(faults.CutZones, func(zone string) bool { return zone == f.Target })
			if on {
				faults.CutZones = append(faults.CutZones, f.Target)
			}
		}
	})
}

func (n *injector) cutService(ctx context.Context, f scenario.Failure) error {
	for i, address := range n.driver.deployment.ServiceControls {
		if deployment.ServiceTarget(i) == model.TargetID(f.Target) {
			return n.failTemporarily(ctx, []string{address}, f.Length(), func(faults *tamarackv1.Faults, on bool) { faults.CutAfterRun = on })
		}
	}
	return errors.Newf("no service %s; name one of the deployment", f.Target)
}

func (n *injector) failTarget(ctx context.Context, f scenario.Failure) error {
	host, ok := n.driver.deployment.EngineHosts[model.TargetID(f.Target)]
	if !ok {
		return errors.Newf("no engine %s; name one of the deployment", f.Target)
	}
	err := n.updateFaults(ctx, n.driver.deployment.EngineControls[host], func(faults *tamarackv1.Faults) {
		switch f.Kind {
		case scenario.CrashTarget:
			faults.CrashTargetIds = []string{f.Target}
		case scenario.SilenceTarget:
			faults.SilentTargetIds = []string{f.Target}
		case scenario.LeavingTarget:
			faults.LeavingTargetIds = append(faults.LeavingTargetIds, f.Target)
		}
	})
	if err != nil || f.Kind != scenario.LeavingTarget {
		return err
	}
	return n.checkNoNewWork(ctx, f.Target)
}

// checkNoNewWork records a violation for each new request that a leaving target
// runs after drainGrace.
func (n *injector) checkNoNewWork(ctx context.Context, target string) error {
	time.Sleep(drainGrace)
	before, err := n.driver.requestsOn(ctx, target)
	if err != nil {
		return err
	}
	time.Sleep(drainGrace)
	after, err := n.driver.requestsOn(ctx, target)
	if err != nil {
		return err
	}
	for request := range after {
		if !before[request] {
			n.driver.observed.addViolation(audit.LeavingTarget, fmt.Sprintf("%s got %s more than %s after it said that it is leaving", target, request, drainGrace))
		}
	}
	return nil
}

// sendPoison sends a poison request several times, as a retrying caller would.
func (n *injector) sendPoison(ctx context.Context, f scenario.Failure) error {
	workspace := n.driver.workspaces()[0]
	prompt := fmt.Sprintf("%s %d", deployment.CrashMarker, f.AtMs)
	for range poisonAttempts {
		n.driver.generate(ctx, workspace, prompt, 1)
		time.Sleep(poisonInterval)
	}
	return nil
}
