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
func (p *Player) Run(ctx context.Context, s *scenario.Scenario, dir string) Result {
	ctx, cancel := context.WithTimeout(ctx, s.Length()+drainTimeout)
	defer cancel()
	p.dir = dir
	p.observed.start = time.Now()
	probing, stopProbing := context.WithCancel(ctx)
	defer stopProbing()
	go p.probeReadiness(probing)
	before := p.usage()
	inject := newInjector(p, s)
	var inProgress sync.WaitGroup
	inProgress.Go(func() { inject.run(ctx) })
	inProgress.Go(func() {
		time.Sleep(s.Length() / 2)
		p.changeSettings(ctx, "run-change")
	})
	inProgress.Go(func() { p.sendRequests(ctx, s, &inProgress) })
	inProgress.Go(func() { p.sendCalls(ctx, s, &inProgress) })
	inProgress.Wait()
	processes := p.processes(before, p.observed.now())
	return p.finish(ctx, s, inject.injected(), processes)
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

func (p *Player) sendRequests(ctx context.Context, s *scenario.Scenario, inProgress *sync.WaitGroup) {
	workspaces := p.workspaces()
	generator := rand.New(rand.NewPCG(s.Seed, requestRandStream))
	arrivals(ctx, generator, s.RequestsPerS, s.Length(), func(i int) {
		workspace := workspaces[generator.IntN(len(workspaces))]
		inProgress.Go(func() { p.generate(ctx, workspace, fmt.Sprintf("listing %d", i), s.AnswerTokens) })
	})
}

func (p *Player) sendCalls(ctx context.Context, s *scenario.Scenario, inProgress *sync.WaitGroup) {
	workspaces := p.workspaces()
	generator := rand.New(rand.NewPCG(s.Seed, callRandStream))
	arrivals(ctx, generator, s.CallsPerS, s.Length(), func(i int) {
		workspace := workspaces[generator.IntN(len(workspaces))]
		inProgress.Go(func() { p.callAtMostOnce(ctx, workspace, fmt.Sprintf("call-%d", i)) })
	})
}

func (p *Player) workspaces() []model.WorkspaceID {
	return slices.Sorted(maps.Keys(p.deployment.Workspaces))
}
