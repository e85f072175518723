package ctl_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/ctl"
	"tamarackreach/platform/platformtest"
)

var _ = Describe("tamarackctl for tamarack-front", func() {
	run := func(args ...string) (int, string, string) {
		var out, errOut bytes.Buffer
		code := ctl.Run(args, &out, &errOut)
		return code, out.String(), errOut.String()
	}
	write := func(text string) string {
		file := filepath.Join(GinkgoT().TempDir(), "file")
		Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed())
		return file
	}
	serve := func(status int, text string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(text))
		}))
		DeferCleanup(server.Close)
		return strings.TrimPrefix(server.URL, "http://")
	}

	It("shows the layers held by each target and the layers that no target holds", func() {
		address := serve(http.StatusOK, `{"vm":"vm-1","zone":"a","configuration":7,"confirmed_ms":120,"in_flight":3,
			"targets":[{"id":"t1","service":"llm","zone":"a","kind":"k","held":{"first":0,"end":40},"state":"ready","pace":1,"requests":2}],
			"holes":[{"service":"llm","zone":"a","layers":{"first":40,"end":80}}]}`)
		code, out, _ := run("placement", "-status", address)
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(And(ContainSubstring("vm-1 in a: configuration 7"), ContainSubstring("[0,40)"), ContainSubstring("hole: no usable target of llm in a holds [40,80)")))
	})

	It("reports an error when the address returns no status", func() {
		code, _, errOut := run("placement", "-status", serve(http.StatusNotFound, "no"))
		Expect(code).To(Equal(ctl.ExitUnreachable))
		Expect(errOut).To(ContainSubstring("answered 404"))
		code, _, errOut = run("placement", "-status", "127.0.0.1:1")
		Expect(code).To(Equal(ctl.ExitUnreachable))
		Expect(errOut).To(ContainSubstring("-status"))
	})

	It("checks settings and deploy files", func() {
		settings := write(platformtest.Settings("vm-1", "a", "127.0.0.1", "127.0.0.1:9"))
		code, out, _ := run("check", "-settings", settings, "-deploy", "../../deploy/system.toml")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(strings.Count(out, "valid")).To(Equal(2))
		code, _, errOut := run("check", "-settings", write("zone = \"a\""))
		Expect(code).To(Equal(ctl.ExitUsage))
		Expect(errOut).To(ContainSubstring("node-name is missing"))
		code, _, errOut = run("check")
		Expect(code).To(Equal(ctl.ExitUsage))
		Expect(errOut).To(ContainSubstring("-deploy"))
	})

	It("prints its version", func() {
		code, out, _ := run("version")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(HavePrefix("tamarackreach "))
	})
})
