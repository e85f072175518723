package load

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"tamarackreach/internal/event"
	"tamarackreach/internal/fault"
	"tamarackreach/internal/load/audit"
	"tamarackreach/internal/model"
	"tamarackreach/internal/rpc"
)

// inForceTimeout limits the wait until an accepted change is in force.
const inForceTimeout = 10 * time.Second

// workspaceChange returns a change, with the given ID, of one workspace.
func (d *Driver) workspaceChange(id string, workspace string) (event.Change, error) {
	changes, err := d.deployment.InitialChanges()
	if err != nil {
		return event.Change{}, err
	}
	change := changes[1]
	change.ID = model.ChangeID(id)
	change.Reason = "measured change"
	change.Edits = slices.DeleteFunc(slices.Clone(change.Edits), func(e event.Edit) bool {
		return !strings.HasSuffix(e.Path, "/"+workspace)
	})
	return change, nil
}

// changeSettings makes one change and measures the time until it is in force
// on every entry VM.
func (d *Driver) changeSettings(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	change, err := d.workspaceChange(id, d.deployment.Shape.WorkspacePrefix+"-1")
	if err != nil {
		d.observed.addViolation(audit.SettingsInForce, err.Error())
		return
	}
	start := time.Now()
	revision, err := d.Apply(ctx, d.balancer.pick(), change)
	if err != nil {
		d.observed.addViolation(audit.SettingsInForce, fmt.Sprintf("change %s was not accepted: %v", id, err))
		return
	}
	if _, err := d.AwaitRevision(ctx, revision); err != nil {
		d.observed.addViolation(audit.SettingsInForce, err.Error())
		return
	}
	d.observed.addChange(time.Since(start))
}

// raceOperators sends conflicting changes of one workspace, based on the same
// revision, through different entry VMs. At most one may be accepted; the other
// must get a typed refusal.
func (d *Driver) raceOperators(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	base, err := d.status(ctx, 0)
	if err != nil {
		return err
	}
	workspace := d.deployment.Shape.WorkspacePrefix + "-1"
	const operators = 2
	errs := make([]error, operators)
	var done sync.WaitGroup
	for i := range operators {
		change, err := d.workspaceChange(fmt.Sprintf("%s-%d", id, i), workspace)
		if err != nil {
			return err
		}
		change.Author = fmt.Sprintf("operator-%d", i)
		change.BaseRevision = model.Revision(base.Nodes[0].Revision)
		entry := i % len(d.deployment.Entries)
		done.Go(func() { _, errs[i] = d.Apply(ctx, entry, change) })
	}
	done.Wait()
	d.checkRace(id, errs)
	return nil
}

// checkRace records a violation if more than one change was accepted, or if one
// failed for another reason than a conflict or an unreachable platform.
func (d *Driver) checkRace(id string, errs []error) {
	accepted := 0
	for _, err := range errs {
		if err == nil {
			accepted++
			continue
		}
		refusal, ok := rpc.FaultOf(err)
		if !ok || refusal.Code != string(fault.ChangeConflict) && refusal.Code != string(fault.PlatformDown) {
			d.observed.addViolation(audit.SettingsInForce, fmt.Sprintf("race %s: the loser was told %v", id, err))
		}
	}
	if accepted > 1 {
		d.observed.addViolation(audit.SettingsInForce, fmt.Sprintf("race %s: %d conflicting changes were accepted", id, accepted))
	}
}
