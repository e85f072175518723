// Command lab plays the cases of the review: it starts processes of tamarack-front with
// stand-ins for the platform's store, runners, readiness checks and clients, and checks
// one rule from what these see.
package main

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	rand2 "math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tamarackreach/platform/platformtest"
)

// exit codes of a case
const (
	ruleHeld    = 0
	ruleBroken  = 1
	caseUnready = 2
)

// lab is one run of a case.
type lab struct {
	dir     string
	trouble bool
	store   *platformtest.Store
	link    *storeLink
	vms     []*vm
	started time.Time

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	octet  int
	seq    atomic.Int64
}

func newLab(recordPath string, trouble bool) (*lab, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	store, err := platformtest.NewStore()
	if err != nil {
		return nil, err
	}
	return &lab{dir: dir, trouble: trouble, store: store, started: time.Now(), record: bufio.NewWriter(file), file: file, octet: rand2.IntN(200 * 250)}, nil
}

// log writes a line to the record.
func (l *lab) log(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%9.3f s  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

func (l *lab) close() {
	for _, v := range l.vms {
		v.stop()
	}
	if l.link != nil {
		l.link.close()
	}
	_ = l.store.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.record.Flush()
	_ = l.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("logs in", l.dir)
	}
}

func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// vm is an entry machine: a process of tamarack-front that is started again when it ends.
type vm struct {
	lab        *lab
	name       string
	zone, ip   string
	settings   string
	configPath string
	logFile    *os.File

	mu      sync.Mutex
	process *os.Process
	ended   bool
	exits   []time.Time
	done    chan struct{}
	// inRotation is what the platform's readiness checks found.
	inRotation atomic.Bool
}

const settingsText = `
node-name = "%s"
role = "entry"
machine-class = "front"
serves = ["front"]
ip = "%s"
zone = "%s"
region = "portugal"
internal-ports = [7340,7355]
heartbeat-ms = 1200
discovery = "platform"
entry = "virtual_ip"
bootstrap = %t
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
[listen]
front = "%s:8227"
ready = "%s:8220"
[limits]
cpu-share = 0.608
cores = 1
memory-mb = 414
max-fds = 6150
link-mbps = 1500.0
disk-mb = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
stability-window-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-stretch-ms = 5000
strict-revoke = true
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 200
recover-s = 12
pass-ms = 120
retry-after-s = 0
stall_ms = 2500
require-fencing = false
[platform]
address = "%s"
form = "table"
writes-per-s = 400
reads-per-s = 2000
tx-ms = 5.0
partition-writes-s = 200
row-bytes = 65536
across = false
history-s = 20
blob-bytes = 8388608
blob-ms = 25.0
blob-mb-s = 80.0
`

func (l *lab) startVM(name, zone string) (*vm, error) {
	if l.link == nil {
		link, err := newStoreLink(l)
		if err != nil {
			return nil, err
		}
		l.link = link
	}
	ip := fmt.Sprintf("127.%d.%d.%d", 40+l.octet/250, 1+l.octet%250, 10+len(l.vms))
	v := &vm{lab: l, name: name, zone: zone, ip: ip, configPath: filepath.Join(l.dir, name+".toml"), done: make(chan struct{})}
	text := func(first bool) string {
		return fmt.Sprintf(settingsText, name, ip, zone, first, ip, ip, l.link.address())
	}
	v.settings = text(false)
	if err := os.WriteFile(v.configPath, []byte(text(true)), 0o600); err != nil {
		return nil, err
	}
	var err error
	if v.logFile, err = os.Create(filepath.Join(l.dir, name+".log")); err != nil {
		return nil, err
	}
	l.mu.Lock()
	l.vms = append(l.vms, v)
	l.mu.Unlock()
	if err := v.start(); err != nil {
		return nil, err
	}
	go v.supervise()
	go v.checkReady()
	return v, nil
}

// start runs the command of the deploy file.
func (v *vm) start() error {
	cmd := exec.Command("target/tamarack-front", "-metrics", v.ip+":9464")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "GOGC=200", "GOMAXPROCS=1", "TAMARACKREACH_CONFIG=" + v.configPath}
	cmd.Stdout, cmd.Stderr = v.logFile, v.logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	v.mu.Lock()
	v.process = cmd.Process
	v.mu.Unlock()
	v.lab.log("%s starts", v.name)
	return nil
}

// supervise starts the process again half a second after it has ended.
func (v *vm) supervise() {
	defer close(v.done)
	for {
		v.mu.Lock()
		p := v.process
		v.mu.Unlock()
		_, _ = p.Wait()
		v.mu.Lock()
		v.exits = append(v.exits, time.Now())
		v.mu.Unlock()
		v.lab.log("%s has ended", v.name)
		time.Sleep(500 * time.Millisecond)
		v.mu.Lock()
		ended := v.ended
		v.mu.Unlock()
		if ended {
			return
		}
		_ = os.WriteFile(v.configPath, []byte(v.settings), 0o600)
		if v.start() != nil {
			return
		}
	}
}

