package ingress_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/clientlimit"
	"tamarackreach/internal/director"
	"tamarackreach/internal/ingress"
)

// startSigningTarget starts a target that signs the length of the body as its answer.
func startSigningTarget() string {
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Tamarackreach-Server-Seal", "x")
		w.Header().Set("Tamarackreach-Attempt-Id", r.Header.Get("Tamarackreach-Attempt-Id"))
		_, _ = fmt.Fprint(w, len(body))
	}))
	DeferCleanup(closeServer, target)
	return target.Listener.Addr().String()
}

// post writes the head of a request and a part of its body.
func post(conn net.Conn, path, id, fields, part string) *bufio.Reader {
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nTamarackreach-Attempt-Id: %s\r\n%s\r\n%s", path, id, fields, part)
	Expect(err).NotTo(HaveOccurred())
	return bufio.NewReader(conn)
}

func readAnswer(from *bufio.Reader) (*http.Response, string) {
	resp, err := http.ReadResponse(from, nil)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp, string(text)
}

var _ = Describe("the body of a request", func() {
	const legal = "Content-Length: 4000000\r\n"

	// Clients stop just short of the end of a body. Guards against a request that is refused
	// only after its body was read, and holds its memory until then.
	It("is not read where the head decides", func() {
		account := clientlimit.NewAccount(64 << 20)
		url := startLimitedIngress(startSigningTarget(), account)
		for _, c := range []struct {
			path, fields string
			status       int
		}{
			{"/none", legal, http.StatusNotFound},
			{"/none", "Transfer-Encoding: chunked\r\n", http.StatusNotFound},
			{"/r/x", "Content-Length: 4194305\r\n", http.StatusRequestEntityTooLarge},
		} {
			resp, text := readAnswer(post(dialIngress(url), c.path, "q", c.fields, ""))
			Expect(resp.StatusCode).To(Equal(c.status))
			Expect(resp.ContentLength).To(BeEquivalentTo(len(text)), "complete before the rest of the body is discarded")
			Expect(resp.Close).To(BeTrue())
		}
		Expect(account.Held()).To(BeZero())
	})

	// Guards against a caller that loses its connection because it used a wrong path.
	It("leaves the connection usable where it is small and refused", func() {
		conn := dialIngress(startIngressFor(startSigningTarget()))
		resp, _ := readAnswer(post(conn, "/none", "q1", "Content-Length: 5\r\n", "hello"))
		Expect(resp.StatusCode).To(Equal(http.StatusNotFound))
		resp, text := readAnswer(post(conn, "/r/x", "q2", "Content-Length: 5\r\n", "hello"))
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(text).To(Equal("5"))
	})

	// Guards against bodies that stay open beyond the time of their request, and against a
	// deadline that stays set and is taken for the end of the connection.
	It("has the time of the request", func() {
		url := startIngressFor(startSigningTarget())
		slow := post(dialIngress(url), "/r/x", "q1", legal+"Tamarackreach-Deadline-Ms: 200\r\n", "x")
		resp, _ := readAnswer(slow)
		Expect(resp.StatusCode).To(Equal(http.StatusRequestTimeout))
		conn := dialIngress(url)
		for _, id := range []string{"q2", "q3"} {
			resp, text := readAnswer(post(conn, "/r/x", id, "Content-Length: 5\r\nTamarackreach-Deadline-Ms: 1000\r\n", "hello"))
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
			Expect(text).To(Equal("5"))
			time.Sleep(600 * time.Millisecond)
		}
	})

	// Many bodies of legal size at once. Guards against bodies that exceed the memory
	// together, against refusals without the promise that callers rely on, and against small
	// requests that are refused with them.
	It("is refused where the memory is held, and small ones are served", func() {
		account := clientlimit.NewAccount(8 << 20)
		url := startLimitedIngress(startSigningTarget(), account)
		held := post(dialIngress(url), "/r/x", "q1", legal, strings.Repeat("x", 3999999))
		Eventually(account.Held).Should(BeNumerically(">=", 4000000))
		resp, _ := readAnswer(post(dialIngress(url), "/r/x", "q2", legal, ""))
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(resp.Close).To(BeTrue())
		_, text := readAnswer(post(dialIngress(url), "/r/x", "q3", "Content-Length: 5\r\n", "hello"))
		Expect(text).To(Equal("5"))

		time.Sleep(clientlimit.StallTime)
		_, text = readAnswer(post(dialIngress(url), "/r/x", "q4", legal, strings.Repeat("x", 4000000)))
		Expect(text).To(Equal("4000000"))
		resp, _ = readAnswer(held)
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Eventually(account.Held).Should(BeZero())
	})

	// Guards against readiness checks that wait for the bodies of others, whose connections are
	// few.
	It("of a readiness check is not waited for", func() {
		state := director.New(director.Settings{VM: "vm-1", Zone: "a"})
		server := httptest.NewServer(ingress.New(ingress.NewReducer(state), nil, nil, ingress.NewMetrics()).Ready())
		DeferCleanup(closeServer, server)
		conn := dialIngress(server.URL)
		Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		from := post(conn, "/ready", "q1", legal, "x")
		resp, text := readAnswer(from)
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(text).To(BeEmpty())
		_, err := from.ReadByte()
		Expect(err).To(HaveOccurred())
		Expect(errors.Is(err, os.ErrDeadlineExceeded)).To(BeFalse())
	})

	// Guards against chunks that are lost or reordered while the buffer grows.
	It("may come in chunks of any size", func() {
		account := clientlimit.NewAccount(64 << 20)
		conn := dialIngress(startLimitedIngress(startSigningTarget(), account))
		from := post(conn, "/r/x", "q1", "Transfer-Encoding: chunked\r\n", "")
		for n := range 400 {
			_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", n+1, strings.Repeat("c", n+1))
			Expect(err).NotTo(HaveOccurred())
		}
		_, err := fmt.Fprint(conn, "0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		_, text := readAnswer(from)
		Expect(text).To(Equal("80200"))
		Eventually(account.Held).Should(BeZero())
	})
})
