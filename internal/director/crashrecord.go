package director

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"tamarackreach/internal/model"
)

const (
	// crashThreshold is the number of targets that must have crashed while running
	// requests with a cause before it is refused: two crash together in an ordinary fault.
	crashThreshold = 3
	// crashConfirmWindow is how long after a lost answer a crash of the target is
	// attributed to a cause: the time to detect that a target is dead, or to read
	// the registration of its next incarnation.
	crashConfirmWindow = 5 * time.Second
	// crashedAfterRefusals is the number of refused connections in a row after which a
	// target counts as crashed.
	crashedAfterRefusals = 2
	// crashExpiry is how long a crash counts.
	crashExpiry = 10 * time.Minute
	// maxCrashRecords bounds the causes with crashes, and maxCrashes the crashes of each.
	maxCrashRecords, maxCrashes = 4096, 64
	// crashSendWindow is how long a crash is sent to other VMs: several messages.
	crashSendWindow = 2 * time.Second
	// maxSentCrashes bounds the crashes, and the quarantines, in one message.
	maxSentCrashes = 64
)

// quarantinePeriods are the times for which a cause is refused, by the number of its
// quarantines since it was last answered; the last one applies to all further ones.
// After each the cause is on probation, since a harmless one that many requests share can
// be running on several targets that crash.
var quarantinePeriods = []time.Duration{10 * time.Second, 20 * time.Second, 5 * time.Minute, time.Hour}

// crashRecord lists the crashes of targets that were running requests with a cause.
type crashRecord struct {
	// crashed are the crashed incarnations, each once. The first cleared of them were
	// followed by an answer to the cause and do not count; they are kept since other
	// VMs may still send them.
	crashed []incarnation
	cleared int
	// at is when the last crash, quarantine or answer was detected, by any VM.
	at model.Instant
	// firstLostAt and lostAt are when the answers of the first and the last crash that
	// counts were lost.
	firstLostAt, lostAt model.Instant
	// decided is true while the cause is quarantined because of the crashes known here.
	decided bool
	// observed is true once this VM has observed one of the crashes itself. It stores a
	// quarantine that is due to them, whichever VM completes their number.
	observed bool
	// level counts the quarantines of the cause, by the crashThreshold-th crash and
	// each further one, and clearedLevel is the level at the last answer: the cause is
	// quarantined while level is higher. Both only grow, so that VMs agree on the highest
	// that they received, in whatever order.
	level, clearedLevel int
	// quarantinedUntil is when probation begins: one request with the cause at a time
	// is sent, once, until the cause is answered or quarantined again.
	quarantinedUntil model.Instant
	// own is true once this VM has begun or ended a quarantine of the cause; it stores
	// such quarantines.
	own bool
	// trial is the request of this VM that was sent since the last quarantine.
	trial model.RequestID
	// peerTrialUntil is when another VM's trial counts as over without a message.
	peerTrialUntil model.Instant
}

// quarantined reports whether the cause was quarantined and not answered since.
func (c *crashRecord) quarantined() bool { return c.level > c.clearedLevel }

// quarantine puts the cause under the next quarantine.
func (c *crashRecord) quarantine(now model.Instant) {
	c.level, c.at, c.trial = c.level+1, now, ""
	c.quarantinedUntil = now.Add(c.period())
}

// period returns the duration of the quarantine.
func (c *crashRecord) period() time.Duration {
	return quarantinePeriods[min(max(c.level-c.clearedLevel, 1), len(quarantinePeriods))-1]
}

// clear ends the quarantine; the crashes so far do not count any more.
func (c *crashRecord) clear() {
	c.cleared, c.clearedLevel, c.quarantinedUntil, c.decided = len(c.crashed), c.level, 0, false
}

// Crash is a crash of a target that was running requests with a cause, for other VMs. Born is
// the start time of the target's process, Unix milliseconds. The field names are the
// JSON keys of messages between VMs.
type Crash struct {
	Cause  Cause
	Target model.TargetID
	Born   int64
}

// Quarantine is the state of a cause that was quarantined, for other VMs.
type Quarantine struct {
	Cause Cause
	// Level is the number of quarantines, and Cleared that number at the last answer.
	Level, Cleared int
	// Remaining is the time until the cause is on probation.
	Remaining time.Duration
	// Age is the time since the last change, from which the quarantine expires.
	Age time.Duration
	// Trial is true while a request of the sender's runs on probation.
	Trial bool
}

func (s *State) connectionProbed(now model.Instant, e ConnectionProbed) []Effect {
	t := s.targets[e.Target]
	if t == nil {
		return nil
	}
	switch {
	case e.Accepted:
		t.refusedConnections = 0
		s.contact(now, t)
		return nil
	case !e.Refused:
		t.refusedConnections = 0
		s.exchangeFailed(now, t)
		return nil
	}
	t.refusedConnections++
	s.missed(now, t, t.connectionProbedAt, true)
	return s.confirmCrashes(now)
}

