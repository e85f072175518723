package director

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackreach/internal/model"
	"tamarackreach/internal/quarantine"
)

const (
	// answerExpiry is how long an answer on a part of a prompt is remembered.
	answerExpiry = 10 * time.Minute
	// maxAnsweredParts bounds the parts of each of the two generations of answeredParts.
	maxAnsweredParts = 4096
	// answeredCrashThreshold replaces crashThreshold for a part on which answers were
	// received before, and answeredCrashSpan is the minimum time from the first of these
	// crashes to the last: several targets that crash at once while many requests with
	// the part run are an ordinary fault.
	answeredCrashThreshold = 5
	answeredCrashSpan      = time.Second
	// maxSentAnswers bounds the answered parts in one message.
	maxSentAnswers = 64
)

// Cause identifies what may crash the targets that run a request: the request as a whole, see
// contentCauses, or a part of its prompt that other requests share. The lowest bit is set for a
// part.
type Cause uint64

// ContentCause returns the cause that is some content of requests.
func ContentCause(content model.Fingerprint) Cause { return Cause(content) &^ 1 }

// PartCause returns the cause that is a part of a prompt.
func PartCause(part model.PartID) Cause { return Cause(xxhash.Sum64String(string(part))) | 1 }

// IsPart reports whether the cause is a part of a prompt.
func (c Cause) IsPart() bool { return c&1 != 0 }

// describe names the kind of the cause in log lines.
func (c Cause) describe() string {
	if c.IsPart() {
		return "prompt part"
	}
	return "request content"
}

// contentCauses returns the causes that are the request as a whole, whatever its id: a narrow one
// for each detail that may tell it from others with its workspace, path and body, and last the
// one of all these. The last one is known to builds that do not tell requests apart by details,
// and holds for a request whose details differ each time. Most requests have no other.
//
// Invariant: only an answer to a request with the same detail clears a narrow cause. Harmless
// requests with the same path and body are answered beside one that crashes targets.
func (r *request) contentCauses() []Cause {
	if len(r.contents) > 0 {
		return r.contents
	}
	var workspace model.WorkspaceID
	if r.workspace != nil {
		workspace = r.workspace.ID
	}
	content := quarantine.FingerprintOf(workspace, model.ModelName(r.Path), string(r.Body))
	narrow := func(detail ...string) {
		r.contents = append(r.contents, ContentCause(quarantine.Narrow(content, detail...)))
	}
	if r.Query != "" {
		narrow("query", r.Query)
	}
	switch {
	case r.Prompt != "" && len(r.Body) == 0:
		narrow("prompt", r.Method, string(r.Model), r.Prompt)
	case r.Method != r.usualMethod():
		narrow("method", r.Method)
	}
	r.contents = append(r.contents, ContentCause(content))
	return r.contents
}

// usualMethod returns the method of most requests with or without a body.
func (r *request) usualMethod() string {
	if len(r.Body) > 0 {
		return http.MethodPost
	}
	return http.MethodGet
}

// partCauses returns the causes that are parts of the request's prompt.
func (r *request) partCauses() []Cause {
	if len(r.parts) < len(r.SharedParts) {
		for _, part := range r.SharedParts {
			r.parts = append(r.parts, PartCause(part))
		}
	}
	return r.parts
}

// causes returns all that may crash the targets that run the request, parts first.
func (r *request) causes() []Cause {
	return slices.Concat(r.partCauses(), r.contentCauses())
}

// answeredParts holds when a request with each part was last answered at any VM. It is
// bounded: parts are forgotten after one to two generations without an answer.
type answeredParts struct {
	recent, older map[Cause]model.Instant
}

func newAnsweredParts() answeredParts {
	return answeredParts{recent: map[Cause]model.Instant{}, older: map[Cause]model.Instant{}}
}

// at returns when a request with a part was last answered, 0 if that is not known.
func (a *answeredParts) at(part Cause) model.Instant { return max(a.recent[part], a.older[part]) }

func (a *answeredParts) record(part Cause, at model.Instant) {
	if at <= a.at(part) {
		return
	}
	if _, found := a.recent[part]; !found && len(a.recent) >= maxAnsweredParts {
		a.older, a.recent = a.recent, map[Cause]model.Instant{}
	}
	a.recent[part] = at
}

// answered reports whether a cause is a part on which an answer was received before. It
// takes more crashes to take it for the cause of them.
func (s *State) answered(now model.Instant, cause Cause) bool {
	at := s.answeredParts.at(cause)
	return at != 0 && now.Sub(at) < answerExpiry
}

