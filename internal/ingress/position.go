package ingress

import (
	"github.com/cockroachdb/errors"

	"tamarackreach/internal/upstream"
)

// maxHeldBytes limits the events that are held until it is known whether the caller has
// them.
const maxHeldBytes = 1 << 20

var (
	// errNoEvent means that nothing tells a stream from one that was cut off before an
	// event that the caller lacks.
	errNoEvent = errors.New("stream without a length ended before a new event; it counts as cut off")
	// errEventOrder means that an id is lower than one that the same send had before.
	errEventOrder  = errors.New("ids of a stream's events do not increase; stream closed")
	errHeldTooLong = errors.New("resumed stream exceeds 1 MiB before its first id; stream closed")
)

// streamPosition is where in its stream a send is, relative to what the caller has: a
// target may resume a stream before the event that it was asked to go on behind. An event
// without an id is placed by those with an id around it.
type streamPosition struct {
	// known is false until the first id of a send that resumes a stream.
	known bool
	// behind is true while the send repeats events that the caller has.
	behind bool
	// previous is the last id of the send, 0 for none.
	previous int64
	// advanced is true once the send has brought an event with data that the caller lacked.
	advanced bool
	// held holds the events without an id that precede the first id of a resumption.
	held upstream.Buffer
}

type eventDecision uint8

const (
	deliverEvent eventDecision = iota + 1
	// skipEvent passes nothing on: the caller has the event, or it is held.
	skipEvent
)

// decide decides what becomes of the next event of a send. lastEventID is the id of the
// last event that the caller has, 0 for none.
func (p *streamPosition) decide(event *upstream.Event, lastEventID int64) (eventDecision, error) {
	switch {
	case !event.HasID && !p.known:
		if err := p.held.Append(event.Bytes); err != nil {
			return 0, err
		}
		if p.held.Len() > maxHeldBytes {
			return 0, errHeldTooLong
		}
		return skipEvent, nil
	case !event.HasID && p.behind:
		return skipEvent, nil
	case event.HasID && event.ID < p.previous:
		return 0, errEventOrder
	case event.HasID && event.ID <= lastEventID:
		p.known, p.behind, p.previous = true, event.ID < lastEventID, event.ID
		p.held.Release()
		return skipEvent, nil
	}
	if event.HasID {
		p.known, p.behind, p.previous = true, false, event.ID
	}
	p.advanced = p.advanced || event.HasData
	return deliverEvent, nil
}

// takeHeld returns the held events, which precede the next one to deliver.
func (p *streamPosition) takeHeld() []byte {
	held := p.held.Bytes()
	p.held.Release()
	return held
}
