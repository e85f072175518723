package upstream

import (
	"bytes"
	"slices"

	"tamarackreach/internal/model"
	"tamarackreach/platform"
)

// A target may send a second response where none is due. Behind or inside a response
// that stops early or has no length, it becomes a part of that response's body.

// headCheck finds the head of a second response in the lines of a stream's event.
type headCheck struct {
	// statusSeen is true when a line of the event contains a status line.
	statusSeen bool
}

// secondResponse reports whether line, the next of the event, shows that a second response has
// begun. Data and comments may mention a status line; no other line does. Behind them, a
// name with a capital letter is that of a response's field: the names in events are lower
// case.
func (h *headCheck) secondResponse(line []byte) bool {
	status := statusLine.Match(line)
	found := false
	switch name, _, _ := bytes.Cut(line, []byte(":")); string(name) {
	case "", "data":
	case "id", "event", "retry":
		found = status
	default: // a field that clients ignore, or a line of a head
		found = status || h.statusSeen && 'A' <= name[0] && name[0] <= 'Z'
	}
	h.statusSeen = h.statusSeen || status
	return found
}

// maxFieldBytes limits the lines of a body that are looked at as fields of a head.
const maxFieldBytes = 8 << 10

// statusLineBytes is the length of what statusLine matches.
const statusLineBytes = len("HTTP/1.1 200")

// bodyCheck finds the head of a second response in a body. A body may hold any bytes,
// also a response as text, so a head counts only if it echoes the id of a request that
// the connection has carried.
type bodyCheck struct {
	requests []model.RequestID
	// line holds the current line; of one over maxFieldBytes, its last bytes.
	line []byte
	// long is true when the current line exceeds maxFieldBytes; statusSeen when a status
	// line was found in the part of it that is not held any more.
	long, statusSeen bool
	// inHead is true while all lines since a status line are fields.
	inHead bool
}

// secondResponse reports whether part, the next of the body, shows that a second response has
// begun; last is true at the end of the body.
func (b *bodyCheck) secondResponse(part []byte, last bool) bool {
	for {
		text, rest, ended := bytes.Cut(part, []byte("\n"))
		b.extend(text)
		if !ended {
			return last && b.endLine()
		}
		if b.endLine() {
			return true
		}
		part = rest
	}
}

func (b *bodyCheck) extend(text []byte) {
	for len(text) > 0 {
		n := min(len(text), maxFieldBytes)
		b.line = append(b.line, text[:n]...)
		text = text[n:]
		if len(b.line) > maxFieldBytes {
			b.long, b.statusSeen = true, b.statusSeen || statusLine.Match(b.line)
			b.line = append(b.line[:0], b.line[len(b.line)-statusLineBytes+1:]...)
		}
	}
}

// endLine reports whether the current line, which is whole, echoes a request in the head
// of a second response. A status line may follow the rest of another line.
func (b *bodyCheck) endLine() bool {
	name, _, isField := bytes.Cut(b.line, []byte(":"))
	isField = isField && !b.long && len(name) > 0 && !bytes.ContainsAny(name, " \t")
	echoes := b.inHead && isField && slices.Contains(b.requests, platform.EchoedID(bytes.TrimRight(b.line, "\r")))
	b.inHead = b.inHead && isField || b.statusSeen || statusLine.Match(b.line)
	b.line, b.long, b.statusSeen = b.line[:0], false, false
	return echoes
}
