// Command _lab2 plays the scripted cases of the second review: it starts processes of
// tamarack-front on loopback addresses, with a stand-in store, stand-in runners and clients.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	frontPath = "target/tamarack-front"
)

// errCouldNot means that a case could not run as described.
var errCouldNot = errors.New("the case could not run")

// lab is one run of a case.
type lab struct {
	trouble bool
	record  *record
	dir     string
	store   *store
	vms     []*vm
	// violations counts what breaks the rule of the case.
	mu         sync.Mutex
	violations []string
}

// violate records that the rule is broken.
func (l *lab) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.record.line("BROKEN %s", text)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, text)
}

// record is the file that states what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

var cases = map[string]func(*lab) error{}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		os.Exit(couldNot)
	}
	os.Exit(run(play, *path))
}

func run(play func(*lab) error, path string) int {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer func() { _ = file.Close() }()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", record: &record{file: file, started: time.Now()}, dir: dir}
	defer l.end()
	if err := play(l); err != nil {
		l.record.line("error: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	if n := len(l.violations); n > 0 {
		l.record.line("result: the rule was broken, %d times", n)
		fmt.Println("broken:", l.violations[0])
		return broken
	}
	l.record.line("result: the rule held")
	fmt.Println("held")
	return held
}

// end ends all processes of the run.
func (l *lab) end() {
	for _, v := range l.vms {
		v.end()
		_ = v.log.Close()
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", l.dir)
		return
	}
	_ = os.RemoveAll(l.dir)
}

// until waits until a condition holds, at most for a time.
func until(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
