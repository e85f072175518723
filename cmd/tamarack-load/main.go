// Command tamarack-load lays out deployments, plays scenarios against them and
// reports what callers saw.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"tamarackreach/internal/buildinfo"
	"tamarackreach/internal/deployment"
	"tamarackreach/internal/load"
	"tamarackreach/internal/load/scenario"
	"tamarackreach/internal/report"
)

type flags struct {
	write    bool
	check    bool
	compare  bool
	table    bool
	dir      string
	scenario string
	report   string
	plots    string
	basePort int
}

func main() {
	var f flags
	flag.BoolVar(&f.write, "write", false, "lay out the scenario's deployment in the directory and exit")
	flag.BoolVar(&f.check, "check", false, "check the scenario and exit")
	flag.BoolVar(&f.compare, "compare", false, "compare the two report files that are named as arguments and exit")
	flag.BoolVar(&f.table, "table", false, "print Markdown tables of the report files that are named as arguments and exit")
	flag.StringVar(&f.dir, "dir", "", "deployment `directory`")
	flag.StringVar(&f.scenario, "scenario", "", "scenario `file`")
	flag.StringVar(&f.report, "report", "", "`file` that takes the report")
	flag.StringVar(&f.plots, "plots", "", "`directory` that takes the plots")
	flag.IntVar(&f.basePort, "base-port", 0, "first port of a deployment that is laid out; 0 chooses free ones")
	buildinfo.ParseFlags()
	if err := run(f); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(f flags) error {
	if f.compare {
		return compare(flag.Args())
	}
	if f.table {
		return table(flag.Args())
	}
	s, err := scenario.Load(f.scenario)
	if err != nil || f.check {
		return err
	}
	if f.write {
		return layOut(f, s)
	}
	return play(f, s)
}

func compare(paths []string) error {
	const compared = 2
	if len(paths) != compared {
		return errors.Newf("name %d report files after -compare", compared)
	}
	reports, err := readAll(paths)
	if err != nil {
		return err
	}
	fmt.Print(report.Compare(reports[0], reports[1]))
	return nil
}

func table(paths []string) error {
	if len(paths) == 0 {
		return errors.New("name report files after -table")
	}
	reports, err := readAll(paths)
	if err != nil {
		return err
	}
	fmt.Print(report.Table(reports))
	return nil
}

func readAll(paths []string) ([]*report.Report, error) {
	reports := make([]*report.Report, 0, len(paths))
	for _, path := range paths {
		r, err := report.Read(path)
		if err != nil {
			return nil, err
		}
		reports = append(reports, r)
	}
	return reports, nil
}

func layOut(f flags, s *scenario.Scenario) error {
	shape := deployment.LinhaDourada(f.basePort)
	if s.Deployment == scenario.KootenayLacing {
		shape = deployment.KootenayLacing(f.basePort)
	}
	shape.StepScale = s.StepScale
	shape.MaxBatch = s.MaxBatch
	if err := shape.ChoosePorts(); err != nil {
		return err
	}
	_, err := deployment.Write(shape, f.dir)
	return err
}

func play(f flags, s *scenario.Scenario) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d, err := deployment.Load(f.dir)
	if err != nil {
		return err
	}
	player := load.New(d, os.Stdout)
	if err := player.SetUp(ctx); err != nil {
		fmt.Println(load.FailedLine())
		return err
	}
	result := player.Run(ctx, s, f.dir)
	if err := write(f, &result.Report); err != nil {
		return err
	}
	for _, recovery := range result.Report.Recoveries {
		fmt.Printf("recovery of %s: streams %.0f ms (%d stalled, %d lost), throughput %.0f ms (recovered %t), calls %.0f ms (%d refused)\n",
			recovery.Failure, recovery.StreamsMs, recovery.Stalled, recovery.Lost, recovery.ThroughputMs, recovery.Recovered, recovery.CallsMs, recovery.CallsRefused)
	}
	for _, violation := range result.Report.Violations {
		fmt.Println("violation:", violation)
	}
	fmt.Println(result.Line())
	if !result.OK() {
		return errors.Newf("%s: the run did not keep every promise", s.Name)
	}
	return nil
}

func write(f flags, r *report.Report) error {
	if f.report != "" {
		if err := r.Write(f.report); err != nil {
			return err
		}
	}
	if f.plots == "" {
		return nil
	}
	return r.Plot(f.plots)
}
