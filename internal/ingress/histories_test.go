package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tamarackreach/internal/bootclock"
	"tamarackreach/internal/director"
	"tamarackreach/internal/fleet"
	"tamarackreach/internal/ingress"
	"tamarackreach/internal/model"
	"tamarackreach/internal/retrybudget"
	"tamarackreach/internal/upstream"
)

// plannedRequest is a request of a history's caller.
type plannedRequest struct {
	id string
	// path begins with the route: /r/ is idempotent, /p/ is not, /s/ is a stream that
	// may be resumed, /n/ one that may not.
	path     string
	deadline time.Duration
	// leaveAfter is when the caller closes its connection; 0 if it does not.
	leaveAfter time.Duration
	// ids are the ids of the events of its stream.
	ids []int64
}

func (q *plannedRequest) stream() bool {
	return strings.HasPrefix(q.path, "/s/") || strings.HasPrefix(q.path, "/n/")
}

func (q *plannedRequest) repeatable() bool {
	return strings.HasPrefix(q.path, "/s/") || strings.HasPrefix(q.path, "/r/")
}

// answer is what the caller received for a request.
type answer struct {
	// begun is true when a head was received, whole when the body was read to its end.
	begun, whole bool
	status       int
	header       http.Header
	body         string
	// behind holds bytes that followed the response.
	behind string
	err    error
}

// history is what the targets sent and what the caller received, in order.
type history struct {
	// busy is true when most targets reject requests.
	busy     bool
	requests []*plannedRequest
	answers  []*answer
	runs     []*run
	// inFlight is the number of requests in flight after the last one has ended.
	inFlight int
}

// play runs the history of a seed over loopback connections.
func play(seed uint64) (*history, error) {
	random := rand.New(rand.NewPCG(seed, 22))
	h := &history{requests: planRequests(random, seed), busy: chance(random, 0.15)}
	targets := &scriptedTargets{random: random, repeats: rand.New(rand.NewPCG(seed, 39)), draw: h.drawScript}
	defer targets.close()
	state := director.New(director.Settings{
		VM: "vm-1", Zone: "a", ConfigApply: 2 * time.Second, Retries: retrybudget.Settings{Ratio: 1, Slack: 100, Window: 10 * time.Second},
	})
	state.Step(bootclock.Now().Add(-time.Minute), director.VMsCounted{Count: 1})
	reducer := ingress.NewReducer(state)
	reducer.Step(director.ConfigRead{Started: bootclock.Now(), Config: historyConfig(pick(random, 1, 2, 3, 3))})
	if err := targets.register(reducer); err != nil {
		return nil, err
	}
	handler := ingress.New(reducer, upstream.NewPool(), func([]director.Effect) {}, ingress.NewMetrics())
	server := httptest.NewServer(handler)
	h.call(server.Listener.Addr().String())
	if err := closeServer(server); err != nil {
		return nil, err
	}
	h.inFlight = handler.InFlight()
	targets.mu.Lock()
	defer targets.mu.Unlock()
	h.runs = targets.runs
	return h, nil
}

// register starts the targets of a history and registers them.
func (s *scriptedTargets) register(reducer *ingress.Reducer) error {
	var registered []*fleet.Target
	for n := range pick(s.random, 1, 2, 3, 3) {
		address, err := s.listen()
		if err != nil {
			return err
		}
		registered = append(registered, &fleet.Target{
			ID: model.TargetID("o" + strconv.Itoa(n)), Service: "desk", Address: address, Zone: "a", State: fleet.TargetReady, Slots: 6,
		})
	}
	if len(registered) > 1 && chance(s.random, 0.15) {
		registered[0].Address = "127.0.0.1:1" // refuses connections
	}
	reducer.Step(director.TargetsRead{Targets: slices.Clone(registered)})
	var mu sync.Mutex
	s.deregister = func(n int) {
		mu.Lock()
		defer mu.Unlock()
		registered = slices.DeleteFunc(registered, func(t *fleet.Target) bool { return t.ID == model.TargetID("o"+strconv.Itoa(n)) })
		if len(registered) > 0 {
			reducer.Step(director.TargetsRead{Targets: slices.Clone(registered)})
		}
	}
	return nil
}

