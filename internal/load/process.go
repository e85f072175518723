package load

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/model"
)

const (
	pidSuffix     = ".pid"
	restartSuffix = ".restart"
	markFile      = 0o644
)

// killProcess ends a process at once. With restart, whoever started the
// process starts it again: the mark is a file that its supervisor looks for.
func (n *injector) killProcess(name string, restart bool) error {
	n.touch(name)
	if restart {
		mark := filepath.Join(n.player.dir, name+restartSuffix)
		if err := os.WriteFile(mark, nil, markFile); err != nil {
			return errors.Wrap(err, "mark for restart")
		}
	}
	return n.signal(name, syscall.SIGKILL)
}

// freezeProcess stops a process for a time.
func (n *injector) freezeProcess(name string, lasts time.Duration) error {
	n.touch(name)
	if err := n.signal(name, syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(lasts)
	return n.signal(name, syscall.SIGCONT)
}

func (n *injector) touch(name string) {
	for i, entry := range n.player.deployment.Entries {
		if entry.NodeID == model.NodeID(name) {
			n.player.balancer.touch(i)
		}
	}
}

func (n *injector) signal(name string, signal syscall.Signal) error {
	data, err := os.ReadFile(filepath.Join(n.player.dir, name+pidSuffix))
	if err != nil {
		return errors.Wrapf(err, "process id of %s; start the deployment with scripts/run.sh", name)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(data)))
	if err != nil {
		return errors.Wrapf(err, "process id of %s", name)
	}
	return errors.Wrapf(syscall.Kill(pid, signal), "signal %s", name)
}
