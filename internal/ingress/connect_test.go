package ingress_test

import (
	"bufio"
	"net"
	"net/http"
	"strconv"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

// hangingAddress returns an address to which connections are neither opened nor refused: the
// queue of its listener is full.
func hangingAddress() string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = unix.Close(fd) })
	Expect(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	Expect(unix.Listen(fd, 0)).To(Succeed())
	name, err := unix.Getsockname(fd)
	Expect(err).NotTo(HaveOccurred())
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*unix.SockaddrInet4).Port))
	conn, err := dial(address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return address
}

var _ = Describe("a request whose time ends while a connection to its target is opened", func() {
	// Guards against an answer that promises nothing for a request that was not sent: its
	// caller may not repeat one that is not idempotent.
	DescribeTable("is answered as not run", func(path string) {
		conn := dialIngress(startIngressFor(hangingAddress()))
		writeRequest(conn, path, 250)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Header.Get("Retry-After")).NotTo(BeEmpty())
	},
		Entry("idempotent", "/r/x"), Entry("not idempotent", "/p/x"), Entry("stream", "/s/x"),
	)
})
