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
		events := upstream.NewEventReader(bytes.NewReader(body), nil)
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

// Whether a body continues with a second response does not depend on how the network
// splits it.
func FuzzSecondResponse(f *testing.F) {
	f.Add([]byte("bodyHTTP/1.1 200 OK\r\nTamarackreach-Attempt-Id: a\r\n\r\n"), uint16(9))
	f.Add([]byte("HTTP/1.1 200 HTTP/1.0 503 X\nDate: x\ntamarackreach-attempt-id:a"), uint16(1))
	f.Add([]byte("HTTP/1.1 200\r\nx\r\n\r\nTamarackreach-Attempt-Id: a\r\nHTTP/1.1 200 OK"), uint16(20))
	f.Fuzz(func(t *testing.T, body []byte, split uint16) {
		whole := upstream.ContinuesWithResponse("a", body)
		at := min(int(split), len(body))
		if upstream.ContinuesWithResponse("a", body[:at], body[at:]) != whole {
			t.Fatalf("%q split at %d gives another result than %v", body, at, whole)
		}
		if upstream.ContinuesWithResponse("a", bytes.SplitAfter(body, nil)...) != whole {
			t.Fatalf("%q in single bytes gives another result than %v", body, whole)
		}
	})
}
