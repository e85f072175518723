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
	// Lapse is how long content stays refused.
	Lapse = 10 * time.Minute
)

type record struct {
	crashes uint32
	until   model.Instant
}

// List is what this node knows of content that crashes targets.
type List struct {
	records map[model.Fingerprint]*record
}

// New returns an empty list.
func New() *List { return &List{records: make(map[model.Fingerprint]*record)} }

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

// Crashed attributes a crash to content that ran on the target.
func (l *List) Crashed(now model.Instant, content model.Fingerprint) {
	r, ok := l.records[content]
	if !ok {
		r = &record{}
		l.records[content] = r
	}
	r.crashes++
	r.until = now.Add(Lapse)
}

// Completed clears content that ran to its end.
func (l *List) Completed(content model.Fingerprint) { delete(l.records, content) }

// Remaining returns how long content stays refused; 0 when it is not.
func (l *List) Remaining(now model.Instant, content model.Fingerprint) time.Duration {
	r, ok := l.records[content]
	if !ok || r.crashes < crashLimit || now >= r.until {
		return 0
	}
	return r.until.Sub(now)
}

// Notes returns what peers are to hear, in a fixed order.
func (l *List) Notes(now model.Instant) []event.QuarantineNote {
	notes := make([]event.QuarantineNote, 0, len(l.records))
	for _, content := range slices.Sorted(maps.Keys(l.records)) {
		r := l.records[content]
		if now >= r.until {
			continue
		}
		notes = append(notes, event.QuarantineNote{
			Fingerprint: content, Crashes: r.crashes, Quarantined: r.crashes >= crashLimit, Remaining: r.until.Sub(now),
		})
	}
	return notes
}

// Heard takes in what a peer knows.
func (l *List) Heard(now model.Instant, notes []event.QuarantineNote) {
	for _, note := range notes {
		r, ok := l.records[note.Fingerprint]
		if !ok {
			r = &record{}
			l.records[note.Fingerprint] = r
		}
		r.crashes = max(r.crashes, note.Crashes)
		r.until = max(r.until, now.Add(note.Remaining))
	}
}
