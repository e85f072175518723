package clientlimit

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tamarackreach/internal/model"
)

// Use is what bytes are held for. Each use may fill the account up to a threshold of its own:
// a response whose request has run is refused last, and a small body is taken while large
// ones are refused.
type Use uint8

// The uses.
const (
	Head Use = iota
	LargeBody
	SmallBody
	Response
	uses
)

// thresholds are the parts of the account that are full when a use is refused, in percent.
var thresholds = [uses]int64{Head: 75, LargeBody: 75, SmallBody: 85, Response: 100}

const (
	// SmallBodyBytes is the largest body that counts as small: the connections of a machine
	// together hold no more of these than the account leaves beside large ones.
	SmallBodyBytes = 16 << 10
	// ProgressBytes is the number of bytes after which a body counts as progressing. A client
	// that sends single bytes makes no progress.
	ProgressBytes = 16 << 10
	// StallTime is how long a body may make no progress while its place is needed:
	// several round trips between zones, and one retransmission of a lost segment.
	StallTime = 500 * time.Millisecond
	// sharePercent is the part of the account that the large bodies of one workspace may hold
	// while another workspace holds some as well and pressurePercent of the account is used:
	// half of what large bodies may hold.
	sharePercent    = 38
	pressurePercent = 50
)

// Account counts the bytes that are held for clients. Its methods may be called from any
// goroutine.
type Account struct {
	limit   int64
	used    atomic.Int64
	refused [uses]atomic.Uint64
	stalled atomic.Uint64

	mu sync.Mutex
	// reading holds the large bodies that are being read.
	reading map[*Body]struct{}
	// byWorkspace is the sum of the large bodies of each workspace, and large that of all.
	byWorkspace map[model.WorkspaceID]int64
	large       int64
}

// NewAccount returns an account that holds up to limit bytes.
func NewAccount(limit int64) *Account {
	return &Account{limit: limit, reading: map[*Body]struct{}{}, byWorkspace: map[model.WorkspaceID]int64{}}
}

// Reserve adds n bytes for a use and reports whether they fit; otherwise nothing is added.
func (a *Account) Reserve(use Use, n int64) bool {
	if a.tryReserve(use, n) {
		return true
	}
	a.refused[use].Add(1)
	return false
}

func (a *Account) tryReserve(use Use, n int64) bool {
	if a.used.Add(n) <= a.limit*thresholds[use]/100 {
		return true
	}
	a.used.Add(-n)
	return false
}

// Release returns n reserved bytes.
func (a *Account) Release(n int64) { a.used.Add(-n) }

// Held returns the bytes that are held.
func (a *Account) Held() int64 { return a.used.Load() }

// Refused returns how often bytes of a use did not fit.
func (a *Account) Refused(use Use) uint64 { return a.refused[use].Load() }

// Stalled returns how many bodies lost their reservation because they made no progress.
func (a *Account) Stalled() uint64 { return a.stalled.Load() }

// Body is the reservation for a large body that is being read.
type Body struct {
	account   *Account
	workspace model.WorkspaceID
	// cancel ends the reading of the body; it must not block.
	cancel     func()
	reserved   int64
	progressAt model.Instant
	cancelled  bool
}

// OpenBody returns an empty reservation for a body of a workspace, which may be empty. cancel
// is called at most once, when the body stalls while others need its place, and never after
// Close.
func (a *Account) OpenBody(now model.Instant, workspace model.WorkspaceID, cancel func()) *Body {
	b := &Body{account: a, workspace: workspace, cancel: cancel, progressAt: now}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reading[b] = struct{}{}
	return b
}

// Verdict is whether bytes of a body fit.
type Verdict uint8

// The verdicts.
const (
	// Reserved means that the bytes are reserved.
	Reserved Verdict = iota + 1
	// Freeing means that they do not fit yet: stalled bodies have been cancelled, and their
	// bytes will be released shortly.
	Freeing
	// Full means that they do not fit.
	Full
)

// Reserve adds n bytes to the reservation. It cancels stalled bodies where the bytes do not
// fit otherwise.
func (b *Body) Reserve(now model.Instant, n int64) Verdict {
	a := b.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.exceedsShare(b, n) && a.tryReserve(LargeBody, n) {
		b.add(n)
		return Reserved
	}
	if a.cancelStalled(now, b, n) {
		return Freeing
	}
	return Full
}

// CountRefusal counts a body that was refused for lack of memory.
func (b *Body) CountRefusal() { b.account.refused[LargeBody].Add(1) }

// Shrink returns n bytes of the reservation.
func (b *Body) Shrink(n int64) {
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	b.add(-n)
	b.account.used.Add(-n)
}

// add adds n bytes to the sums of the reservation; the lock must be held.
func (b *Body) add(n int64) {
	b.reserved += n
	b.account.large += n
	b.account.byWorkspace[b.workspace] += n
	if b.account.byWorkspace[b.workspace] == 0 {
		delete(b.account.byWorkspace, b.workspace)
	}
}

// Progressed records that ProgressBytes more have arrived.
func (b *Body) Progressed(now model.Instant) {
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	b.progressAt = now
}

// Complete ends the reading of the body, whose bytes remain reserved. It reports whether the
// body was not cancelled.
func (b *Body) Complete() bool {
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	delete(b.account.reading, b)
	return !b.cancelled
}

// Close releases the reservation.
func (b *Body) Close() {
	b.account.mu.Lock()
	defer b.account.mu.Unlock()
	delete(b.account.reading, b)
	b.account.used.Add(-b.reserved)
	b.add(-b.reserved)
}

// exceedsShare reports whether n more bytes take the bodies of a workspace beyond its share
// while another workspace holds bodies and the account is under pressure.
func (a *Account) exceedsShare(b *Body, n int64) bool {
	own := a.byWorkspace[b.workspace]
	return a.large > own && own+n > a.limit*sharePercent/100 && a.used.Load()+n > a.limit*pressurePercent/100
}

// cancelStalled cancels the bodies that have made no progress for longest, until n bytes will
// be free. It reports whether bytes will be released.
func (a *Account) cancelStalled(now model.Instant, except *Body, n int64) bool {
	var stalled []*Body
	freeing := int64(0)
	for b := range a.reading {
		switch {
		case b.cancelled:
			freeing += b.reserved
		case b != except && b.reserved > 0 && now.Sub(b.progressAt) >= StallTime:
			stalled = append(stalled, b)
		}
	}
	slices.SortFunc(stalled, func(x, y *Body) int { return int(x.progressAt - y.progressAt) })
	for _, b := range stalled {
		if freeing >= n {
			break
		}
		freeing += b.reserved
		b.cancelled = true
		a.stalled.Add(1)
		b.cancel()
	}
	return freeing > 0
}
