package ctl_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/ctl"
)

var _ = Describe("tamarackctl route", func() {
	var query string
	run := func(answer string, args ...string) (int, string, string) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			text, _ := io.ReadAll(r.Body)
			query = r.Method + " " + r.URL.Path + " " + string(text)
			_, _ = w.Write([]byte(answer))
		}))
		DeferCleanup(server.Close)
		var out, errOut bytes.Buffer
		code := ctl.Run(append([]string{"route", "-status", strings.TrimPrefix(server.URL, "http://")}, args...), &out, &errOut)
		return code, out.String(), errOut.String()
	}
	asked := []string{"-host", "h", "-path", "/s/x", "-key", "k", "-prompt-tokens", "800", "-answer-tokens", "200"}
	const admitted = `{"vm":"vm-1","zone":"a","configuration":7,"route":"stream","workspace":"ws","priority":1,"services":[{"service":"llm","share":1,
		"admitted":true,"path":[{"target":"t1","layers":{"first":0,"end":80}}],"prefill_ms":12,"queue_ms":3,"candidates":[
		{"target":"t1","zone":"a","requests":2,"load_age_ms":120,"cost_per_layer":0.5,"chosen":true},
		{"target":"t2","zone":"a","load_age_ms":-1,"excluded":["draining"]}]}]}`

	It("prints the path, the candidates and what excludes them", func() {
		code, out, _ := run(admitted, asked...)
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(query).To(Equal(`POST /route {"host":"h","path":"/s/x","key":"k","prompt_tokens":800,"answer_tokens":200}`))
		Expect(out).To(And(ContainSubstring("route stream"), ContainSubstring("* t1"), ContainSubstring("load 120 ms old"), ContainSubstring("draining"), ContainSubstring("admitted: t1[0,80)")))
		code, out, _ = run(admitted, append(asked, "-json")...)
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(MatchJSON(admitted))
	})

	DescribeTable("fails with the remedy", func(answer, remedy string, want int) {
		code, _, errOut := run(answer, asked...)
		Expect(code).To(Equal(want))
		Expect(errOut).To(ContainSubstring(remedy))
	},
		Entry("unknown route", `{"vm":"vm-1","configuration":7,"refusal":{"status":404,"reason":"no route"}}`, "unknown route", ctl.ExitRefused),
		Entry("unknown key", `{"vm":"vm-1","configuration":7,"refusal":{"status":401,"reason":"the key"}}`, "unknown key", ctl.ExitRefused),
		Entry("a VM without configuration", `{"vm":"vm-1","configuration":0,"refusal":{"status":503,"reason":"none"}}`, "no configuration", ctl.ExitRefused),
		Entry("no VM of this kind", `404`, "is it the metrics address", ctl.ExitUnreachable),
	)

	It("fails for an unreachable VM, and without host and path", func() {
		var out, errOut bytes.Buffer
		Expect(ctl.Run([]string{"route", "-status", "127.0.0.1:1", "-host", "h", "-path", "/"}, &out, &errOut)).To(Equal(ctl.ExitUnreachable))
		Expect(ctl.Run([]string{"route"}, &out, &errOut)).To(Equal(ctl.ExitUsage))
	})
})
