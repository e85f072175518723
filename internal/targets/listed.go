package targets

import (
	"tamarackreach/internal/decision"
	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
	"tamarackreach/internal/timer"
)

// Listed takes in the platform's list of VMs. A list without any target is
// that of a platform which lost its state, so that nothing follows from it.
func (t *Table) Listed(c *decision.Context, vms []event.VM) {
	seen := make(map[model.TargetID]bool, len(vms))
	for _, vm := range vms {
		if vm.Role != event.RoleEntry {
			seen[model.TargetID(vm.ID)] = true
			t.listed(c, vm)
		}
	}
	if len(seen) == 0 {
		return
	}
	for _, id := range t.IDs() {
		if !seen[id] {
			t.missing(c, id)
		}
	}
}

func (t *Table) listed(c *decision.Context, vm event.VM) {
	id := model.TargetID(vm.ID)
	target, known := t.targets[id]
	if known && vm.Incarnation < target.Listed {
		return
	}
	if !known || vm.Incarnation > target.Incarnation {
		target = t.replaceVM(c, id, vm)
	}
	target.ListedAt = c.Now
	target.Listed = vm.Incarnation
	target.Zone = vm.Zone
	target.Role = vm.Role
	target.Address = vm.Address
	target.Accelerator = vm.Accelerator
	if vm.Leaving {
		// An engine that started again on the VM leaves with it.
		t.Mark(c, id, target.Incarnation, event.TargetLeaving)
	}
}

// replaceVM starts the record of a new VM.
func (t *Table) replaceVM(c *decision.Context, id model.TargetID, vm event.VM) *Target {
	target := &Target{ID: id, Incarnation: vm.Incarnation, Address: vm.Address, Role: vm.Role}
	if earlier, ok := t.targets[id]; ok {
		target.Watch = earlier.Watch
	}
	t.targets[id] = target
	if vm.Role == event.RoleEngine {
		t.watch(c, target)
		c.After(timer.TargetProbe, string(id), firstReport)
	}
	return target
}

// missing takes in that a list does not show a target.
func (t *Table) missing(c *decision.Context, id model.TargetID) {
	target := t.targets[id]
	since := c.Now.Sub(target.ListedAt)
	if since >= goneAfter {
		t.Mark(c, id, target.Incarnation, event.TargetGone)
	}
	if since >= forgetAfter && target.InFlight == 0 {
		delete(t.targets, id)
	}
}
