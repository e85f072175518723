package director_test

import (
	"fmt"
	"time"

	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/model"
)

// loadRequest is a request of a load simulation.
type loadRequest struct {
	vm    *loadVM
	state *director.State
	id    model.RequestID
}

func (s *loadSimulation) arrive(vm *loadVM, path string) {
	s.requests++
	r := &loadRequest{vm: vm, state: vm.state, id: model.RequestID(fmt.Sprint("q", s.requests))}
	s.noteAge(vm)
	if s.measuring() {
		if path == "/r/x" {
			s.figures.plainRequests++
		} else {
			s.figures.streamRequests++
		}
	}
	s.handle(r, path, s.step(vm, director.RequestArrived{Request: &fleet.Request{
		ID: r.id, Method: "POST", Host: "h", Path: path, Key: "key", HasKey: true, Deadline: 20 * time.Second, PromptTokens: 800, AnswerTokens: 200,
	}, Random: s.random.Float64()}))
}

// live reports whether the process that received the request still runs.
func (r *loadRequest) live() bool { return r.vm.state == r.state }

func (s *loadSimulation) handle(r *loadRequest, path string, effects []director.Effect) {
	switch e := lastEffect(effects).(type) {
	case *director.Refuse:
		switch {
		case !s.measuring():
		case path == "/r/x":
			s.figures.plainRefused++
		default:
			s.figures.streamRefused++
		}
	case *director.Send:
		s.after(s.delay()/4, func() { s.run(r, path, e) })
	}
}

// run passes a request to the first target of its path.
func (s *loadSimulation) run(r *loadRequest, path string, e *director.Send) {
	first := s.targets[e.Hops[0].Target]
	if s.measuring() {
		if e.Layered() {
			s.figures.streamSent++
		} else {
			s.figures.plainSent++
			if first.Zone != r.vm.zone {
				s.remote++
			}
		}
	}
	full := len(first.queue) >= loadPlainQueue
	if e.Layered() {
		full = first.first >= first.Slots
	}
	switch {
	case first.down || full:
		s.reject(r, path, e, first)
	case e.Layered():
		s.runStream(r, e)
	default:
		s.runPlain(r, first)
	}
}

func (s *loadSimulation) reject(r *loadRequest, path string, e *director.Send, first *loadTarget) {
	if s.measuring() && !first.down {
		s.countRejection(e, first)
	}
	s.after(s.delay()/4, func() {
		if r.live() {
			s.handle(r, path, s.step(r.vm, director.SendEnded{ID: r.id, Outcome: director.Rejected, Took: time.Millisecond, Random: s.random.Float64()}))
		}
	})
}

func (s *loadSimulation) countRejection(e *director.Send, first *loadTarget) {
	spare := false
	for _, t := range s.groupOf[first.ID] {
		spare = spare || !t.down && t != first && t.inSystem() < t.Slots
	}
	rejected, avoidable := &s.figures.plainRejected, &s.figures.plainAvoidable
	if e.Layered() {
		rejected, avoidable = &s.figures.streamRejected, &s.figures.streamAvoidable
	}
	*rejected++
	if spare {
		*avoidable++
	}
}

func (s *loadSimulation) runPlain(r *loadRequest, t *loadTarget) {
	arrivedAt := s.now
	begin := func() {
		t.running++
		if s.measuring() {
			s.waits++
			s.waited += s.now.Sub(arrivedAt)
		}
		s.after(time.Duration((0.5+s.random.Float64())*float64(loadPlainTime)), func() {
			t.running--
			if len(t.queue) > 0 {
				next := t.queue[0]
				t.queue = t.queue[1:]
				next()
			}
			s.after(s.delay()/4, func() { s.finish(r) })
		})
	}
	if t.running < t.Slots {
		begin()
		return
	}
	t.queue = append(t.queue, begin)
}

func (s *loadSimulation) runStream(r *loadRequest, e *director.Send) {
	if !r.live() {
		return
	}
	s.adjust(e.Hops, 1)
	r.vm.streams[r] = func() { s.adjust(e.Hops, -1) }
	s.after(loadPrefillTime, func() {
		if r.live() {
			s.step(r.vm, director.AnswerStarted{ID: r.id})
		}
	})
	s.after(3*time.Second+time.Duration(s.random.Float64()*float64(time.Second)), func() {
		if r.live() {
			s.adjust(e.Hops, -1)
			delete(r.vm.streams, r)
			s.finish(r)
		}
	})
}

// adjust adds a stream to the targets of its path when sign is 1, and subtracts it when sign
// is -1.
func (s *loadSimulation) adjust(hops []fleet.Hop, sign int) {
	for i, hop := range hops {
		t := s.targets[hop.Target]
		t.running += sign
		if i == 0 {
			t.first += sign
		}
	}
}

func (s *loadSimulation) finish(r *loadRequest) {
	if r.live() {
		s.step(r.vm, director.RequestFinished{ID: r.id, Delivered: true})
	}
}
