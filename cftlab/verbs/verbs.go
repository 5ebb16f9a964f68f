// Package verbs implements the verbs of cftlab, one file for each: usage, options, constructor and action.
package verbs

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Streams are the standard output and error output of a verb.
type Streams struct {
	Out  io.Writer
	Errs io.Writer
}

// Action runs a verb until it is done or ctx ends.
type Action interface {
	Run(ctx context.Context, streams Streams) error
}

// Verb describes a subcommand of cftlab.
type Verb struct {
	// Name is what the user types.
	Name string
	// Summary is one line of text for the list of verbs.
	Summary string
	// New returns an action whose fields go-flags sets from the default values and the command line.
	New func() Action
}

// allVerbs returns the verbs in the order of the help text.
func allVerbs() []Verb {
	return []Verb{
		upstreamVerb,
		platformVerb,
		demoVerb,
		faultsVerb,
		loadVerb,
		addedVerb,
		compareVerb,
		idleVerb,
	}
}

// Main runs the verb that the first argument names and returns the exit code of the process.
func Main(args []string, out, errs io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	streams := Streams{Out: out, Errs: errs}
	if len(args) == 0 || args[0] == "--help" || args[0] == "-h" || args[0] == "help" {
		printUsage(streams.Out)
		return exitOK
	}
	for _, verb := range allVerbs() {
		if verb.Name == args[0] {
			return run(ctx, verb, args[1:], streams)
		}
	}
	fmt.Fprintf(errs, "cftlab: unknown verb %q; \"cftlab --help\" lists the verbs\n", args[0])
	return exitUsage
}

// run parses the options of a verb, runs it and returns the exit code.
func run(ctx context.Context, verb Verb, args []string, streams Streams) int {
	action := verb.New()
	parser := flags.NewNamedParser("cftlab "+verb.Name, flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = verb.Summary
	if _, err := parser.AddGroup("Options", "", action); err != nil {
		fmt.Fprintf(streams.Errs, "cftlab %s: %v\n", verb.Name, err)
		return exitUsage
	}
	rest, err := parser.ParseArgs(args)
	if err == nil && len(rest) > 0 {
		err = errors.Errorf("unexpected argument %q", rest[0])
	}
	if flags.WroteHelp(err) {
		fmt.Fprintln(streams.Out, err)
		return exitOK
	}
	if err != nil {
		fmt.Fprintf(streams.Errs, "cftlab %s: %v; \"cftlab %s --help\" lists the options\n", verb.Name, err, verb.Name)
		return exitUsage
	}
	if err := action.Run(ctx, streams); err != nil {
		fmt.Fprintf(streams.Errs, "cftlab %s: %v\n", verb.Name, err)
		return exitFailed
	}
	return exitOK
}

func printUsage(out io.Writer) {
	fmt.Fprintln(out, "usage: cftlab VERB [OPTIONS]")
	for _, verb := range allVerbs() {
		fmt.Fprintf(out, "  %-10s %s\n", verb.Name, verb.Summary)
	}
	fmt.Fprintln(out, "\"cftlab VERB --help\" lists the options of a verb.")
}
