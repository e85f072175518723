package ctl

import (
	"cmp"
	"flag"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// lossGoals are the goals against which answers count as late.
type lossGoals struct{ first, pause time.Duration }

// ends of requests, in the order of the columns.
const (
	endServed = iota
	endLate
	endRefused
	endFailed
	endCount
)

var endNames = [endCount]string{"served", "late", "refused", "failed"}

// endCounts counts requests by their end.
type endCounts [endCount]int

func (c *endCounts) total() int { return c[0] + c[1] + c[2] + c[3] }

// losses counts how the requests of a deployment ended at its VMs: an attempt of a caller that
// was refused and came back counts each time.
type losses struct {
	causes  map[string]int
	bySlice map[int]*endCounts
	byZone  map[string]*endCounts
	total   endCounts
}

// lossSlice is the length of the slices of time that losses are counted by.
const lossSlice = 2 * time.Second

// figures matches what differs between two requests with the same cause.
var figures = regexp.MustCompile(`[0-9]+(\.[0-9]+)?(ns|µs|ms|m?s)?`)

// classify returns how a request ended and why.
func (g lossGoals) classify(l logLine) (end int, cause string) {
	again := ""
	if l.Sends > 1 {
		again = ", sent again"
	}
	switch {
	case l.Outcome == "answered" && l.FirstMs > g.first.Milliseconds():
		return endLate, "late: first part" + again
	case l.Outcome == "answered" && l.PauseMs > g.pause.Milliseconds():
		return endLate, "late: pause" + again
	case l.Outcome == "answered":
		return endServed, ""
	case l.Outcome == "refused" && l.Sends == 0:
		return endRefused, fmt.Sprintf("refused with %d: %s", l.Status, figures.ReplaceAllString(l.Reason, "N"))
	}
	return endFailed, strings.TrimSuffix(fmt.Sprintf("%s after %s: %s", l.Outcome, plural(l.Sends, "send"), figures.ReplaceAllString(l.Reason, "N")), ": ")
}

func plural(n int, word string) string {
	if n == 1 {
		return "1 " + word
	}
	return fmt.Sprintf("%d %ss", n, word)
}

// countLosses reads the logs of all VMs of a deployment.
func countLosses(logs []io.Reader, g lossGoals) (*losses, error) {
	lines, err := readLogs(logs)
	if err != nil {
		return nil, err
	}
	out := &losses{causes: map[string]int{}, bySlice: map[int]*endCounts{}, byZone: map[string]*endCounts{}}
	zones := map[string]string{}
	var begin time.Time
	for _, l := range lines {
		if l.Message == "started" && l.Zone != "" {
			zones[l.VM] = l.Zone
		}
		if l.Message != "request ended" || l.Status == 401 || l.Status == 404 {
			continue
		}
		if begin.IsZero() {
			begin = l.Time
		}
		end, cause := g.classify(l)
		if cause != "" {
			out.causes[cause]++
		}
		out.total[end]++
		count(out.bySlice, int(l.Time.Sub(begin)/lossSlice), end)
		count(out.byZone, cmp.Or(zones[l.VM], "unknown"), end)
	}
	if out.total.total() == 0 {
		return nil, errors.Mark(errors.New("no line of these logs ends a request; give the logs of every VM"), errUsage)
	}
	return out, nil
}

func count[K comparable](counts map[K]*endCounts, key K, end int) {
	if counts[key] == nil {
		counts[key] = &endCounts{}
	}
	counts[key][end]++
}

// print writes the losses as tables in Markdown.
func (l *losses) print(out io.Writer) {
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format, args...) } // as session.printf
	printf("%d attempts of callers: %d served in time, %d late, %d refused, %d failed or cut\n\n",
		l.total.total(), l.total[endServed], l.total[endLate], l.total[endRefused], l.total[endFailed])
	printf("| cause | attempts |\n| --- | --- |\n")
	causes := slices.SortedFunc(maps.Keys(l.causes), func(a, b string) int {
		return cmp.Or(cmp.Compare(l.causes[b], l.causes[a]), cmp.Compare(a, b))
	})
	for _, cause := range causes {
		printf("| %s | %d |\n", cause, l.causes[cause])
	}
	header := func(name string) {
		printf("\n| %s | %s |\n| --- | --- | --- | --- | --- |\n", name, strings.Join(endNames[:], " | "))
	}
	row := func(name string, c *endCounts) {
		printf("| %s | %d | %d | %d | %d |\n", name, c[endServed], c[endLate], c[endRefused], c[endFailed])
	}
	header("zone")
	for _, zone := range slices.Sorted(maps.Keys(l.byZone)) {
		row(zone, l.byZone[zone])
	}
	header("from second")
	for _, slice := range slices.Sorted(maps.Keys(l.bySlice)) {
		row(fmt.Sprint(int(time.Duration(slice)*lossSlice/time.Second)), l.bySlice[slice])
	}
}

func lossesFlags(set *flag.FlagSet) func(*session) error {
	logs := set.String("log", "", "log `files` of all entry VMs, separated by commas, - for standard input")
	first := set.Duration("first", 600*time.Millisecond, "an answer whose first part comes later is late")
	pause := set.Duration("pause", 300*time.Millisecond, "a stream with a longer pause between events is late")
	return func(s *session) error {
		if *logs == "" {
			return errors.Mark(errors.New("name the logs with -log"), errUsage)
		}
		readers, closeAll, err := openLogs(*logs)
		if err != nil {
			return err
		}
		defer closeAll()
		l, err := countLosses(readers, lossGoals{first: *first, pause: *pause})
		if err != nil {
			return err
		}
		l.print(s.out)
		return nil
	}
}
