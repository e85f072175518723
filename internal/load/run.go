package load

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// requestInterval is the time between two model requests.
	requestInterval = 40 * time.Millisecond
	// callEvery is the number of model requests for one call.
	callEvery = 4
)

// Run plays model requests, calls and one settings change for a time.
func (p *Player) Run(ctx context.Context, length time.Duration) Result {
	workspaces := slices.Sorted(maps.Keys(p.deployment.Workspaces))
	var inProgress sync.WaitGroup
	inProgress.Go(func() {
		time.Sleep(length / 2)
		p.ChangeSettings(ctx)
	})
	ticker := time.NewTicker(requestInterval)
	defer ticker.Stop()
	end := time.Now().Add(length)
	for i := 0; time.Now().Before(end); i++ {
		workspace := workspaces[i%len(workspaces)]
		inProgress.Go(func() { p.Generate(ctx, i, workspace, fmt.Sprintf("listing %d", i)) })
		if i%callEvery == 0 {
			inProgress.Go(func() { p.CallOnce(ctx, i, workspace, fmt.Sprintf("call-%d", i)) })
		}
		if i%int(time.Second/requestInterval) == 0 {
			p.say("%d requests sent", i)
		}
		<-ticker.C
	}
	inProgress.Wait()
	return p.Finish(ctx)
}
