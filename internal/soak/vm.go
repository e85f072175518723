package soak

import (
	"net"
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

// vm is an entry VM: a process of the real program, started again when it ends,
// as the platform does.
type vm struct {
	name    string
	client  string
	binary  string
	config  string
	log     *os.File
	store   *proxy
	mu      sync.Mutex
	process *os.Process
	stopped bool
	done    chan struct{}
}

// restartDelay is the time between the end of a process and its next start.
const restartDelay = 150 * time.Millisecond

func freePort() (address string, port int, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = listener.Close() }() // the port is free again
	return listener.Addr().String(), listener.Addr().(*net.TCPAddr).Port, nil
}

// startVM starts an entry VM behind a proxy of its own to the store.
func startVM(dir, binary, name, zone, storeAddress string) (*vm, error) {
	store, err := newProxy(storeAddress)
	if err != nil {
		return nil, err
	}
	v := &vm{name: name, binary: binary, store: store, config: filepath.Join(dir, name+".toml"), done: make(chan struct{})}
	ready, peerPort, err := freePort()
	if err != nil {
		return nil, err
	}
	if v.client, _, err = freePort(); err != nil {
		return nil, err
	}
	text := platformtest.Settings(name, zone, v.client, ready, store.address(), peerPort)
	if err := os.WriteFile(v.config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if v.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	if err := v.start(); err != nil {
		return nil, err
	}
	go v.keep()
	return v, nil
}

func (v *vm) start() error {
	cmd := exec.Command(v.binary)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+v.config)
	cmd.Stdout, cmd.Stderr = v.log, v.log
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "cannot start %s; build it with make build", v.binary)
	}
	v.mu.Lock()
	v.process = cmd.Process
	v.mu.Unlock()
	return nil
}

// keep starts the process again whenever it ends.
func (v *vm) keep() {
	defer close(v.done)
	for {
		v.mu.Lock()
		process := v.process
		v.mu.Unlock()
		_, _ = process.Wait() // how it ended is in its log
		time.Sleep(restartDelay)
		v.mu.Lock()
		stopped := v.stopped
		v.mu.Unlock()
		if stopped || v.start() != nil {
			return
		}
	}
}

// signal sends a signal to the process by its id.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	_ = v.process.Signal(s) // a process that has ended is started again
}

// stop ends the VM for good.
func (v *vm) stop() {
	v.mu.Lock()
	v.stopped = true
	_ = v.process.Signal(syscall.SIGCONT)
	_ = v.process.Kill() // the end of a soak
	v.mu.Unlock()
	<-v.done
	v.store.close()
	_ = v.log.Close()
}