// checkReady asks /ready once a second; two misses take the machine out.
func (v *vm) checkReady() {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 2
	time.Sleep(time.Duration(rand2.IntN(1000)) * time.Millisecond) // the checks are not aligned with the start
	for {
		select {
		case <-v.done:
			return
		case <-time.After(time.Second):
		}
		resp, err := client.Get("http://" + v.ip + ":8220/ready")
		if err == nil {
			_ = resp.Body.Close()
		}
		if err == nil && resp.StatusCode == http.StatusOK {
			misses = 0
		} else {
			misses++
		}
		v.inRotation.Store(misses < 2)
	}
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lab.log("%s gets %v", v.name, s)
	_ = v.process.Signal(s)
}

func (v *vm) exitCount() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.exits)
}

func (v *vm) stop() {
	v.mu.Lock()
	v.ended = true
	_ = v.process.Signal(syscall.SIGCONT)
	_ = v.process.Kill()
	v.mu.Unlock()
	<-v.done
	_ = v.logFile.Close()
}

// waitReady waits until all machines are in rotation.
func (l *lab) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, v := range l.vms {
			all = all && v.inRotation.Load()
		}
		if all {
			return true
		}
	}
	return false
}

// storeLink is the way of all machines to the store: a TCP proxy on one address. It can cut one
// machine off, and lose the answer to a write.
type storeLink struct {
	lab      *lab
	listener net.Listener
	mu       sync.Mutex
	conns    map[*storeConn]bool
	cut      *vm
	// loseKey is the key of a row whose next write is done and not answered: its connection
	// delivers nothing further.
	loseKey string
}

// storeConn is a connection of a machine to the store.
type storeConn struct {
	near, far net.Conn
	// held holds up all bytes, as behind a partition; lost drops those to the machine.
	held, lost atomic.Bool
}

func newStoreLink(l *lab) (*storeLink, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &storeLink{lab: l, listener: listener, conns: map[*storeConn]bool{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go k.serve(conn)
		}
	}()
	return k, nil
}

func (k *storeLink) address() string { return k.listener.Addr().String() }

func (k *storeLink) serve(near net.Conn) {
	far, err := net.Dial("tcp4", k.lab.store.Address())
	if err != nil {
		_ = near.Close()
		return
	}
	c := &storeConn{near: near, far: far}
	k.mu.Lock()
	if k.cut != nil {
		c.held.Store(k.cut.holds(openers(k.listener), c))
	}
	k.conns[c] = true
	k.mu.Unlock()
	go k.copy(c, far, near)
	k.copy(c, near, far)
	k.mu.Lock()
	delete(k.conns, c)
	k.mu.Unlock()
}

func (k *storeLink) copy(c *storeConn, to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		for c.held.Load() {
			time.Sleep(5 * time.Millisecond)
		}
		if to == c.far && k.loses(string(buffer[:n])) {
			c.lost.Store(true)
		}
		if n > 0 && (to == c.far || !c.lost.Load()) {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
}

// loses reports whether the answer to a request gets lost.
func (k *storeLink) loses(request string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.loseKey == "" || !strings.HasPrefix(request, "POST /rows-tx ") || !strings.Contains(request, `"key":"`+k.loseKey+`"`) {
		return false
	}
	k.lab.log("the answer to the write of %s gets lost", k.loseKey)
	k.loseKey = ""
	return true
}

// cutOff cuts a machine off: its open and its new connections.
func (k *storeLink) cutOff(v *vm) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = v
	of, count := openers(k.listener), 0
	for c := range k.conns {
		if v.holds(of, c) {
			c.held.Store(true)
			count++
		}
	}
	k.lab.log("%s is cut off from the store, %d open connections", v.name, count)
}

// heal ends the cut.
func (k *storeLink) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cut != nil {
		k.lab.log("%s reaches the store again", k.cut.name)
	}
	k.cut = nil
	for c := range k.conns {
		c.held.Store(false)
	}
}

func (k *storeLink) close() {
	_ = k.listener.Close()
	k.heal()
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		_ = c.near.Close()
		_ = c.far.Close()
	}
}

// openers returns the sockets, by their local port, that are connected to a listener.
func openers(listener net.Listener) map[int]string {
	const established = "01"
	out := map[int]string{}
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		return out
	}
	remote := fmt.Sprintf(":%04X", listener.Addr().(*net.TCPAddr).Port)
	for line := range strings.SplitSeq(string(table), "\n") {
		if !strings.Contains(line, remote) {
			continue
		}
		f := strings.Fields(line)
		if len(f) < 10 || !strings.HasSuffix(f[2], remote) || f[3] != established {
			continue
		}
		_, hex, _ := strings.Cut(f[1], ":")
		if port, err := strconv.ParseInt(hex, 16, 32); err == nil {
			out[int(port)] = "socket:[" + f[9] + "]"
		}
	}
	return out
}

