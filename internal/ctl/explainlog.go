package ctl

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLogLine limits the length of a log line, in bytes.
const maxLogLine = 1 << 20

// logLine holds the fields of a structured log line that explain and losses read.
type logLine struct {
	Time    time.Time `json:"time"`
	VM      string    `json:"id"`
	Message string    `json:"msg"`
	Request string    `json:"request"`
	Subject string    `json:"subject"`
	Detail  string    `json:"detail"`
	Path    string    `json:"path"`
	Target  string    `json:"target"`
	Relay   string    `json:"relay"`
	Outcome string    `json:"outcome"`
	Reason  string    `json:"reason"`
	FaultAt string    `json:"fault_at"`
	Error   string    `json:"error"`
	Zone    string    `json:"zone"`
	Send    int       `json:"send"`
	Sends   int       `json:"sends"`
	Status  int       `json:"status"`
	Events  int       `json:"events"`
	TookMs  int64     `json:"took_ms"`
	FirstMs int64     `json:"first_ms"`
	PauseMs int64     `json:"longest_pause_ms"`
	RetryMs int64     `json:"retry_after_ms"`
}

// explainLogs prints the log lines of a request from the logs of all VMs, ordered
// by time. It adds the lines about the store, the configuration and the targets on
// the request's paths that its VM logged from one second before the request's first
// line to its last. Lines that are not structured logs are skipped.
func explainLogs(logs []io.Reader, request string, out io.Writer) error {
	lines, err := readLogs(logs)
	if err != nil {
		return err
	}
	requestLines := slices.DeleteFunc(slices.Clone(lines), func(l logLine) bool { return l.Request != request })
	if len(requestLines) == 0 {
		return errors.Mark(errors.Newf("no line of these logs names request %q; give the logs of every VM", request), errUsage)
	}
	paths := ""
	for _, l := range requestLines {
		paths += l.Path + " "
	}
	from, to := requestLines[0].Time.Add(-time.Second), requestLines[len(requestLines)-1].Time
	for _, l := range lines {
		stateOfVM := l.Subject == "" && slices.ContainsFunc([]string{"store", "configuration", "targets "}, func(prefix string) bool {
			return strings.HasPrefix(l.Message, prefix)
		})
		onPath := l.Subject != "" && strings.Contains(paths, l.Subject+"[")
		related := l.VM == requestLines[0].VM && !l.Time.Before(from) && !l.Time.After(to) && (stateOfVM || onPath)
		if l.Request == request || related {
			if _, err := fmt.Fprintln(out, l.String()); err != nil {
				return err
			}
		}
	}
	return nil
}

func readLogs(logs []io.Reader) ([]logLine, error) {
	var lines []logLine
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLogLine)
		for scanner.Scan() {
			// A prefix before the JSON object, such as a log collector's timestamp, is
			// skipped.
			_, text, found := strings.Cut(scanner.Text(), "{")
			var l logLine
			if !found || json.Unmarshal([]byte("{"+text), &l) != nil {
				continue
			}
			lines = append(lines, l)
		}
		if err := scanner.Err(); err != nil {
			return nil, errors.Wrap(err, "cannot read a log to its end")
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	return lines, nil
}

// String formats a line as text.
func (l logLine) String() string {
	text := l.Time.Format("15:04:05.000") + " " + l.VM + " " + l.Message
	switch {
	case l.Path != "":
		text += fmt.Sprintf(" (%d) over %s", l.Send, l.Path)
		if l.Relay != "" {
			text += " through " + l.Relay
		}
	case l.Subject != "" || l.Detail != "":
		text += strings.TrimRight(": "+l.Subject+" "+l.Detail, " ")
	}
	for _, part := range []struct {
		name, value string
	}{{"outcome", l.Outcome}, {"reason", l.Reason}, {"fault at", l.FaultAt}, {"error", l.Error}} {
		if part.value != "" {
			text += ", " + part.name + " " + part.value
		}
	}
	for _, part := range []struct {
		name  string
		value int64
	}{{"status", int64(l.Status)}, {"events", int64(l.Events)}, {"first_ms", l.FirstMs}, {"longest_pause_ms", l.PauseMs}, {"took_ms", l.TookMs}, {"retry_after_ms", l.RetryMs}} {
		if part.value != 0 {
			text += fmt.Sprintf(", %s %d", part.name, part.value)
		}
	}
	return text
}

// openLogs opens a comma-separated list of files; "-" is the standard input. The
// returned function closes them.
func openLogs(list string) ([]io.Reader, func(), error) {
	var readers []io.Reader
	var files []*os.File
	closeAll := func() {
		for _, f := range files {
			_ = f.Close() // opened for reading only
		}
	}
	for name := range strings.SplitSeq(list, ",") {
		if name == "-" {
			readers = append(readers, os.Stdin)
			continue
		}
		f, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, errors.Mark(errors.Wrap(err, "cannot open a log"), errUsage)
		}
		files, readers = append(files, f), append(readers, f)
	}
	return readers, closeAll, nil
}
