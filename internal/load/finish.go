package load

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/deployment"
	"tamarackreach/internal/load/audit"
	"tamarackreach/internal/load/scenario"
	"tamarackreach/internal/model"
	"tamarackreach/internal/report"
	"tamarackreach/internal/standin/engine"
)

// Result is the outcome of a run.
type Result struct {
	Report report.Report
}

// engineSteps returns the logged steps of all engines.
func (d *Driver) engineSteps(ctx context.Context) ([]*tamarackv1.EngineStep, error) {
	var steps []*tamarackv1.EngineStep
	for _, address := range d.deployment.EngineControls {
		response, err := d.controlClient(address).EngineLog(ctx, connect.NewRequest(&tamarackv1.EngineLogRequest{}))
		if err != nil {
			return nil, err
		}
		steps = append(steps, response.Msg.Steps...)
	}
	return steps, nil
}

// requestsOn returns the IDs of the requests that an engine has run so far.
func (d *Driver) requestsOn(ctx context.Context, target string) (map[string]bool, error) {
	steps, err := d.engineSteps(ctx)
	if err != nil {
		return nil, err
	}
	requests := make(map[string]bool)
	for _, step := range steps {
		if step.TargetId == target {
			requests[step.RequestId] = true
		}
	}
	return requests, nil
}

func (d *Driver) serviceCalls(ctx context.Context) ([]*tamarackv1.ServiceCall, error) {
	var calls []*tamarackv1.ServiceCall
	for _, address := range d.deployment.ServiceControls {
		response, err := d.controlClient(address).ServiceLog(ctx, connect.NewRequest(&tamarackv1.ServiceLogRequest{}))
		if err != nil {
			return nil, err
		}
		calls = append(calls, response.Msg.Calls...)
	}
	return calls, nil
}

// checkPromises compares what callers observed with the logs of the engines and
// services, and adds the violations found during the run.
func (d *Driver) checkPromises(ctx context.Context) []audit.Violation {
	o := &d.observed
	violations := append([]audit.Violation(nil), o.violations...)
	violations = append(violations, audit.CheckAnswers(audit.Model{
		Version: deployment.ModelVersion,
		Layers:  d.deployment.Shape.Layers,
		Text: func(prompt string, index model.TokenIndex) string {
			return engine.TokenText(prompt, string(deployment.ModelVersion), uint32(index))
		},
	}, o.answers)...)
	steps, err := d.engineSteps(ctx)
	if err != nil {
		violations = append(violations, audit.Violation{Promise: audit.LayersOnce, Detail: fmt.Sprintf("engine logs: %v", err)})
	} else {
		violations = append(violations, audit.CheckEngines(o.answers, steps)...)
	}
	calls, err := d.serviceCalls(ctx)
	if err != nil {
		return append(violations, audit.Violation{Promise: audit.AtMostOnce, Detail: fmt.Sprintf("service logs: %v", err)})
	}
	return append(violations, audit.CheckServices(o.calls, calls)...)
}

// logCheckTimeout limits the time for reading the logs of the stand-ins.
const logCheckTimeout = 5 * time.Second

// finish checks the promises and builds the report of the run.
func (d *Driver) finish(ctx context.Context, s *scenario.Scenario, injected []Injected, processes []report.Process) Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), logCheckTimeout)
	defer cancel()
	violations := d.checkPromises(ctx)
	o := &d.observed
	failures := make([]report.Failure, 0, len(injected))
	for _, one := range injected {
		failures = append(failures, report.Failure{Name: one.Failure.String(), At: one.At, Ended: one.Ended})
	}
	return Result{Report: report.Build(report.Run{
		Scenario: s.Name, Seed: s.Seed, Length: s.Length(), BoundTokensPerS: d.deployment.BoundTokensPerS,
		Answers: o.answers, Calls: o.calls, Changes: o.changes, Violations: violations, Failures: failures, Processes: processes,
	})}
}

// Line formats the result as the last line that a run prints.
func (r Result) Line() string {
	verdict := "failed"
	if r.OK() {
		verdict = "ok"
	}
	s := r.Report
	return fmt.Sprintf("RESULT %s requests=%d tokens=%d once_calls=%d config_in_force_ms=%d first_token_p95_ms=%d violations=%d",
		verdict, s.Requests.Complete, s.Tokens, s.Calls.Complete, int(s.ConfigInForceMs), int(s.FirstTokenMs.P95), len(s.Violations))
}

// OK reports whether the run had no violation and at least one complete request,
// one complete call and one settings change in force.
func (r Result) OK() bool {
	s := r.Report
	return len(s.Violations) == 0 && s.Requests.Complete > 0 && s.Calls.Complete > 0 && s.ConfigInForceMs > 0
}

// FailedLine returns the last line to print for a run that could not start.
func FailedLine() string { return Result{}.Line() }
