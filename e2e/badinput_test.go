package e2e

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/gen/tamarack/v1/tamarackv1connect"
	"tamarackreach/internal/deployment"
	"tamarackreach/internal/fault"
	"tamarackreach/internal/operatorapi"
	"tamarackreach/internal/rpc"
)

var _ = Describe("bad input", Ordered, func() {
	var c *cluster

	BeforeAll(func(ctx SpecContext) { c = startCluster(ctx, smallShape(1)) })

	AfterEach(func(ctx SpecContext) {
		a := c.generate(ctx, 0, goodRequest())
		Expect(a.err).NotTo(HaveOccurred(), "the daemon keeps serving")
	})

	DescribeTable("in a model request gets a typed error with a remedy",
		func(ctx SpecContext, change func(*tamarackv1.GenerateRequest), want fault.Code) {
			request := goodRequest()
			change(request)
			expectFault(c.generate(ctx, 0, request), want)
		},
		Entry("unknown model", func(r *tamarackv1.GenerateRequest) { r.Model = "other" }, fault.UnknownModel),
		Entry("oversized prompt", func(r *tamarackv1.GenerateRequest) { r.Prompt = strings.Repeat("x", 17<<10) }, fault.PromptTooLong),
		Entry("empty prompt", func(r *tamarackv1.GenerateRequest) { r.Prompt = "" }, fault.BadRequest),
		Entry("body over the limit", func(r *tamarackv1.GenerateRequest) { r.Prompt = strings.Repeat("x", 5<<20) }, fault.BadRequest),
	)

	It("with a wrong workspace key is refused", func(ctx SpecContext) {
		stream, err := c.caller(0).Generate(ctx, withToken(goodRequest(), "wrong"))
		Expect(err).NotTo(HaveOccurred())
		Expect(stream.Receive()).To(BeFalse())
		f, ok := rpc.FaultOf(stream.Err())
		Expect(ok).To(BeTrue())
		Expect(f.Code).To(BeEquivalentTo(fault.BadKey))
	})

	It("from an operator with a wrong token or outside the team's subtree is refused", func(ctx SpecContext) {
		changes, err := c.InitialChanges()
		Expect(err).NotTo(HaveOccurred())
		request := &tamarackv1.ApplyRequest{Change: operatorapi.ChangeMessage(changes[0])}
		for token, want := range map[string]fault.Code{"wrong": fault.BadKey, c.Teams[deployment.SalesTeam]: fault.WrongTeam} {
			_, err := c.operator(0).Apply(ctx, withToken(request, token))
			f, ok := rpc.FaultOf(err)
			Expect(ok).To(BeTrue())
			Expect(f.Code).To(BeEquivalentTo(want))
			Expect(f.Remedy).NotTo(BeEmpty())
		}
	})

	DescribeTable("in a JSON body gets a typed error with a remedy",
		func(body string, length int) {
			response := postRaw(c, body, length)
			Expect(response.code).To(Equal("invalid_argument"))
			Expect(response.remedy).To(ContainSubstring("remedy: "))
		},
		Entry("malformed JSON", `{"service":`, 11),
		Entry("an unknown field", `{"service":"desk","colour":1}`, 29),
		Entry("a wrong type", `{"service":7}`, 13),
		Entry("a truncated body", `{"service":"de`, 100),
	)

	DescribeTable("in a call gets a typed error with a remedy",
		func(ctx SpecContext, request *tamarackv1.CallRequest, want fault.Code) {
			_, err := c.caller(0).Call(ctx, asWorkspace(c, workspace, request))
			f, ok := rpc.FaultOf(err)
			Expect(ok).To(BeTrue())
			Expect(f.Code).To(BeEquivalentTo(want))
			Expect(f.Remedy).NotTo(BeEmpty())
		},
		Entry("unknown service", &tamarackv1.CallRequest{Service: "none", Method: "connect"}, fault.UnknownService),
		Entry("unknown method", &tamarackv1.CallRequest{Service: "desk", Method: "none"}, fault.UnknownMethod),
		Entry("no idempotency key", &tamarackv1.CallRequest{Service: "desk", Method: "connect"}, fault.KeyMissing),
	)
})

func goodRequest() *tamarackv1.GenerateRequest {
	return &tamarackv1.GenerateRequest{Model: string(deployment.ModelName), Prompt: "good", MaxTokens: 2}
}

func expectFault(a answer, want fault.Code) {
	GinkgoHelper()
	Expect(a.fault).NotTo(BeNil(), "error %v", a.err)
	Expect(a.fault.Code).To(BeEquivalentTo(want))
	Expect(a.fault.Remedy).NotTo(BeEmpty())
	Expect(a.fault.Kind).To(Equal(tamarackv1.FaultKind_FAULT_KIND_NOT_RUN))
}

type rawResponse struct{ code, remedy string }

// postRaw sends a call with a raw body and the given Content-Length, and closes
// the write side of the connection.
func postRaw(c *cluster, body string, length int) rawResponse {
	conn, err := net.Dial("tcp", c.Entries[0].Caller)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		tamarackv1connect.CallerServiceCallProcedure, length, body)
	Expect(err).NotTo(HaveOccurred())
	Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	var message struct {
		Code    string            `json:"code"`
		Message string            `json:"message"`
		Details []json.RawMessage `json:"details"`
	}
	Expect(json.NewDecoder(response.Body).Decode(&message)).To(Succeed())
	Expect(message.Details).To(HaveLen(1))
	return rawResponse{code: message.Code, remedy: message.Message}
}
