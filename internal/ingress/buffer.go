package ingress

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/clientlimit"
)

// maxBufferedBytes limits what requests hold of large responses at one time: a target may send
// bodies, heads and events without end to many of them.
const maxBufferedBytes = 32 << 20

// smallResponseBytes is the most that a request may hold beside that limit, so that a target that
// sends without end does not cost the small responses of others.
const smallResponseBytes = 16 << 10

// minResponseBuffer is the first buffer of a response without a declared length.
const minResponseBuffer = 4 << 10

// responseStep bounds the growth of such a buffer, so that it holds little more than was read.
const responseStep = 1 << 20

// errBuffersFull means that large responses exceed maxBufferedBytes, or all of them the account.
var errBuffersFull = errors.New("buffered responses exceed 32 MiB or the memory of the VM; response discarded")

// buffers counts what all requests hold of responses.
type buffers struct {
	// used counts that of requests which hold more than smallResponseBytes.
	used atomic.Int64
	// account counts all of it with what callers hold; nil counts it alone.
	account *clientlimit.Account
}

// reserve adds n bytes, of which large count against maxBufferedBytes, and reports whether they
// fit; otherwise nothing is added.
func (b *buffers) reserve(n, large int64) bool {
	if b.used.Add(large) > maxBufferedBytes && large > 0 || b.account != nil && !b.account.Reserve(clientlimit.Response, n) {
		b.used.Add(-large)
		return false
	}
	return true
}

// responseMemory is what one request holds of responses.
type responseMemory struct {
	buffers *buffers
	// reserved is the sum, and large the part of it that counts against maxBufferedBytes: all of
	// it, or nothing while it is at most smallResponseBytes.
	reserved, large int64
}

// Reserve implements upstream.Memory.
func (m *responseMemory) Reserve(n int64) bool {
	large := largePart(m.reserved+n) - m.large
	if !m.buffers.reserve(n, large) {
		return false
	}
	m.reserved, m.large = m.reserved+n, m.large+large
	return true
}

// Release implements upstream.Memory.
func (m *responseMemory) Release(n int64) {
	large := m.large - largePart(m.reserved-n)
	m.buffers.used.Add(-large)
	if m.buffers.account != nil {
		m.buffers.account.Release(n)
	}
	m.reserved, m.large = m.reserved-n, m.large-large
}

// largePart returns the part of a request's bytes that counts as large.
func largePart(reserved int64) int64 {
	if reserved <= smallResponseBytes {
		return 0
	}
	return reserved
}

// responseBuffer reads responses for one request within its memory.
type responseBuffer struct{ responseMemory }

// readAll reads a body to its end, or until it exceeds the limit of a response or of all.
// length is the declared one, -1 if there is none.
func (b *responseBuffer) readAll(body io.Reader, length int64) ([]byte, error) {
	if length > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	var content []byte
	if length > 0 {
		if err := b.grow(&content, length); err != nil {
			return nil, err
		}
	}
	var beyond [1]byte // finds the end of a body that fills its buffer
	for {
		free := content[len(content):cap(content)]
		if len(free) == 0 {
			free = beyond[:]
		}
		n, err := body.Read(free)
		if n > 0 && len(content) == cap(content) {
			if growErr := b.grow(&content, min(max(2*int64(n+len(content)), minResponseBuffer), int64(len(content))+responseStep)); growErr != nil {
				return nil, growErr
			}
			content = append(content, beyond[0])
		} else {
			content = content[:len(content)+n]
		}
		switch {
		case len(content) > maxResponseBytes:
			return nil, errResponseTooLarge
		case errors.Is(err, io.EOF):
			return content, nil
		case err != nil:
			return nil, err
		}
	}
}

// grow moves the content into a buffer of a capacity that it reserves.
func (b *responseBuffer) grow(content *[]byte, capacity int64) error {
	if !b.Reserve(capacity - int64(cap(*content))) {
		return errBuffersFull
	}
	*content = append(make([]byte, 0, capacity), *content...)
	return nil
}

// release returns what the request has reserved.
func (b *responseBuffer) release() { b.Release(b.reserved) }
