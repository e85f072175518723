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
func (d *Driver) SetUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := retry(ctx, func() error { return d.setVMs(ctx) }); err != nil {
		return errors.Wrap(err, "list VMs")
	}
	changes, err := d.deployment.InitialChanges()
	if err != nil {
		return err
	}
	var last uint64
	for _, change := range changes {
		if err := retry(ctx, func() error {
			revision, err := d.Apply(ctx, 0, change)
			last = revision
			return err
		}); err != nil {
			return errors.Wrapf(err, "apply %s", change.ID)
		}
	}
	d.progressf("settings revision %d is accepted", last)
	if _, err := d.AwaitRevision(ctx, last); err != nil {
		return err
	}
	return d.awaitTargets(ctx)
}

func (d *Driver) setVMs(ctx context.Context) error {
	_, err := d.controlClient(d.deployment.Platform).SetVms(ctx, connect.NewRequest(&tamarackv1.SetVmsRequest{Vms: d.deployment.VMs}))
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
func (d *Driver) status(ctx context.Context, entry int) (*tamarackv1.StatusResponse, error) {
	response, err := d.operatorClient(entry).Status(ctx, withToken(&tamarackv1.StatusRequest{}, d.deployment.Teams[deployment.PlatformTeam]))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// AwaitRevision waits until a revision is in force on every entry VM and
// returns how long that took.
func (d *Driver) AwaitRevision(ctx context.Context, revision uint64) (time.Duration, error) {
	start := time.Now()
	for i := range d.deployment.Entries {
		if err := pollUntil(ctx, func() bool { return d.inForce(ctx, i, revision) }); err != nil {
			return 0, errors.Wrapf(err, "revision %d is not in force on %s", revision, d.deployment.Entries[i].NodeID)
		}
	}
	return time.Since(start), nil
}

func (d *Driver) inForce(ctx context.Context, entry int, revision uint64) bool {
	response, err := d.operatorClient(entry).GetSettings(ctx, withToken(&tamarackv1.GetSettingsRequest{}, d.deployment.Teams[deployment.PlatformTeam]))
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
func (d *Driver) awaitTargets(ctx context.Context) error {
	want := d.deployment.Shape.Engines + d.deployment.Shape.Services
	for i := range d.deployment.Entries {
		live := 0
		if err := pollUntil(ctx, func() bool {
			live = d.liveTargets(ctx, i)
			return live == want
		}); err != nil {
			return errors.Wrapf(err, "%s reports %d of %d targets as live", d.deployment.Entries[i].NodeID, live, want)
		}
	}
	d.progressf("%d targets are live on %d entry VMs", want, len(d.deployment.Entries))
	return nil
}

func (d *Driver) liveTargets(ctx context.Context, entry int) int {
	status, err := d.status(ctx, entry)
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
