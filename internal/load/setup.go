package load

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/deployment"
)

// SetUp registers the VMs with the platform, applies the initial settings and
// waits until these are in force and all targets are live on every entry VM.
func (p *Player) SetUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := retry(ctx, func() error { return p.setVMs(ctx) }); err != nil {
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
	p.progressf("settings revision %d is accepted", last)
	if _, err := p.AwaitRevision(ctx, last); err != nil {
		return err
	}
	return p.awaitTargets(ctx)
}

func (p *Player) setVMs(ctx context.Context) error {
	_, err := p.controlClient(p.deployment.Platform).SetVms(ctx, connect.NewRequest(&tamarackv1.SetVmsRequest{Vms: p.deployment.VMs}))
	return err
}

// retry repeats f until it succeeds or the context is done; it then returns the
// last error of f.
func retry(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "stopped retrying")
		case <-time.After(pollInterval * 5):
		}
	}
}

// status returns the status that an entry VM reports.
func (p *Player) status(ctx context.Context, entry int) (*tamarackv1.StatusResponse, error) {
	response, err := p.operatorClient(entry).Status(ctx, withToken(&tamarackv1.StatusRequest{}, p.deployment.Teams[deployment.PlatformTeam]))
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
		if err := pollUntil(ctx, func() bool { return p.inForce(ctx, i, revision) }); err != nil {
			return 0, errors.Wrapf(err, "revision %d is not in force on %s", revision, p.deployment.Entries[i].NodeID)
		}
	}
	return time.Since(start), nil
}

func (p *Player) inForce(ctx context.Context, entry int, revision uint64) bool {
	response, err := p.operatorClient(entry).GetSettings(ctx, withToken(&tamarackv1.GetSettingsRequest{}, p.deployment.Teams[deployment.PlatformTeam]))
	return err == nil && response.Msg.Revision >= revision
}

// pollUntil calls done each pollInterval until it returns true or the context is
// done, and then returns the context's error.
func pollUntil(ctx context.Context, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// awaitTargets waits until every entry VM reports every target as live.
func (p *Player) awaitTargets(ctx context.Context) error {
	want := p.deployment.Shape.Engines + p.deployment.Shape.Services
	for i := range p.deployment.Entries {
		live := 0
		if err := pollUntil(ctx, func() bool {
			live = p.liveTargets(ctx, i)
			return live == want
		}); err != nil {
			return errors.Wrapf(err, "%s reports %d of %d targets as live", p.deployment.Entries[i].NodeID, live, want)
		}
	}
	p.progressf("%d targets are live on %d entry VMs", want, len(p.deployment.Entries))
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
