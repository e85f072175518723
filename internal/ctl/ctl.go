// Package ctl implements tamarackctl, the command line client of operators.
package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"tamarackreach/gen/tamarack/v1/tamarackv1connect"
	"tamarackreach/internal/buildinfo"
	"tamarackreach/internal/rpc"
)

// Exit codes of tamarackctl.
const (
	ExitOK = 0
	// ExitRefused means that the node refused the request: nothing was changed.
	ExitRefused = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitInDoubt means that the outcome is unknown; the message says how to
	// determine it.
	ExitInDoubt = 3
	// ExitUnreachable means that no node answered.
	ExitUnreachable = 4
)

// callTimeout limits the duration of one command.
const callTimeout = 15 * time.Second

// command is one subcommand.
type command struct {
	name    string
	summary string
	// setup registers the flags of the command and returns the function that runs it.
	setup func(*flag.FlagSet) func(*session) error
}

// session holds the client, the output and the arguments of one command run.
type session struct {
	ctx    context.Context
	client tamarackv1connect.OperatorServiceClient
	token  string
	json   bool
	out    io.Writer
	args   []string
}

func commands() []command {
	return []command{
		{"apply", "propose a change: apply -file CHANGE.json", applyFlags},
		{"diff", "show what a change file would change, path by path", diffFlags},
		{"get", "print the settings tree in force", getFlags},
		{"history", "list accepted changes, newest first", historyFlags},
		{"change", "show one change, by -id or -revision; settles a change in doubt", changeFlags},
		{"status", "show which revision is in force where, targets and alarms", statusFlags},
		{"drain", "let a target leave: drain TARGET", drainFlags},
		{"fleet", "show from whom an entry VM of tamarack-front takes the store's state, and which others it hears", vmStatusFlags(printFleet)},
		{"losses", "count by cause, zone and time how requests ended: losses -log FILES", lossesFlags},
		{"explain", "show how a request was routed: explain REQUEST, or explain -log FILES REQUEST once it has ended", explainFlags},
		{"placement", "show which target of tamarack-front holds which layers, and the holes: placement -status ADDRESS", vmStatusFlags(printPlacement)},
		{"route", "show where an entry VM would route a request now, and why: route -status ADDRESS -host HOST -path PATH", routeFlags},
		{"check", "check files of tamarack-front: check -settings FILE -deploy FILE", checkFlags},
		{"keys", "make a test CA and node keys: keys -dir DIR NODE...", keysFlags},
	}
}

// Run runs one command line and returns its exit code.
func Run(args []string, out, errOut io.Writer) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "-help" {
		usage(out)
		return ExitOK
	}
	if args[0] == "version" || args[0] == "-version" {
		_, _ = fmt.Fprintln(out, buildinfo.Version())
		return ExitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return runCommand(c, args[1:], out, errOut)
		}
	}
	_, _ = fmt.Fprintf(errOut, "unknown command %q\n", args[0])
	usage(errOut)
	return ExitUsage
}

func usage(out io.Writer) {
	_, _ = fmt.Fprintln(out, "usage: tamarackctl COMMAND [flags]")
	for _, c := range commands() {
		_, _ = fmt.Fprintf(out, "  %-9s %s\n", c.name, c.summary)
	}
	_, _ = fmt.Fprintf(out, "  %-9s %s\n", "version", "print the version")
	_, _ = fmt.Fprintln(out, "exit codes: 0 done, 1 refused, 2 usage, 3 in doubt, 4 no node answered")
}

func runCommand(c command, args []string, out, errOut io.Writer) int {
	set := flag.NewFlagSet("tamarackctl "+c.name, flag.ContinueOnError)
	set.SetOutput(errOut)
	address := set.String("node", "127.0.0.1:7001", "operator `address` of an entry VM, IP:port")
	token := set.String("token", "", "team `token`")
	asJSON := set.Bool("json", false, "print JSON")
	run := c.setup(set)
	if err := set.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		return ExitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	err := run(&session{
		ctx:    ctx,
		client: tamarackv1connect.NewOperatorServiceClient(rpc.NewClient(), "http://"+*address),
		token:  *token,
		json:   *asJSON,
		out:    out,
		args:   set.Args(),
	})
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
	}
	return exitCode(err)
}

// errUsage marks errors in the command line or its input files.
var errUsage = errors.New("wrong usage")

func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	if errors.Is(err, errUsage) {
		return ExitUsage
	}
	if errors.Is(err, errRefused) {
		return ExitRefused
	}
	f, ok := rpc.FaultOf(err)
	switch {
	case ok && f.Kind.String() == "FAULT_KIND_IN_DOUBT":
		return ExitInDoubt
	case ok:
		return ExitRefused
	}
	return ExitUnreachable
}

// request adds the team token to a message.
func request[T any](s *session, message *T) *connect.Request[T] {
	r := connect.NewRequest(message)
	r.Header().Set("Authorization", "Bearer "+s.token)
	return r
}
