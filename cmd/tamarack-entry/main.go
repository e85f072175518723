// Command tamarack-entry is the daemon of an entry VM.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"tamarackreach/internal/buildinfo"
	"tamarackreach/internal/config"
	"tamarackreach/internal/entry"
	"tamarackreach/internal/telemetry"
)

func main() {
	path := flag.String("config", "", "configuration `file` (JSON)")
	check := flag.Bool("check", false, "check the configuration and exit")
	buildinfo.ParseFlags()
	cfg, err := config.Load(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if *check {
		fmt.Println("configuration is valid")
		return
	}
	telemetry.SetUpLogs("tamarack-entry", string(cfg.NodeID))
	daemon, err := entry.New(cfg)
	if err != nil {
		logrus.Fatal(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := daemon.Run(ctx); err != nil {
		logrus.Fatal(err)
	}
}
