// Command standin-engine simulates one or more model engines.
package main

import (
	"flag"
	"net"

	"github.com/sirupsen/logrus"

	"tamarackreach/internal/buildinfo"
	"tamarackreach/internal/rpc"
	"tamarackreach/internal/standin/control"
	"tamarackreach/internal/standin/engine"
)

func main() {
	path := flag.String("config", "", "configuration `file` (JSON)")
	buildinfo.ParseFlags()
	var config engine.HostConfig
	if err := control.LoadJSON(*path, &config); err != nil {
		logrus.Fatal(err)
	}
	host, err := engine.NewHost(config)
	if err != nil {
		logrus.Fatal(err)
	}
	listener, err := net.Listen("tcp", config.ControlAddress)
	if err != nil {
		logrus.Fatal(err)
	}
	logrus.Fatal(rpc.NewServer(host.Handler()).Serve(listener))
}
