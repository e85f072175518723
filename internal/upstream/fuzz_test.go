package upstream_test

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"tamarackreach/internal/upstream"
)

// The concatenated events equal the input up to the point of interruption.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\nid: x\ndata"))
	f.Add([]byte("\n\n\n"))
	f.Fuzz(func(t *testing.T, body []byte) {
		events := upstream.NewEventReader(bytes.NewReader(body))
		var joined []byte
		for {
			event, err := events.Next()
			if err != nil {
				if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !bytes.Equal(joined, body) {
					t.Fatalf("stream reported as complete after %q of %q", joined, body)
				}
				break
			}
			joined = append(joined, event.Bytes...)
		}
		if !bytes.HasPrefix(body, joined) {
			t.Fatalf("%q is not a prefix of %q", joined, body)
		}
	})
}
