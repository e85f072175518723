// Command tamarack-soak injects random faults into real entry VM processes and
// checks the service guarantees; it exits with 1 when one is violated.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tamarackreach/internal/buildinfo"
	"tamarackreach/internal/soak"
)

func main() {
	binary := flag.String("binary", "bin/tamarack-front", "path of the entry VM program")
	earlier := flag.String("earlier", "", "path of an earlier build of the program; VMs are upgraded and rolled back in the course of each seed")
	dir := flag.String("dir", filepath.Join(os.TempDir(), "tamarack-soak"), "`directory` for settings and logs")
	firstSeed := flag.Uint64("seed", uint64(time.Now().UnixNano()%1e9), "first seed")
	seeds := flag.Int("seeds", 1, "number of seeds")
	jobs := flag.Int("jobs", 1, "number of seeds run in parallel")
	vms := flag.Int("vms", 3, "entry VMs per seed")
	callers := flag.Int("callers", 12, "callers per seed")
	faults := flag.Duration("faults", 6*time.Second, "duration of fault injection")
	var faultOptions soak.Options
	registerFaultFlags(&faultOptions)
	buildinfo.ParseFlags()
	var failures atomic.Int64
	slots := make(chan struct{}, max(*jobs, 1))
	var running sync.WaitGroup
	for i := range *seeds {
		running.Add(1)
		slots <- struct{}{}
		go func() {
			defer func() { <-slots; running.Done() }()
			seed := *firstSeed + uint64(i)
			options := faultOptions
			options.Seed, options.Binary, options.Earlier, options.Dir = seed, *binary, *earlier, filepath.Join(*dir, fmt.Sprint(seed))
			options.VMs, options.Callers, options.Faults = *vms, *callers, *faults
			report, err := soak.Run(options)
			if err != nil {
				failures.Add(1)
				fmt.Printf("seed %d: %v\n", seed, err)
				return
			}
			fmt.Printf("seed %d: %d calls, %d served, %d refused, %d arrivals at targets, %.0f%% of the retry budget, %d faults, %d restores, %d store writes in the peak second, %d streams without a length cut, %d builds replaced, %d broken\n",
				seed, report.Calls, report.Served, report.Refused, report.Arrivals, 100*report.PeakRetries, len(report.Faults), report.Restores, report.PeakWrites, report.Unframed, report.Replaced, len(report.Violations))
			if len(report.Violations) > 0 {
				fmt.Printf("seed %d: faults %s\n", seed, strings.Join(report.Faults, "; "))
			}
			for _, line := range report.Violations {
				failures.Add(1)
				fmt.Printf("seed %d: BROKEN %s\n", seed, line)
			}
		}()
	}
	running.Wait()
	if failures.Load() > 0 {
		os.Exit(1)
	}
}

// registerFaultFlags registers the flags that choose the faults.
func registerFaultFlags(o *soak.Options) {
	flag.BoolVar(&o.ResponseFaults, "response-faults", true, "also spoil targets' responses, send content that crashes targets and restart VMs in series")
	flag.BoolVar(&o.CrashingQueries, "crashing-queries", false, "let content that crashes targets differ by its query only from harmless content")
	flag.BoolVar(&o.AttemptFaults, "attempt-faults", false, "also let targets answer the runs of a request differently, send more behind a response and refuse what they ran, and split, merge and half-close connections to targets")
	flag.BoolVar(&o.AttemptFaultsOnly, "attempt-faults-only", false, "only inject the faults of -attempt-faults")
	flag.BoolVar(&o.Restores, "restores", false, "also let the store come back from older copies, and drain targets")
	flag.BoolVar(&o.RestoresOnly, "restores-only", false, "only let the store come back from older copies")
}
