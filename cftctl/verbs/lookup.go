// Package verbs implements the verbs of cftctl.
package verbs

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// Version is the program's version.
const Version = "0.1.0"

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// verb is one entry of the lookup table.
type verb struct {
	name    string
	summary string
	// usage shows the verb's own options and an example.
	usage string
	// new returns an action whose fields receive the parsed options.
	new func() action
}

// action is a verb with its options.
type action interface {
	// run prints to out. Its error tells the user what to do next.
	run(arguments []string, out io.Writer) error
}

// verbs is the lookup table, in the order of the help text.
var verbs = []verb{
	checkVerb,
	explainVerb,
	statusVerb,
	traceVerb,
}

// errFaults means that a verb failed and has already printed why.
var errFaults = errors.New("faults found")

// usageError describes a mistake on the command line.
type usageError string

func (e usageError) Error() string { return string(e) }

// Main runs one verb and returns the exit code: 0 for success, 1 when the verb found faults or
// failed, 2 when the command line is invalid.
func Main(arguments []string, out, errs io.Writer) int {
	if len(arguments) == 0 {
		printHelp(errs)
		return exitUsage
	}
	switch arguments[0] {
	case "help", "--help", "-h":
		printHelp(out)
		return exitOK
	case "version", "--version":
		fmt.Fprintln(out, "cftctl "+Version)
		return exitOK
	}
	for _, v := range verbs {
		if v.name == arguments[0] {
			return runVerb(v, arguments[1:], out, errs)
		}
	}
	fmt.Fprintf(errs, "cftctl: unknown verb %q; see cftctl help\n", arguments[0])
	return exitUsage
}

func runVerb(v verb, arguments []string, out, errs io.Writer) int {
	act := v.new()
	parser := flags.NewNamedParser("cftctl "+v.name, flags.HelpFlag|flags.PassDoubleDash)
	parser.Usage = v.usage
	parser.LongDescription = v.summary
	if _, err := parser.AddGroup("Options", "", act); err != nil {
		fmt.Fprintf(errs, "cftctl %s: %v\n", v.name, err)
		return exitUsage
	}
	rest, err := parser.ParseArgs(arguments)
	if flags.WroteHelp(err) {
		fmt.Fprintln(out, err)
		return exitOK
	}
	if err == nil {
		err = act.run(rest, out)
	}
	return exitCode(v, err, errs)
}

func exitCode(v verb, err error, errs io.Writer) int {
	var syntax *flags.Error
	var usage usageError
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errFaults):
		return exitFailed
	case errors.As(err, &usage), errors.As(err, &syntax):
		fmt.Fprintf(errs, "cftctl %s: %v; see cftctl %s --help\n", v.name, err, v.name)
		return exitUsage
	}
	fmt.Fprintf(errs, "cftctl %s: %v\n", v.name, err)
	return exitFailed
}

func printHelp(out io.Writer) {
	fmt.Fprintln(out, "Usage: cftctl VERB [options] [arguments]")
	fmt.Fprintln(out)
	for _, v := range verbs {
		fmt.Fprintf(out, "  %-8s %s\n", v.name, v.summary)
	}
	fmt.Fprintln(out)
	fmt.Fprintln(out, "See cftctl VERB --help for options and an example.")
}