// crashesSuffice reports whether the crashes of a cause since it was last answered are
// enough to refuse it.
//
// Invariant: of a part on which answers were received, the crashes alone never suffice.
// Requests without it must have been answered meanwhile, or the targets have another
// fault.
func (s *State) crashesSuffice(now model.Instant, cause Cause, c *crashRecord) bool {
	answered := s.answered(now, cause)
	if cause.IsPart() && !answered {
		return len(c.crashed)-c.cleared >= crashThreshold
	}
	unexplained := s.unexplained(now, cause, c)
	if !answered {
		return unexplained >= crashThreshold
	}
	return unexplained >= answeredCrashThreshold && c.lostAt.Sub(c.firstLostAt) >= answeredCrashSpan && s.lastAnswerAt > c.firstLostAt
}

// unexplained returns the number of crashes of a cause that are not also crashes of a part
// which is refused and was never answered: requests with the cause only ran beside it, or
// held it.
func (s *State) unexplained(now model.Instant, cause Cause, c *crashRecord) int {
	left := slices.Clone(c.crashed[c.cleared:])
	for other, part := range s.crashRecords {
		if other != cause && other.IsPart() && part.quarantined() && !s.answered(now, other) {
			left = slices.DeleteFunc(left, func(ran incarnation) bool { return slices.Contains(part.crashed, ran) })
		}
	}
	return len(left)
}

// streamProgressed records an answer on the parts of a stream that has run for a while.
func (s *State) streamProgressed(now model.Instant, id model.RequestID) []Effect {
	r := s.requests[id]
	if r == nil {
		return nil
	}
	r.progressed = true
	return s.recordPartsAnswered(now, r)
}

// recordPartsAnswered records that a request with its parts was answered, which clears
// them of the crashes so far.
func (s *State) recordPartsAnswered(now model.Instant, r *request) []Effect {
	if r.partsAnswered || len(r.SharedParts) == 0 {
		return nil
	}
	r.partsAnswered = true
	var effects []Effect
	for _, part := range r.partCauses() {
		effects = append(effects, effectList(s.clearCause(now, part))...)
		s.answeredParts.record(part, now)
	}
	s.lastAnswerAt = now
	return effects
}

// AnsweredPart is a part of a prompt on which a VM has received an answer, for other VMs
// on whose targets requests with it were lost.
type AnsweredPart struct {
	Part Cause
	// Age is the time since the answer.
	Age time.Duration
}

// sentAnswers returns the answered parts to send to other VMs: those of recent crashes
// and lost answers, the latest answer first.
func (s *State) sentAnswers(now model.Instant) []AnsweredPart {
	parts := map[Cause]bool{}
	add := func(cause Cause) {
		if cause.IsPart() && s.answered(now, cause) {
			parts[cause] = true
		}
	}
	for cause, c := range s.crashRecords {
		if c.quarantined() || now.Sub(c.at) < crashConfirmWindow {
			add(cause)
		}
	}
	for i := range s.lostAnswers {
		add(s.lostAnswers[i].cause)
	}
	for _, p := range s.peerLostAnswers {
		for i := range p.lost {
			add(p.lost[i].cause)
		}
	}
	var out []AnsweredPart
	for part := range parts {
		out = append(out, AnsweredPart{Part: part, Age: now.Sub(s.answeredParts.at(part))})
	}
	slices.SortFunc(out, func(a, b AnsweredPart) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Part, b.Part))
	})
	return out[:min(len(out), maxSentAnswers)]
}

// applyAnswered records that another VM has received an answer on a part. A quarantine
// that this VM has decided on without knowing of it is reconsidered.
func (s *State) applyAnswered(now model.Instant, answer AnsweredPart, peer model.NodeID) Effect {
	part, at := answer.Part, now.Add(-answer.Age)
	if !part.IsPart() {
		return nil
	}
	s.answeredParts.record(part, at)
	c := s.crashRecords[part]
	if c == nil {
		return nil
	}
	released := c.quarantined() && c.decided && (at > c.lostAt || !s.crashesSuffice(now, part, c))
	switch {
	case released:
		s.clearRecord(part, c)
		s.learned++
		s.markOwn(part)
		return causeReleased(part, string(peer)+" has received an answer on it")
	case at > c.lostAt && !c.quarantined():
		s.clearRecord(part, c)
	}
	return nil
}
