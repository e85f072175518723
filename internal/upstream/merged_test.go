package upstream_test

import (
	"io"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/upstream"
)

const (
	streamPart = "id: 1\nevent: e\ndata: a\n\n: note\n\nid: 2\ndata: b\n\n"
	eventsPart = "id: 1\ndata: z\n\n"
)

// readEvents returns the concatenated events of a stream and the error that ends it.
func readEvents(body io.Reader) (string, error) {
	var joined strings.Builder
	events := upstream.NewEventReader(body)
	for {
		event, err := events.Next()
		if err != nil {
			return joined.String(), err
		}
		joined.Write(event.Bytes)
	}
}

var _ = Describe("a second response inside the body of the first", func() {
	// Guards against a second response that is delivered as events: a stream without a
	// length takes all that follows on its connection.
	DescribeTable("is no event of a stream, wherever the stream stopped", func(second string) {
		for cut := range len(streamPart) + 1 {
			joined, err := readEvents(strings.NewReader(streamPart[:cut] + second))
			Expect(err).To(MatchError(upstream.ErrResponseMerged), "stopped after %q", streamPart[:cut])
			Expect(streamPart[:cut]).To(HavePrefix(joined))
		}
	},
		Entry("with an id", "HTTP/1.1 200 OK\r\nTamarackreach-Attempt-Id: a\r\nContent-Type: text/event-stream\r\n\r\n"+eventsPart),
		Entry("without an id", response(503, "", notExecuted, "")),
		Entry("with a length alone", "HTTP/1.1 200 OK\nContent-Length: 2\n\nno"),
		Entry("of HTTP/1.0", "HTTP/1.0 500 Internal Server Error\r\nConnection: close\r\n\r\n"),
	)

	// Guards against text about HTTP in a response being taken for a second response.
	DescribeTable("is not seen in events whose data mentions one", func(stream string) {
		joined, err := readEvents(strings.NewReader(stream))
		Expect(err).To(Equal(io.EOF))
		Expect(joined).To(Equal(stream))
	},
		Entry("in one line", "id: 1\ndata: HTTP/1.1 200 OK\n\n"),
		Entry("in several lines", "data: HTTP/1.1 200 OK\ndata: Content-Length: 2\ndata\nid: 1\nretry: 5\nevent: e\n: note\n\n"),
		Entry("behind a field of the platform", "tamarackreach-weight-versions: 3\nid: 1\ndata: HTTP/1.1 200 OK\r\n\r\n"),
		Entry("in a comment", ": HTTP/1.1 200 OK\n\nid: 1\ndata: x\n\n"),
	)
})
