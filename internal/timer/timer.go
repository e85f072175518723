// Package timer holds the timers of the reducer, ordered by deadline. Timers with
// the same deadline fire in the order in which they were set.
package timer

import (
	"container/heap"

	"tamarackreach/internal/model"
)

// Kind identifies the handler of a timer.
type Kind uint8

// The kinds of timer.
const (
	// StreamIdle fires when a stream may have had no frame, or no token, for too
	// long.
	StreamIdle Kind = iota + 1
	// FirstToken is reserved for the first-token deadline of a request; no timer of
	// this kind is set.
	FirstToken
	// RetryRequest fires when a held request is to be tried again.
	RetryRequest
	// CallDeadline fires at the deadline of the current step of a call.
	CallDeadline
	// ClaimRead fires when a claim whose write got no answer is to be read.
	ClaimRead
	// SettingsPoll fires when the head revision is to be read.
	SettingsPoll
	// ChangeRetry fires when a settings commit is to be retried.
	ChangeRetry
	// PeerHeartbeat fires when heartbeats are to be sent.
	PeerHeartbeat
	// PeerSuspect fires when a ping timed out or the suspicion of a peer expires.
	PeerSuspect
	// LeaseRenew fires when a lease is to be acquired or renewed.
	LeaseRenew
	// LeaseExpire is reserved for the expiry of a held lease; no timer of this kind
	// is set.
	LeaseExpire
	// OrderRetry fires when the targets of a pipeline are to be compared with the
	// settings and sent the orders that are due.
	OrderRetry
	// QuotaRebalance fires when the claim of a quota slot is to be continued or
	// quota shares are to be rebalanced.
	QuotaRebalance
	// VMPoll fires when the VM list is to be read.
	VMPoll
	// TargetProbe fires when a check or the watch of a target timed out, or when
	// an unreachable target is to be watched again.
	TargetProbe
	// ShutdownLag fires when the balancer has stopped sending new requests.
	ShutdownLag
	// QuarantineExpiry fires when expired quarantine records are to be removed.
	QuarantineExpiry
	// SettingsFetch fires when a fetch of settings changes timed out.
	SettingsFetch
	// StartupSync fires when a starting node stops waiting for the settings
	// revisions of its peers.
	StartupSync
	// LedgerFlush fires when batched ledger rows are to be written.
	LedgerFlush
)

// Key identifies a timer; setting a key again replaces its deadline.
type Key struct {
	Kind Kind
	ID   string
}

type entry struct {
	key      Key
	deadline model.Instant
	sequence uint64
	index    int
}

type entries []*entry

func (e entries) Len() int { return len(e) }

func (e entries) Less(i, j int) bool {
	if e[i].deadline != e[j].deadline {
		return e[i].deadline < e[j].deadline
	}
	return e[i].sequence < e[j].sequence
}

func (e entries) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].index = i
	e[j].index = j
}

func (e *entries) Push(x any) {
	item := x.(*entry)
	item.index = len(*e)
	*e = append(*e, item)
}

func (e *entries) Pop() any {
	old := *e
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	return item
}

// Set is an ordered set of timers. The zero value is not usable; call New.
type Set struct {
	heap     entries
	byKey    map[Key]*entry
	sequence uint64
}

// New returns an empty set.
func New() *Set { return &Set{byKey: make(map[Key]*entry)} }

// Len returns the number of timers.
func (s *Set) Len() int { return len(s.heap) }

// Put sets the deadline of key, replacing an earlier one.
func (s *Set) Put(key Key, deadline model.Instant) {
	s.sequence++
	if item, ok := s.byKey[key]; ok {
		item.deadline = deadline
		item.sequence = s.sequence
		heap.Fix(&s.heap, item.index)
		return
	}
	item := &entry{key: key, deadline: deadline, sequence: s.sequence}
	s.byKey[key] = item
	heap.Push(&s.heap, item)
}

// Remove deletes key if it is set.
func (s *Set) Remove(key Key) {
	item, ok := s.byKey[key]
	if !ok {
		return
	}
	heap.Remove(&s.heap, item.index)
	delete(s.byKey, key)
}

// PopDue removes and returns the earliest timer due at now; false if none is due.
func (s *Set) PopDue(now model.Instant) (Key, bool) {
	if len(s.heap) == 0 || s.heap[0].deadline > now {
		return Key{}, false
	}
	item := heap.Pop(&s.heap).(*entry)
	delete(s.byKey, item.key)
	return item.key, true
}

// Next returns the earliest deadline; false if the set is empty.
func (s *Set) Next() (model.Instant, bool) {
	if len(s.heap) == 0 {
		return 0, false
	}
	return s.heap[0].deadline, true
}
