// Command lab plays the cases of a review: it starts entry VMs as processes of their own, with
// stand-ins of the platform's store, of runners and of clients, and judges by what these saw.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// lab is one run of a case.
type lab struct {
	// trouble is false for a run without the disruption.
	trouble bool
	folder  string
	started time.Time
	mu      sync.Mutex
	out     *os.File
	store   *store
	vms     []*vm
	cleanup []func()
}

var cases = map[string]func(*lab) (broken bool, err error){
	"query":     poisonByQuery,
	"path":      poisonByPath,
	"dark":      poisonThatSilences,
	"last-hop":  poisonOfLastHop,
	"first-hop": poisonOfFirstHop,
	"revoke":    revokeLastTenant,
	"drill":     addDuringDrill,
}

func main() {
	name := flag.String("case", "", "`name` of the case")
	recordPath := flag.String("record", "record.txt", "`file` for what was sent, answered and run")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case; see the list of cases in main.go")
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, *recordPath))
}

func run(play func(*lab) (bool, error), recordPath string) int {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(folder) }() // a leftover is harmless
	out, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = out.Close() }() // each line was written at once
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", folder: folder, started: time.Now(), out: out}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		l.stop()
		os.Exit(exitNotRun)
	}()
	broken, err := play(l)
	l.stop()
	switch {
	case err != nil:
		l.record("not run: %v", err)
		l.keepLogs()
		return exitNotRun
	case broken:
		l.record("RESULT broken (trouble %t)", l.trouble)
		l.keepLogs()
		return exitBroken
	}
	l.record("RESULT held (trouble %t)", l.trouble)
	return exitHeld
}

// record writes a line to the record and to standard output.
func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(l.started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(line)
	fmt.Fprintln(l.out, line)
}

// note writes a line to the record only.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.out, "%8.3f  ", time.Since(l.started).Seconds())
	fmt.Fprintf(l.out, format+"\n", args...)
}

// keepLogs copies the VMs' logs to the folder that LAB_LOGS names, if it is set.
func (l *lab) keepLogs() {
	to := os.Getenv("LAB_LOGS")
	if to == "" {
		return
	}
	for _, v := range l.vms {
		if text, err := os.ReadFile(v.log); err == nil {
			_ = os.WriteFile(filepath.Join(to, v.name+".log"), text, 0o600) // for a person only
		}
	}
}

// stop ends all processes and stand-ins that the run started.
func (l *lab) stop() {
	l.mu.Lock()
	vms, cleanup := l.vms, l.cleanup
	l.cleanup = nil
	l.mu.Unlock()
	for _, v := range vms {
		v.kill()
	}
	for _, f := range cleanup {
		f()
	}
}

// zones of the small deployment, by VM.
var vmZones = []string{"bc-west-a", "bc-west-a", "bc-west-b", "bc-west-c"}

// startStore starts the store with a configuration.
func (l *lab) startStore(config map[string]any) error {
	s, err := newStore("127.0.0.1", l.note)
	if err != nil {
		return err
	}
	l.store, l.cleanup = s, append(l.cleanup, s.close)
	s.put("op", "config", config)
	return nil
}

// startVMs starts the VMs of the small deployment and waits until they are ready.
func (l *lab) startVMs() error {
	letters := []string{"a-1", "a-2", "b-1", "c-1"}
	for i, zone := range vmZones {
		v, err := newVM(l.folder, "front-bc-west-"+letters[i], zone, i, l.store.address, true)
		if err != nil {
			return err
		}
		l.mu.Lock()
		l.vms = append(l.vms, v)
		l.mu.Unlock()
		if err := v.start(); err != nil {
			return err
		}
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, v := range l.vms {
			if v.ready() {
				ready++
			}
		}
		if ready == len(l.vms) {
			l.record("%d VMs are ready", ready)
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d VMs are ready after 15 s", ready, len(l.vms))
		}
	}
}

// plainConfig is a configuration with a look-up route and a payment route to one plain service.
func plainConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "stock-lookup", "host": "shop.example", "prefix": "/stock/", "kind": "idempotent", "timeout-ms": 2500, "target-latency-ms": 150, "service": "shop-app", "max-attempts": 2, "priority": 2},
			{"name": "hold-pair", "host": "shop.example", "prefix": "/hold/", "kind": "non_idempotent", "timeout-ms": 2500, "target-latency-ms": 150, "service": "shop-app", "max-attempts": 1, "priority": 2},
		},
		"services": []map[string]any{{"name": "shop-app", "health-path": "/health", "max-connections": 48}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 60000},
		"tenants":  []map[string]any{{"name": "store-17", "api-keys": []string{"key17"}}},
	}
}
