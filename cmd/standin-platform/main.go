// Command standin-platform simulates the platform: the table, the object store, the
// VM list and the weight service.
package main

import (
	"flag"
	"net"

	"github.com/sirupsen/logrus"

	"tamarackreach/internal/buildinfo"
	"tamarackreach/internal/rpc"
	"tamarackreach/internal/standin/control"
	"tamarackreach/internal/standin/platform"
)

func main() {
	path := flag.String("config", "", "configuration `file` (JSON)")
	buildinfo.ParseFlags()
	var config platform.Config
	if err := control.LoadJSON(*path, &config); err != nil {
		logrus.Fatal(err)
	}
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		logrus.Fatal(err)
	}
	logrus.Fatal(rpc.NewServer(platform.New(config).Handler()).Serve(listener))
}
