package attribution

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"tamarackreach/internal/model"
)

const (
	// confirmWindow is how long after an answer was lost the end of its target is attributed to
	// the request: the time in which the other VMs, the store or the next registration show it.
	confirmWindow = 10 * time.Second
	// crashExpiry is how long a crash counts: longer than the longest refusal.
	crashExpiry = 75 * time.Minute
	// openExpiry is how long another VM's send counts as in flight.
	openExpiry = 2 * time.Minute
	// answerExpiry is how long an answer to a part counts.
	answerExpiry = 10 * time.Minute
	// maxSends bounds the sends that have ended or are those of other VMs, maxTargets the targets,
	// and maxAnswers the answers in each of two generations.
	maxSends, maxTargets, maxAnswers = 4096, 16384, 4096
)

// Ledger holds the evidence that a VM has.
type Ledger struct {
	self  Observer
	sends map[SendID]*Send
	// number is that of the last send of this VM.
	number uint64
	// byCause indexes sends, and suspected counts those of each cause that may have crashed a target;
	// suspectedParts are the parts among its keys.
	byCause        map[Cause][]*Send
	suspected      map[Cause]int
	suspectedParts map[Cause]struct{}
	// evidence counts the sends that maxSends bounds.
	evidence int
	targets  map[Incarnation]Life
	vms      map[Observer]Life
	// answers holds the answers since the last change of generation, and older those before.
	answers, older map[Cause]Observation
	// offsets are those of the clock of this VM to those of others.
	offsets map[Observer]time.Duration
}

// New returns an empty ledger of a VM's process.
func New(self Observer) *Ledger {
	return &Ledger{
		self: self, sends: map[SendID]*Send{}, byCause: map[Cause][]*Send{},
		suspected: map[Cause]int{}, suspectedParts: map[Cause]struct{}{},
		targets: map[Incarnation]Life{}, vms: map[Observer]Life{}, answers: map[Cause]Observation{}, older: map[Cause]Observation{},
		offsets: map[Observer]time.Duration{},
	}
}

// Begin records a send. Every send is recorded before its first byte is written.
func (l *Ledger) Begin(now model.Instant, causes []Cause, path []Incarnation) SendID {
	l.number++
	id := SendID{By: l.self, Number: l.number}
	l.insert(Send{ID: id, Causes: causes, Path: path, SentAt: now})
	return id
}

// Close records the end of a send of this VM. An answer to a content counts only where sends with it
// were lost; one to a part is kept in any case, since it decides how many crashes are too many.
func (l *Ledger) Close(now model.Instant, id SendID, end End) {
	s := l.sends[id]
	if s == nil || s.End != Open {
		return
	}
	closed := *s
	closed.End, closed.EndedAt = end, now
	l.remove(s)
	known := effects[end] == suspicion
	for _, cause := range closed.Causes {
		known = known || l.suspected[cause] > 0
	}
	if known {
		l.insert(closed)
	}
	if effects[end] == clearance {
		l.Progressed(now, closed.Causes)
	}
}

// Progressed records that targets ran requests with some causes for longer than a crash takes.
func (l *Ledger) Progressed(now model.Instant, causes []Cause) {
	answer := Observation{By: l.self, At: now}
	l.recordAnswer(0, answer)
	for _, cause := range causes {
		if cause.IsPart() || l.suspected[cause] > 0 {
			l.recordAnswer(cause, answer)
		}
	}
}

// ObserveTarget records what this VM observed of a target.
func (l *Ledger) ObserveTarget(now model.Instant, i Incarnation, sign Sign) {
	observe(l, l.targets, i, l.life(now, sign))
}

// ObserveVM records what this VM observed of another one.
func (l *Ledger) ObserveVM(now model.Instant, vm Observer, sign Sign) {
	observe(l, l.vms, vm, l.life(now, sign))
}

// life returns the record with one observation of this VM.
func (l *Ledger) life(now model.Instant, sign Sign) Life {
	seen := Observation{By: l.self, At: now}
	switch sign {
	case Alive:
		return Life{Alive: seen}
	case Silent:
		return Life{Silent: seen}
	case Ended:
		return Life{Ended: seen}
	}
	return Life{}
}

func observe[K comparable](l *Ledger, lives map[K]Life, key K, life Life) {
	lives[key] = l.join(lives[key], life)
}

// Merge adds the evidence of another VM, or of the store, that was written age before now. The result
// does not depend on the order of merges, nor on how often one is repeated.
func (l *Ledger) Merge(now model.Instant, age time.Duration, e *Evidence) {
	l.adjustOffsets(now, age, e)
	for _, sent := range e.Sends {
		k := l.sends[sent.ID]
		switch {
		case !l.dates(sent.ID.By), sent.End >= ends:
			continue // by an unknown clock, or with an end that a later build knows
		case sent.ID.By == l.self, k != nil && k.End >= sent.End:
			continue // known, or forgotten by its writer
		case k != nil:
			l.remove(k)
		}
		l.insert(sent)
	}
	for i, life := range e.Targets {
		observe(l, l.targets, i, life)
	}
	for vm, life := range e.VMs {
		observe(l, l.vms, vm, life)
	}
	for cause, answer := range e.Answers {
		if l.dates(answer.By) {
			l.recordAnswer(cause, answer)
		}
	}
}

func (l *Ledger) recordAnswer(cause Cause, answer Observation) {
	known, found := l.answers[cause]
	if !found && len(l.answers) >= maxAnswers {
		l.older, l.answers = l.answers, map[Cause]Observation{}
	}
	l.answers[cause] = l.last(known, answer)
}

