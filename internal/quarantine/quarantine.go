// Package quarantine keeps requests that crash targets from doing so again.
// Crashes are attributed to the content of what ran on the target.
package quarantine

import (
	"hash"
	"time"

	"github.com/cespare/xxhash/v2"

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
