package controller

import (
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("refusesConnections", func() {
	// Guards against counting a target as crashed that is slow or unreachable.
	It("is true only where nothing listens", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := listener.Addr().String()
		Expect(refusesConnections(address)).To(BeFalse())
		Expect(listener.Close()).To(Succeed())
		Expect(refusesConnections(address)).To(BeTrue())
		Expect(refusesConnections("not an address")).To(BeFalse())
	})
})
