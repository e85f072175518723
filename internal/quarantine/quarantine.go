// Package quarantine keeps requests that crash targets from doing so again.
// Crashes are attributed to the content of what ran on the target.
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
	// passedCrashLimit is that number for content that had given tokens on the
	// target of the last crash, and so was hardly its cause.
	passedCrashLimit = 5
	// Lapse is how long content stays refused.
	Lapse = 10 * time.Minute
	// holdStep and holdSteps spread the time until a suspect runs again.
	holdStep  = 100 * time.Millisecond
	holdSteps = 8
	// minHold is the shortest such time: it lets the other requests of the
	// crashed target go on first and peers hear of the suspect.
	minHold = 500 * time.Millisecond
)

// record is what is known of one content.
type record struct {
	// crashes were seen by this node, heard by the peer that saw most.
	crashes uint32
	heard   uint32
	// passed is true when the content had given tokens on the target that
	// crashed last.
	passed bool
	// condemned is true when a peer quarantined the content.
	condemned bool
	// suspect is true until the content ran past the point of its last crash.
	suspect bool
	until   model.Instant
}

func (r *record) quarantined() bool {
	limit := uint32(crashLimit)
	if r.passed {
		limit = passedCrashLimit
	}
	return r.condemned || r.crashes+r.heard >= limit
}

// List is what this node knows of content that crashes targets.
type List struct {
	records map[model.Fingerprint]*record
	// version grows with each crash that peers have to hear of.
	version uint64
}

// New returns an empty list.
func New() *List { return &List{records: make(map[model.Fingerprint]*record)} }

// Version grows when peers are to hear at once of something new.
func (l *List) Version() uint64 { return l.version }

// FingerprintOf returns the fingerprint of a request's content.
func FingerprintOf(workspace model.WorkspaceID, name model.ModelName, prompt string) model.Fingerprint {
	digest := xxhash.New()
	for _, part := range []string{string(workspace), string(name), prompt} {
		writePart(digest, part)
	}
	return model.Fingerprint(digest.Sum64())
}

// writePart adds a part and its end; a hash never fails to take bytes.
func writePart(digest hash.Hash, part string) {
	_, _ = digest.Write([]byte(part))
	_, _ = digest.Write([]byte{0})
}

// get returns the record of content, making it if there is none.
func (l *List) get(content model.Fingerprint) *record {
	r, ok := l.records[content]
	if !ok {
		r = &record{}
		l.records[content] = r
	}
	return r
}

// Crashed attributes the crash of a target to content that ran on it. Passed is
// true for content that had given a token there in the same attempt: it is
// counted, but does not have to run isolated.
func (l *List) Crashed(now model.Instant, content model.Fingerprint, passed bool) {
	r := l.get(content)
	r.crashes++
	r.passed = passed
	r.suspect = !passed
	r.until = now.Add(Lapse)
	l.version++
}

// Suspect is true for content that must not run next to other suspects.
func (l *List) Suspect(now model.Instant, content model.Fingerprint) bool {
	r, ok := l.records[content]
	return ok && r.suspect && now < r.until
}

// Hold returns how long a suspect waits before it runs again. Suspects differ,
// so that two on different nodes seldom meet on a target.
func Hold(content model.Fingerprint) time.Duration {
	return minHold + time.Duration(content%holdSteps)*holdStep
}

// Passed lifts the isolation of content that ran past the point of its crash.
func (l *List) Passed(content model.Fingerprint) {
	if r, ok := l.records[content]; ok {
		r.suspect = false
	}
}

// Completed clears content that ran to its end.
func (l *List) Completed(content model.Fingerprint) { delete(l.records, content) }

// Remaining returns how long content stays refused; 0 when it is not.
func (l *List) Remaining(now model.Instant, content model.Fingerprint) time.Duration {
	r, ok := l.records[content]
	if !ok || !r.quarantined() || now >= r.until {
		return 0
	}
	return r.until.Sub(now)
}

// Lapse drops the records that are over.
func (l *List) Lapse(now model.Instant) {
	for content, r := range l.records {
		if now >= r.until {
			delete(l.records, content)
		}
	}
}

// Notes returns what peers are to hear, in a fixed order: the crashes that this
// node saw itself, and what is quarantined.
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

// Heard takes in what a peer knows. Content that crashed a target there is a
// suspect here, and counts together with what this node saw.
func (l *List) Heard(now model.Instant, notes []event.QuarantineNote) {
	for _, note := range notes {
		if note.Remaining <= 0 {
			continue
		}
		r := l.get(note.Fingerprint)
		r.suspect = r.suspect || note.Crashes > r.heard
		r.heard = max(r.heard, note.Crashes)
		r.condemned = r.condemned || note.Quarantined
		r.until = max(r.until, now.Add(note.Remaining))
	}
}