// holds reports whether the machine's process has the other end of a connection.
func (v *vm) holds(of map[int]string, c *storeConn) bool {
	socket := of[c.near.RemoteAddr().(*net.TCPAddr).Port]
	v.mu.Lock()
	dir := fmt.Sprintf("/proc/%d/fd", v.process.Pid)
	v.mu.Unlock()
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		if to, _ := os.Readlink(filepath.Join(dir, e.Name())); socket != "" && to == socket {
			return true
		}
	}
	return false
}

// run is what a runner saw of a request.
type run struct {
	at     time.Time
	id     string
	runner string
	header http.Header
	ended  time.Time
	whole  bool
}

// runner is a stand-in for a plain service's runner.
type runner struct {
	lab      *lab
	id       string
	service  string
	zone     string
	born     int64
	listener net.Listener
	server   *http.Server
	work     time.Duration
	// answer overrides the response; nil for the usual one.
	answer func(r *runner, w http.ResponseWriter, q *http.Request) bool
	mu     sync.Mutex
	runs   []*run
}

func (l *lab) startRunner(service, zone string, work time.Duration) (*runner, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{lab: l, id: "i-" + newID()[:8], service: service, zone: zone, born: time.Now().UnixMilli(), listener: listener, work: work}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(listener) }()
	return r, r.register("ready")
}

func (r *runner) address() string { return r.listener.Addr().String() }

func (r *runner) register(state string) error {
	return r.lab.store.Put("servers", r.id, map[string]any{
		"service": r.service, "address": r.address(), "zone": r.zone, "version": "v1", "slots": 64, "state": state,
		"cold-remaining-ms": 0, "sequence": 1, "born": r.born,
	})
}

// crash ends the runner without an answer to what it runs; it is back after a while, under
// the same id.
func (r *runner) crash(away time.Duration) {
	address := r.address()
	_ = r.server.Close()
	r.lab.log("%s crashes", r.id)
	time.AfterFunc(away, func() {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			r.lab.log("%s cannot start again: %v", r.id, err)
			return
		}
		r.mu.Lock()
		r.listener, r.born = listener, time.Now().UnixMilli()
		r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
		server := r.server
		r.mu.Unlock()
		go func() { _ = server.Serve(listener) }()
		_ = r.register("ready")
		r.lab.log("%s is back", r.id)
	})
}

func (r *runner) deregister() { r.lab.store.Remove("servers", r.id) }

func (r *runner) serve(w http.ResponseWriter, q *http.Request) {
	arrived := time.Now()
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if q.URL.Path == "/health" {
		w.Header().Set("Tamarackreach-Instance-Id", r.id)
		return
	}
	id := q.Header.Get("Tamarackreach-Attempt-Id")
	if want := q.Header.Get("Tamarackreach-Expect-Instance"); want != "" && want != r.id {
		w.Header().Set("Tamarackreach-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("Tamarackreach-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	x := &run{at: arrived, id: id, runner: r.id, header: q.Header.Clone()}
	r.mu.Lock()
	r.runs = append(r.runs, x)
	r.mu.Unlock()
	r.lab.log("%s runs on %s", id, r.id)
	if r.answer != nil && r.answer(r, w, q) {
		return
	}
	select {
	case <-time.After(r.work):
	case <-q.Context().Done():
		r.mu.Lock()
		x.ended = time.Now()
		r.mu.Unlock()
		return
	}
	w.Header().Set("Tamarackreach-Attempt-Id", id)
	w.Header().Set("Tamarackreach-Server-Seal", "seal."+r.id)
	_, err = w.Write([]byte("answer to " + id + " of " + strconv.Itoa(len(body)) + " bytes\n"))
	r.mu.Lock()
	x.ended, x.whole = time.Now(), err == nil
	r.mu.Unlock()
}

// ran returns the runs of a request.
func (r *runner) ran(id string) []*run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*run
	for _, x := range r.runs {
		if x.id == id {
			out = append(out, x)
		}
	}
	return out
}

// request is one client attempt and what the client saw.
type request struct {
	id, vm       string
	method, path string
	body         string
	key          string
	deadline     time.Duration
	startedAt    time.Time // before the connection was opened
	sentAt       time.Time // last byte written
	endedAt      time.Time
	status       int
	header       http.Header
	answer       string
	err          error
}

func (q *request) result() string {
	if q.err != nil {
		return "no whole answer: " + q.err.Error()
	}
	return strconv.Itoa(q.status)
}

func (l *lab) newRequest(v *vm, method, path string) *request {
	return &request{id: newID(), vm: v.name, method: method, path: path, key: "key-a", deadline: 2500 * time.Millisecond}
}

// send sends a request on a connection and reads its answer.
func (q *request) send(conn net.Conn, reader *bufio.Reader) {
	defer func() { q.endedAt = time.Now() }()
	_ = conn.SetDeadline(time.Now().Add(q.deadline + 3*time.Second))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: shop.example\r\nTamarackreach-Attempt-Id: %s\r\nTamarackreach-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		q.method, q.path, q.id, q.deadline.Milliseconds(), q.key)
	if q.method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		q.err = err
		return
	}
	q.sentAt = time.Now()
	resp, err := http.ReadResponse(reader, &http.Request{Method: q.method})
	if err != nil {
		q.err = err
		return
	}
	q.status, q.header = resp.StatusCode, resp.Header
	text, err := io.ReadAll(resp.Body)
	q.answer, q.err = string(text), err
}

