package ingress

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// maxBufferedBytes limits the responses that are buffered at one time for all requests: a
// target may send bodies without end to many of them.
const maxBufferedBytes = 32 << 20

// errBuffersFull means that the buffered responses exceed maxBufferedBytes.
var errBuffersFull = errors.New("buffered responses exceed 32 MiB; response discarded")

// buffers counts the bytes of all buffered responses.
type buffers struct{ used atomic.Int64 }

// responseBuffer reads responses for one request within the limit of buffers.
type responseBuffer struct {
	buffers  *buffers
	reserved int64
}

// readAll reads a body to its end, or until it exceeds the limit of a response or of all.
func (b *responseBuffer) readAll(body io.Reader) ([]byte, error) {
	content, err := io.ReadAll(&reservingReader{reader: io.LimitReader(body, maxResponseBytes+1), buffer: b})
	if err == nil && len(content) > maxResponseBytes {
		err = errResponseTooLarge
	}
	return content, err
}

// release returns what the request has reserved.
func (b *responseBuffer) release() {
	b.buffers.used.Add(-b.reserved)
	b.reserved = 0
}

// reservingReader reserves the bytes that are read.
type reservingReader struct {
	reader io.Reader
	buffer *responseBuffer
}

// Read implements io.Reader.
func (r *reservingReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.buffer.reserved += int64(n)
	if r.buffer.buffers.used.Add(int64(n)) > maxBufferedBytes {
		return n, errBuffersFull
	}
	return n, err
}
