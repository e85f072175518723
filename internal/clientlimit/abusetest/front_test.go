package abusetest_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/platform"
	"tamarackreach/platform/platformtest"
)

// Limits of the tests' settings file and configuration. The bounds of memory and of
// descriptors are those of the settings.
const (
	memoryMB       = 96
	maxFds         = 400
	maxBodyBytes   = 1 << 20
	maxHeaderBytes = 32 << 10
	// bodyTimeoutMs is the timeout of the route of bodies. It exceeds the duration of a test,
	// so that no stalled body ends by it. timeoutMs is that of the other routes; it is less
	// than answerTimeout, because a response that is not read may be kept until it is over.
	bodyTimeoutMs, timeoutMs = 120000, 20000
)

const (
	startTimeout = 30 * time.Second
	// answerTimeout bounds the wait for the answer to an ordinary request. It only detects
	// a process that hangs.
	answerTimeout = 40 * time.Second
	tryTimeout    = 10 * time.Second
	// sampleInterval is the interval at which open descriptors are counted.
	sampleInterval = 10 * time.Millisecond
)

// front is a process of tamarack-front with stand-ins of the store and of targets.
type front struct {
	host   string
	cmd    *exec.Cmd
	log    string
	store  *platformtest.Store
	fleet  *platformtest.Fleet
	idleMB float64
	peak   atomic.Int64
	exited chan struct{}
}

// binary returns the path of the entry VM's program, which make test builds.
func binary() string {
	dir := os.Getenv("TAMARACK_BIN")
	if dir == "" {
		dir = "../../../bin"
	}
	path, err := filepath.Abs(filepath.Join(dir, "tamarack-front"))
	Expect(err).NotTo(HaveOccurred())
	return path
}

// config returns the configuration of platformtest with the tests' limits.
func config() map[string]any {
	c := platformtest.Config(1, "key")
	for _, route := range c["routes"].([]map[string]any) {
		route["timeout-ms"] = timeoutMs
		if route["name"] == "p" {
			route["timeout-ms"] = bodyTimeoutMs
		}
	}
	c["limits"] = map[string]any{
		"max-body-bytes": maxBodyBytes, "max-header-bytes": maxHeaderBytes, "header-timeout-ms": 5000, "idle-timeout-ms": 60000,
	}
	return c
}

var runs int

// startFront starts a process and returns once it serves every kind of request.
func startFront() *front {
	runs++
	store, err := platformtest.NewStore()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = store.Close() })
	f := &front{host: platformtest.Host(200+runs%50, 1), store: store, fleet: platformtest.NewFleet(store), exited: make(chan struct{})}
	f.fleet.ReadBodies, f.fleet.Events, f.fleet.EventInterval = true, 20000, 20*time.Millisecond
	DeferCleanup(f.fleet.Close)
	Expect(store.Put("op", "config", config())).To(Succeed())
	for range 2 {
		_, err := f.fleet.Start("llm", "a", "k", 0, 0)
		Expect(err).NotTo(HaveOccurred())
		_, err = f.fleet.Start("desk", "a", "", 0, 0)
		Expect(err).NotTo(HaveOccurred())
	}
	dir := GinkgoT().TempDir()
	f.log = filepath.Join(dir, "vm.log")
	settings := platformtest.FirstStart(platformtest.Settings("vm-1", "a", f.host, store.Address()))
	settings += fmt.Sprintf("[limits]\nmemory-mb = %d\nmax-fds = %d\n", memoryMB, maxFds)
	path := filepath.Join(dir, "vm.toml")
	Expect(os.WriteFile(path, []byte(settings), 0o600)).To(Succeed())
	f.start(path)
	Eventually(f.ready, startTimeout, 50*time.Millisecond).Should(Succeed())
	for _, route := range []string{"/r/x", "/p/x", "/s/x"} {
		Eventually(f.request, startTimeout, 50*time.Millisecond).WithArguments(route).Should(Succeed())
	}
	f.idleMB = f.memory()
	go f.sample()
	return f
}

func (f *front) start(settings string) {
	output, err := os.Create(f.log)
	Expect(err).NotTo(HaveOccurred())
	f.cmd = exec.Command(binary())
	// The variables of the runtime are those of deploy/system.toml.
	f.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+settings, "GOGC=200", "GOMAXPROCS=1")
	f.cmd.Stdout, f.cmd.Stderr = output, output
	Expect(f.cmd.Start()).To(Succeed(), "build it with make build")
	go func() {
		_ = f.cmd.Wait() // alive reports the exit
		_ = output.Close()
		close(f.exited)
	}()
	DeferCleanup(func() {
		_ = f.cmd.Process.Kill() // the test has ended
		<-f.exited
	})
}

// alive reports whether the process that was started is still running.
func (f *front) alive() bool {
	select {
	case <-f.exited:
		return false
	default:
		return true
	}
}

// memory returns the peak of the resident memory of the process in MB, 0 if it has exited.
func (f *front) memory() float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kb, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 64)
			Expect(err).NotTo(HaveOccurred())
			return kb / 1024
		}
	}
	return 0
}

// sample records the largest number of open descriptors until the process exits.
func (f *front) sample() {
	for f.alive() {
		entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", f.cmd.Process.Pid))
		f.peak.Store(max(f.peak.Load(), int64(len(entries))))
		time.Sleep(sampleInterval)
	}
}

var requests atomic.Int64

// nextID returns a request id that no other request of the tests has.
func nextID() string { return fmt.Sprintf("abuse-%d-%d", os.Getpid(), requests.Add(1)) }

// request sends an ordinary request to a route over a connection of its own. For a stream it
// awaits the first event.
func (f *front) request(path string) error {
	method := http.MethodPost
	if strings.HasPrefix(path, "/r/") {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, "http://"+platformtest.ClientAddress(f.host)+path, nil)
	if err != nil {
		return err
	}
	return f.do(req)
}

// do sends a request with the fields that the platform's callers set.
func (f *front) do(req *http.Request) error {
	req.Host = "h"
	req.Header.Set("Authorization", "Token key")
	req.Header.Set("Tamarackreach-Attempt-Id", nextID())
	client := &http.Client{Timeout: tryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	if strings.HasPrefix(req.URL.Path, "/s/") {
		_, err = io.ReadFull(resp.Body, make([]byte, 1))
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// ready returns an error unless the ready listener answers that the VM is ready.
func (f *front) ready() error {
	client := &http.Client{Timeout: tryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + platformtest.ReadyAddress(f.host) + "/")
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// answers retries a request until it succeeds or the process exits, for up to answerTimeout.
func (f *front) answers(request func() error) error {
	var err error
	for end := time.Now().Add(answerTimeout); time.Now().Before(end) && f.alive(); time.Sleep(200 * time.Millisecond) {
		if err = request(); err == nil {
			return nil
		}
	}
	return fmt.Errorf("not answered, process alive %v: %w", f.alive(), err)
}
