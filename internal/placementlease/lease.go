// Package placementlease implements the placement lease: its holder is the VM that
// places layers. The lease is a row in the store with a holder and an expiry. It is
// acquired by a conditional write and expires by the store's clock.
package placementlease

import (
	"encoding/json"
	"time"

	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
	"tamarackreach/internal/storeera"
)

// LeaseDuration is the lease duration: long enough to tolerate a slow store, short
// enough that a missing layer is soon placed again after the holder fails.
const LeaseDuration = 3 * time.Second

// RenewInterval is the interval between renewals: a third of the lease duration, so
// that two writes may fail.
const RenewInterval = time.Second

// Record is the content of the lease row.
type Record struct {
	// Holder is empty while acquisition is suspended.
	Holder model.NodeID `json:"holder"`
	// UntilMs is the expiry on the store's clock, in milliseconds.
	UntilMs int64 `json:"until_ms"`
	// Era is the era of the store in which the record was to be written.
	Era fleet.StoreEra `json:"era,omitempty"`
}

// Action is the result of Decide.
type Action uint8

// The actions.
const (
	// Wait means that the lease is held and no renewal is due.
	Wait Action = iota + 1
	// Acquire means that the record is to be written on condition that the row is
	// unchanged, to acquire or renew the lease.
	Acquire
	// Suspend means that the record is to be written on condition that the row is
	// unchanged, so that nobody acquires the lease for a lease duration.
	Suspend
)

// Decide returns the action of VM self and, for Acquire and Suspend, the record to
// write, given the lease row and the store's clock. A record that does not decode counts
// as expired.
//
// A record of another era is from an older copy, or of a write that was performed late:
// the version that it expected was assigned again. It may have replaced the record of a
// holder, and its own expiry says nothing on that lease.
func Decide(self model.NodeID, row fleet.StoreRow, clock time.Duration) (Action, Record) {
	next := Record{Holder: self, UntilMs: (clock + LeaseDuration).Milliseconds(), Era: row.Version.Era}
	var r Record
	if row.Absent() || json.Unmarshal(row.Value, &r) != nil {
		return Acquire, next
	}
	if r.Era != row.Version.Era {
		return Suspend, Record{UntilMs: next.UntilMs, Era: next.Era}
	}
	remaining := time.Duration(r.UntilMs)*time.Millisecond - clock
	if r.Holder == self && remaining > LeaseDuration-RenewInterval || r.Holder != self && remaining > 0 {
		return Wait, r
	}
	return Acquire, next
}

// MayAcquire reports whether a lease of an earlier era of the store has expired. The row
// of such a lease may be lost, and its holder may act until it expires. eraAge is the
// time since the VM first observed the current era.
func MayAcquire(firstStart bool, era *storeera.Tracker, eraAge time.Duration) bool {
	noEarlierLease := firstStart || era.Current() == 0
	return noEarlierLease && !era.Restored() || eraAge >= LeaseDuration
}

// Held reports whether a VM still holds the lease at now, on its own clock. Its last
// successful write was based on a read that began at renewedAt, so the record cannot
// expire earlier than LeaseDuration after that. Read and write were in the current era
// of the store: another VM may have acquired the lease in a later one.
func Held(renewedAt, now model.Instant) bool {
	return renewedAt != 0 && now.Sub(renewedAt) < LeaseDuration
}
