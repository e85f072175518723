// Command tamarack-front is the daemon of an entry VM on the users' platform.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"tamarackreach/internal/buildinfo"
	"tamarackreach/internal/frontdaemon"
	"tamarackreach/internal/logsink"
	"tamarackreach/internal/telemetry"
	"tamarackreach/platform"
)

// flushTimeout limits the wait for queued log lines to be written at exit.
const flushTimeout = 200 * time.Millisecond

func main() {
	check := flag.Bool("check", false, "check the settings file and exit")
	metrics := flag.String("metrics", "", "`address` (host:port) that serves the metrics; not served when empty")
	buildinfo.ParseFlags()
	path := os.Getenv(platform.SettingsVariable)
	settings, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if *check {
		fmt.Println("settings are valid")
		return
	}
	frontdaemon.LimitMemory(settings)
	telemetry.SetUpLogs("tamarack-front", string(settings.VM))
	sink := logsink.New(os.Stdout)
	logrus.SetOutput(sink)
	logrus.RegisterExitHandler(func() { sink.Flush(flushTimeout) })
	defer sink.Flush(flushTimeout)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	daemon := frontdaemon.New(settings, frontdaemon.Options{
		MetricsAddress: *metrics, SettingsPath: path, DroppedLines: sink.Dropped,
	})
	if err := daemon.Run(context.Background(), signals); err != nil {
		logrus.Fatal(err)
	}
}
