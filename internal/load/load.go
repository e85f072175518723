// Package load plays callers and operators against a deployment and checks
// the promises on what it saw.
package load

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/gen/tamarack/v1/tamarackv1connect"
	"tamarackreach/internal/deployment"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/operatorapi"
	"tamarackreach/internal/rpc"
	"tamarackreach/internal/standin/engine"
)

const (
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	answerTokens = 24
)

// Player plays a deployment's callers and operators.
type Player struct {
	deployment *deployment.Deployment
	http       connect.HTTPClient
	progress   io.Writer

	mu     sync.Mutex
	result Result
	firsts []time.Duration
}

// Result is what a run came to.
type Result struct {
	Requests      int
	Tokens        int
	OnceCalls     int
	Refusals      int
	ConfigInForce time.Duration
	FirstTokenP95 time.Duration
	Violations    []string
	onceKeys      map[string]bool
}

// New returns a player; progress lines go to progress.
func New(d *deployment.Deployment, progress io.Writer) *Player {
	return &Player{deployment: d, http: rpc.NewClient(), progress: progress, result: Result{onceKeys: make(map[string]bool)}}
}

func (p *Player) say(format string, args ...any) {
	_, _ = fmt.Fprintf(p.progress, format+"\n", args...)
}

func (p *Player) violation(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.Violations = append(p.result.Violations, fmt.Sprintf(format, args...))
}

// SetUp lists the VMs, waits for the entry VMs and gives them their settings.
func (p *Player) SetUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	control := tamarackv1connect.NewControlServiceClient(p.http, "http://"+p.deployment.Platform)
	if err := retry(ctx, func() error {
		_, err := control.SetVms(ctx, connect.NewRequest(&tamarackv1.SetVmsRequest{Vms: p.deployment.VMs}))
		return err
	}); err != nil {
		return errors.Wrap(err, "list VMs")
	}
	changes, err := p.deployment.FirstChanges()
	if err != nil {
		return err
	}
	var last uint64
	for _, change := range changes {
		if err := retry(ctx, func() error {
			revision, err := p.Apply(ctx, 0, change)
			last = revision
			return err
		}); err != nil {
			return errors.Wrapf(err, "apply %s", change.ID)
		}
	}
	p.say("settings revision %d is accepted", last)
	if _, err := p.AwaitRevision(ctx, last); err != nil {
		return err
	}
	return p.awaitTargets(ctx)
}

func retry(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "gave up")
		case <-time.After(pollInterval * 5):
		}
	}
}

func (p *Player) operator(i int) tamarackv1connect.OperatorServiceClient {
	return tamarackv1connect.NewOperatorServiceClient(p.http, "http://"+p.deployment.Entries[i].Operator)
}

func (p *Player) caller(i int) tamarackv1connect.CallerServiceClient {
	entries := p.deployment.Entries
	return tamarackv1connect.NewCallerServiceClient(p.http, "http://"+entries[i%len(entries)].Caller)
}

func withToken[T any](message *T, token string) *connect.Request[T] {
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer "+token)
	return request
}

// Apply proposes a change through an entry VM and returns its revision.
func (p *Player) Apply(ctx context.Context, entry int, change event.Change) (uint64, error) {
	request := withToken(&tamarackv1.ApplyRequest{Change: operatorapi.ChangeMessage(change)}, p.deployment.Teams[change.Team])
	response, err := p.operator(entry).Apply(ctx, request)
	if err != nil {
		return 0, err
	}
	return response.Msg.Revision, nil
}

