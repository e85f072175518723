package director

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"tamarackreach/internal/model"
	"tamarackreach/internal/quarantine"
)

const (
	// crashThreshold is the number of targets that must have crashed while running
	// some content before it is refused: two crash together in an ordinary fault.
	crashThreshold = 3
	// initialQuarantine is how long content is refused at first, and maxQuarantine at
	// most; each further level doubles the period. Afterwards the content is on
	// probation, since harmless content that many callers send can be running on several
	// targets that crash.
	initialQuarantine = 10 * time.Second
	maxQuarantine     = 10 * time.Minute
	// crashConfirmWindow is how long after a lost answer a crash of the target is
	// attributed to the content: the time to detect that a target is dead, or to read
	// the registration of its next incarnation.
	crashConfirmWindow = 5 * time.Second
	// crashedAfterRefusals is the number of refused connections in a row after which a
	// target counts as crashed.
	crashedAfterRefusals = 2
	// earlyCrashWindow is how long after the first event of a send a crash of its target
	// is still attributed to the content: a few events, and the time to notice the crash.
	earlyCrashWindow = 300 * time.Millisecond
	// crashExpiry is how long a crash counts.
	crashExpiry = 10 * time.Minute
	// crashSendWindow is how long a crash is sent to other VMs: several messages.
	crashSendWindow = 2 * time.Second
	// maxSentCrashes bounds the crashes, and the quarantines, in one message.
	maxSentCrashes = 64
)

// crashRecord lists the crashes of targets that were running some content.
type crashRecord struct {
	// crashed are the crashed incarnations, each once. The first cleared of them were
	// followed by an answer to the content and do not count; they are kept since other
	// VMs may still send them.
	crashed []incarnation
	cleared int
	// at is when the last crash, quarantine or answer was detected, by any VM.
	at model.Instant
	// level counts the quarantines of the content, by the crashThreshold-th crash and
	// each further one, and clearedLevel is the level at the last answer: the content is
	// quarantined while level is higher. Both only grow, so that VMs agree on the highest
	// that they received, in whatever order.
	level, clearedLevel int
	// quarantinedUntil is when probation begins: one request with the content at a time
	// is sent, once, until its content is answered or quarantined again.
	quarantinedUntil model.Instant
	// own is true once this VM has begun or ended a quarantine of the content; it stores
	// such quarantines.
	own bool
	// trial is the request of this VM that was sent since the last quarantine.
	trial model.RequestID
	// peerTrialUntil is when another VM's trial counts as over without a message.
	peerTrialUntil model.Instant
}

// quarantined reports whether the content was quarantined and not answered since.
func (c *crashRecord) quarantined() bool { return c.level > c.clearedLevel }

// quarantine puts the content under the next quarantine.
func (c *crashRecord) quarantine(now model.Instant) {
	c.level, c.at, c.trial = c.level+1, now, ""
	c.quarantinedUntil = now.Add(c.period())
}

// period returns the duration of the quarantine.
func (c *crashRecord) period() time.Duration {
	return min(initialQuarantine<<min(c.level-c.clearedLevel-1, 8), maxQuarantine)
}

// clear ends the quarantine; the crashes so far do not count any more.
func (c *crashRecord) clear() {
	c.cleared, c.clearedLevel, c.quarantinedUntil = len(c.crashed), c.level, 0
}

// Crash is a crash of a target that was running some content, for other VMs. Born is
// the start time of the target's process, Unix milliseconds. The field names are the
// JSON keys of messages between VMs.
type Crash struct {
	Content model.Fingerprint
	Target  model.TargetID
	Born    int64
}

// Quarantine is the state of content that was quarantined, for other VMs.
type Quarantine struct {
	Content model.Fingerprint
	// Level is the number of quarantines, and Cleared that number at the last answer.
	Level, Cleared int
	// Remaining is the time until the content is on probation.
	Remaining time.Duration
	// Age is the time since the last change, from which the quarantine expires.
	Age time.Duration
	// Trial is true while a request of the sender's runs on probation.
	Trial bool
}

// fingerprint identifies the content of a request independently of its id.
func (r *request) fingerprint() model.Fingerprint {
	if r.content == 0 {
		var workspace model.WorkspaceID
		if r.workspace != nil {
			workspace = r.workspace.ID
		}
		r.content = quarantine.FingerprintOf(workspace, model.ModelName(r.Path), string(r.Body))
	}
	return r.content
}

// hasProgressed reports whether a send delivered events for longer than
// earlyCrashWindow.
func (r *request) hasProgressed(now model.Instant) bool {
	return r.progressed || len(r.hops) > 0 && !r.awaitingFirst && now.Sub(r.firstEventAt) >= earlyCrashWindow
}

func (s *State) connectionProbed(now model.Instant, e ConnectionProbed) []Effect {
	t := s.targets[e.Target]
	if t == nil {
		return nil
	}
	if !e.Refused {
		t.refusedConnections = 0
		return nil
	}
	t.refusedConnections++
	return s.confirmCrashes(now)
}

// record returns the crash record of some content, a new one if there is none.
func (s *State) record(now model.Instant, content model.Fingerprint) *crashRecord {
	c := s.crashRecords[content]
	if c == nil {
		c = &crashRecord{at: now}
		s.crashRecords[content] = c
	}
	return c
}

