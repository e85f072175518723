package ctl

import (
	"io"
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// testdata/requests.log is an excerpt of the logs of a run with crashes on the
// platform's test bench.
var _ = Describe("explain on logs", func() {
	explain := func(request string) (string, error) {
		log, err := os.Open("testdata/requests.log")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = log.Close() }()
		var out strings.Builder
		err = explainLogs([]io.Reader{strings.NewReader("no log line\n{half a line\n"), log}, request, &out)
		return out.String(), err
	}
	lines := func(text string) []string { return strings.Split(strings.TrimSpace(text), "\n") }

	It("shows why a request was refused and when it may be retried", func() {
		text, err := explain("64435c25e5b25333")
		Expect(err).NotTo(HaveOccurred())
		all := lines(text)
		Expect(all[len(all)-1]).To(And(ContainSubstring("too many prompts to read"), ContainSubstring("retry_after_ms 854")))
	})

	It("shows why a stream was interrupted", func() {
		text, err := explain("c7204843ec9ef78e")
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(ContainSubstring("send ended, outcome diverted"))
		all := lines(text)
		Expect(all[len(all)-1]).To(ContainSubstring("reason the retry budget is spent"))
	})

	It("shows the longest pause of a stream and the target that caused it", func() {
		text, err := explain("ec2b117339987d40")
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(ContainSubstring("request sent (2)"))
		Expect(text).To(MatchRegexp("target (suspected|dead|gone)"))
		all := lines(text)
		Expect(all[len(all)-1]).To(ContainSubstring("longest_pause_ms 432"))
	})

	It("asks for the logs of every VM when no line names the request", func() {
		_, err := explain("unknown")
		Expect(err).To(MatchError(ContainSubstring("logs of every VM")))
		Expect(exitCode(err)).To(Equal(ExitUsage))
	})

	It("refuses a log that cannot be opened", func() {
		var out, errOut strings.Builder
		Expect(Run([]string{"explain", "-log", "testdata/none.log", "id"}, &out, &errOut)).To(Equal(ExitUsage))
		Expect(errOut.String()).To(ContainSubstring("cannot open a log"))
	})
})
