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
	// drainTimeout bounds the wait for what is in progress after the load.
	drainTimeout = 20 * time.Second
	// The streams of the generator, so that one does not shift the other.
	requestStream = 1
	callStream    = 2
)

// Run plays a scenario and returns what it came to. The directory is that of
// the deployment, for the process ids of processes to be killed.
func (p *Player) Run(ctx context.Context, s *scenario.Scenario, dir string) Result {
	ctx, cancel := context.WithTimeout(ctx, s.Length()+drainTimeout)
	defer cancel()
	p.dir = dir
	p.observed.start = time.Now()
	probing, stopProbing := context.WithCancel(ctx)
	defer stopProbing()
	go p.probe(probing)
	before := p.usage()
	inject := newInjector(p, s)
	var inProgress sync.WaitGroup
	inProgress.Go(func() { inject.run(ctx) })
	inProgress.Go(func() {
		time.Sleep(s.Length() / 2)
		p.changeSettings(ctx, "run-change")
	})
	inProgress.Go(func() { p.playRequests(ctx, s, &inProgress) })
	inProgress.Go(func() { p.playCalls(ctx, s, &inProgress) })
	inProgress.Wait()
	processes := p.processes(before, p.observed.now())
	return p.finish(ctx, s, inject.injected(), processes)
}

// arrivals calls f at the instants of a Poisson process until the length has
// passed. The instants rest on the seed alone, not on how long f takes.
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

func (p *Player) playRequests(ctx context.Context, s *scenario.Scenario, inProgress *sync.WaitGroup) {
	workspaces := p.workspaces()
	generator := rand.New(rand.NewPCG(s.Seed, requestStream))
	arrivals(ctx, generator, s.RequestsPerS, s.Length(), func(i int) {
		workspace := workspaces[generator.IntN(len(workspaces))]
		inProgress.Go(func() { p.generate(ctx, workspace, fmt.Sprintf("listing %d", i), s.AnswerTokens) })
	})
}

func (p *Player) playCalls(ctx context.Context, s *scenario.Scenario, inProgress *sync.WaitGroup) {
	workspaces := p.workspaces()
	generator := rand.New(rand.NewPCG(s.Seed, callStream))
	arrivals(ctx, generator, s.CallsPerS, s.Length(), func(i int) {
		workspace := workspaces[generator.IntN(len(workspaces))]
		inProgress.Go(func() { p.callOnce(ctx, workspace, fmt.Sprintf("call-%d", i)) })
	})
}

func (p *Player) workspaces() []model.WorkspaceID {
	return slices.Sorted(maps.Keys(p.deployment.Workspaces))
}
