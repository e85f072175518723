package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackreach/platform"
	"tamarackreach/platform/platformtest"
)

// vm is an entry VM: a process of the real program that is restarted whenever it
// exits, as the platform does.
type vm struct {
	name   string
	client string // address for client connections
	// binary is the program of the next start.
	binary     string
	configPath string
	settings   string // of all starts but the first
	log        *os.File
	store      *proxy
	spans      *spanLog
	mu         sync.Mutex
	process    *os.Process
	stopped    bool
	// endSpan ends the span of a signal that ends the process.
	endSpan func()
	done    chan struct{}
}

// restartDelay is the time between the exit of a process and its restart.
const restartDelay = 150 * time.Millisecond

// startVM starts an entry VM on its own host address with a proxy in front of the
// store.
func startVM(dir, binary, name, zone, host, storeAddress string, spans *spanLog) (*vm, error) {
	store, err := newProxy(storeAddress)
	if err != nil {
		return nil, err
	}
	v := &vm{name: name, client: platformtest.ClientAddress(host), binary: binary, store: store, spans: spans, configPath: filepath.Join(dir, name+".toml"), done: make(chan struct{})}
	v.settings = platformtest.Settings(name, zone, host, store.address())
	if err := v.writeSettings(platformtest.FirstStart(v.settings)); err != nil {
		return nil, err
	}
	if v.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	if err := v.start(); err != nil {
		return nil, err
	}
	go v.supervise()
	return v, nil
}

func (v *vm) writeSettings(text string) error { return os.WriteFile(v.configPath, []byte(text), 0o600) }

func (v *vm) start() error {
	v.mu.Lock()
	cmd := exec.Command(v.binary)
	v.mu.Unlock()
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+v.configPath)
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "cannot start %s; build it with make build", v.binary)
	}
	v.mu.Lock()
	v.process = cmd.Process
	if v.endSpan != nil {
		v.endSpan()
		v.endSpan = nil
	}
	v.mu.Unlock()
	return nil
}

// supervise restarts the process whenever it exits, until stop is called.
func (v *vm) supervise() {
	defer close(v.done)
	for {
		v.mu.Lock()
		process := v.process
		v.mu.Unlock()
		_, _ = process.Wait() // the log shows why it exited
		time.Sleep(restartDelay)
		v.mu.Lock()
		stopped := v.stopped
		v.mu.Unlock()
		if stopped || v.start() != nil {
			return
		}
	}
}

// signal sends a signal to the current process.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case s == syscall.SIGTERM && v.endSpan == nil:
		v.endSpan = v.spans.begin(v.name, restartOf(v.name), stopOf(v.name))
	case s == syscall.SIGKILL && v.endSpan == nil:
		v.endSpan = v.spans.begin(v.name, restartOf(v.name))
	case s == syscall.SIGKILL:
		v.spans.begin(killOf(v.name))()
	}
	_ = v.process.Signal(s) // fails if the process has exited; supervise restarts it
}

// stop kills the process and does not restart it.
func (v *vm) stop() {
	v.mu.Lock()
	v.stopped = true
	_ = v.process.Signal(syscall.SIGCONT)
	_ = v.process.Kill() // the soak has ended
	v.mu.Unlock()
	<-v.done
	v.store.close()
	_ = v.log.Close()
}
