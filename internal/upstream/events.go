package upstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 1 << 20

// ErrEventTooLong means that a target's event has no end within bounds.
var ErrEventTooLong = errors.New("a stream event exceeds 1 MiB; the stream is broken off")

// Events splits a stream into whole events, so that a stream that breaks off
// inside one can go on elsewhere after the last that is whole.
type Events struct {
	reader *bufio.Reader
	event  []byte
}

// NewEvents reads events from a body.
func NewEvents(body io.Reader) *Events {
	return &Events{reader: bufio.NewReaderSize(body, readBufferBytes)}
}

// Event is a whole event; Bytes are valid until the next read.
type Event struct {
	Bytes []byte
	// ID is the event's number; HasID is false when it carries none.
	ID    int64
	HasID bool
	// More is true when further bytes can be read without waiting.
	More bool
}

// Next returns the next whole event. io.EOF means that the stream ended
// between events; any other error that it broke off.
func (e *Events) Next() (Event, error) {
	var out Event
	e.event = e.event[:0]
	for {
		line, err := e.reader.ReadSlice('\n')
		e.event = append(e.event, line...)
		if len(e.event) > maxEventBytes {
			return out, ErrEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.event) > 0 {
				return out, io.ErrUnexpectedEOF
			}
			return out, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			out.Bytes, out.More = e.event, e.reader.Buffered() > 0
			return out, nil
		}
		if text, found := bytes.CutPrefix(line, []byte("id:")); found {
			// An id that is no number orders nothing; the event passes unchecked.
			id, err := strconv.ParseInt(string(bytes.TrimSpace(text)), 10, 64)
			out.ID, out.HasID = id, err == nil
		}
	}
}
