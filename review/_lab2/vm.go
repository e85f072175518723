package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a VM on its own loopback address.
const (
	frontPort   = 8227
	readyPort   = 8220
	peerPort    = 7340
	metricsPort = 9464
)

// bounds are those of the settings file, as for a small site.
type bounds struct {
	graceS   int
	memoryMB int
	maxFiles int
}

var usualBounds = bounds{graceS: 8, memoryMB: 284, maxFiles: 4200}

// vm is a machine with one process of tamarack-front.
type vm struct {
	lab            *lab
	name, zone, ip string
	front, ready   string
	settings       string
	log            *os.File
	mu             sync.Mutex
	process        *exec.Cmd
	exited         chan struct{}
}

// newVM starts a VM, number from 1, at the first start of the deployment.
func (l *lab) newVM(number int, zone string, b bounds) (*vm, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()/250%200, 1+os.Getpid()%250, number)
	v := &vm{lab: l, name: fmt.Sprintf("front-%d", number), zone: zone, ip: ip}
	v.front, v.ready = fmt.Sprintf("%s:%d", ip, frontPort), fmt.Sprintf("%s:%d", ip, readyPort)
	v.settings = filepath.Join(l.dir, v.name+".toml")
	log, err := os.Create(filepath.Join(l.dir, v.name+".log"))
	if err != nil {
		return nil, err
	}
	v.log = log
	l.vms = append(l.vms, v)
	return v, v.start(true, b)
}

func (v *vm) text(first bool, b bounds) string {
	return fmt.Sprintf(`node-name = "%s"
role = "entry"
machine-class = "front"
serves = ["front"]
ip = "%s"
zone = "%s"
region = "region"
internal-ports = [%d, %d]
bootstrap = %t
discovery = "platform"
entry = "virtual_ip"
heartbeat-ms = %d
[listen]
front = "%s"
ready = "%s"
[limits]
cpu-share = 0.4
cores = 1
memory-mb = %d
max-fds = %d
[bounds]
reuse-after-s = 2
stability-window-ms = 3000
ack-ms = 4000
drain-ms = 2000
grace-s = %d
loss-slack-ms = 200
config-apply-ms = 2000
strict-revoke = true
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-slack = 196
stall_ms = 2500
require-fencing = false
[platform]
address = "%s"
`, v.name, v.ip, v.zone, peerPort, peerPort+15, first, heartbeat.Milliseconds(), v.front, v.ready, b.memoryMB, b.maxFiles, b.graceS, v.lab.store.Address())
}

// start starts the process.
func (v *vm) start(first bool, b bounds) error {
	if err := os.WriteFile(v.settings, []byte(v.text(first, b)), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(frontPath, "-metrics", fmt.Sprintf("%s:%d", v.ip, metricsPort))
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "GOGC=200", "GOMAXPROCS=1", "TAMARACKREACH_CONFIG=" + v.settings}
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	v.mu.Lock()
	v.process, v.exited = cmd, exited
	v.mu.Unlock()
	v.lab.record.line("%s started, pid %d", v.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		v.lab.record.line("%s ended: %v", v.name, err)
		close(exited)
	}()
	return nil
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lab.record.line("%s gets %v", v.name, s)
	_ = v.process.Process.Signal(s) // it may have ended
}

// end ends the process.
func (v *vm) end() {
	v.mu.Lock()
	process, exited := v.process, v.exited
	v.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Signal(syscall.SIGCONT)
	_ = process.Process.Kill()
	<-exited
}

// isReady asks the VM whether it takes connections.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + v.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// metric returns a metric without labels, 0 where it cannot be read.
func (v *vm) metric(name string) float64 {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/metrics", v.ip, metricsPort))
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, name+" "); found {
			number, _ := strconv.ParseFloat(strings.TrimSpace(value), 64)
			return number
		}
	}
	return 0
}
