// Command tamarackctl is the operators' client.
package main

import (
	"os"

	"tamarackreach/internal/ctl"
)

func main() { os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr)) }
