package soak

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/platform/platformtest"
)

var _ = Describe("the proxy before a target", func() {
	const withLength, withoutLength = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"
	var p *proxy
	var accepted chan net.Conn
	BeforeEach(func() {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		accepted = make(chan net.Conn, 1)
		go func() {
			for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
				accepted <- conn
			}
		}()
		p, err = newProxy(listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(p.close)
	})
	connect := func() (client, server net.Conn) {
		client, err := net.Dial("tcp4", p.address())
		Expect(err).NotTo(HaveOccurred())
		Expect(client.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		Eventually(accepted).Should(Receive(&server))
		return client, server
	}
	write := func(conn net.Conn, text string) {
		_, err := io.WriteString(conn, text)
		Expect(err).NotTo(HaveOccurred())
	}

	DescribeTable("changes no byte of a response",
		func(way int32) {
			p.segments.Store(way)
			for range 8 { // half of the connections are affected
				client, server := connect()
				write(server, withLength)
				time.Sleep(time.Millisecond)
				write(server, "123456789")
				Expect(server.Close()).To(Succeed())
				Expect(io.ReadAll(client)).To(BeEquivalentTo(withLength + "123456789"))
				Expect(client.Close()).To(Succeed())
			}
		},
		Entry("as received", asReceived), Entry("in single bytes", singleBytes), Entry("merged", merged), Entry("with resets as ends", resetsAsEnds),
	)

	DescribeTable("forwards a reset",
		func(response string, asEnd bool) {
			p.segments.Store(resetsAsEnds)
			ends := 0
			for range 20 {
				client, server := connect()
				write(server, response+"1234")
				buffer := make([]byte, len(response)+4)
				_, err := io.ReadFull(client, buffer)
				Expect(err).NotTo(HaveOccurred())
				reset(server)
				if _, err := client.Read(buffer); errors.Is(err, io.EOF) {
					ends++
				}
				Expect(client.Close()).To(Succeed())
			}
			Expect(ends > 0).To(Equal(asEnd))
		},
		Entry("as an end where the length shows that the response is incomplete", withLength, true),
		Entry("as a reset where nothing shows it", withoutLength, false),
	)

	It("ends responses and still forwards requests on a half-closed connection", func() {
		p.segments.Store(halfClosing)
		Eventually(func(g Gomega) {
			client, server := connect()
			defer func() { _, _ = client.Close(), server.Close() }()
			write(server, withLength)
			for range 8 {
				time.Sleep(time.Millisecond)
				write(server, "1")
			}
			g.Expect(client.SetReadDeadline(time.Now().Add(20 * time.Millisecond))).To(Succeed())
			text, err := io.ReadAll(client)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(text)).To(HavePrefix(withLength))
			g.Expect(len(text)).To(BeNumerically("<", len(withLength)+9))
			write(client, "x")
			g.Expect(server.Read(make([]byte, 1))).To(Equal(1))
		}).WithTimeout(20 * time.Second).Should(Succeed())
	})
})

var _ = Describe("the faults of targets in the runs of a request", func() {
	const id = "r-1"
	var target *platformtest.Target
	var fleet *platformtest.Fleet
	BeforeEach(func() {
		store, err := platformtest.NewStore()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(store.Close)
		fleet = platformtest.NewFleet(store)
		fleet.EventInterval = 0
		DeferCleanup(fleet.Close)
		target, err = fleet.Start("llm", "a", "k", 0, 8)
		Expect(err).NotTo(HaveOccurred())
	})
	// send sends the request and returns the status, the body, whether it is whole, and
	// the bytes behind it.
	send := func(stream bool) (resp *http.Response, body string, whole bool, rest string) {
		conn, err := net.Dial("tcp4", target.Address())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		req, err := http.NewRequest(http.MethodGet, "http://h/r/x", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Tamarackreach-Attempt-Id", id)
		req.Header.Set("Tamarackreach-Expect-Instance", target.ID)
		if stream {
			req.Header.Set("Tamarackreach-Hop-Count", target.Address()+"=0-8")
		}
		Expect(req.Write(conn)).To(Succeed())
		reader := bufio.NewReader(conn)
		resp, err = http.ReadResponse(reader, req)
		Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(resp.Body)
		behind, _ := reader.Peek(reader.Buffered())
		return resp, string(text), err == nil, string(behind)
	}

	DescribeTable("give the first run another result than the second",
		func(f platformtest.Fault, first, second int, firstWhole, secondWhole bool) {
			target.Always(f)
			for _, stream := range []bool{false, true} {
				resp, _, whole, _ := send(stream)
				Expect(resp.StatusCode).To(Equal(first))
				Expect(whole).To(Equal(firstWhole))
				resp, _, whole, _ = send(stream)
				Expect(resp.StatusCode).To(Equal(second))
				Expect(whole).To(Equal(secondWhole))
			}
			Expect(fleet.Runs(id)).To(Equal(4))
		},
		Entry("error, cut", platformtest.ErrorThenCut, 500, 200, true, false), Entry("cut, error", platformtest.CutThenError, 200, 500, false, true),
		Entry("error, slow", platformtest.ErrorThenSlow, 500, 200, true, true),
	)

	It("refuse a request that ran", func() {
		target.Always(platformtest.RefuseRan)
		resp, _, _, _ := send(false)
		Expect(resp.StatusCode).To(BeElementOf(429, 503, 408))
		Expect(resp.Header).NotTo(HaveKey("Tamarackreach-Not-Executed"))
		Expect(fleet.Runs(id)).To(Equal(1))
	})

	It("write a second response with the response, or behind one without a length", func() {
		for _, stream := range []bool{false, true} {
			target.Always(platformtest.ExtraSameSegment)
			_, body, whole, rest := send(stream)
			Expect(whole).To(BeTrue())
			Expect(body).NotTo(ContainSubstring("extra response"))
			Expect(rest).To(HavePrefix("HTTP/1.1 200 OK"))
			target.Always(platformtest.UnframedExtra)
			_, body, whole, _ = send(stream)
			Expect(whole).To(BeTrue())
			Expect(body).To(ContainSubstring("HTTP/1.1 200 OK"))
		}
	})

	It("end a stream without a length between two events, and record the last one", func() {
		target.Always(platformtest.UnframedEnded)
		_, body, whole, _ := send(true)
		Expect(whole).To(BeTrue())
		Expect(body).To(HaveSuffix("\n\n"))
		Expect(body).To(ContainSubstring("id: 10\n"))
		Expect(body).NotTo(ContainSubstring("id: 11\n"))
		Expect(fleet.Arrivals()[0].Events).To(Equal(10))
	})
})
