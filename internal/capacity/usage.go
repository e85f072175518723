// Package capacity measures the resource costs of the daemon: benchmarks of the
// memory and CPU time of the reducer, and the resource usage that the kernel
// reports for a running process.
package capacity

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// ticksPerS is the number of clock ticks per second, the unit of CPU times
	// in /proc.
	ticksPerS = 100
	// Indices of the fields in /proc/PID/stat that follow the process name.
	userTimeField   = 11
	systemTimeField = 12
	rssField        = 21
)

// Usage is the resource usage of a process since its start.
type Usage struct {
	CPU time.Duration
	// RSSBytes is the current resident set size.
	RSSBytes int64
	// ReadBytes and WrittenBytes count the bytes of read and write calls. These
	// include TCP sockets but not UDP sockets.
	ReadBytes    int64
	WrittenBytes int64
}

// ReadUsage reads the resource usage of a process from /proc.
func ReadUsage(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, errors.Wrap(err, "read process status")
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= rssField {
		return Usage{}, errors.Newf("process status of %d has %d fields", pid, len(fields))
	}
	ticks := parseCounter(fields[userTimeField]) + parseCounter(fields[systemTimeField])
	usage := Usage{
		CPU:      time.Duration(ticks) * time.Second / ticksPerS,
		RSSBytes: parseCounter(fields[rssField]) * int64(os.Getpagesize()),
	}
	return usage, usage.readIO(pid)
}

func (u *Usage) readIO(pid int) error {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return errors.Wrap(err, "read process input and output")
	}
	for line := range strings.Lines(string(data)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		switch name {
		case "rchar":
			u.ReadBytes = parseCounter(value)
		case "wchar":
			u.WrittenBytes = parseCounter(value)
		}
	}
	return nil
}

// parseCounter parses a number in a /proc file; it returns 0 for other text.
func parseCounter(field string) int64 {
	n, _ := strconv.ParseInt(field, 10, 64)
	return n
}
