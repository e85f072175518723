// Package buildinfo reports the version of a program.
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

// ParseFlags registers -version and parses the command line. With -version it prints
// the version and exits.
func ParseFlags() {
	version := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *version {
		fmt.Println(Version())
		os.Exit(0)
	}
}
