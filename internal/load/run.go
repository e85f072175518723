package load

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"tamarackreach/internal/load/scenario"
	"tamarackreach/internal/model"
)

const (
	// drainTimeout limits the wait for requests in flight after the load ends.
	drainTimeout = 20 * time.Second
	// Random streams of requests and calls: with separate streams, a change of
	// one rate does not change the arrivals of the other.
	requestRandStream = 1
	callRandStream    = 2
)

// Run runs a scenario and returns its result. dir is the directory of the
// deployment, which holds the process id and restart files of its processes.
func (d *Driver) Run(ctx context.Context, s *scenario.Scenario, dir string) Result {
	ctx, cancel := context.WithTimeout(ctx, s.Length()+drainTimeout)
	defer cancel()
	d.dir = dir
	d.observed.start = time.Now()
	probing, stopProbing := context.WithCancel(ctx)
	defer stopProbing()
	go d.probeReadiness(probing)
	before := d.usage()
	inject := newInjector(d, s)
	var inProgress sync.WaitGroup
	inProgress.Go(func() { inject.run(ctx) })
	inProgress.Go(func() {
		time.Sleep(s.Length() / 2)
		d.changeSettings(ctx, "run-change")
	})
	inProgress.Go(func() { d.sendRequests(ctx, s, &inProgress) })
	inProgress.Go(func() { d.sendCalls(ctx, s, &inProgress) })
	inProgress.Wait()
	processes := d.processes(before, d.observed.now())
	return d.finish(ctx, s, inject.injected(), processes)
}

// arrivals calls f at the instants of a Poisson process of rate perS until
// length has passed. The instants depend on the seed alone, not on the duration
// of f.
func arrivals(ctx context.Context, generator *rand.Rand, perS float64, length time.Duration, f func(i int)) {
	if perS <= 0 {
		return
	}
	start := time.Now()
	at := time.Duration(0)
	for i := 0; ; i++ {
		at += time.Duration(generator.ExpFloat64() / perS * float64(time.Second))
		if at >= length {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(at))):
		}
		f(i)
	}
}

func (d *Driver) sendRequests(ctx context.Context, s *scenario.Scenario, inProgress *sync.WaitGroup) {
	workspaces := d.workspaces()
	generator := rand.New(rand.NewPCG(s.Seed, requestRandStream))
	arrivals(ctx, generator, s.RequestsPerS, s.Length(), func(i int) {
		workspace := workspaces[generator.IntN(len(workspaces))]
		inProgress.Go(func() { d.generate(ctx, workspace, fmt.Sprintf("listing %d", i), s.AnswerTokens) })
	})
}

func (d *Driver) sendCalls(ctx context.Context, s *scenario.Scenario, inProgress *sync.WaitGroup) {
	workspaces := d.workspaces()
	generator := rand.New(rand.NewPCG(s.Seed, callRandStream))
	arrivals(ctx, generator, s.CallsPerS, s.Length(), func(i int) {
		workspace := workspaces[generator.IntN(len(workspaces))]
		inProgress.Go(func() { d.callAtMostOnce(ctx, workspace, fmt.Sprintf("call-%d", i)) })
	})
}

func (d *Driver) workspaces() []model.WorkspaceID {
	return slices.Sorted(maps.Keys(d.deployment.Workspaces))
}
