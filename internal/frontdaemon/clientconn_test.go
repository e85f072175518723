package frontdaemon

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/clientlimit"
	"tamarackreach/internal/ingress"
)

// startLimited serves a handler on a listener with a bound of connections.
func startLimited(account *clientlimit.Account, bound int, handler http.HandlerFunc) (*clientListener, string) {
	listener, err := listenForClients(context.Background(), "127.0.0.1:0", account, bound, &atomic.Uint64{})
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: time.Minute, MaxHeaderBytes: maxHeaderBytes, ConnState: trackConnection, ConnContext: ingress.ConnContext,
	}
	go func() { _ = server.Serve(listener) }() // it returns the error of the close
	DeferCleanup(server.Close)
	return listener, listener.Addr().String()
}

func dialLimited(address string) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp4", address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	Expect(conn.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	return conn, bufio.NewReader(conn)
}

func sendHead(conn net.Conn, fields string) {
	_, err := fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\n%s\r\n", fields)
	Expect(err).NotTo(HaveOccurred())
}

var _ = Describe("the listener of clients", func() {
	// Guards against silent clients that keep all connections, and against the closing of a
	// connection whose request was forwarded.
	It("closes silent connections in favour of new ones, and none with a request", func() {
		release := make(chan struct{})
		listener, address := startLimited(clientlimit.NewAccount(mib), 4, func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Slow") != "" {
				<-release
			}
			w.WriteHeader(http.StatusNoContent)
		})
		slow, slowReader := dialLimited(address)
		sendHead(slow, "Slow: 1\r\n")
		for range 20 {
			_, _ = dialLimited(address)
		}
		conn, reader := dialLimited(address)
		sendHead(conn, "")
		resp, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusNoContent))
		Expect(listener.count()).To(BeNumerically("<=", 4))
		close(release)
		resp, err = http.ReadResponse(slowReader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusNoContent))
		Expect(listener.closed.Load()).To(BeNumerically(">=", 17))
	})

	// Guards against heads of very many short fields that exceed the memory together, against
	// a refusal that does not arrive, and against reservations that are not returned.
	It("charges the lines of heads, and refuses those that do not fit", func() {
		account := clientlimit.NewAccount(8 * mib)
		served := make(chan struct{}, 8)
		hold := make(chan struct{})
		_, address := startLimited(account, 16, func(w http.ResponseWriter, _ *http.Request) {
			served <- struct{}{}
			<-hold
			w.WriteHeader(http.StatusNoContent)
		})
		var fields strings.Builder
		for n := range 8000 {
			fmt.Fprintf(&fields, "%x:\r\n", n)
		}
		first, firstReader := dialLimited(address)
		sendHead(first, fields.String())
		Eventually(served).Should(Receive())
		Expect(account.Held()).To(BeNumerically(">=", clientlimit.HeadCost(fields.Len(), 8000)))

		second, secondReader := dialLimited(address)
		_, _ = fmt.Fprintf(second, "GET / HTTP/1.1\r\nHost: h\r\n%s\r\n", fields.String()) // the refusal may come first
		resp, err := http.ReadResponse(secondReader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())

		close(hold)
		resp, err = http.ReadResponse(firstReader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusNoContent))
		Eventually(account.Held).Should(BeZero())
	})
})

const mib = 1 << 20