func historyConfig(maxTargets int) *fleet.Config {
	route := fleet.Route{Host: "h", Timeout: 5 * time.Second, MaxTargets: maxTargets, Split: []fleet.WeightedService{{Service: "desk", Weight: 1}}}
	config := &fleet.Config{
		Version: 1, Services: map[model.ServiceID]*fleet.Service{"desk": {ID: "desk"}},
		Workspaces: []fleet.Workspace{{ID: "ws", Keys: []string{"key"}}}, AllowAnonymous: true,
	}
	for _, r := range []fleet.Route{
		{Name: "read", Prefix: "/r/", Kind: fleet.Idempotent},
		{Name: "pay", Prefix: "/p/", Kind: fleet.NonIdempotent},
		{Name: "stream", Prefix: "/s/", Kind: fleet.Stream, Resumable: true},
		{Name: "once", Prefix: "/n/", Kind: fleet.Stream},
	} {
		r.Host, r.Timeout, r.MaxTargets, r.Split = route.Host, route.Timeout, route.MaxTargets, route.Split
		config.Routes = append(config.Routes, r)
	}
	return config
}

func planRequests(random *rand.Rand, seed uint64) []*plannedRequest {
	var out []*plannedRequest
	for n := range 1 + random.IntN(3) {
		q := &plannedRequest{
			id: fmt.Sprintf("q%d-%d", seed, n), path: pick(random, "/r/x", "/r/x", "/p/x", "/s/x", "/s/x", "/s/x", "/n/x"),
			deadline: time.Duration(pick(random, 250, 700))*time.Millisecond + time.Duration(random.IntN(50))*time.Millisecond,
		}
		if chance(random, 0.08) {
			q.leaveAfter = time.Duration(1+random.IntN(60)) * time.Millisecond
		}
		var id int64
		for range random.IntN(7) {
			id += int64(pick(random, 1, 1, 1, 2, 7))
			q.ids = append(q.ids, id)
		}
		out = append(out, q)
	}
	return out
}

func pick[T any](random *rand.Rand, from ...T) T { return from[random.IntN(len(from))] }

func chance(random *rand.Rand, p float64) bool { return random.Float64() < p }

// drawScript draws the response to a send.
func (h *history) drawScript(random *rand.Rand, r *run) *script {
	i := slices.IndexFunc(h.requests, func(q *plannedRequest) bool { return q.id == r.request })
	if i < 0 {
		return &script{silent: true, ending: closeOrderly}
	}
	q := h.requests[i]
	s := &script{echo: r.request, paced: chance(random, 0.5), framing: pick(random, byLength, byLength, byChunks, byChunks, byClosing)}
	if chance(random, 0.08) {
		s.silent, s.ending = true, pick(random, closeOrderly, resetConnection, hang, hangDeregistered)
		return s
	}
	if chance(random, 0.07) {
		s.informational = 1 + random.IntN(2)
	}
	s.status = pick(random, 200, 200, 200, 200, 200, 206, 302, 400, 404, 500, 500, 500, 502, 504, 408, 421, 429, 503, 503)
	cut := 0.35
	if q.stream() && chance(random, 0.5) {
		s.status, cut = 200, 0.6
	}
	s.signed = !chance(random, 0.1)
	rejects := 0.5
	if h.busy {
		s.status, rejects = pick(random, s.status, 421, 429, 503, 503), 0.95
	}
	s.notExecuted = chance(random, rejects) && isPromise(s.status)
	s.stream = q.stream() && s.status/100 == 2
	if chance(random, 0.07) {
		s.echo = pick(random, "", "stranger")
	}
	s.pieces = drawPieces(random, q, s, r)
	wire := len((&run{script: s}).wire())
	s.whole = wire
	if chance(random, cut) {
		s.whole = random.IntN(wire + 1)
		if s.whole < wire && chance(random, 0.5) {
			s.partial = 1 + random.IntN(10) // less than a whole event in a chunk
		}
	}
	s.drawEnding(random, r, wire)
	return s
}

