// Package storeera follows the eras of the platform's store. The store may come back
// from an older copy: it has then lost what it acknowledged since, and assigns version
// numbers again. Each return begins an era.
package storeera

import (
	"github.com/cockroachdb/errors"

	"tamarackreach/internal/fleet"
)

// ErrStale means that a response or a precondition is of an earlier era than the
// current one.
var ErrStale = errors.New("it belongs to an earlier era of the store; read again")

// Tracker holds the newest era that a VM has observed.
//
// Invariant: the era never goes back, so that a response of an earlier era is
// rejected also when it arrives after a response of a later one.
type Tracker struct {
	current            fleet.StoreEra
	observed, restored bool
}

// Current returns the newest era observed, 0 before the first.
func (t *Tracker) Current() fleet.StoreEra { return t.current }

// Restored reports whether a new era has begun since the first response.
func (t *Tracker) Restored() bool { return t.restored }

// Observe records the era of a response. It reports whether a new era has begun, and
// returns ErrStale for an earlier one. The first response begins no new era, because
// nothing is known from before.
func (t *Tracker) Observe(era fleet.StoreEra) (restored bool, err error) {
	switch {
	case era < t.current:
		return false, ErrStale
	case era == t.current && t.observed:
		return false, nil
	}
	restored = t.observed
	t.current, t.observed, t.restored = era, true, t.restored || restored
	return restored, nil
}

// Check returns ErrStale for a version of another era than the current one. Such a
// version must not be sent as a precondition.
func (t *Tracker) Check(v fleet.StoreVersion) error {
	if v.Era != t.current {
		return ErrStale
	}
	return nil
}

// Acknowledges reports whether a response to a write states its effect: the response is
// of the era of the write's precondition. In a later era, the same version number may
// belong to another state of the row.
func Acknowledges(response fleet.StoreEra, precondition fleet.StoreVersion) bool {
	return response == precondition.Era
}

// Belief is a value that was read from the store or acknowledged by it. It holds in
// the era of that response only. A nil belief holds in none.
type Belief[T any] struct {
	value T
	era   fleet.StoreEra
}

// Hold returns a belief that rests on a response of an era.
func Hold[T any](value T, era fleet.StoreEra) *Belief[T] {
	return &Belief[T]{value: value, era: era}
}

// In returns the value if the belief holds in an era, and the zero value otherwise.
func (b *Belief[T]) In(era fleet.StoreEra) (T, bool) {
	if b == nil || b.era != era {
		var none T
		return none, false
	}
	return b.value, true
}