// status returns what an entry VM says of itself.
func (p *Player) status(ctx context.Context, entry int) (*tamarackv1.StatusResponse, error) {
	response, err := p.operator(entry).Status(ctx, withToken(&tamarackv1.StatusRequest{}, p.deployment.Teams[deployment.PlatformTeam]))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// AwaitRevision waits until a revision is in force on every entry VM and
// returns how long that took.
func (p *Player) AwaitRevision(ctx context.Context, revision uint64) (time.Duration, error) {
	start := time.Now()
	for i := range p.deployment.Entries {
		if err := retryFast(ctx, func() bool { return p.inForce(ctx, i, revision) }); err != nil {
			return 0, errors.Wrapf(err, "revision %d is not in force on %s", revision, p.deployment.Entries[i].NodeID)
		}
	}
	return time.Since(start), nil
}

func (p *Player) inForce(ctx context.Context, entry int, revision uint64) bool {
	response, err := p.operator(entry).GetSettings(ctx, withToken(&tamarackv1.GetSettingsRequest{}, p.deployment.Teams[deployment.PlatformTeam]))
	return err == nil && response.Msg.Revision >= revision
}

func retryFast(ctx context.Context, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// awaitTargets waits until every entry VM sees every target live.
func (p *Player) awaitTargets(ctx context.Context) error {
	want := p.deployment.Shape.Engines + p.deployment.Shape.Services
	for i := range p.deployment.Entries {
		if err := retryFast(ctx, func() bool { return p.liveTargets(ctx, i) == want }); err != nil {
			return errors.Wrapf(err, "%s sees %d of %d targets", p.deployment.Entries[i].NodeID, p.liveTargets(context.Background(), i), want)
		}
	}
	p.say("%d targets are live on %d entry VMs", want, len(p.deployment.Entries))
	return nil
}

func (p *Player) liveTargets(ctx context.Context, entry int) int {
	status, err := p.status(ctx, entry)
	if err != nil {
		return 0
	}
	live := 0
	for _, target := range status.Targets {
		if target.State == "live" {
			live++
		}
	}
	return live
}

// Generate sends one model request and checks its answer.
func (p *Player) Generate(ctx context.Context, entry int, workspace model.WorkspaceID, prompt string) {
	start := time.Now()
	stream, err := p.caller(entry).Generate(ctx, withToken(&tamarackv1.GenerateRequest{
		Model: string(deployment.ModelName), Prompt: prompt, MaxTokens: answerTokens, PrefixKey: string(workspace),
	}, p.deployment.Workspaces[workspace]))
	if err != nil {
		p.refused(err)
		return
	}
	defer func() { _ = stream.Close() }()
	next := uint32(0)
	complete := false
	for stream.Receive() {
		if next == 0 {
			p.firstToken(time.Since(start))
		}
		p.checkToken(prompt, next, stream.Msg())
		next++
		complete = stream.Msg().Last
	}
	if err := stream.Err(); err != nil {
		p.refused(err)
		return
	}
	if !complete || next != answerTokens {
		p.violation("answer to %q ended after %d of %d tokens without a refusal", prompt, next, answerTokens)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.Requests++
	p.result.Tokens += int(next)
}

func (p *Player) firstToken(after time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.firsts = append(p.firsts, after)
}

func (p *Player) checkToken(prompt string, index uint32, token *tamarackv1.GenerateResponse) {
	want := engine.TokenText(prompt, string(deployment.ModelVersion), index)
	if token.Index != index || token.Text != want {
		p.violation("token %d of %q is %d %q, want %q", index, prompt, token.Index, token.Text, want)
	}
	layer := uint32(0)
	for _, receipt := range token.Receipts {
		if receipt.Layers.GetFirst() != layer {
			p.violation("token %d of %q: layers do not join up at %d", index, prompt, layer)
		}
		layer = receipt.Layers.GetEnd()
	}
	if layer != p.deployment.Shape.Layers {
		p.violation("token %d of %q ran %d of %d layers", index, prompt, layer, p.deployment.Shape.Layers)
	}
}

// refused counts a refusal; one that is not typed is a violation.
func (p *Player) refused(err error) {
	if _, ok := rpc.FaultOf(err); !ok {
		p.violation("untyped refusal: %v", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.Refusals++
}

// CallOnce makes one call that may not be repeated.
func (p *Player) CallOnce(ctx context.Context, entry int, workspace model.WorkspaceID, key string) {
	_, err := p.caller(entry).Call(ctx, withToken(&tamarackv1.CallRequest{
		Service: string(deployment.ServiceName), Method: "connect", Body: []byte(key), IdempotencyKey: key,
	}, p.deployment.Workspaces[workspace]))
	if err != nil {
		p.refused(err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.OnceCalls++
	p.result.onceKeys[string(workspace)+"/"+key] = true
}

// ChangeSettings makes one change and measures the time until it is in force.
func (p *Player) ChangeSettings(ctx context.Context) {
	changes, err := p.deployment.FirstChanges()
	if err != nil {
		p.violation("settings change: %v", err)
		return
	}
	change := changes[1]
	change.ID = "run-change"
	change.Reason = "measured change"
	start := time.Now()
	revision, err := p.Apply(ctx, len(p.deployment.Entries)-1, change)
	if err != nil {
		p.violation("settings change was not accepted: %v", err)
		return
	}
	if _, err := p.AwaitRevision(ctx, revision); err != nil {
		p.violation("settings change: %v", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.ConfigInForce = time.Since(start)
}

// checkServices compares what callers were told with what services ran.
func (p *Player) checkServices(ctx context.Context) {
	ran := make(map[string]uint32)
	for _, address := range p.deployment.ServiceControls {
		control := tamarackv1connect.NewControlServiceClient(p.http, "http://"+address)
		response, err := control.ServiceLog(ctx, connect.NewRequest(&tamarackv1.ServiceLogRequest{}))
		if err != nil {
			p.violation("service log: %v", err)
			continue
		}
		for _, call := range response.Msg.Calls {
			ran[call.Workspace+"/"+call.IdempotencyKey] += call.Runs
		}
	}
	for key, runs := range ran {
		if runs > 1 {
			p.violation("call %s ran %d times", key, runs)
		}
	}
	for key := range p.result.onceKeys {
		if ran[key] != 1 {
			p.violation("call %s was answered but ran %d times", key, ran[key])
		}
	}
}

// Finish checks what the stand-ins saw and returns the result.
func (p *Player) Finish(ctx context.Context) Result {
	p.checkServices(ctx)
	slices.Sort(p.firsts)
	if n := len(p.firsts); n > 0 {
		p.result.FirstTokenP95 = p.firsts[n*95/100]
	}
	return p.result
}

// Line formats the result as the closing line of a run.
func (r Result) Line() string {
	verdict := "failed"
	if r.OK() {
		verdict = "ok"
	}
	return fmt.Sprintf("RESULT %s requests=%d tokens=%d once_calls=%d config_in_force_ms=%d first_token_p95_ms=%d violations=%d",
		verdict, r.Requests, r.Tokens, r.OnceCalls, r.ConfigInForce.Milliseconds(), r.FirstTokenP95.Milliseconds(), len(r.Violations))
}

// OK is true for a run that kept every promise and did something.
func (r Result) OK() bool {
	return len(r.Violations) == 0 && r.Requests > 0 && r.OnceCalls > 0 && r.ConfigInForce > 0
}