func (s *script) drawEnding(random *rand.Rand, r *run, wire int) {
	switch {
	case s.framing == byClosing:
		s.ending = pick(random, closeOrderly, closeOrderly, closeOrderly, resetConnection, hang, hangDeregistered, hangDeregistered)
	case s.whole == wire:
		s.ending = pick(random, keepOpen, keepOpen, keepOpen, keepOpen, keepOpen, keepOpen, closeOrderly, resetConnection, hang)
	default:
		s.ending = pick(random, closeOrderly, closeOrderly, resetConnection, resetConnection, hang, hangDeregistered, hangDeregistered)
	}
	inside := s.framing == byClosing && s.ending == closeOrderly
	if s.ending != keepOpen && !inside || !chance(random, 0.2) {
		return
	}
	echo := "Tamarackreach-Attempt-Id: " + r.request + "\r\n"
	if !inside && chance(random, 0.5) {
		echo = "" // inside a body, nothing but the id tells a response from text
	}
	s.extra = fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Run: extra\r\n%s: extra\r\nContent-Length: 5\r\n\r\nextra", echo, signature)
	if s.ending == keepOpen && chance(random, 0.5) {
		s.lateBy = time.Duration(1+random.IntN(12)) * time.Millisecond
	}
}

// drawPieces draws a body. The events of a stream go on behind the id at which the
// target was asked to resume it; some targets ignore that id.
func drawPieces(random *rand.Rand, q *plannedRequest, s *script, r *run) []piece {
	var out []piece
	add := func(format string, id int64, data bool) {
		tag := fmt.Sprintf("r%d.%d %s", r.number, len(out), strings.Repeat("x", pick(random, 0, 20, 60, 5000)))
		out = append(out, piece{text: fmt.Sprintf(format, tag), id: id, data: data})
	}
	if !s.stream {
		for range random.IntN(4) {
			add("%s\n", 0, true)
		}
		return out
	}
	ignored := chance(random, 0.15)
	for _, id := range q.ids {
		if id <= r.resumedBehind() && !ignored {
			continue
		}
		if chance(random, 0.2) {
			add(": %s\n\n", 0, false)
		}
		event := "id: " + strconv.FormatInt(id, 10) + "\ndata: %s\n\n"
		add(event, id, true)
		if chance(random, 0.06) {
			add(event, id, true)
		}
		if chance(random, 0.15) {
			add("data: %s\n\n", 0, true)
		}
	}
	return out
}

// call sends the requests one after another, over one connection while it is kept.
func (h *history) call(address string) {
	var conn net.Conn
	var reader *bufio.Reader
	for _, q := range h.requests {
		a := &answer{}
		h.answers = append(h.answers, a)
		if conn == nil {
			if conn, a.err = net.Dial("tcp", address); a.err != nil {
				return
			}
			reader = bufio.NewReader(conn)
		}
		if !a.receive(conn, reader, q) {
			_ = conn.Close() // the response has ended, or the caller leaves
			conn = nil
		}
	}
	if conn == nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Millisecond)) // an error shows in the read
	rest, _ := io.ReadAll(reader)                                  // ends with the deadline
	h.answers[len(h.answers)-1].behind += string(rest)
	_ = conn.Close() // the history is over
}