// sendNew sends a request on a new connection.
func (l *lab) sendNew(v *vm, q *request) *request {
	q.startedAt = time.Now()
	defer func() { l.log("%s %s %s through %s: %s", q.id, q.method, q.path, q.vm, q.result()) }()
	conn, err := net.DialTimeout("tcp4", v.ip+":8227", time.Second)
	if err != nil {
		q.err, q.endedAt = err, time.Now()
		return q
	}
	defer func() { _ = conn.Close() }()
	q.send(conn, bufio.NewReader(conn))
	return q
}

// say writes a line to the record and to standard output.
func (l *lab) say(format string, args ...any) {
	l.log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// load is a number of clients that send one request after the other, each on a kept
// connection.
type load struct {
	lab  *lab
	end  chan struct{}
	wait sync.WaitGroup
	mu   sync.Mutex
	all  map[string]*request
}

func (l *lab) startLoad(vms []*vm, clients int, method, path string) *load {
	d := &load{lab: l, end: make(chan struct{}), all: map[string]*request{}}
	for c := range clients {
		d.wait.Add(1)
		go func() {
			defer d.wait.Done()
			kept := &keptConn{}
			defer kept.close()
			for {
				select {
				case <-d.end:
					return
				default:
				}
				q := l.newRequest(vms[c%len(vms)], method, path)
				d.mu.Lock()
				d.all[q.id] = q
				d.mu.Unlock()
				kept.send(l, vms[c%len(vms)], q)
				if q.err != nil {
					time.Sleep(20 * time.Millisecond)
				}
			}
		}()
	}
	return d
}

// keptConn is a client's connection, which it keeps as long as the machine does.
type keptConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (k *keptConn) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}

func (k *keptConn) send(l *lab, v *vm, q *request) {
	q.startedAt = time.Now()
	defer func() { l.log("%s %s %s through %s: %s", q.id, q.method, q.path, q.vm, q.result()) }()
	if k.conn == nil {
		conn, err := net.DialTimeout("tcp4", v.ip+":8227", time.Second)
		if err != nil {
			q.err, q.endedAt = err, time.Now()
			return
		}
		k.conn, k.reader = conn, bufio.NewReader(conn)
	}
	q.send(k.conn, k.reader)
	if q.err != nil || q.header.Get("Connection") == "close" {
		k.close()
	}
}

// stop ends the clients and returns their requests by id.
func (d *load) stop() map[string]*request {
	close(d.end)
	d.wait.Wait()
	return d.all
}

// config is an operator's configuration for plain services.
func config(version int, keys ...string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "r-book", "host": "shop.example", "prefix": "/book/", "kind": "non_idempotent", "timeout-ms": 2500, "target-latency-ms": 150, "priority": 2, "service": "shop-app", "max-attempts": 1},
			{"name": "r-look", "host": "shop.example", "prefix": "/look/", "kind": "idempotent", "timeout-ms": 2500, "target-latency-ms": 150, "priority": 2, "service": "shop-app", "max-attempts": 2},
		},
		"services": []map[string]any{{"name": "shop-app", "health-path": "/health", "max-connections": 110}},
		"limits":   map[string]any{"max-header-bytes": 32768, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 60000},
		"tenants":  []map[string]any{{"name": "ten-a", "api-keys": keys}},
	}
}

type caseFunc func(ctx context.Context, l *lab) (int, error)

var cases = map[string]caseFunc{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		names := make([]string, 0, len(cases))
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Println("usage: lab CASE RECORD; cases:", names)
		os.Exit(caseUnready)
	}
	l, err := newLab(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println(err)
		os.Exit(caseUnready)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 115*time.Second)
	code, err := cases[os.Args[1]](ctx, l)
	cancel()
	if err != nil {
		l.log("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		code = caseUnready
	}
	l.log("result %d", code)
	l.close()
	os.Exit(code)
}

var errNotReady = errors.New("the machines were not ready in time")
