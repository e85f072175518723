// Package buildinfo names the version of a program.
package buildinfo

import (
	"flag"
	"fmt"
	"os"
	"runtime/debug"
)

// Version returns the module's version, the commit when the build recorded it,
// and the toolchain.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "tamarackreach, version unknown"
	}
	text := "tamarackreach " + info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			text += " " + s.Value
		}
	}
	return text + " " + info.GoVersion
}

// ParseFlags adds -version to the command line and parses it. With -version the
// program prints it and ends.
func ParseFlags() {
	version := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *version {
		fmt.Println(Version())
		os.Exit(0)
	}
}