// receive sends a request and reads its response. It reports whether the connection
// can be used for the next one.
func (a *answer) receive(conn net.Conn, reader *bufio.Reader, q *plannedRequest) bool {
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second)) // an error shows in the read
	if _, a.err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nTamarackreach-Attempt-Id: %s\r\nTamarackreach-Deadline-Ms: %d\r\nContent-Length: 2\r\n\r\nhi",
		q.path, q.id, q.deadline.Milliseconds()); a.err != nil {
		return false
	}
	if q.leaveAfter > 0 {
		timer := time.AfterFunc(q.leaveAfter, func() { _ = conn.Close() })
		defer timer.Stop()
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		a.err = err
		return false
	}
	a.begun, a.status, a.header = true, resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close() // it was read to its end, or the connection is closed
	a.body, a.err, a.whole = string(body), err, err == nil
	if buffered := reader.Buffered(); buffered > 0 {
		rest, _ := reader.Peek(buffered) // cannot fail: the bytes are buffered
		a.behind = string(rest)
	}
	return a.whole && !resp.Close && q.leaveAfter == 0
}

// describe formats a history for the report of a failure.
func (h *history) describe() string {
	var b strings.Builder
	for i, a := range h.answers {
		q := h.requests[i]
		fmt.Fprintf(&b, "request %s %s deadline %s leaves %s: status %d whole %v err %v run %q, %d bytes\n",
			q.id, q.path, q.deadline, q.leaveAfter, a.status, a.whole, a.err, a.header.Get("X-Run"), len(a.body))
	}
	for _, r := range h.runs {
		fmt.Fprintf(&b, "run %d of %s after %q: silent %v status %d signed %v not executed %v echo %q framing %d sent %d+%d of %d ending %d extra %v late %s repeats %v complete %v\n",
			r.number, r.request, r.resumeAfter, r.silent, r.status, r.signed, r.notExecuted, r.echo, r.framing, r.whole, r.partial, len(r.pieces), r.ending, r.extra != "", r.lateBy, r.repeats, r.complete())
	}
	return b.String()
}

// kind names the result of a request for the tally.
func (a *answer) kind() string {
	switch {
	case !a.begun:
		return "no response"
	case a.header.Get("X-Run") == "":
		return fmt.Sprintf("router %d", a.status)
	case !a.whole:
		return "broken off"
	}
	return fmt.Sprintf("target %dxx", a.status/100)
}

const (
	// defaultHistories is the number of histories that each run of the tests plays.
	defaultHistories = 500
	// concurrentHistories bounds the histories that are played at a time: they mostly
	// wait.
	concurrentHistories = 24
)

// numberFromEnv returns the number in an environment variable, or fallback without it.
func numberFromEnv(name string, fallback uint64) uint64 {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.ParseUint(text, 10, 64)
	Expect(err).NotTo(HaveOccurred(), name+" must be a number")
	return n
}

var _ = Describe("histories of sends", func() {
	// Guards against a part of one send's result that reaches the caller after another
	// send was begun. TAMARACK_HISTORIES sets the number of histories, and
	// TAMARACK_HISTORY_SEED the first seed.
	It("give the caller the result of one send and its resumptions, or one of the router", func() {
		first, count := numberFromEnv("TAMARACK_HISTORY_SEED", 1), numberFromEnv("TAMARACK_HISTORIES", defaultHistories)
		var mu sync.Mutex
		tally, failed := map[string]int{}, map[uint64]string{}
		seeds := make(chan uint64)
		var wait sync.WaitGroup
		for range concurrentHistories {
			wait.Go(func() {
				for seed := range seeds {
					h, err := play(seed)
					mu.Lock()
					if err != nil {
						failed[seed] = err.Error()
					} else {
						for _, a := range h.answers {
							tally[a.kind()]++
						}
						if broken := h.violations(); len(broken) > 0 {
							failed[seed] = strings.Join(broken, "\n") + "\n" + h.describe()
						}
					}
					mu.Unlock()
				}
			})
		}
		for seed := first; seed < first+count; seed++ {
			seeds <- seed
		}
		close(seeds)
		wait.Wait()
		GinkgoWriter.Println("results of requests:", tally)
		var report strings.Builder
		for _, seed := range slices.Sorted(maps.Keys(failed)) {
			fmt.Fprintf(&report, "seed %d: %s\n", seed, failed[seed])
		}
		Expect(failed).To(BeEmpty(), report.String())
	})
})
