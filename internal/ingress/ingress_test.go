package ingress_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"tamarackreach/internal/frontdaemon"
	"tamarackreach/platform"
	"tamarackreach/platform/platformtest"
)

func TestIngress(t *testing.T) {
	RegisterFailHandler(Fail)
	logrus.SetOutput(GinkgoWriter)
	http.DefaultClient.Timeout = specBound
	RunSpecs(t, "ingress")
}

// site is an entry VM with a fake store and fake targets.
type site struct {
	store   *platformtest.Store
	fleet   *platformtest.Fleet
	client  string
	ready   string
	signals chan os.Signal
	done    chan error
	next    atomic.Int64
	// settings is the text that is written to the settings file at settingsPath.
	settings, settingsPath string
	// metrics is the address that serves metrics and status.
	metrics string
}

// startSite starts a site whose entry VM listens on the host with the number vm; the
// VMs of one process need different numbers.
func startSite(vm int) *site {
	store, err := platformtest.NewStore()
	Expect(err).NotTo(HaveOccurred())
	host := platformtest.Host(0, vm)
	s := &site{store: store, fleet: platformtest.NewFleet(store), client: platformtest.ClientAddress(host), ready: platformtest.ReadyAddress(host), signals: make(chan os.Signal, 1), done: make(chan error, 1)}
	s.metrics = platformtest.MetricsAddress(host)
	Expect(store.Put("op", "config", platformtest.Config(1, "key"))).To(Succeed())
	for _, zone := range []string{"a", "b"} {
		for range 2 {
			_, err := s.fleet.Start("desk", zone, "", 0, 0)
			Expect(err).NotTo(HaveOccurred())
		}
		for range 3 {
			_, err := s.fleet.Start("llm", zone, "k", 0, 0)
			Expect(err).NotTo(HaveOccurred())
		}
	}
	// A short window, since a VM starts without a share of the retry budget's slack.
	s.settings = strings.Replace(platformtest.Settings("vm-1", "a", host, store.Address()), "budget-window-s = 5", "budget-window-s = 1", 1)
	s.settingsPath = filepath.Join(GinkgoT().TempDir(), "node.toml")
	s.writeSettings(s.settings)
	settings, err := platform.LoadSettings(s.settingsPath)
	Expect(err).NotTo(HaveOccurred())
	daemon := frontdaemon.New(settings, frontdaemon.Options{SettingsPath: s.settingsPath, MetricsAddress: s.metrics})
	go func() { s.done <- daemon.Run(context.Background(), s.signals) }()
	DeferCleanup(func() {
		select {
		case s.signals <- syscall.SIGTERM:
		default:
		}
		Eventually(s.done, 6*time.Second).Should(Receive())
		Expect(store.Close()).To(Succeed())
	})
	Eventually(func() int { return s.get("http://" + s.ready + "/ready") }, 5*time.Second).Should(Equal(200))
	Eventually(func() int { status, _, _ := s.call("POST", "/s/x"); return status }, 10*time.Second, 100*time.Millisecond).Should(Equal(200))
	Eventually(func() string { return s.read("/metrics") }, 5*time.Second, 100*time.Millisecond).Should(
		MatchRegexp(`tamarack_retry_budget_limit\{service="desk"\} 1[89]`), "the VM has its share of the slack")
	return s
}

// read returns the page at a path of the metrics address.
func (s *site) read(path string) string {
	resp, err := http.Get("http://" + s.metrics + path)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}

func (s *site) writeSettings(text string) {
	next := s.settingsPath + ".next"
	Expect(os.WriteFile(next, []byte(text), 0o600)).To(Succeed())
	Expect(os.Rename(next, s.settingsPath)).To(Succeed())
}

