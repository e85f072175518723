// Command tamarack-soak plays randomised faults against real entry VM processes
// and checks the promises; it exits with 1 when one is broken.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"tamarackreach/internal/buildinfo"
	"tamarackreach/internal/soak"
)

func main() {
	binary := flag.String("binary", "bin/tamarack-front", "program of an entry VM")
	dir := flag.String("dir", filepath.Join(os.TempDir(), "tamarack-soak"), "`folder` for settings and logs")
	first := flag.Uint64("seed", uint64(time.Now().UnixNano()%1e9), "first seed")
	seeds := flag.Int("seeds", 1, "number of seeds")
	jobs := flag.Int("jobs", 1, "seeds at a time")
	vms := flag.Int("vms", 3, "entry VMs a seed")
	callers := flag.Int("callers", 12, "callers a seed")
	faults := flag.Duration("faults", 6*time.Second, "how long faults are injected")
	buildinfo.ParseFlags()
	var broken atomic.Int64
	limit := make(chan struct{}, max(*jobs, 1))
	var wait sync.WaitGroup
	for i := range *seeds {
		wait.Add(1)
		limit <- struct{}{}
		go func() {
			defer func() { <-limit; wait.Done() }()
			seed := *first + uint64(i)
			report, err := soak.Run(soak.Options{
				Seed: seed, Binary: *binary, Dir: filepath.Join(*dir, fmt.Sprint(seed)), VMs: *vms, Callers: *callers, Faults: *faults,
			})
			if err != nil {
				broken.Add(1)
				fmt.Printf("seed %d: %v\n", seed, err)
				return
			}
			fmt.Printf("seed %d: %d calls, %d served, %d refused, %d faults, %d broken\n",
				seed, report.Calls, report.Served, report.Refused, len(report.Faults), len(report.Broken))
			for _, line := range report.Broken {
				broken.Add(1)
				fmt.Printf("seed %d: BROKEN %s\n", seed, line)
			}
		}()
	}
	wait.Wait()
	if broken.Load() > 0 {
		os.Exit(1)
	}
}
