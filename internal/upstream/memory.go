package upstream

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/clientlimit"
)

// Memory bounds the bytes that a request holds of responses, together with other requests. A
// target may send without end to many of them.
type Memory interface {
	// Reserve adds n bytes and reports whether they fit; otherwise nothing is added.
	Reserve(n int64) bool
	// Release returns n reserved bytes; what is left is returned when the request ends.
	Release(n int64)
}

// ErrMemoryFull means that a part of a response does not fit into the memory for responses.
var ErrMemoryFull = errors.New("the memory for responses is full; connection closed")

const (
	// minBufferBytes is the first size of a Buffer, which holds a usual event.
	minBufferBytes = 4 << 10
	// keptBufferBytes is the largest size that a Buffer keeps when it is emptied.
	keptBufferBytes = 64 << 10
)

// Buffer collects bytes within a memory. The zero value has no limit.
type Buffer struct {
	memory   Memory
	content  []byte
	reserved int64
}

// NewBuffer returns an empty buffer within a memory, nil for no limit.
func NewBuffer(m Memory) Buffer { return Buffer{memory: m} }

// Append adds a part, or returns ErrMemoryFull and leaves the buffer as it is.
func (b *Buffer) Append(part []byte) error {
	if size := len(b.content) + len(part); size > cap(b.content) {
		capacity := max(size, 2*cap(b.content), minBufferBytes)
		more := int64(capacity - cap(b.content))
		if b.memory != nil && !b.memory.Reserve(more) {
			return ErrMemoryFull
		}
		b.reserved += more
		b.content = append(make([]byte, 0, capacity), b.content...)
	}
	b.content = append(b.content, part...)
	return nil
}

// Bytes returns the content, which is valid until the next Append or Reset.
func (b *Buffer) Bytes() []byte { return b.content }

// Len returns the length of the content.
func (b *Buffer) Len() int { return len(b.content) }

// Reset empties the buffer. It keeps the memory of a usual event.
func (b *Buffer) Reset() {
	b.content = b.content[:0]
	if cap(b.content) > keptBufferBytes {
		b.Release()
	}
}

// Release empties the buffer and returns its memory.
func (b *Buffer) Release() {
	if b.memory != nil {
		b.memory.Release(b.reserved)
	}
	b.content, b.reserved = nil, 0
}

// headMemory charges the head of a response while it is read: many short fields take several
// times their length.
type headMemory struct {
	memory       Memory
	bytes, lines int
	reserved     int64
}

// read charges a part of the head and reports whether it fits.
func (h *headMemory) read(part []byte) bool {
	if h.memory == nil {
		return true
	}
	h.bytes += len(part)
	h.lines += bytes.Count(part, []byte("\n"))
	more := clientlimit.HeadCost(h.bytes, h.lines) - h.reserved
	if more <= 0 {
		return true
	}
	if !h.memory.Reserve(more) {
		return false
	}
	h.reserved += more
	return true
}
