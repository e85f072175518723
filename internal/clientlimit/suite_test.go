package clientlimit

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestClientLimit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "client limits")
}