// record returns the crash record of a cause, a new one if there is none.
func (s *State) record(now model.Instant, cause Cause) *crashRecord {
	c := s.crashRecords[cause]
	if c == nil {
		if len(s.crashRecords) >= maxCrashRecords {
			s.forgetCrashRecord()
		}
		c = &crashRecord{at: now}
		s.crashRecords[cause] = c
	}
	return c
}

// forgetCrashRecord removes the least important crash record: one that is not
// quarantined before one that is, the one with the oldest change first.
func (s *State) forgetCrashRecord() {
	worst, found := Cause(0), (*crashRecord)(nil)
	for cause, c := range s.crashRecords {
		before := found == nil || !c.quarantined() && found.quarantined()
		same := found != nil && c.quarantined() == found.quarantined()
		if before || same && (c.at < found.at || c.at == found.at && cause < worst) {
			worst, found = cause, c
		}
	}
	delete(s.crashRecords, worst)
}

// recordCrash records the crash of a target that was running requests with a cause, whose
// last answer was lost at lostAt. A crash that another VM observed adds no level to a
// quarantine: that VM may have counted it before the quarantine was received, from it or
// from the store. Neither does one of a part: requests with it that were in flight when
// the quarantine began may still crash targets.
func (s *State) recordCrash(now model.Instant, cause Cause, ran incarnation, lostAt model.Instant, own bool) Effect {
	c := s.record(now, cause)
	if slices.Contains(c.crashed, ran) {
		return nil
	}
	if len(c.crashed) == c.cleared {
		c.firstLostAt = lostAt
	}
	c.firstLostAt = min(c.firstLostAt, lostAt)
	c.observed = c.observed || own
	c.crashed, c.at, c.lostAt = append(c.crashed, ran), now, max(c.lostAt, lostAt)
	if len(c.crashed) > maxCrashes {
		c.crashed, c.cleared = c.crashed[1:], max(c.cleared-1, 0)
	}
	if c.quarantined() && (!own || cause.IsPart()) || !c.quarantined() && !s.crashesSuffice(now, cause, c) {
		return nil
	}
	c.quarantine(now)
	c.decided = true
	return causeRefused(cause, c, strconv.Itoa(len(c.crashed)-c.cleared)+" targets crashed while running it, most recently "+string(ran.target))
}

// markOwn has the quarantine of a cause stored by this VM.
func (s *State) markOwn(cause Cause) {
	s.crashRecords[cause].own = true
	s.contentChanged++
}

func causeRefused(cause Cause, c *crashRecord, detail string) Effect {
	return &StateChanged{What: cause.describe() + " refused", Subject: subject(cause), Detail: detail + "; for " + c.period().String()}
}

func causeReleased(cause Cause, detail string) Effect {
	return &StateChanged{What: cause.describe() + " released", Subject: subject(cause), Detail: detail}
}

// subject formats a cause for the log, which never holds the content itself.
func subject(cause Cause) string { return strconv.FormatUint(uint64(cause), 16) }

// applyQuarantine applies a quarantine received from another VM. The end of the same
// quarantine is only moved forward: a VM that passes on what it received, later, would
// otherwise prolong it.
func (s *State) applyQuarantine(now model.Instant, q Quarantine, peer model.NodeID) Effect {
	c := s.record(now, q.Cause)
	changed := now.Add(-q.Age)
	if q.Cleared > c.clearedLevel {
		if q.Cause.IsPart() {
			s.answeredParts.record(q.Cause, changed)
		}
		released := c.quarantined() && q.Cleared >= c.level
		c.level, c.cleared, c.clearedLevel, c.at = max(c.level, q.Cleared), len(c.crashed), q.Cleared, changed
		c.decided = false
		s.dropLostAnswers(q.Cause)
		if released {
			return causeReleased(q.Cause, string(peer)+" received an answer to it")
		}
	}
	if q.Trial {
		c.peerTrialUntil = now.Add(peerExpiry)
	}
	ends := now.Add(q.Remaining)
	switch {
	case !c.quarantined() && q.Level <= c.level || q.Level < c.level:
	case q.Level == c.level:
		c.quarantinedUntil = min(c.quarantinedUntil, ends)
	default:
		c.level, c.at, c.trial, c.quarantinedUntil = q.Level, changed, "", ends
		if c.quarantined() {
			return causeRefused(q.Cause, c, "quarantined by "+string(peer))
		}
	}
	return nil
}

// clearAnswered clears the causes of a request once it has been answered completely.
func (s *State) clearAnswered(now model.Instant, r *request) []Effect {
	effects := s.recordPartsAnswered(now, r)
	if len(s.crashRecords) == 0 && len(s.lostAnswers) == 0 && len(s.peerLostAnswers) == 0 {
		return effects
	}
	for _, content := range r.contentCauses() {
		effects = append(effects, effectList(s.clearCause(now, content))...)
	}
	return effects
}