func (s *site) get(url string) int {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// call sends a request with the valid key and returns its status, body and id. The
// status is 0 when the request fails or the body ends early.
func (s *site) call(method, path string) (status int, body, id string) {
	status, body, id, _ = s.callWith(method, path, "key", nil)
	return status, body, id
}

func (s *site) callWith(method, path, key string, content io.Reader) (status int, body, id string, header http.Header) {
	id = fmt.Sprintf("%s-%d", strings.Trim(path, "/x"), s.next.Add(1))
	req, err := http.NewRequest(method, "http://"+s.client+path, content)
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h"
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Tamarackreach-Attempt-Id", id)
	req.Header.Set("Tamarackreach-Deadline-Ms", "9000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", id, nil
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, string(text), id, resp.Header
	}
	return resp.StatusCode, string(text), id, resp.Header
}

// expectCompleteStream checks that a stream contains every event once and in order.
func (s *site) expectCompleteStream(body string) {
	want := 1
	scanner := bufio.NewScanner(strings.NewReader(body))
	for scanner.Scan() {
		if text, found := strings.CutPrefix(scanner.Text(), "id: "); found {
			n, err := strconv.Atoi(text)
			Expect(err).NotTo(HaveOccurred())
			Expect(n).To(Equal(want))
			want++
		}
	}
	Expect(want - 1).To(Equal(s.fleet.Events))
}

var _ = Describe("an entry VM with a fake store and targets", Ordered, func() {
	var s *site
	BeforeAll(func() { s = startSite(0) })

	// setFault sets the fault that every target of the plain service injects into all
	// its requests.
	setFault := func(f platformtest.Fault) {
		for _, t := range s.fleet.Targets("desk") {
			t.Always(f)
		}
	}

	It("places layers and streams complete responses over them", func() {
		status, body, _ := s.call("POST", "/s/x")
		Expect(status).To(Equal(200))
		s.expectCompleteStream(body)
	})

	It("serves metrics and status", func() {
		Expect(s.read("/metrics")).To(And(
			ContainSubstring("tamarack_configuration_version 1"), ContainSubstring("tamarack_placement_duty 1"),
			ContainSubstring("tamarack_layers_missing 0"), ContainSubstring(`tamarack_requests_ended_total{outcome="answered"}`),
			ContainSubstring(`tamarack_retry_budget_vms{service="desk"} 1`)))
		Expect(s.read("/status")).To(ContainSubstring(`"holes":[]`))
	})

	It("forwards a plain response with its signature and the key's workspace", func() {
		status, body, id, header := s.callWith("POST", "/p/x", "key", strings.NewReader("pay"))
		Expect(status).To(Equal(200))
		Expect(body).To(Equal("answer to " + id + " of ws"))
		Expect(header.Get("Tamarackreach-Server-Seal")).To(HavePrefix("seal-of-"))
	})

	It("retries an idempotent request whose response was lost, and delivers a failure that persists", func() {
		setFault(platformtest.LoseResponse)
		status, _, id := s.call("GET", "/r/x")
		Expect(s.fleet.Runs(id)).To(BeNumerically("<=", 2))
		Expect(status).To(BeElementOf(200, 502))
		setFault(platformtest.ServerError)
		_, _, id = s.call("GET", "/r/x")
		Expect(s.fleet.Runs(id)).To(Equal(2))
		setFault(platformtest.NoFault)
	})

	DescribeTable("never runs a non-idempotent request twice, and never reports one that ran as not run",
		func(f platformtest.Fault, runs int) {
			setFault(f)
			status, _, id := s.call("POST", "/p/x")
			setFault(platformtest.NoFault)
			Expect(s.fleet.Runs(id)).To(Equal(runs))
			if runs > 0 {
				Expect(status).To(BeElementOf(200, 500, 502, 504))
			} else {
				Expect(status).To(Equal(503))
			}
		},
		Entry("its response is lost", platformtest.LoseResponse, 1),
		Entry("the response carries another request's id", platformtest.MismatchedID, 1),
		Entry("the target fails", platformtest.ServerError, 1),
		Entry("all targets reject it", platformtest.Reject, 0),
	)

	It("resumes a stream that is interrupted inside an event", func() {
		s.fleet.InterruptNextStream()
		status, body, id := s.call("POST", "/s/x")
		Expect(status).To(Equal(200))
		s.expectCompleteStream(body)
		Expect(s.fleet.Runs(id)).To(Equal(2))
	})

	It("refuses invalid requests", func() {
		status, _, _, _ := s.callWith("POST", "/p/x", "key", strings.NewReader(strings.Repeat("x", 2000)))
		Expect(status).To(Equal(http.StatusRequestEntityTooLarge))
		Expect(s.get("http://" + s.client + "/p/x")).To(Equal(http.StatusBadRequest))
		status, _, _, _ = s.callWith("POST", "/nowhere/", "key", nil)
		Expect(status).To(Equal(http.StatusNotFound))
		status, _, _, _ = s.callWith("POST", "/p/x", "wrong", nil)
		Expect(status).To(Equal(http.StatusUnauthorized))
	})

	It("does not run a request smuggled inside the body of another", func() {
		conn, err := dial(s.client)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "POST /p/x HTTP/1.1\r\nHost: h\r\nTamarackreach-Attempt-Id: outer\r\nAuthorization: Token key\r\n"+
			"Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /p/x HTTP/1.1\r\nHost: h\r\nTamarackreach-Attempt-Id: inner\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond))).To(Succeed())
		_, _ = io.ReadAll(conn)
		Expect(s.fleet.Runs("inner")).To(BeZero())
	})

	It("completes streams whose path loses a crashed target", func() {
		var wait sync.WaitGroup
		s.fleet.EventInterval = 40 * time.Millisecond
		bodies := make([]string, 8)
		for i := range bodies {
			wait.Add(1)
			go func() {
				defer wait.Done()
				_, bodies[i], _ = s.call("POST", "/s/x")
			}()
		}
		time.Sleep(200 * time.Millisecond)
		for _, t := range s.fleet.Targets("llm") {
			if t.Zone == "a" {
				t.Crash()
				t.Deregister()
				break
			}
		}
		wait.Wait()
		s.fleet.EventInterval = 5 * time.Millisecond
		for _, body := range bodies {
			s.expectCompleteStream(body)
		}
	})

	It("cancels the request at its target when the caller disconnects", func() {
		s.fleet.EventInterval = 100 * time.Millisecond
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.client+"/s/x", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Host = "h"
		req.Header.Set("Authorization", "Token key")
		req.Header.Set("Tamarackreach-Attempt-Id", "leaver")
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_, _ = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		Eventually(s.fleet.InFlight, time.Second).Should(BeZero())
		s.fleet.EventInterval = 5 * time.Millisecond
	})

	// Guards against a daemon that does not reset what ingress.ConnContext lets it reset.
	It("resets the connection of a caller of HTTP/1.0 whose stream is broken off", func() {
		s.fleet.EventInterval = 100 * time.Millisecond
		conn := dialIngress(s.client)
		writeRequest10(conn, "/s/x", 400)
		text, err := io.ReadAll(conn)
		s.fleet.EventInterval = 5 * time.Millisecond
		Expect(string(text)).To(ContainSubstring("id: 1\n"))
		Expect(err).To(HaveOccurred())
	})

	It("keeps serving while the store is unreachable, but accepts no key beyond the revocation bound", func() {
		s.store.Fail(http.StatusServiceUnavailable)
		status, _, _ := s.call("GET", "/r/x")
		Expect(status).To(Equal(200))
		Eventually(func() int { status, _, _ := s.call("GET", "/r/x"); return status }, 3*time.Second, 50*time.Millisecond).Should(Equal(503))
		Expect(s.get("http://" + s.ready + "/ready")).To(Equal(503))
		s.store.Fail(0)
		Eventually(func() int { status, _, _ := s.call("GET", "/r/x"); return status }, 3*time.Second, 50*time.Millisecond).Should(Equal(200))
	})

	// The settings file may change without a signal, and the store's address with it.
	It("applies a changed settings file, and keeps the settings in force when the file is invalid", func() {
		status := func() int { status, _, _ := s.call("GET", "/r/x"); return status }
		s.writeSettings(strings.Replace(s.settings, "strict-revoke = true", "strict-revoke = false", 1))
		time.Sleep(1500 * time.Millisecond)
		s.store.Fail(http.StatusServiceUnavailable)
		Consistently(status, 2*time.Second, 100*time.Millisecond).Should(Equal(200))
		s.writeSettings("no settings")
		s.signals <- syscall.SIGHUP
		Consistently(status, 500*time.Millisecond, 100*time.Millisecond).Should(Equal(200))
		s.writeSettings(s.settings)
		s.signals <- syscall.SIGHUP
		Eventually(status, 2*time.Second, 50*time.Millisecond).Should(Equal(503))
		s.store.Fail(0)
		Eventually(status, 3*time.Second, 50*time.Millisecond).Should(Equal(200))

		newStore, err := platformtest.NewStore()
		Expect(err).NotTo(HaveOccurred())
		defer func() { Expect(newStore.Close()).To(Succeed()) }()
		Expect(newStore.Put("op", "config", platformtest.Config(3, "moved"))).To(Succeed())
		s.writeSettings(strings.Replace(s.settings, s.store.Address(), newStore.Address(), 1))
		Eventually(status, 3*time.Second, 50*time.Millisecond).Should(Equal(401))
		s.writeSettings(s.settings)
		Expect(s.store.Put("op", "config", platformtest.Config(4, "key"))).To(Succeed())
		Eventually(status, 4*time.Second, 50*time.Millisecond).Should(Equal(200))
	})

	It("applies a change of keys, and keeps the configuration in force when the new one is invalid", func() {
		Expect(s.store.Put("op", "config", platformtest.Config(5, "new"))).To(Succeed())
		Eventually(func() int { status, _, _ := s.call("GET", "/r/x"); return status }, 600*time.Millisecond, 20*time.Millisecond).Should(Equal(401))
		Expect(s.store.Put("op", "config", platformtest.Config(6, "key"))).To(Succeed())
		Eventually(func() int { status, _, _ := s.call("GET", "/r/x"); return status }, 600*time.Millisecond, 20*time.Millisecond).Should(Equal(200))
		Expect(s.store.Put("op", "config", "no configuration")).To(Succeed())
		Consistently(func() int { status, _, _ := s.call("GET", "/r/x"); return status }, 500*time.Millisecond, 50*time.Millisecond).Should(Equal(200))
	})

	It("completes its requests on SIGTERM, and reports not ready at once", func() {
		s.fleet.EventInterval = 60 * time.Millisecond
		var wait sync.WaitGroup
		var body string
		wait.Add(1)
		go func() { defer wait.Done(); _, body, _ = s.call("POST", "/s/x") }()
		time.Sleep(100 * time.Millisecond)
		s.signals <- syscall.SIGTERM
		Eventually(func() int { return s.get("http://" + s.ready + "/ready") }, 300*time.Millisecond, 10*time.Millisecond).Should(Equal(503))
		wait.Wait()
		s.expectCompleteStream(body)
	})
})
