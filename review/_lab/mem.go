package main

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["mem"] = largeBodies }

const (
	// memoryMB is memory-mb of the settings, maxBody max-body-bytes of the configuration.
	memoryMB = 414
	maxBody  = 4194304
	// usualClients is the number of clients of a machine that send at once, burstX and
	// burstLength the largest burst that the pages name.
	usualClients = 10
	burstX       = 2.5
	burstLength  = 10 * time.Second
	// uploadRate is the bytes a second that a client sends: 25 clients need 600 of the 1,500
	// Mbit/s of the machine's link.
	uploadRate = 3e6
)

// pacedConn sends no faster than uploadRate.
type pacedConn struct{ net.Conn }

func (c pacedConn) Write(p []byte) (int, error) {
	const piece = 32 << 10
	written := 0
	for start := time.Now(); written < len(p); {
		n, err := c.Conn.Write(p[written:min(written+piece, len(p))])
		if written += n; err != nil {
			return written, err
		}
		time.Sleep(time.Duration(float64(written)/uploadRate*float64(time.Second)) - time.Since(start))
	}
	return written, nil
}

// anonymousMB returns the memory that the process itself holds, without its mapped files.
func (v *vm) anonymousMB() int {
	v.mu.Lock()
	pid := v.process.Pid
	v.mu.Unlock()
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	kb := 0
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			_, _ = fmt.Sscanf(value, "%d", &kb)
		}
	}
	return kb / 1024
}

// limitMemory kills the process whenever it exceeds memory-mb, as the platform does.
func (v *vm) limitMemory(peak, kills *int, end chan struct{}) {
	for {
		select {
		case <-end:
			return
		case <-time.After(10 * time.Millisecond):
		}
		mb := v.anonymousMB()
		*peak = max(*peak, mb)
		if mb > memoryMB {
			*kills++
			v.lab.log("%s holds %d MB, more than memory-mb; it is killed", v.name, mb)
			exits := v.exitCount()
			v.signal(syscall.SIGKILL)
			for v.exitCount() == exits {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(600 * time.Millisecond)
		}
	}
}

// client sends requests with the largest body that the configuration allows, one after the
// other on a kept connection, until the end.
func (l *lab) client(v *vm, body string, end time.Time, keep func(*request, bool)) {
	var conn net.Conn
	var reader *bufio.Reader
	reused := false
	for time.Now().Before(end) {
		q := l.newRequest(v, "POST", "/book/1")
		q.body = body
		q.startedAt = time.Now()
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp4", v.ip+":8227", time.Second); err != nil {
				conn = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
			conn = pacedConn{conn}
			reader, reused = bufio.NewReader(conn), false
		}
		q.send(conn, reader)
		l.log("%s POST /book/1 of %d bytes through %s: %s", q.id, len(body), q.vm, q.result())
		keep(q, reused)
		reused = true
		if q.err != nil || q.header.Get("Connection") == "close" {
			_ = conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

func largeBodies(ctx context.Context, l *lab) (int, error) {
	if err := l.store.Put("op", "config", config(1, "key-a")); err != nil {
		return 0, err
	}
	var runners []*runner
	for _, zone := range []string{"a", "b"} {
		r, err := l.startRunner("shop-app", zone, 30*time.Millisecond)
		if err != nil {
			return 0, err
		}
		runners = append(runners, r)
		if _, err := l.startVM("front-"+zone+"-1", zone); err != nil {
			return 0, err
		}
	}
	if !l.waitReady(20 * time.Second) {
		return 0, errNotReady
	}
	peaks, kills, end := make([]int, 2), make([]int, 2), make(chan struct{})
	for i, v := range l.vms {
		go v.limitMemory(&peaks[i], &kills[i], end)
	}
	body := strings.Repeat("x", maxBody)
	var mu sync.Mutex
	var lost, all []*request
	keep := func(q *request, reused bool) {
		mu.Lock()
		defer mu.Unlock()
		all = append(all, q)
		if q.err != nil && reused {
			lost = append(lost, q)
		}
	}
	for range 5 {
		if ctx.Err() != nil {
			break
		}
		l.waitReady(15 * time.Second)
		var wait sync.WaitGroup
		start := func(count int, from, to time.Duration) {
			now := time.Now()
			for _, v := range l.vms {
				for range count {
					wait.Add(1)
					go func() {
						defer wait.Done()
						time.Sleep(from)
						l.client(v, body, now.Add(to), keep)
					}()
				}
			}
		}
		usual := usualClients
		start(usual, 0, 2*time.Second+burstLength)
		if l.trouble {
			start(int(math.Round(burstX*float64(usual)))-usual, 2*time.Second, 2*time.Second+burstLength)
		}
		wait.Wait()
	}
	close(end)
	time.Sleep(100 * time.Millisecond)
	broken := 0
	for _, q := range lost {
		for _, r := range runners {
			for _, x := range r.ran(q.id) {
				broken++
				l.log("LOST %s through %s, on a kept connection, ran on %s; the connection ended without an answer", q.id, q.vm, x.runner)
			}
		}
	}
	l.say("%d requests; peaks %v MB, killed %v times; %d requests from kept connections passed on and ended without an answer (more than 3 break LOST)", len(all), peaks, kills, broken)
	if broken > 3 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}
