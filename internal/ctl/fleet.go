package ctl

import (
	"flag"

	"tamarackreach/internal/frontdaemon"
)

func fleetFlags(set *flag.FlagSet) func(*session) error {
	address := set.String("status", "127.0.0.1:9464", "metrics `address` of an entry VM, host:port")
	return func(s *session) error {
		status, text, err := readStatus(s, *address)
		if err != nil {
			return err
		}
		if s.json {
			s.printf("%s\n", text)
			return nil
		}
		printFleet(s, status)
		return nil
	}
}

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
