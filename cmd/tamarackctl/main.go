// Command tamarackctl is the command line client of operators.
package main

import (
	"os"

	"tamarackreach/internal/ctl"
)

func main() { os.Exit(ctl.Run(os.Args[1:], os.Stdout, os.Stderr)) }
