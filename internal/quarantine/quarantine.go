// Package quarantine refuses the content of requests that crash targets. A crash
// is attributed to the content of the requests that ran on the target.
package quarantine

import (
	"hash"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackreach/internal/event"
	"tamarackreach/internal/model"
)

const (
	// crashLimit is the number of crashes after which content is refused.
	crashLimit = 2
	// progressedCrashLimit is that number for content that had produced tokens
	// on the target of the last crash, and so is an unlikely cause.
	progressedCrashLimit = 5
	// Lapse is the time from the last crash of content to the expiry of its record.
	Lapse = 10 * time.Minute
	// retryDelayStep and retryDelaySteps spread the delays of different suspects.
	retryDelayStep  = 100 * time.Millisecond
	retryDelaySteps = 8
	// minRetryDelay is the shortest delay: it gives the other requests of the
	// crashed target time to resume first, and peers time to receive the crash.
	minRetryDelay = 500 * time.Millisecond
)

// record is the crash history of one content.
type record struct {
	// crashes counts the crashes that this node observed; peerCrashes is the
	// highest count that a peer reported.
	crashes     uint32
	peerCrashes uint32
	// progressed is true if the content had produced tokens on the target that
	// crashed last.
	progressed bool
	// peerQuarantined is true if a peer quarantined the content.
	peerQuarantined bool
	// suspect is true until the content has run past the point of its last crash.
	suspect bool
	until   model.Instant
}

func (r *record) quarantined() bool {
	limit := uint32(crashLimit)
	if r.progressed {
		limit = progressedCrashLimit
	}
	return r.peerQuarantined || r.crashes+r.peerCrashes >= limit
}

// List holds the records of content that crashed targets.
type List struct {
	records map[model.Fingerprint]*record
	// version increases with each crash that this node observed itself.
	version uint64
}

// New returns an empty list.
func New() *List { return &List{records: make(map[model.Fingerprint]*record)} }

// Version increases with each crash that this node observed itself and has to
// announce to peers.
func (l *List) Version() uint64 { return l.version }

// FingerprintOf returns the fingerprint of a request's content: a hash of the
// workspace, the model and the prompt.
func FingerprintOf(workspace model.WorkspaceID, name model.ModelName, prompt string) model.Fingerprint {
	digest := xxhash.New()
	for _, part := range []string{string(workspace), string(name), prompt} {
		writePart(digest, part)
	}
	return model.Fingerprint(digest.Sum64())
}

// Narrow returns the fingerprint of those requests with some content that also have a detail,
// given as its name and values.
func Narrow(content model.Fingerprint, detail ...string) model.Fingerprint {
	digest := xxhash.NewWithSeed(uint64(content))
	for _, part := range detail {
		writePart(digest, part)
	}
	return model.Fingerprint(digest.Sum64())
}

// writePart hashes a part and a terminating zero byte; a hash's Write never fails.
func writePart(digest hash.Hash, part string) {
	_, _ = digest.Write([]byte(part))
	_, _ = digest.Write([]byte{0})
}

// get returns the record of the content and creates it if there is none.
func (l *List) get(content model.Fingerprint) *record {
	r, ok := l.records[content]
	if !ok {
		r = &record{}
		l.records[content] = r
	}
	return r
}

// Crashed attributes the crash of a target to content that ran on it. progressed
// is true for content that had produced a token there in the same attempt: the
// crash counts, but the content need not run isolated.
func (l *List) Crashed(now model.Instant, content model.Fingerprint, progressed bool) {
	r := l.get(content)
	r.crashes++
	r.progressed = progressed
	r.suspect = !progressed
	r.until = now.Add(Lapse)
	l.version++
}

// Suspect is true for content that must run isolated from other suspects.
func (l *List) Suspect(now model.Instant, content model.Fingerprint) bool {
	r, ok := l.records[content]
	return ok && r.suspect && now < r.until
}

// RetryDelay returns how long a suspect waits before it runs again. Delays depend
// on the content, so that two suspects on different nodes seldom run on the same
// target at once.
func RetryDelay(content model.Fingerprint) time.Duration {
	return minRetryDelay + time.Duration(content%retryDelaySteps)*retryDelayStep
}

// Progressed ends the isolation of content that ran past the point of its crash.
func (l *List) Progressed(content model.Fingerprint) {
	if r, ok := l.records[content]; ok {
		r.suspect = false
	}
}

// Completed removes the record of content that ran to completion.
func (l *List) Completed(content model.Fingerprint) { delete(l.records, content) }

// Remaining returns how long content stays refused; 0 if it is not refused.
func (l *List) Remaining(now model.Instant, content model.Fingerprint) time.Duration {
	r, ok := l.records[content]
	if !ok || !r.quarantined() || now >= r.until {
		return 0
	}
	return r.until.Sub(now)
}

// Lapse removes expired records.
func (l *List) Lapse(now model.Instant) {
	for content, r := range l.records {
		if now >= r.until {
			delete(l.records, content)
		}
	}
}

// Notes returns the records to send to peers, sorted by fingerprint: content whose
// crashes this node observed itself, and quarantined content.
func (l *List) Notes(now model.Instant) []event.QuarantineNote {
	notes := make([]event.QuarantineNote, 0, len(l.records))
	for _, content := range slices.Sorted(maps.Keys(l.records)) {
		r := l.records[content]
		if now >= r.until || r.crashes == 0 && !r.quarantined() {
			continue
		}
		notes = append(notes, event.QuarantineNote{
			Fingerprint: content, Crashes: r.crashes, Quarantined: r.quarantined(), Remaining: r.until.Sub(now),
		})
	}
	return notes
}

// MergeNotes merges a peer's records. Content that a peer recorded as the cause of
// a crash becomes a suspect here; the peer's crashes are added to those that this
// node recorded.
func (l *List) MergeNotes(now model.Instant, notes []event.QuarantineNote) {
	for _, note := range notes {
		if note.Remaining <= 0 {
			continue
		}
		r := l.get(note.Fingerprint)
		r.suspect = r.suspect || note.Crashes > r.peerCrashes
		r.peerCrashes = max(r.peerCrashes, note.Crashes)
		r.peerQuarantined = r.peerQuarantined || note.Quarantined
		r.until = max(r.until, now.Add(note.Remaining))
	}
}
