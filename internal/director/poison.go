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
	// crashLimit is the number of targets that must have ended under a content
	// before it is refused: two end together in an ordinary fault.
	crashLimit = 3
	// firstPause is how long content is refused at first, and longestPause at most;
	// each further crash doubles it. After a pause the content may run again, since
	// innocent content that many callers send can be on several targets that crash.
	firstPause   = 10 * time.Second
	longestPause = 10 * time.Minute
	// confirmWithin is how long after a lost answer the target's end still counts
	// as caused by what ran there: the time to find a target dead, or born again
	// in its registration.
	confirmWithin = 5 * time.Second
	// crashMemory is how long a crash counts.
	crashMemory = 10 * time.Minute
	// shareCrashFor is how long a crash is told to other VMs: some messages.
	shareCrashFor = 2 * time.Second
	// maxLosses bounds the lost answers that wait for a confirmation, and maxShared
	// what one message says of crashes.
	maxLosses, maxShared = 1024, 64
)

// loss is an answer that was lost on a target that may have crashed.
type loss struct {
	content model.Fingerprint
	on      run
	at      model.Instant
}

// crasher is content of requests that was running on targets that ended.
type crasher struct {
	// lives are the targets, each life once.
	lives []run
	// at is when the last of them was found to have ended.
	at model.Instant
	// until is the end of the pause in which the content is refused.
	until model.Instant
	pause time.Duration
}

// Crash tells other VMs of a target that ended under a content.
type Crash struct {
	Content model.Fingerprint
	Target  model.TargetID
	Born    int64
}

// fingerprint identifies the content of a request whoever carries it again.
func (r *request) fingerprint() model.Fingerprint {
	var workspace model.WorkspaceID
	if r.workspace != nil {
		workspace = r.workspace.ID
	}
	return quarantine.FingerprintOf(workspace, model.ModelName(r.Path), string(r.Body))
}

// noteLoss remembers a lost answer until it is known whether its target crashed.
// A stream that had begun is not the cause of a crash most likely.
func (s *State) noteLoss(now model.Instant, r *request, outcome Outcome) {
	if outcome != Lost || len(r.ran) == 0 || len(r.hops) == 0 {
		return
	}
	on := r.ran[len(r.ran)-1]
	if on.target != r.hops[0].Target {
		return
	}
	if len(s.losses) >= maxLosses {
		s.losses = s.losses[1:]
	}
	s.losses = append(s.losses, loss{content: r.fingerprint(), on: on, at: now})
}

// confirmLosses counts a crash for each lost answer whose target has ended since.
func (s *State) confirmLosses(now model.Instant) []Effect {
	var effects []Effect
	kept := s.losses[:0]
	for _, l := range s.losses {
		switch t := s.targets[l.on.target]; {
		case now.Sub(l.at) > confirmWithin:
		case t == nil || t.dead() || t.Born != l.on.born:
			effects = append(effects, effect(s.crashed(now, l.content, l.on))...)
		default:
			kept = append(kept, l)
		}
	}
	s.losses = kept
	maps.DeleteFunc(s.crashers, func(_ model.Fingerprint, c *crasher) bool {
		return now >= c.until && now.Sub(c.at) > crashMemory
	})
	return effects
}

// crashed counts the end of a target under a content.
func (s *State) crashed(now model.Instant, content model.Fingerprint, on run) Effect {
	c := s.crashers[content]
	if c == nil {
		c = &crasher{}
		s.crashers[content] = c
	}
	if slices.Contains(c.lives, on) {
		return nil
	}
	c.lives, c.at = append(c.lives, on), now
	if len(c.lives) < crashLimit {
		return nil
	}
	c.pause = min(max(2*c.pause, firstPause), longestPause)
	c.until = now.Add(c.pause)
	return &Changed{
		What: "request content refused", Subject: strconv.FormatUint(uint64(content), 16),
		Detail: strconv.Itoa(len(c.lives)) + " targets ended under it, the last " + string(on.target) + "; for " + c.pause.String(),
	}
}

// completed clears the content of a request that was answered whole.
func (s *State) completed(r *request) {
	if len(s.crashers) == 0 && len(s.losses) == 0 {
		return
	}
	content := r.fingerprint()
	delete(s.crashers, content)
	s.losses = slices.DeleteFunc(s.losses, func(l loss) bool { return l.content == content })
}

// refusedFor returns how long the content of a request stays refused because
// targets ended under it; 0 when it is not.
func (s *State) refusedFor(now model.Instant, r *request) time.Duration {
	if len(s.crashers) == 0 {
		return 0
	}
	c := s.crashers[r.fingerprint()]
	if c == nil || now >= c.until {
		return 0
	}
	return c.until.Sub(now)
}

// freshCrashes returns what other VMs should hear of, in a fixed order.
func (s *State) freshCrashes(now model.Instant) []Crash {
	var out []Crash
	for _, content := range slices.Sorted(maps.Keys(s.crashers)) {
		c := s.crashers[content]
		if now.Sub(c.at) > shareCrashFor {
			continue
		}
		for _, on := range c.lives {
			out = append(out, Crash{Content: content, Target: on.target, Born: on.born})
		}
	}
	return out[:min(len(out), maxShared)]
}
