package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["long-ids"] = longIDs }

const (
	// crowd is the number of connections that send requests with long ids to each VM, and
	// idBytes the length of the ids: the heads stay below headBytes, the configured limit.
	crowd, idBytes, headBytes = 150, 15000, 16384
	// crowdTime is how long they do, and usualEvery the interval of the ordinary requests.
	crowdTime, usualEvery = 75 * time.Second, 250 * time.Millisecond
	// endsAllowed is the number of ends by itself below which a VM keeps the rule.
	endsAllowed = 3
)

// longIDs sends small requests, legal in size, whose attempt ids are long.
func longIDs(l *lab) error {
	var err error
	if l.store, err = newStore(); err != nil {
		return err
	}
	config := map[string]any{
		"version": 3, "routes": []map[string]any{{
			"name": "lookup", "host": "ficu95.example", "prefix": "/lookup/", "kind": "idempotent", "timeout-ms": 2000, "target-latency-ms": 300,
			"service": "desk", "max-attempts": 1,
		}},
		"services": []map[string]any{{"name": "desk", "health-path": "/health", "max-connections": 2000}},
		"limits":   map[string]any{"max-header-bytes": headBytes, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	if err := l.store.Put("op", "config", config); err != nil {
		return err
	}
	for i := range 2 {
		r := &runner{lab: l, id: fmt.Sprintf("desk-%d", i), service: "desk", zone: "zone-a", slots: 1000}
		r.serve = func(w http.ResponseWriter, req *http.Request) {
			time.Sleep(30 * time.Millisecond)
			w.Header().Set("Tamarackreach-Attempt-Id", req.Header.Get("Tamarackreach-Attempt-Id"))
			w.Header().Set("Tamarackreach-Server-Seal", "seal-"+r.id)
			w.Header().Set("Keep-Alive", "timeout=15")
			_, _ = fmt.Fprintln(w, "{\"shelf\":3}")
		}
		if err := r.start(""); err != nil {
			return err
		}
	}
	for i := range 2 {
		if _, err := l.newVM(i+1, "zone-a", usualBounds); err != nil {
			return err
		}
	}
	if !until(10*time.Second, func() bool { return l.vms[0].isReady() && l.vms[1].isReady() }) {
		return fmt.Errorf("%w: the VMs are not ready", errCouldNot)
	}
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	var all sync.WaitGroup
	ends := make([]atomic.Int64, len(l.vms))
	for i, v := range l.vms {
		all.Go(func() { v.limitMemory(ctx, usualBounds, &ends[i]) })
		for range crowd {
			all.Go(func() { v.sendLongIDs(ctx, l.trouble) })
		}
	}
	var served, sent int
	for ctx.Err() == nil {
		a := newAttempt(l.vms[sent%2], "/lookup/1", 2*time.Second)
		a.send()
		if sent++; a.status == http.StatusOK {
			served++
		}
		time.Sleep(usualEvery)
	}
	all.Wait()
	l.record.line("ordinary requests: %d sent, %d served", sent, served)
	out := 0
	for i, v := range l.vms {
		n := ends[i].Load()
		l.record.line("%s was ended %d times because it exceeded memory-mb", v.name, n)
		if n >= endsAllowed {
			out++
		}
	}
	if out >= 2 {
		l.violate("Fault: processes of %d of %d machines ended %d times or more because they exceeded memory-mb", out, len(l.vms), endsAllowed)
	}
	return nil
}

// residentMB returns the anonymous resident memory of the process, in MB; 0 where it has ended.
func (v *vm) residentMB() int {
	v.mu.Lock()
	pid := v.process.Process.Pid
	v.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb >> 10
		}
	}
	return 0
}

// limitMemory ends the process when it exceeds the memory of its machine, as the platform
// does, and starts it again.
func (v *vm) limitMemory(ctx context.Context, b bounds, ends *atomic.Int64) {
	most, reported := 0, time.Now()
	for ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		resident := v.residentMB()
		most = max(most, resident)
		if time.Since(reported) >= 2*time.Second {
			reported = time.Now()
			v.lab.record.line("%s has %d MB, at most %d of %d", v.name, resident, most, b.memoryMB)
		}
		if resident <= b.memoryMB {
			continue
		}
		v.lab.record.line("%s has %d MB of %d: the platform ends it", v.name, resident, b.memoryMB)
		v.end()
		ends.Add(1)
		time.Sleep(300 * time.Millisecond)
		if err := v.start(false, b); err != nil {
			v.lab.record.line("error: %v", err)
			return
		}
	}
}

// sendLongIDs sends one request after the other on a kept connection.
func (v *vm) sendLongIDs(ctx context.Context, long bool) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp4", v.front, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		reader := bufio.NewReaderSize(conn, 32<<10)
		for ctx.Err() == nil {
			id := fmt.Sprintf("%016x", attempts.Add(1))
			if long {
				id += strings.Repeat("x", idBytes-len(id))
			}
			_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
			if _, err = fmt.Fprintf(conn, "GET /lookup/1 HTTP/1.1\r\nHost: ficu95.example\r\nTamarackreach-Attempt-Id: %s\r\nTamarackreach-Deadline-Ms: 2000\r\n\r\n", id); err != nil {
				break
			}
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if err != nil || resp.Close {
				break
			}
		}
		_ = conn.Close()
	}
}
