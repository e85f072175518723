package ctl

import "tamarackreach/internal/frontdaemon"

// printFleet prints how a VM knows the store's state and the other VMs.
func printFleet(s *session, status *frontdaemon.Status) {
	source := "reads the store itself"
	if status.Store.Source != "" {
		source = "takes the copies of " + string(status.Store.Source)
	}
	s.printf("%s in %s: %s, its own calls to the store fail %t\n", status.VM, status.Zone, source, status.Store.Failing)
	for _, t := range status.Store.Tables {
		s.printf("%-8s version %d, confirmed %d ms ago, %d reads of the store, %d copies taken\n", t.Name, t.Version, t.AgeMs, t.FromStore, t.FromVMs)
	}
	s.printf("hears %d of %d other VMs, the oldest message is %d ms old\n", status.VMsHeard, status.VMsRegistered-1, status.OldestMessageMs)
}
