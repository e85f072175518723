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

	// Guards against small responses that are discarded while another target sends without end.
	It("hold small responses beside large ones that reach the limit", func() {
		var all buffers
		large := responseBuffer{responseMemory{buffers: &all}}
		Expect(large.Reserve(maxBufferedBytes)).To(BeTrue())
		Expect(large.Reserve(1)).To(BeFalse())
		small := responseBuffer{responseMemory{buffers: &all}}
		_, err := small.readAll(strings.NewReader("whole"), -1)
		Expect(err).NotTo(HaveOccurred())
		_, err = small.readAll(bytes.NewReader(make([]byte, smallResponseBytes)), -1)
		Expect(err).To(MatchError(errBuffersFull))
		large.release()
		_, err = small.readAll(bytes.NewReader(make([]byte, smallResponseBytes)), -1)
		Expect(err).NotTo(HaveOccurred())
		small.Release(smallResponseBytes)
		Expect(all.used.Load()).To(Equal(small.large))
		small.release()
		Expect(all.used.Load()).To(BeZero())
	})

	It("hold one response up to its limit", func() {
		one := responseBuffer{responseMemory{buffers: &buffers{}}}
		_, err := one.readAll(bytes.NewReader(make([]byte, maxResponseBytes+1)), -1)
		Expect(err).To(MatchError(errResponseTooLarge))
		content, err := one.readAll(iotest.OneByteReader(strings.NewReader("whole")), -1)
		Expect(err).NotTo(HaveOccurred())
		Expect(content).To(BeEquivalentTo("whole"))
	})
})
