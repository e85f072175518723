package director

import (
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
	// most; each further crash doubles the period. Afterwards the content may run
	// again, since harmless content that many callers send can be running on several
	// targets that crash.
	initialQuarantine = 10 * time.Second
	maxQuarantine     = 10 * time.Minute
	// crashConfirmWindow is how long after a lost answer a crash of the target is
	// attributed to the content: the time to detect that a target is dead, or to read
	// the registration of its next incarnation.
	crashConfirmWindow = 5 * time.Second
	// earlyCrashWindow is how long after the first event of a send a crash of its target
	// is still attributed to the content: a few events, and the time to notice the crash.
	earlyCrashWindow = 300 * time.Millisecond
	// crashExpiry is how long a crash counts.
	crashExpiry = 10 * time.Minute
	// crashSendWindow is how long a crash is sent to other VMs: several messages.
	crashSendWindow = 2 * time.Second
	// maxLostAnswers bounds the lost answers that await confirmation of a crash, and
	// maxSentCrashes the crashes in one message.
	maxLostAnswers, maxSentCrashes = 1024, 64
)

// lostAnswer is an answer lost on a target that may have crashed.
type lostAnswer struct {
	content model.Fingerprint
	ran     incarnation
	at      model.Instant
}

// crashRecord lists the crashes of targets that were running some content.
type crashRecord struct {
	// crashed are the crashed incarnations, each once. The first cleared of them were
	// followed by an answer to the content and do not count; they are kept since other
	// VMs may still send them.
	crashed []incarnation
	cleared int
	// at is when the last crash was detected.
	at model.Instant
	// quarantinedUntil is when the content stops being refused.
	quarantinedUntil model.Instant
	quarantinePeriod time.Duration
}

// Crash is a crash of a target that was running some content, for other VMs. Born is
// the start time of the target's process, Unix milliseconds. The field names are the
// JSON keys of messages between VMs.
type Crash struct {
	Content model.Fingerprint
	Target  model.TargetID
	Born    int64
}

// fingerprint identifies the content of a request independently of its id.
func (r *request) fingerprint() model.Fingerprint {
	var workspace model.WorkspaceID
	if r.workspace != nil {
		workspace = r.workspace.ID
	}
	return quarantine.FingerprintOf(workspace, model.ModelName(r.Path), string(r.Body))
}

// recordLostAnswer keeps a lost answer until it is known whether its target crashed.
// A request starts to run with its first token, so the first event may be delivered
// before the crash. Content that ran for longer on this target, or before on another
// one, is unlikely to be the cause and not recorded.
func (s *State) recordLostAnswer(now model.Instant, r *request, outcome Outcome) {
	if !r.awaitingFirst && now.Sub(r.firstEventAt) >= earlyCrashWindow {
		r.progressed = true
	}
	if r.progressed || outcome != Lost && outcome != Broken || len(r.hops) == 0 {
		return
	}
	if len(s.lostAnswers) >= maxLostAnswers {
		s.lostAnswers = s.lostAnswers[1:]
	}
	s.lostAnswers = append(s.lostAnswers, lostAnswer{content: r.fingerprint(), ran: r.sentTo, at: now})
}

// confirmCrashes records a crash for each lost answer whose target has crashed since,
// and removes expired records.
func (s *State) confirmCrashes(now model.Instant) []Effect {
	var effects []Effect
	kept := s.lostAnswers[:0]
	for _, l := range s.lostAnswers {
		switch t := s.targets[l.ran.target]; {
		case now.Sub(l.at) > crashConfirmWindow:
		case t == nil || t.dead() || t.StartedMs != l.ran.startedMs:
			effects = append(effects, effectList(s.recordCrash(now, l.content, l.ran))...)
		default:
			kept = append(kept, l)
		}
	}
	s.lostAnswers = kept
	maps.DeleteFunc(s.crashRecords, func(_ model.Fingerprint, c *crashRecord) bool {
		return now >= c.quarantinedUntil && now.Sub(c.at) > crashExpiry
	})
	return effects
}

// recordCrash records the crash of a target that was running some content.
func (s *State) recordCrash(now model.Instant, content model.Fingerprint, ran incarnation) Effect {
	c := s.crashRecords[content]
	if c == nil {
		c = &crashRecord{}
		s.crashRecords[content] = c
	}
	if slices.Contains(c.crashed, ran) {
		return nil
	}
	c.crashed, c.at = append(c.crashed, ran), now
	counted := len(c.crashed) - c.cleared
	if counted < crashThreshold {
		return nil
	}
	c.quarantinePeriod = min(max(2*c.quarantinePeriod, initialQuarantine), maxQuarantine)
	c.quarantinedUntil = now.Add(c.quarantinePeriod)
	return &StateChanged{
		What: "request content refused", Subject: strconv.FormatUint(uint64(content), 16),
		Detail: strconv.Itoa(counted) + " targets crashed while running it, most recently " + string(ran.target) + "; for " + c.quarantinePeriod.String(),
	}
}

// clearContent clears the crashes and lost answers of a request's content once it has
// been answered completely.
func (s *State) clearContent(r *request) {
	if len(s.crashRecords) == 0 && len(s.lostAnswers) == 0 {
		return
	}
	content := r.fingerprint()
	if c := s.crashRecords[content]; c != nil {
		c.cleared, c.quarantinedUntil, c.quarantinePeriod = len(c.crashed), 0, 0
	}
	s.lostAnswers = slices.DeleteFunc(s.lostAnswers, func(l lostAnswer) bool { return l.content == content })
}

// quarantineLeft returns how long the content of a request is still refused because
// targets crashed while running it; 0 when it is not refused.
func (s *State) quarantineLeft(now model.Instant, r *request) time.Duration {
	if len(s.crashRecords) == 0 {
		return 0
	}
	c := s.crashRecords[r.fingerprint()]
	if c == nil || now >= c.quarantinedUntil {
		return 0
	}
	return c.quarantinedUntil.Sub(now)
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
