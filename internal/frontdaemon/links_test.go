package frontdaemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"tamarackreach/internal/director"
	"tamarackreach/internal/upstream"
	"tamarackreach/platform"
	"tamarackreach/platform/platformtest"
)

// The ways in which the links of a VM to the targets are cut.
const (
	linksUp int32 = iota
	linksSilent
	linksReset
	linksRefuse
)

// cutLinks opens the connections of a VM to targets, and loses what they carry while the
// links are cut. Connections to other VMs are not affected.
type cutLinks struct {
	state   atomic.Int32
	targets sync.Map
	mu      sync.Mutex
	open    []*net.TCPConn
}

func (l *cutLinks) dial(ctx context.Context, address string) (net.Conn, error) {
	if _, isTarget := l.targets.Load(address); !isTarget {
		return upstream.Dial(ctx, address)
	}
	switch l.state.Load() {
	case linksSilent:
		ctx, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
		defer cancel()
		<-ctx.Done()
		return nil, ctx.Err()
	case linksReset:
		return nil, syscall.ECONNRESET
	case linksRefuse:
		return nil, syscall.ECONNREFUSED
	}
	conn, err := upstream.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	tcp := conn.(*net.TCPConn)
	l.mu.Lock()
	l.open = append(l.open, tcp)
	l.mu.Unlock()
	return &cutConn{TCPConn: tcp, links: l}, nil
}

// cut sets the state of the links and resets open connections where it says so.
func (l *cutLinks) cut(state int32) {
	l.state.Store(state)
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == linksReset {
		for _, conn := range l.open {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}
		l.open = nil
	}
}

// cutConn is a connection that carries nothing while the links are silent.
type cutConn struct {
	*net.TCPConn
	links *cutLinks
}

func (c *cutConn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if err != nil || c.links.state.Load() != linksSilent {
			return n, err
		}
	}
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.links.state.Load() == linksSilent {
		return len(p), nil
	}
	return c.TCPConn.Write(p)
}

// cutDeployment is three entry VMs, the first two of one zone, with stand-ins of store and
// targets.
type cutDeployment struct {
	daemons []*Daemon
	links   []*cutLinks
	fleet   *platformtest.Fleet
}

func startCutDeployment(run int) *cutDeployment {
	output := logrus.StandardLogger().Out
	logrus.SetOutput(GinkgoWriter)
	DeferCleanup(func() { logrus.SetOutput(output) })
	store, err := platformtest.NewStore()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = store.Close() })
	d := &cutDeployment{fleet: platformtest.NewFleet(store)}
	DeferCleanup(d.fleet.Close)
	Expect(store.Put("op", "config", platformtest.Config(1, "key"))).To(Succeed())
	var addresses []string
	for _, zone := range []string{"a", "b"} {
		for range 2 {
			t, err := d.fleet.Start("llm", zone, "k", 0, 0)
			Expect(err).NotTo(HaveOccurred())
			addresses = append(addresses, t.Address())
		}
		t, err := d.fleet.Start("desk", zone, "", 0, 0)
		Expect(err).NotTo(HaveOccurred())
		addresses = append(addresses, t.Address())
	}
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	for n, zone := range []string{"a", "a", "b"} {
		text := platformtest.Settings(fmt.Sprint("vm-", n+1), zone, platformtest.Host(run, n), store.Address())
		settings, err := platform.ParseSettings([]byte(platformtest.FirstStart(text)))
		Expect(err).NotTo(HaveOccurred())
		links := &cutLinks{}
		for _, address := range addresses {
			links.targets.Store(address, true)
		}
		daemon := New(settings, Options{Dial: links.dial})
		d.daemons, d.links = append(d.daemons, daemon), append(d.links, links)
		go func() {
			defer GinkgoRecover()
			Expect(daemon.Run(ctx, make(chan os.Signal))).To(Or(Succeed(), MatchError(context.Canceled)))
		}()
	}
	for n := range d.daemons {
		for _, path := range []string{"/s/x", "/r/x", "/p/x"} {
			Eventually(func() int { return d.request(n, path) }, 15*time.Second, 50*time.Millisecond).Should(Equal(http.StatusOK))
		}
	}
	return d
}

var cutRequests atomic.Int64

// request sends a request to a VM and returns the status of its complete response, 0 without one.
func (d *cutDeployment) request(n int, path string) int {
	method := http.MethodPost
	if path == "/r/x" {
		method = http.MethodGet
	}
	req, err := http.NewRequest(method, "http://"+d.daemons[n].settings.ClientAddress+path, nil)
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h"
	req.Header.Set("Authorization", "Token key")
	req.Header.Set("Tamarackreach-Attempt-Id", fmt.Sprint("links-", cutRequests.Add(1)))
	req.Header.Set("Tamarackreach-Deadline-Ms", "2000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// cutNoticeTime is the time within which a cut may still fail requests: the stability window
// of the platform's sheets.
const cutNoticeTime = 3 * time.Second

// requestFor sends requests of all kinds to the first VM, one after the other.
func (d *cutDeployment) requestFor(duration time.Duration) (served, sent int) {
	for started := time.Now(); time.Since(started) < duration; {
		for _, path := range []string{"/s/x", "/r/x", "/p/x"} {
			sent++
			if d.request(0, path) == http.StatusOK {
				served++
			}
		}
	}
	return served, sent
}

// relayedSends returns how many sends a VM made through other VMs.
func (d *cutDeployment) relayedSends(n int) float64 {
	recorder := httptest.NewRecorder()
	d.daemons[n].metrics.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for line := range strings.Lines(recorder.Body.String()) {
		if value, found := strings.CutPrefix(line, "tamarack_sends_relayed_total "); found {
			sends, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			Expect(err).NotTo(HaveOccurred())
			return sends
		}
	}
	Fail("no counter of relayed sends")
	return 0
}

var _ = Describe("an entry VM that loses its links to the targets", func() {
	// Guards against callers of the VM being refused although other VMs reach the targets: over
	// real connections, messages between VMs and relays.
	DescribeTable("serves its callers through another VM, and directly afterwards", func(run int, state int32, relayed bool) {
		d := startCutDeployment(run)
		d.links[0].cut(state)
		d.requestFor(cutNoticeTime)
		served, sent := d.requestFor(2 * time.Second)
		Expect(served).To(BeNumerically(">=", sent*9/10), "of %d", sent)
		if relayed {
			Expect(d.relayedSends(0)).To(BeNumerically(">=", float64(served)/2))
		}
		d.links[0].cut(linksUp)
		reached := func() int {
			n := 0
			d.daemons[0].reducer.Read(func(s *director.State) { n, _ = s.Reaches() })
			return n
		}
		Eventually(reached, 5*time.Second).Should(Equal(6))
		before := d.relayedSends(0)
		for _, path := range []string{"/s/x", "/r/x", "/p/x"} {
			Expect(d.request(0, path)).To(Equal(http.StatusOK))
		}
		Expect(d.relayedSends(0)).To(Equal(before))
		Expect(d.fleet.Repeated("p-")).To(BeEmpty())
	},
		Entry("silent", 901, linksSilent, true), Entry("reset", 902, linksReset, true),
		Entry("new ones refused while those that are open live on", 903, linksRefuse, false),
	)
})
