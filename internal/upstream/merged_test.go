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
	events := upstream.NewEventReader(body, nil)
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

var _ = Describe("a second response inside a body", func() {
	head := "HTTP/1.1 200 OK\r\nTamarackreach-Attempt-Id: a\r\n"

	// Guards against a body that is longer than the target's, or the rest of which is
	// another response: nothing but the id that the head repeats tells the two apart.
	DescribeTable("breaks the body off when it echoes an id of the connection", func(first string) {
		for _, segment := range []int{0, 7} {
			address := script(first).listener.Addr().String()
			p := upstream.NewPool()
			_, err := exchange(p, callTo(link{segment: segment}.to(address), "a"))
			Expect(err).To(MatchError(upstream.ErrResponseMerged))
			Expect(p.Unsolicited()).To(Equal(1))
		}
	},
		Entry("behind a body without a length", head+"\r\nbody"+response(200, "a", "", "late")),
		Entry("behind a long body without a length", head+"\r\n"+strings.Repeat("body", 1<<16)+response(200, "a", "", "late")),
		Entry("behind a body without a length, cut inside its head", head+"\r\nbody"+"HTTP/1.1 503 X\r\nTamarackreach-Attempt-Id: a"),
		Entry("in the rest of a body with a length", head+"Content-Length: 100\r\n\r\nbody"+response(200, "a", "", strings.Repeat("x", 200))),
		Entry("in the rest of a chunk", head+"Transfer-Encoding: chunked\r\n\r\n60\r\nbody"+response(200, "a", "", strings.Repeat("x", 200))),
		Entry("behind text that looks like one", head+"\r\nHTTP/1.1 200 OK\r\n\r\nHTTP/1.1 200 OK HTTP/1.1 200 OK\r\nx\r\n"+response(200, "a", "", "late")),
		Entry("in a stream", head+"\r\nid: 1\ndata: x\n\n"+response(200, "a", "", "late")),
	)

	// Guards against the late response to an earlier request of the connection that fills
	// the rest of a body.
	It("breaks off a body that continues with the response to an earlier request", func() {
		t := script(response(200, "earlier", "", "first"), head+"Content-Length: 90\r\n\r\nbody"+response(200, "earlier", "", strings.Repeat("x", 200)))
		p := upstream.NewPool()
		_, err := exchange(p, t.callWithID("earlier"))
		Expect(err).NotTo(HaveOccurred())
		_, err = exchange(p, t.call())
		Expect(err).To(MatchError(upstream.ErrResponseMerged))
	})

	// Guards against bodies that hold text about HTTP being broken off.
	DescribeTable("delivers a body that holds", func(body string) {
		for _, segment := range []int{0, 7} {
			address := script(response(200, "a", "", body)).listener.Addr().String()
			received, err := exchange(upstream.NewPool(), callTo(link{segment: segment}.to(address), "a"))
			Expect(err).NotTo(HaveOccurred())
			Expect(received).To(Equal(body))
		}
	},
		Entry("a request with its id", "GET / HTTP/1.1\r\nTamarackreach-Attempt-Id: a\r\n\r\n"),
		Entry("a response without an id", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
		Entry("a response to a request that the connection has not carried", response(200, "other", "", "")),
		Entry("the id behind the head of a response", "HTTP/1.1 200 OK\r\n\r\nTamarackreach-Attempt-Id: a\r\n"),
		Entry("the id behind a line that is none of a head", "HTTP/1.1 200 OK\r\nno field\r\nTamarackreach-Attempt-Id: a\r\n"),
		Entry("a head that is longer than any", "HTTP/1.1 200 OK\r\n"+strings.Repeat("X: "+strings.Repeat("x", 97)+"\r\n", 2000)),
	)
})

// Guards against a second response that is found or not depending on where reads end in
// its head, when a long head of other text precedes it.
var _ = Describe("a second response behind a long head in a body", func() {
	It("is found wherever a read ends inside its head", func() {
		other := "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: "+strings.Repeat("x", 95)+"\r\n", 80) + "\r\n"
		body := other + strings.Repeat("b", 300) + "HTTP/1.1 200 OK\r\nTamarackreach-Attempt-Id: a\r\n\r\n"
		var missed []int
		for at := 4096; at < len(body); at++ {
			if !upstream.ContinuesWithResponse("a", []byte(body[:at-4096]), []byte(body[at-4096:at]), []byte(body[at:])) {
				missed = append(missed, at)
			}
		}
		Expect(missed).To(BeEmpty())
	})
})