// clearCause clears the crashes and lost answers of a cause that was answered.
func (s *State) clearCause(now model.Instant, cause Cause) Effect {
	if !s.answered(now, cause) && len(s.lostOn(cause)) >= cause.storeThreshold() {
		s.contentChanged++
	}
	s.dropLostAnswers(cause)
	c := s.crashRecords[cause]
	if c == nil {
		return nil
	}
	released := c.quarantined()
	s.clearRecord(cause, c)
	if !released {
		return nil
	}
	s.learned++
	s.markOwn(cause)
	return causeReleased(cause, "it was answered")
}

// clearRecord ends the quarantine of a cause that was answered; its crashes so far do not count
// any more.
func (s *State) clearRecord(cause Cause, c *crashRecord) {
	s.attribution(cause).Cleared += uint64(len(c.crashed) - c.cleared)
	c.clear()
}

// quarantinedCauses returns the crash records of the causes of a request that are
// quarantined.
func (s *State) quarantinedCauses(r *request) map[Cause]*crashRecord {
	if len(s.crashRecords) == 0 {
		return nil
	}
	var out map[Cause]*crashRecord
	for _, cause := range r.causes() {
		if c := s.crashRecords[cause]; c != nil && c.quarantined() {
			if out == nil {
				out = map[Cause]*crashRecord{}
			}
			out[cause] = c
		}
	}
	return out
}

// quarantineLeft returns how long a request that arrives is still refused because targets
// crashed while running one of its causes; 0 when it is not refused.
func (s *State) quarantineLeft(now model.Instant, r *request) time.Duration {
	left := time.Duration(0)
	for _, c := range s.quarantinedCauses(r) {
		if s.trialInFlight(c) {
			left = max(left, trialRetryAfter)
			continue
		}
		left = max(left, s.trialWait(now, c), c.peerTrialUntil.Sub(now))
	}
	return left
}

// quarantineDetail names the causes for which a request is refused, as the log lines on
// their quarantines do, and the ids of those that are parts.
func (s *State) quarantineDetail(r *request) string {
	quarantined := s.quarantinedCauses(r)
	var out []string
	for _, part := range r.SharedParts {
		if cause := PartCause(part); quarantined[cause] != nil {
			out = append(out, cause.describe()+" "+subject(cause)+" (id "+string(part)+")")
		}
	}
	for _, content := range r.contentCauses() {
		if quarantined[content] != nil {
			out = append(out, content.describe()+" "+subject(content))
		}
	}
	return strings.Join(out, ", ")
}

// rank orders causes by how likely they are to crash targets: parts without an answer,
// whole contents, parts with one.
func (s *State) rank(now model.Instant, cause Cause) int {
	switch {
	case !cause.IsPart():
		return 1
	case s.answered(now, cause):
		return 2
	}
	return 0
}

// recentCrashes returns the crashes to send to other VMs, the likeliest causes first.
func (s *State) recentCrashes(now model.Instant) []Crash {
	var causes []Cause
	for cause, c := range s.crashRecords {
		if now.Sub(c.at) <= crashSendWindow && len(c.crashed) > c.cleared {
			causes = append(causes, cause)
		}
	}
	crashes := func(cause Cause) int { return len(s.crashRecords[cause].crashed) - s.crashRecords[cause].cleared }
	slices.SortFunc(causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(s.rank(now, a), s.rank(now, b)), cmp.Compare(crashes(b), crashes(a)), cmp.Compare(a, b))
	})
	var out []Crash
	for _, cause := range causes {
		c := s.crashRecords[cause]
		for _, ran := range c.crashed[c.cleared:] {
			out = append(out, Crash{Cause: cause, Target: ran.target, Born: ran.startedMs})
		}
	}
	return out[:min(len(out), maxSentCrashes)]
}

// quarantines returns the quarantines to send to other VMs: parts that are refused first,
// then the latest change.
// They are sent for as long as they are known, for VMs that start or were cut off.
func (s *State) quarantines(now model.Instant) []Quarantine {
	var causes []Cause
	for cause, c := range s.crashRecords {
		if c.level > 0 {
			causes = append(causes, cause)
		}
	}
	slices.SortFunc(causes, func(a, b Cause) int {
		first, second := s.crashRecords[a], s.crashRecords[b]
		if refused := a.IsPart() && first.quarantined(); refused != (b.IsPart() && second.quarantined()) {
			if refused {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(second.at, first.at), cmp.Compare(a, b))
	})
	var out []Quarantine
	for _, cause := range causes[:min(len(causes), maxSentCrashes)] {
		c := s.crashRecords[cause]
		out = append(out, Quarantine{
			Cause: cause, Level: c.level, Cleared: c.clearedLevel, Remaining: max(c.quarantinedUntil.Sub(now), 0),
			Age: now.Sub(c.at), Trial: c.quarantined() && s.trialInFlight(c),
		})
	}
	return out
}