// answeredAt returns when a cause was last answered, 0 for never.
func (l *Ledger) answeredAt(cause Cause) model.Instant {
	return max(l.observedAt(l.answers[cause]), l.observedAt(l.older[cause]))
}

func (l *Ledger) insert(s Send) {
	l.sends[s.ID] = &s
	for _, cause := range s.Causes {
		l.byCause[cause] = append(l.byCause[cause], &s)
		if s.suspected() {
			l.suspected[cause]++
			if cause.IsPart() {
				l.suspectedParts[cause] = struct{}{}
			}
		}
	}
	if l.bounded(&s) {
		l.evidence++
	}
	if l.evidence > maxSends {
		l.evict()
	}
}

func (l *Ledger) remove(s *Send) {
	delete(l.sends, s.ID)
	for _, cause := range s.Causes {
		l.byCause[cause] = slices.DeleteFunc(l.byCause[cause], func(k *Send) bool { return k == s })
		if len(l.byCause[cause]) == 0 {
			delete(l.byCause, cause)
		}
		if s.suspected() {
			l.suspected[cause]--
			if l.suspected[cause] == 0 {
				delete(l.suspected, cause)
				delete(l.suspectedParts, cause)
			}
		}
	}
	if l.bounded(s) {
		l.evidence--
	}
}

// bounded reports whether maxSends applies: the sends of this VM in flight are bounded by admission.
func (l *Ledger) bounded(s *Send) bool { return s.End != Open || s.ID.By != l.self }

// evict forgets the sends with the oldest changes, an eighth of the bound at a time.
func (l *Ledger) evict() {
	var bounded []*Send
	for _, s := range l.sends {
		if l.bounded(s) {
			bounded = append(bounded, s)
		}
	}
	for _, s := range l.latestFirst(bounded)[min(len(bounded), maxSends-maxSends/8):] {
		l.remove(s)
	}
}

// Expire forgets evidence that counts no more.
func (l *Ledger) Expire(now model.Instant) {
	referenced, writers := map[Incarnation]bool{}, map[Observer]bool{}
	for _, s := range l.sends {
		if l.expired(now, s) {
			l.remove(s)
			continue
		}
		writers[s.ID.By] = true
		for _, i := range s.Path {
			referenced[i] = true
		}
	}
	// An end may be observed before the send that it concerns is received.
	old := func(f Life) bool { return now.Sub(l.latest(f)) > confirmWindow }
	maps.DeleteFunc(l.targets, func(i Incarnation, f Life) bool { return !referenced[i] && old(f) })
	maps.DeleteFunc(l.vms, func(vm Observer, f Life) bool { return !writers[vm] && old(f) })
	for _, generation := range []map[Cause]Observation{l.answers, l.older} {
		maps.DeleteFunc(generation, func(_ Cause, a Observation) bool { return now.Sub(l.observedAt(a)) > answerExpiry })
		for _, a := range generation {
			writers[a.By] = true
		}
	}
	l.boundTargets()
	for _, f := range slices.Concat(slices.Collect(maps.Values(l.targets)), slices.Collect(maps.Values(l.vms))) {
		writers[f.Ended.By], writers[f.Alive.By], writers[f.Silent.By] = true, true, true
	}
	maps.DeleteFunc(l.offsets, func(vm Observer, _ time.Duration) bool { return !writers[vm] })
}

// boundTargets forgets the targets that were observed least recently.
func (l *Ledger) boundTargets() {
	if len(l.targets) <= maxTargets {
		return
	}
	order := slices.SortedFunc(maps.Keys(l.targets), func(a, b Incarnation) int {
		return cmp.Or(cmp.Compare(l.latest(l.targets[b]), l.latest(l.targets[a])), compareIncarnations(a, b))
	})
	for _, i := range order[maxTargets:] {
		delete(l.targets, i)
	}
}

func (l *Ledger) expired(now model.Instant, s *Send) bool {
	if s.End == Open && (s.ID.By == l.self || l.lostAt(s) == 0) {
		return s.ID.By != l.self && now.Sub(l.changedAt(s)) > openExpiry
	}
	kept := confirmWindow
	if l.lostAt(s) != 0 && slices.ContainsFunc(s.Path, func(i Incarnation) bool { return l.endedAt(l.targets[i]) != 0 }) {
		kept = crashExpiry
	}
	return now.Sub(max(l.changedAt(s), l.lostAt(s))) > kept
}

// Export returns the evidence on the causes under suspicion, for other VMs and the store: of at most
// limit sends, those of the causes that may have crashed most targets first.
func (l *Ledger) Export(now model.Instant, limit int) Evidence {
	out := Evidence{
		By: l.self, At: now, Targets: map[Incarnation]Life{}, VMs: map[Observer]Life{}, Answers: map[Cause]Observation{},
		Offsets: maps.Clone(l.offsets),
	}
	causes := slices.SortedFunc(maps.Keys(l.suspected), func(a, b Cause) int {
		return cmp.Or(cmp.Compare(l.suspected[b], l.suspected[a]), cmp.Compare(a, b))
	})
	exported := map[SendID]bool{}
	for _, cause := range causes {
		for _, s := range l.latestFirst(slices.Clone(l.byCause[cause])) {
			if exported[s.ID] || len(out.Sends) >= limit {
				continue
			}
			exported[s.ID] = true
			out.Sends = append(out.Sends, *s)
			out.VMs[s.ID.By] = l.vms[s.ID.By]
			for _, i := range s.Path {
				out.Targets[i] = l.targets[i]
			}
		}
	}
	if len(causes) > 0 {
		causes = append(causes, 0)
	}
	for _, cause := range causes {
		if answer := l.last(l.answers[cause], l.older[cause]); answer.At != 0 {
			out.Answers[cause] = answer
		}
	}
	return out
}
