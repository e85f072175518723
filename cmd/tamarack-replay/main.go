// Command tamarack-replay replays a recording through the reducer and compares the
// effects with those recorded. It exits with 1 when they differ, with 2 when the
// recording cannot be read.
package main

import (
	"flag"
	"fmt"
	"os"

	"tamarackreach/internal/buildinfo"
	"tamarackreach/internal/recording"
)

func main() {
	flag.Usage = func() {
		_, _ = fmt.Fprintln(flag.CommandLine.Output(), "usage: tamarack-replay FILE")
		flag.PrintDefaults()
	}
	buildinfo.ParseFlags()
	if flag.NArg() != 1 {
		flag.Usage()
		os.Exit(2)
	}
	differences, steps, err := replay(flag.Arg(0))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	for _, difference := range differences {
		fmt.Printf("step %d, %s:\n  recorded %s\n  replayed %s\n", difference.Step, difference.Event.Type, difference.Recorded, difference.Replayed)
	}
	fmt.Printf("replayed %d steps, %d differ\n", steps, len(differences))
	if len(differences) > 0 {
		os.Exit(1)
	}
}

func replay(path string) ([]recording.Difference, int, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = file.Close() }()
	header, steps, err := recording.Read(file)
	if err != nil {
		return nil, 0, err
	}
	differences, err := recording.Replay(header, steps)
	return differences, len(steps), err
}
