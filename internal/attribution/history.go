package attribution

import (
	"cmp"
	"slices"
	"time"

	"tamarackreach/internal/model"
)

const (
	// openPatience is the time after which a send in flight counts as one whose target may have ended,
	// unless that was observed alive since: twice the interval of its reports.
	openPatience = 2 * time.Second
	// maxTransit bounds the time of a message between VMs, by which an observation of another VM may
	// seem later than it was.
	maxTransit = time.Second
)

// history is what became of the sends with a cause since it was last answered.
type history struct {
	// crashes are the targets that ended, in the order in which the answers were lost.
	crashes []Crash
	// pending counts the lost and overdue answers whose targets may have ended, each target once.
	pending int
	// open counts the sends in flight. openSentAt and pendingSentAt are when the last one in flight,
	// and the last pending one, was sent.
	open                      int
	openSentAt, pendingSentAt model.Instant
}

func (l *Ledger) history(now model.Instant, cause Cause) history {
	var h history
	answeredAt := l.answeredAt(cause)
	crashed, pending := map[Incarnation]Crash{}, map[Incarnation]bool{}
	for _, s := range l.byCause[cause] {
		lostAt, sentAt := l.lostAt(s), l.local(s.ID.By, s.SentAt)
		switch {
		case sentAt <= answeredAt:
			// A target ran the cause whole after this send began.
		case lostAt == 0 && s.End == Open:
			h.open++
			h.openSentAt = max(h.openSentAt, sentAt)
			if may := l.crashesOf(s, sentAt, crashed); may != nil && now.Sub(sentAt) >= openPatience {
				pending[*may] = true
			}
		case lostAt != 0:
			if may := l.crashesOf(s, lostAt, crashed); may != nil && now.Sub(lostAt) < confirmWindow {
				pending[*may] = true
				h.pendingSentAt = max(h.pendingSentAt, sentAt)
			}
		}
	}
	for _, c := range crashed {
		h.crashes = append(h.crashes, c)
	}
	slices.SortFunc(h.crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.LostAt, b.LostAt), compareIncarnations(a.Target, b.Target))
	})
	for i := range pending {
		if _, found := crashed[i]; !found {
			h.pending++
		}
	}
	return h
}

// crashesOf adds the targets of a lost send that ended while it ran, or soon after. If there is none, it
// returns the first target that may have ended unobserved, nil if all were observed alive since.
func (l *Ledger) crashesOf(s *Send, lostAt model.Instant, crashed map[Incarnation]Crash) *Incarnation {
	var may *Incarnation
	found := false
	sentAt := l.local(s.ID.By, s.SentAt)
	for n, i := range s.Path {
		life := l.targets[i]
		ended := l.endedAt(life)
		switch {
		case ended == 0:
			if may == nil && l.observedAt(life.Alive) <= lostAt.Add(maxTransit) {
				may = &s.Path[n]
			}
		case sentAt <= ended && ended.Sub(lostAt) <= confirmWindow:
			found = true
			c := Crash{Target: i, Send: s.ID, SentAt: sentAt, LostAt: lostAt, EndedAt: ended}
			if k, known := crashed[i]; !known || c.SentAt > k.SentAt || c.SentAt == k.SentAt && c.LostAt > k.LostAt {
				crashed[i] = c
			}
		}
	}
	if found {
		return nil
	}
	return may
}

// lostAt returns when the answer to a send was lost, 0 if it was not. One in flight is lost when its VM
// or one of its targets has ended.
func (l *Ledger) lostAt(s *Send) model.Instant {
	switch {
	case effects[s.End] == suspicion:
		return l.local(s.ID.By, s.EndedAt)
	case s.End != Open:
		return 0
	}
	var lost model.Instant
	if s.ID.By != l.self {
		lost = l.endedAt(l.vms[s.ID.By])
	}
	sentAt := l.local(s.ID.By, s.SentAt)
	for _, i := range s.Path {
		if ended := l.endedAt(l.targets[i]); ended >= sentAt {
			lost = earliest(lost, ended)
		}
	}
	return lost
}
