// Package duty decides which VM holds the duty of placing layers. The duty is a
// row in the store with its holder and expiry, taken by a conditional write and
// judged by the store's clock alone.
package duty

import (
	"encoding/json"
	"time"

	"tamarackreach/internal/model"
)

// Term is how long the duty is held without renewal: long enough to ride out a
// slow store, short against the time that a missing layer costs.
const Term = 3 * time.Second

// Renew is when a holder renews: a third of the term, so that two writes may
// fail.
const Renew = time.Second

// Record is the row's content.
type Record struct {
	Holder model.NodeID `json:"holder"`
	// UntilMs is the expiry on the store's clock, milliseconds.
	UntilMs int64 `json:"until_ms"`
}

// Action is what a VM does about the duty.
type Action uint8

// The actions.
const (
	// Wait leaves the duty to its holder.
	Wait Action = iota + 1
	// Take writes a record, on condition that the row is unchanged.
	Take
)

// Decide says what VM self does, given the row and the store's clock. A record
// that does not decode counts as expired.
func Decide(self model.NodeID, row model.Row, clock time.Duration) (Action, Record) {
	next := Record{Holder: self, UntilMs: (clock + Term).Milliseconds()}
	var r Record
	if row.Version == 0 || json.Unmarshal(row.Value, &r) != nil {
		return Take, next
	}
	left := time.Duration(r.UntilMs)*time.Millisecond - clock
	if r.Holder == self && left > Term-Renew || r.Holder != self && left > 0 {
		return Wait, r
	}
	return Take, next
}

// Held reports whether a VM may still act at now, on its own clock, when the read
// that gave the clock of its last successful write began at renewed: the record
// cannot have expired before a term after that.
func Held(renewed, now model.Instant) bool {
	return renewed != 0 && now.Sub(renewed) < Term
}
