package e2e

import (
	"bufio"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/internal/tracing"
)

var _ = Describe("records of a session", func() {
	It("replay to the same effects, and have a span for each hop", func(ctx SpecContext) {
		shape := smallShape(2)
		shape.RecordEvents = true
		c := startCluster(ctx, shape)
		for range 3 {
			Expect(c.generate(ctx, 0, goodRequest()).err).NotTo(HaveOccurred())
		}
		response, err := c.caller(0).Call(ctx, asWorkspace(c, workspace, &tamarackv1.CallRequest{
			Service: "desk", Method: "connect", IdempotencyKey: "traced",
		}))
		Expect(err).NotTo(HaveOccurred())
		traceID := response.Header().Get(tracing.TraceIDHeader)
		Expect(traceID).To(HaveLen(32))

		c.signal("entry-1", syscall.SIGTERM)
		Expect(c.processes["entry-1"].Wait()).To(Succeed())
		delete(c.processes, "entry-1")

		output, err := exec.Command(filepath.Join(os.Getenv("TAMARACK_BIN"), "tamarack-replay"), filepath.Join(c.dir, "entry-1-events.jsonl")).CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(output))
		Expect(string(output)).To(ContainSubstring(" 0 differ"))

		spans := readSpans(filepath.Join(c.dir, "entry-1-spans.jsonl"))
		Expect(spans[traceID]).To(ConsistOf("call", "call", "table transaction", "table transaction"))
		delete(spans, traceID)
		Expect(spans).To(HaveLen(3))
		for _, names := range spans {
			Expect(names).To(ConsistOf("generate", "attempt", "hop", "hop", "hop"))
		}
	})
})

// readSpans returns the span names of each trace by its trace ID.
func readSpans(path string) map[string][]string {
	file, err := os.Open(path)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = file.Close() }()
	spans := make(map[string][]string)
	decoder := json.NewDecoder(bufio.NewReader(file))
	for decoder.More() {
		var span struct {
			Name        string
			SpanContext struct{ TraceID string }
		}
		Expect(decoder.Decode(&span)).To(Succeed())
		spans[span.SpanContext.TraceID] = append(spans[span.SpanContext.TraceID], span.Name)
	}
	return spans
}
