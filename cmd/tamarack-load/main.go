// Command tamarack-load writes the files of deployments, runs scenarios against
// them and reports the results observed by callers.
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
	flag.BoolVar(&f.write, "write", false, "write the files of the scenario's deployment to the directory and exit")
	flag.BoolVar(&f.check, "check", false, "check the scenario and exit")
	flag.BoolVar(&f.compare, "compare", false, "compare the two report files given as arguments and exit")
	flag.BoolVar(&f.table, "table", false, "print Markdown tables of the report files given as arguments and exit")
	flag.StringVar(&f.dir, "dir", "", "deployment `directory`")
	flag.StringVar(&f.scenario, "scenario", "", "scenario `file`")
	flag.StringVar(&f.report, "report", "", "`file` to which the report is written")
	flag.StringVar(&f.plots, "plots", "", "`directory` to which the plots are written")
	flag.IntVar(&f.basePort, "base-port", 0, "first port of the deployment written by -write; 0 selects free ports")
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
		return writeDeployment(f, s)
	}
	return runScenario(f, s)
}

func compare(paths []string) error {
	const reportCount = 2
	if len(paths) != reportCount {
		return errors.Newf("name %d report files after -compare", reportCount)
	}
	reports, err := readReports(paths)
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
	reports, err := readReports(paths)
	if err != nil {
		return err
	}
	fmt.Print(report.Table(reports))
	return nil
}

func readReports(paths []string) ([]*report.Report, error) {
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

func writeDeployment(f flags, s *scenario.Scenario) error {
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

func runScenario(f flags, s *scenario.Scenario) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d, err := deployment.Load(f.dir)
	if err != nil {
		return err
	}
	driver := load.New(d, os.Stdout)
	if err := driver.SetUp(ctx); err != nil {
		fmt.Println(load.FailedLine())
		return err
	}
	result := driver.Run(ctx, s, f.dir)
	if err := writeReport(f, &result.Report); err != nil {
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
		return errors.Newf("%s: the run failed; see the RESULT line and the violations", s.Name)
	}
	return nil
}

func writeReport(f flags, r *report.Report) error {
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
