package controller

import (
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/upstream"
)

var _ = Describe("probeConnection", func() {
	// Guards against counting a target as crashed that is slow or unreachable.
	It("tells refused, accepted and unknown apart", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		probe := func(address string) []bool {
			accepted, refused := probeConnection(upstream.Dial, address)
			return []bool{accepted, refused}
		}
		Expect(probe(address)).To(Equal([]bool{true, false}))
		Expect(listener.Close()).To(Succeed())
		Expect(probe(address)).To(Equal([]bool{false, true}))
		Expect(probe("not an address")).To(Equal([]bool{false, false}))
	})
})
