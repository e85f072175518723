package ingress

import (
	"bytes"
	"strings"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Many targets send bodies without end. Guards against buffers of single requests that
// exceed the memory of the VM together.
var _ = Describe("the buffers of responses", func() {
	It("are limited together, and returned", func() {
		var all buffers
		body := bytes.Repeat([]byte("a"), 10<<20)
		requests := make([]responseBuffer, 4)
		for i := range requests {
			requests[i].buffers = &all
			_, err := requests[i].readAll(bytes.NewReader(body), -1)
			if i < 3 {
				Expect(err).NotTo(HaveOccurred())
				continue
			}
			Expect(err).To(MatchError(errBuffersFull))
		}
		for i := range requests {
			requests[i].release()
		}
		Expect(all.used.Load()).To(BeZero())
	})

	It("hold one response up to its limit", func() {
		one := responseBuffer{buffers: &buffers{}}
		_, err := one.readAll(bytes.NewReader(make([]byte, maxResponseBytes+1)), -1)
		Expect(err).To(MatchError(errResponseTooLarge))
		content, err := one.readAll(iotest.OneByteReader(strings.NewReader("whole")), -1)
		Expect(err).NotTo(HaveOccurred())
		Expect(content).To(BeEquivalentTo("whole"))
	})
})
