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

// Driver simulates the callers and operators of a deployment.
type Driver struct {
	deployment  *deployment.Deployment
	dir         string
	http        connect.HTTPClient
	probeClient *http.Client
	progress    io.Writer
	balancer    *balancer
	observed    observed
}

// New returns a driver that writes progress lines to progress.
func New(d *deployment.Deployment, progress io.Writer) *Driver {
	return &Driver{
		deployment:  d,
		http:        rpc.NewClient(),
		probeClient: &http.Client{Timeout: probeTimeout},
		progress:    progress,
		balancer:    newBalancer(len(d.Entries)),
	}
}

func (d *Driver) progressf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.progress, format+"\n", args...)
}

func (d *Driver) operatorClient(i int) tamarackv1connect.OperatorServiceClient {
	return tamarackv1connect.NewOperatorServiceClient(d.http, "http://"+d.deployment.Entries[i].Operator)
}

func (d *Driver) callerClient(i int) tamarackv1connect.CallerServiceClient {
	return tamarackv1connect.NewCallerServiceClient(d.http, "http://"+d.deployment.Entries[i].Caller)
}

func (d *Driver) controlClient(address string) tamarackv1connect.ControlServiceClient {
	return tamarackv1connect.NewControlServiceClient(d.http, "http://"+address)
}

func withToken[T any](message *T, token string) *connect.Request[T] {
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+token)
	return request
}

// Apply proposes a settings change through an entry VM and returns the revision
// that the change was committed as.
func (d *Driver) Apply(ctx context.Context, entry int, change event.Change) (uint64, error) {
	request := withToken(&tamarackv1.ApplyRequest{Change: operatorapi.ChangeMessage(change)}, d.deployment.Teams[change.Team])
	response, err := d.operatorClient(entry).Apply(ctx, request)
	if err != nil {
		return 0, err
	}
	return response.Msg.Revision, nil
}
