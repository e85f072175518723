package ingress

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/clientlimit"
)

// maxBufferedBytes limits the responses that are buffered at one time for all requests: a
// target may send bodies without end to many of them.
const maxBufferedBytes = 32 << 20

// minResponseBuffer is the first buffer of a response without a declared length.
const minResponseBuffer = 4 << 10

// responseStep bounds the growth of such a buffer, so that it holds little more than was read.
const responseStep = 1 << 20

// errBuffersFull means that the buffered responses exceed maxBufferedBytes, or the account.
var errBuffersFull = errors.New("buffered responses exceed 32 MiB or the memory of the VM; response discarded")

// buffers counts the bytes of all buffered responses.
type buffers struct {
	used atomic.Int64
	// account counts them with what callers hold; nil counts them alone.
	account *clientlimit.Account
}

// reserve adds n bytes and reports whether they fit; otherwise nothing is added.
func (b *buffers) reserve(n int64) bool {
	if b.used.Add(n) > maxBufferedBytes || b.account != nil && !b.account.Reserve(clientlimit.Response, n) {
		b.used.Add(-n)
		return false
	}
	return true
}

// responseBuffer reads responses for one request within the limit of buffers.
type responseBuffer struct {
	buffers  *buffers
	reserved int64
}

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
	more := capacity - int64(cap(*content))
	if !b.buffers.reserve(more) {
		return errBuffersFull
	}
	b.reserved += more
	*content = append(make([]byte, 0, capacity), *content...)
	return nil
}

// release returns what the request has reserved.
func (b *responseBuffer) release() {
	b.buffers.used.Add(-b.reserved)
	if b.buffers.account != nil {
		b.buffers.account.Release(b.reserved)
	}
	b.reserved = 0
}
