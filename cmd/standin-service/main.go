// Command standin-service simulates a service that is not a model engine and counts
// its calls.
package main

import (
	"flag"
	"net"

	"github.com/sirupsen/logrus"

	"tamarackreach/internal/buildinfo"
	"tamarackreach/internal/rpc"
	"tamarackreach/internal/standin/control"
	"tamarackreach/internal/standin/service"
)

func main() {
	path := flag.String("config", "", "configuration `file` (JSON)")
	buildinfo.ParseFlags()
	var config service.Config
	if err := control.LoadJSON(*path, &config); err != nil {
		logrus.Fatal(err)
	}
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		logrus.Fatal(err)
	}
	logrus.Fatal(rpc.NewServer(service.New(config).Handler()).Serve(listener))
}
