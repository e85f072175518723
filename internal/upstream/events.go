package upstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes limits the size of one event of a stream.
const maxEventBytes = 1 << 20

// ErrEventTooLong means that an event exceeds maxEventBytes.
var ErrEventTooLong = errors.New("stream event exceeds 1 MiB; stream closed")

// EventReader splits a stream of server-sent events into whole events, so that a
// stream interrupted inside an event can resume on another target after the last
// whole one.
type EventReader struct {
	reader *bufio.Reader
	event  Buffer
}

// NewEventReader returns a reader of the events in body, of which it holds one within a memory;
// nil is no bound but that of an event. Close must be called after the last event.
func NewEventReader(body io.Reader, memory Memory) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(body, readBufferBytes), event: NewBuffer(memory)}
}

// Close returns the memory of the event.
func (e *EventReader) Close() { e.event.Release() }

// Event is a whole event; Bytes is valid until the next call of Next.
type Event struct {
	Bytes []byte
	// ID is the numeric id of the event; HasID is false when it has none.
	ID    int64
	HasID bool
	// HasData is false for an event that only holds comments or fields other than data.
	HasData bool
	// MoreBuffered is true when another whole event can be read without blocking.
	MoreBuffered bool
}

// Next returns the next whole event. io.EOF means that the stream ended between
// two events; ErrResponseMerged means that a second response follows; any other error
// means that it was interrupted, or that the event is too long for the memory.
func (e *EventReader) Next() (Event, error) {
	var out Event
	e.event.Reset()
	lineStart, check := 0, headCheck{}
	for {
		part, err := e.reader.ReadSlice('\n') // a part of the line if it exceeds the buffer
		if appendErr := e.event.Append(part); appendErr != nil {
			return out, appendErr
		}
		if e.event.Len() > maxEventBytes {
			return out, ErrEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && e.event.Len() > 0 {
				return out, io.ErrUnexpectedEOF
			}
			return out, err
		}
		line := bytes.TrimRight(e.event.Bytes()[lineStart:], "\r\n")
		lineStart = e.event.Len()
		if len(line) == 0 {
			out.Bytes, out.MoreBuffered = e.event.Bytes(), e.eventBuffered()
			return out, nil
		}
		if check.secondResponse(line) {
			return out, ErrResponseMerged
		}
		if text, found := bytes.CutPrefix(line, []byte("id:")); found {
			// Non-numeric ids cannot be ordered; such an event counts as one without an id.
			id, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
			out.ID, out.HasID = id, err == nil
		}
		out.HasData = out.HasData || bytes.HasPrefix(line, []byte("data"))
	}
}

// eventBuffered reports whether the buffer holds a whole event: the end of a part of one
// may be long in coming.
func (e *EventReader) eventBuffered() bool {
	rest, _ := e.reader.Peek(e.reader.Buffered()) // cannot fail: the bytes are buffered
	for {
		line, after, found := bytes.Cut(rest, []byte("\n"))
		if !found {
			return false
		}
		if len(bytes.TrimRight(line, "\r")) == 0 {
			return true
		}
		rest = after
	}
}