// recordCrash records the crash of a target that was running some content. A crash that
// another VM observed adds no level to a quarantine: that VM may have counted it before
// the quarantine was received, from it or from the store.
func (s *State) recordCrash(now model.Instant, content model.Fingerprint, ran incarnation, own bool) Effect {
	c := s.record(now, content)
	if slices.Contains(c.crashed, ran) {
		return nil
	}
	c.crashed, c.at = append(c.crashed, ran), now
	if c.quarantined() && !own || !c.quarantined() && len(c.crashed)-c.cleared < crashThreshold {
		return nil
	}
	c.quarantine(now)
	return contentRefused(content, c, strconv.Itoa(len(c.crashed)-c.cleared)+" targets crashed while running it, most recently "+string(ran.target))
}

// markOwn has the quarantine of some content stored by this VM.
func (s *State) markOwn(content model.Fingerprint) {
	s.crashRecords[content].own = true
	s.contentChanged++
}

func contentRefused(content model.Fingerprint, c *crashRecord, detail string) Effect {
	return &StateChanged{What: "request content refused", Subject: subject(content), Detail: detail + "; for " + c.period().String()}
}

func contentReleased(content model.Fingerprint, detail string) Effect {
	return &StateChanged{What: "request content released", Subject: subject(content), Detail: detail}
}

// subject formats content for the log, which never holds the content itself.
func subject(content model.Fingerprint) string { return strconv.FormatUint(uint64(content), 16) }

// applyQuarantine applies a quarantine received from another VM. The end of the same
// quarantine is only moved forward: a VM that passes on what it received, later, would
// otherwise prolong it.
func (s *State) applyQuarantine(now model.Instant, q Quarantine, peer model.NodeID) Effect {
	c := s.record(now, q.Content)
	changed := now.Add(-q.Age)
	if q.Cleared > c.clearedLevel {
		released := c.quarantined() && q.Cleared >= c.level
		c.level, c.cleared, c.clearedLevel, c.at = max(c.level, q.Cleared), len(c.crashed), q.Cleared, changed
		s.dropLostAnswers(q.Content)
		if released {
			return contentReleased(q.Content, string(peer)+" received an answer to it")
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
			return contentRefused(q.Content, c, "quarantined by "+string(peer))
		}
	}
	return nil
}

// clearContent clears the crashes and lost answers of a request's content once it has
// been answered completely.
func (s *State) clearContent(r *request) Effect {
	if len(s.crashRecords) == 0 && len(s.lostAnswers) == 0 && len(s.peerLostAnswers) == 0 {
		return nil
	}
	content := r.fingerprint()
	if len(s.lostOn(content)) >= crashThreshold {
		s.contentChanged++
	}
	s.dropLostAnswers(content)
	c := s.crashRecords[content]
	if c == nil {
		return nil
	}
	released := c.quarantined()
	c.clear()
	if !released {
		return nil
	}
	s.learned++
	s.markOwn(content)
	return contentReleased(content, "it was answered")
}

// recordOf returns the crash record of a request's content, nil if there is none.
func (s *State) recordOf(r *request) *crashRecord {
	if len(s.crashRecords) == 0 {
		return nil
	}
	return s.crashRecords[r.fingerprint()]
}

// quarantineLeft returns how long the content of a request that arrives is still
// refused because targets crashed while running it; 0 when it is not refused.
func (s *State) quarantineLeft(now model.Instant, r *request) time.Duration {
	c := s.recordOf(r)
	switch {
	case c == nil || !c.quarantined():
		return 0
	case s.trialInFlight(c):
		return trialRetryAfter
	}
	return max(s.trialWait(now, c), c.peerTrialUntil.Sub(now), 0)
}

// recentCrashes returns the crashes to send to other VMs, in a fixed order.
func (s *State) recentCrashes(now model.Instant) []Crash {
	var out []Crash
	for _, content := range slices.Sorted(maps.Keys(s.crashRecords)) {
		c := s.crashRecords[content]
		if now.Sub(c.at) > crashSendWindow {
			continue
		}
		for _, ran := range c.crashed[c.cleared:] {
			out = append(out, Crash{Content: content, Target: ran.target, Born: ran.startedMs})
		}
	}
	return out[:min(len(out), maxSentCrashes)]
}

// quarantines returns the quarantines to send to other VMs, the latest change first.
// They are sent for as long as they are known, for VMs that start or were cut off.
func (s *State) quarantines(now model.Instant) []Quarantine {
	var contents []model.Fingerprint
	for content, c := range s.crashRecords {
		if c.level > 0 {
			contents = append(contents, content)
		}
	}
	slices.SortFunc(contents, func(a, b model.Fingerprint) int {
		return cmp.Or(cmp.Compare(s.crashRecords[b].at, s.crashRecords[a].at), cmp.Compare(a, b))
	})
	var out []Quarantine
	for _, content := range contents[:min(len(contents), maxSentCrashes)] {
		c := s.crashRecords[content]
		out = append(out, Quarantine{
			Content: content, Level: c.level, Cleared: c.clearedLevel, Remaining: max(c.quarantinedUntil.Sub(now), 0),
			Age: now.Sub(c.at), Trial: c.quarantined() && s.trialInFlight(c),
		})
	}
	return out
}
