package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tamarackv1 "tamarackreach/gen/tamarack/v1"
	"tamarackreach/gen/tamarack/v1/tamarackv1connect"
	"tamarackreach/internal/ctl"
	"tamarackreach/internal/fault"
	"tamarackreach/internal/rpc"
)

func TestCtl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ctl")
}

// operator is a stub service; Apply returns the fault, if one is set.
type operator struct {
	tamarackv1connect.UnimplementedOperatorServiceHandler
	fault *fault.Fault
}

func (o *operator) Apply(context.Context, *connect.Request[tamarackv1.ApplyRequest]) (*connect.Response[tamarackv1.ApplyResponse], error) {
	if o.fault != nil {
		return nil, rpc.Error(o.fault)
	}
	return connect.NewResponse(&tamarackv1.ApplyResponse{Revision: 7}), nil
}

func (o *operator) GetSettings(context.Context, *connect.Request[tamarackv1.GetSettingsRequest]) (*connect.Response[tamarackv1.GetSettingsResponse], error) {
	return connect.NewResponse(&tamarackv1.GetSettingsResponse{
		Revision: 6, TreeJson: `{"teams":{"sales":{"workspaces":{"w":{"key_sha256":"","priority":1,"first_token_ms":5}}}}}`,
	}), nil
}

var _ = Describe("tamarackctl", func() {
	var service *operator
	var address, file string

	BeforeEach(func() {
		service = &operator{}
		_, handler := tamarackv1connect.NewOperatorServiceHandler(service)
		server := httptest.NewUnstartedServer(handler)
		server.Config = rpc.NewServer(handler)
		server.Start()
		DeferCleanup(server.Close)
		address = strings.TrimPrefix(server.URL, "http://")
		file = filepath.Join(GinkgoT().TempDir(), "change.json")
		change := `{"id":"c1","team":"sales","edits":[{"path":"workspaces/w","value":{"priority":2}},{"path":"workspaces/new","value":{}}]}`
		Expect(os.WriteFile(file, []byte(change), 0o600)).To(Succeed())
	})

	run := func(args ...string) (code int, out, errOut string) {
		var stdout, stderr bytes.Buffer
		code = ctl.Run(args, &stdout, &stderr)
		return code, stdout.String(), stderr.String()
	}

	It("reports the outcome of a change in its exit code", func() {
		apply := func() int {
			code, _, _ := run("apply", "-node", address, "-file", file)
			return code
		}
		Expect(apply()).To(Equal(ctl.ExitOK))
		service.fault = &fault.Fault{Kind: fault.NotRun, Code: fault.ChangeConflict}
		Expect(apply()).To(Equal(ctl.ExitRefused))
		service.fault = &fault.Fault{Kind: fault.InDoubt, Code: fault.ChangeInDoubt}
		Expect(apply()).To(Equal(ctl.ExitInDoubt))
		address = "127.0.0.1:1"
		Expect(apply()).To(Equal(ctl.ExitUnreachable))
	})

	It("describes errors in a command line or a change file", func() {
		for want, args := range map[string][]string{
			"unknown command":     {"aply"},
			"name one with -file": {"apply", "-node", address},
			"name one target":     {"drain", "-node", address},
			"not defined: -nod":   {"status", "-nod", address},
		} {
			code, _, errOut := run(args...)
			Expect(code).To(Equal(ctl.ExitUsage), "%v", args)
			Expect(errOut).To(ContainSubstring(want))
		}
		Expect(os.WriteFile(file, []byte(`{"identity":1}`), 0o600)).To(Succeed())
		code, _, errOut := run("diff", "-node", address, "-file", file)
		Expect(code).To(Equal(ctl.ExitUsage))
		Expect(errOut).To(ContainSubstring("identity"))
	})

	It("lists the paths that a change alters and no others, as text and JSON", func() {
		code, out, _ := run("diff", "-node", address, "-file", file)
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(ContainSubstring("against revision 6"))
		Expect(out).To(ContainSubstring("teams/sales/workspaces/new\n  - absent\n  + {}"))
		Expect(out).To(ContainSubstring("2 paths change; nothing else does"))
		_, out, _ = run("diff", "-json", "-node", address, "-file", file)
		var differences []map[string]string
		Expect(json.Unmarshal([]byte(out), &differences)).To(Succeed())
		Expect(differences).To(HaveLen(2))
	})
})
