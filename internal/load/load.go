// Package load simulates callers, operators and the platform's load balancer
// against a deployment, injects failures and checks the promises against what
// the simulated clients observed.
package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/gen/tamarack/v1/tamarackv1connect"
	"tamarackreach/internal/deployment"
	"tamarackreach/internal/event"
	"tamarackreach/internal/operatorapi"
	"tamarackreach/internal/rpc"
)

const (
	readyTimeout = 15 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Player simulates the callers and operators of a deployment.
type Player struct {
	deployment  *deployment.Deployment
	dir         string
	http        connect.HTTPClient
	probeClient *http.Client
	progress    io.Writer
	balancer    *balancer
	observed    observed
}

// New returns a player that writes progress lines to progress.
func New(d *deployment.Deployment, progress io.Writer) *Player {
	return &Player{
		deployment:  d,
		http:        rpc.NewClient(),
		probeClient: &http.Client{Timeout: probeTimeout},
		progress:    progress,
		balancer:    newBalancer(len(d.Entries)),
	}
}

func (p *Player) progressf(format string, args ...any) {
	_, _ = fmt.Fprintf(p.progress, format+"\n", args...)
}

func (p *Player) operatorClient(i int) tamarackv1connect.OperatorServiceClient {
	return tamarackv1connect.NewOperatorServiceClient(p.http, "http://"+p.deployment.Entries[i].Operator)
}

func (p *Player) callerClient(i int) tamarackv1connect.CallerServiceClient {
	return tamarackv1connect.NewCallerServiceClient(p.http, "http://"+p.deployment.Entries[i].Caller)
}

func (p *Player) controlClient(address string) tamarackv1connect.ControlServiceClient {
	return tamarackv1connect.NewControlServiceClient(p.http, "http://"+address)
}

func withToken[T any](message *T, token string) *connect.Request[T] {
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+token)
	return request
}

// Apply proposes a settings change through an entry VM and returns the revision
// that the change was committed as.
func (p *Player) Apply(ctx context.Context, entry int, change event.Change) (uint64, error) {
	request := withToken(&tamarackv1.ApplyRequest{Change: operatorapi.ChangeMessage(change)}, p.deployment.Teams[change.Team])
	response, err := p.operatorClient(entry).Apply(ctx, request)
	if err != nil {
		return 0, err
	}
	return response.Msg.Revision, nil
}
