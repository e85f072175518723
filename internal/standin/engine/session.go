package engine

import (
	"sync"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
)

// session is an engine's part of one attempt of a request.
type session struct {
	start    *tamarackv1.StartRequest
	position int
	// nextIndex is the index of the next token to run; earlier ones were run
	// already.
	nextIndex uint32
	// built is closed once the engine holds the state of the request.
	built chan struct{}
}

func (s *session) hop() *tamarackv1.Hop   { return s.start.Chain[s.position] }
func (s *session) first() *tamarackv1.Hop { return s.start.Chain[0] }
func (s *session) lastHop() *tamarackv1.Hop {
	return s.start.Chain[len(s.start.Chain)-1]
}
func (s *session) isLast() bool { return s.position == len(s.start.Chain)-1 }

// frameLog holds the frames of one attempt at the last engine of its chain, so
// that a stream can be collected again after a lost connection.
type frameLog struct {
	mu      sync.Mutex
	frames  []*tamarackv1.CollectResponse
	changed chan struct{}
}

func newFrameLog() *frameLog { return &frameLog{changed: make(chan struct{})} }

func (l *frameLog) add(frame *tamarackv1.CollectResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.frames = append(l.frames, frame)
	close(l.changed)
	l.changed = make(chan struct{})
}

// from returns the frames from position n on, and a channel that is closed when
// more are added.
func (l *frameLog) from(n int) ([]*tamarackv1.CollectResponse, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.frames[n:], l.changed
}

type attemptKey struct {
	request string
	attempt uint32
}
