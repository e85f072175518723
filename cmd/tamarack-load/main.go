// Command tamarack-load lays out deployments and plays load against them.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"tamarackreach/internal/deployment"
	"tamarackreach/internal/load"
)

func main() {
	layOut := flag.Bool("write", false, "lay out a deployment in the directory and exit")
	dir := flag.String("dir", "", "deployment `directory`")
	basePort := flag.Int("base-port", 21000, "first port of a deployment that is laid out")
	seconds := flag.Int("seconds", 8, "length of the load, in seconds")
	flag.Parse()
	if *dir == "" {
		fmt.Fprintln(os.Stderr, "name the deployment directory with -dir")
		os.Exit(2)
	}
	if *layOut {
		_, err := deployment.Write(deployment.LinhaDourada(*basePort), *dir)
		exitOn(err)
		return
	}
	d, err := deployment.Load(*dir)
	exitOn(err)
	player := load.New(d, os.Stdout)
	ctx := context.Background()
	exitOn(player.SetUp(ctx))
	result := player.Run(ctx, time.Duration(*seconds)*time.Second)
	for _, violation := range result.Violations {
		fmt.Println("violation:", violation)
	}
	fmt.Println(result.Line())
	if !result.OK() {
		os.Exit(1)
	}
}

func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
