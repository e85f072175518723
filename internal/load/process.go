package load

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/capacity"
	"tamarackreach/internal/model"
	"tamarackreach/internal/report"
)

const (
	pidSuffix     = ".pid"
	restartSuffix = ".restart"
	markerMode    = 0o644
)

// killProcess kills a process with SIGKILL. With restart, it first writes the
// marker file that makes the supervisor of the process start it again.
func (n *injector) killProcess(name string, restart bool) error {
	n.markDisrupted(name)
	if restart {
		marker := filepath.Join(n.driver.dir, name+restartSuffix)
		if err := os.WriteFile(marker, nil, markerMode); err != nil {
			return errors.Wrap(err, "mark for restart")
		}
	}
	return n.signal(name, syscall.SIGKILL)
}

// freezeProcess suspends a process for the given time.
func (n *injector) freezeProcess(name string, duration time.Duration) error {
	n.markDisrupted(name)
	if err := n.signal(name, syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(duration)
	return n.signal(name, syscall.SIGCONT)
}

func (n *injector) markDisrupted(name string) {
	for i, entry := range n.driver.deployment.Entries {
		if entry.NodeID == model.NodeID(name) {
			n.driver.balancer.markDisrupted(i)
		}
	}
}

func (n *injector) signal(name string, signal syscall.Signal) error {
	pid, err := n.driver.pid(name)
	if err != nil {
		return err
	}
	return errors.Wrapf(syscall.Kill(pid, signal), "signal %s", name)
}

// pid returns the process id that the supervisor of a process wrote to a file.
func (d *Driver) pid(name string) (int, error) {
	data, err := os.ReadFile(filepath.Join(d.dir, name+pidSuffix))
	if err != nil {
		return 0, errors.Wrapf(err, "process id of %s; start the deployment with scripts/run.sh", name)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(data)))
	return pid, errors.Wrapf(err, "process id of %s", name)
}

// usage returns the resource usage of the entry VMs so far, by process id.
// Processes that cannot be read are omitted.
func (d *Driver) usage() map[int]capacity.Usage {
	used := make(map[int]capacity.Usage, len(d.deployment.Entries))
	for _, entry := range d.deployment.Entries {
		pid, err := d.pid(string(entry.NodeID))
		if err != nil {
			continue
		}
		if usage, err := capacity.ReadUsage(pid); err == nil {
			used[pid] = usage
		}
	}
	return used
}

// processes returns the resource usage of each entry VM since an earlier
// reading. A process that was replaced since then is omitted.
func (d *Driver) processes(before map[int]capacity.Usage, over time.Duration) []report.Process {
	const megabyte = 1 << 20
	after := d.usage()
	var used []report.Process
	for _, entry := range d.deployment.Entries {
		pid, err := d.pid(string(entry.NodeID))
		if err != nil {
			continue
		}
		first, known := before[pid]
		last, alive := after[pid]
		if !known || !alive {
			continue
		}
		used = append(used, report.Process{
			Name:           string(entry.NodeID),
			CPUPercent:     100 * (last.CPU - first.CPU).Seconds() / over.Seconds(),
			RSSMB:          float64(last.RSSBytes) / megabyte,
			ReadBytesPerS:  float64(last.ReadBytes-first.ReadBytes) / over.Seconds(),
			WriteBytesPerS: float64(last.WrittenBytes-first.WrittenBytes) / over.Seconds(),
		})
	}
	return used
}
