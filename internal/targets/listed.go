package targets

import (
	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/timer"
)

// ApplyVMList applies the platform's list of VMs. A list without any target means
// that the platform lost its state, so no target is removed because of it. It
// returns the verdicts on connected targets of which the list has a later
// incarnation.
func (t *Table) ApplyVMList(c *decision.Context, vms []event.VM) []Verdict {
	var replaced []Verdict
	seen := make(map[model.TargetID]bool, len(vms))
	for _, vm := range vms {
		if vm.Role != event.RoleEntry {
			seen[model.TargetID(vm.ID)] = true
			if verdict := t.applyVM(c, vm); verdict.Outcome != Undecided {
				replaced = append(replaced, verdict)
			}
		}
	}
	if len(seen) == 0 {
		return nil
	}
	for _, id := range t.IDs() {
		if !seen[id] {
			t.handleUnlisted(c, id)
		}
	}
	return replaced
}

// applyVM updates the record of a target from its entry in the list.
func (t *Table) applyVM(c *decision.Context, vm event.VM) (verdict Verdict) {
	id := model.TargetID(vm.ID)
	target, known := t.targets[id]
	if known && vm.Incarnation < target.ListedIncarnation {
		return Verdict{}
	}
	if !known || vm.Incarnation > target.Incarnation {
		if known && target.Connected {
			verdict = target.verdict(replacedOutcome(target), target.suspectedAt(c.Now))
		}
		target = t.replaceVM(c, id, vm)
	}
	target.ListedAt = c.Now
	target.ListedIncarnation = vm.Incarnation
	target.Zone = vm.Zone
	target.Role = vm.Role
	target.Address = vm.Address
	target.Accelerator = vm.Accelerator
	if vm.Leaving {
		// An engine that restarted on a leaving VM is leaving, too.
		t.Mark(c, id, target.Incarnation, event.TargetLeaving)
	}
	return verdict
}

// replacedOutcome returns the outcome for an incarnation that was replaced. One that
// the platform had removed did not crash.
func replacedOutcome(target *Target) Outcome {
	if target.Status == event.TargetGone {
		return Unreachable
	}
	return Crashed
}

// replaceVM creates the record of a new VM, or of a new incarnation of one.
func (t *Table) replaceVM(c *decision.Context, id model.TargetID, vm event.VM) *Target {
	target := &Target{ID: id, Incarnation: vm.Incarnation, Address: vm.Address, Role: vm.Role}
	if earlier, ok := t.targets[id]; ok {
		target.Watch = earlier.Watch
	}
	t.targets[id] = target
	if vm.Role == event.RoleEngine {
		t.watch(c, target)
		c.After(timer.TargetProbe, string(id), firstReportTimeout)
	}
	return target
}

// handleUnlisted handles a target that is missing from a list: it is marked gone
// after goneAfter, and its record is removed after forgetAfter unless requests
// of this node are in flight on it.
func (t *Table) handleUnlisted(c *decision.Context, id model.TargetID) {
	target := t.targets[id]
	unlistedFor := c.Now.Sub(target.ListedAt)
	if unlistedFor >= goneAfter {
		t.Mark(c, id, target.Incarnation, event.TargetGone)
	}
	if unlistedFor >= forgetAfter && target.InFlight == 0 {
		delete(t.targets, id)
	}
}
