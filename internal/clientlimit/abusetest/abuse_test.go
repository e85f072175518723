package abusetest_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/platform/platformtest"
)

func TestAbuse(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "misbehaving clients")
}

// Numbers of clients. Bodies of bodyClients exceed memory-mb together, heads of headClients
// do when each field is stored, and connClients exceed max-fds. The ready listener reads no
// body, so that only the number of connections counts there.
const (
	bodyClients = 160
	headClients = 300
	connClients = 500
)

// withstand checks that the process stays alive and within its limits under a load of
// misbehaving clients, and that ordinary requests are answered while they are connected.
func withstand(p place, clients int, send func(*client)) {
	f := startFront()
	l := startLoad(f, p, clients, send)
	defer l.close()
	answer := f.answers(func() error { return f.request("/r/x") })
	ready := f.answers(f.ready)
	figures := fmt.Sprintf("alive %v, memory %.0f MB (bound %d, before the load %.0f), descriptors %d (bound %d), clients connected %d of %d, request: %v, readiness: %v",
		f.alive(), f.memory(), memoryMB, f.idleMB, f.peak.Load(), maxFds, l.connected(), clients, answer, ready)
	AddReportEntry("figures", figures)
	Expect(f.alive()).To(BeTrue(), "the process has exited; %s", figures)
	Expect(answer).NotTo(HaveOccurred(), figures)
	Expect(ready).NotTo(HaveOccurred(), figures)
	Expect(f.memory()).To(BeNumerically("<=", memoryMB), figures)
	Expect(f.peak.Load()).To(BeNumerically("<=", maxFds), figures)
}

var _ = Describe("an entry VM with misbehaving clients", Serial, func() {
	for _, p := range []place{routed, withoutRoute, readiness} {
		bodies := bodyClients
		if p.ready {
			bodies = connClients
		}
		// Guards against a process that runs out of memory or descriptors, or that serves no
		// one else, because it keeps what such clients send, or their connections.
		DescribeTable("stays within its limits and answers others, at "+p.name,
			func(clients int, send func(*client)) { withstand(p, clients, send) },
			Entry("bodies in one piece", bodies, bodyInOnePiece),
			Entry("bodies in small pieces", bodies, bodyInSmallPieces),
			Entry("bodies in chunks", bodies, bodyInChunks),
			Entry("bodies far over the limit", bodies, bodyOverLimit),
			Entry("very many short fields", headClients, manyShortFields),
			Entry("pipelined requests without reading", connClients, pipelined),
			Entry("slow senders", connClients, slowSender),
			Entry("slow readers", connClients, slowReader),
			Entry("clients that stop half-way", connClients, halfWay),
		)
	}

	// Guards against limits that refuse a single request which keeps to the configuration.
	It("serves a single request with the largest body", func() {
		f := startFront()
		req, err := http.NewRequest(http.MethodPost, "http://"+platformtest.ClientAddress(f.host)+"/p/largest", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		Expect(f.do(req)).To(Succeed())
		for _, arrival := range f.fleet.Arrivals() {
			if arrival.Path == "/p/largest" {
				Expect(arrival.BodyBytes).To(BeEquivalentTo(maxBodyBytes))
			}
		}
	})

	// Guards against a charge for fields that refuses the largest legal head.
	It("serves a single request with the largest head of very short fields", func() {
		f := startFront()
		conn, err := net.Dial("tcp4", platformtest.ClientAddress(f.host))
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		Expect(conn.SetDeadline(time.Now().Add(answerTimeout))).To(Succeed())
		_, err = conn.Write([]byte(head("GET", "/r/x", nextID(), shortFields(maxHeaderBytes-headMargin)...)))
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
	})
})
