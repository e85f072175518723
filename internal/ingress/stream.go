package ingress

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/director"
	"tamarackreach/internal/upstream"
)

// forwardStream forwards whole events to the caller as they arrive.
func (a *activeRequest) forwardStream(e *director.Send, x *upstream.Exchange) (director.Outcome, bool) {
	events := upstream.NewEventReader(x.Response.Body, &a.buffer)
	defer events.Close()
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && !a.position.advanced && x.Framing() == upstream.FramedByClosing {
			err = errNoEvent
		}
		if errors.Is(err, io.EOF) {
			return a.endStream(e, x)
		}
		decision := skipEvent
		if err == nil {
			a.recordReceived()
			decision, err = a.position.decide(&event, a.lastEventID)
		}
		if err != nil {
			a.log.WithError(err).WithField("last_event", a.lastEventID).Info("stream interrupted")
			_ = a.response.flushEvents() // the caller's connection reports an error again
			return director.Broken, false
		}
		if decision == deliverEvent {
			a.startStream(e, x)
			if err := a.deliverEvent(&event); err != nil {
				return director.Broken, false
			}
		}
		if !event.MoreBuffered {
			if err := a.response.flushEvents(); err != nil {
				return director.Broken, false
			}
		}
	}
}

// deliverEvent writes an event that the caller lacks.
func (a *activeRequest) deliverEvent(event *upstream.Event) error {
	if event.HasID {
		a.lastEventID = event.ID
	}
	a.unresumable = !event.HasID && (a.unresumable || event.HasData)
	if !a.streaming {
		a.streaming = true
		a.handler.reducer.Step(director.AnswerStarted{ID: a.request.ID})
	}
	a.events++
	return a.response.writeEvent(append(a.position.takeHeld(), event.Bytes...))
}

// endStream ends the response after a complete stream, which may have no event.
func (a *activeRequest) endStream(e *director.Send, x *upstream.Exchange) (director.Outcome, bool) {
	a.startStream(e, x)
	a.failure = a.received == 0
	if held := a.position.takeHeld(); len(held) > 0 {
		if err := a.response.writeEvent(held); err != nil {
			return director.Broken, false
		}
	}
	return 0, true
}

// startStream starts the response with the head of a send's stream, unless an earlier
// send has started it.
func (a *activeRequest) startStream(e *director.Send, x *upstream.Exchange) {
	if a.response.started {
		return
	}
	a.timeToFirstByte, a.answeredBy = time.Since(a.started), sourceOf(e, x)
	a.response.startStream(x.Response)
}

// recordReceived records the arrival of an event, the gap before it and the progress of
// the stream.
func (a *activeRequest) recordReceived() {
	now := time.Now()
	if a.events > 0 {
		a.longestGap = max(a.longestGap, now.Sub(a.lastEventAt))
	}
	a.lastReceived, a.lastEventAt = now, now
	a.received++
	if a.received == 1 {
		a.firstReceived = now
	}
	if !a.progressed && a.received >= director.ProgressEvents && now.Sub(a.firstReceived) >= director.ProgressTime {
		a.progressed = true
		a.handler.reducer.Step(director.StreamProgressed{ID: a.request.ID})
	}
}
