// Package capacity measures what the daemon costs: benchmarks of the reducer's
// state and work, and the use that the kernel reports of a running process.
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
	// ticksPerS is the unit of processor times in /proc.
	ticksPerS = 100
	// The positions of fields in /proc/PID/stat, counted after the name.
	userField   = 11
	systemField = 12
	rssField    = 21
)

// Usage is what a process used since its start.
type Usage struct {
	CPU time.Duration
	// RSSBytes is the resident memory at present.
	RSSBytes int64
	// ReadBytes and WrittenBytes went through read and write calls, those on
	// TCP sockets included and those on UDP sockets not.
	ReadBytes    int64
	WrittenBytes int64
}

// ReadUsage reads the use of a process.
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
	ticks := number(fields[userField]) + number(fields[systemField])
	usage := Usage{
		CPU:      time.Duration(ticks) * time.Second / ticksPerS,
		RSSBytes: number(fields[rssField]) * int64(os.Getpagesize()),
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
			u.ReadBytes = number(value)
		case "wchar":
			u.WrittenBytes = number(value)
		}
	}
	return nil
}

// number parses a field that the kernel wrote.
func number(field string) int64 {
	n, _ := strconv.ParseInt(field, 10, 64)
	return n
}
