// Package start runs the daemon: it reads the command line and the settings, sets up the log, connects the daemon's
// components, and starts and stops them.
package start

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"comfreytack/cftd/logs"
	"comfreytack/cftd/talk"
	"comfreytack/core/field"
	"comfreytack/core/setup"
)

// Version is the program's version.
const Version = "0.1.0"

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// Options are the command line.
type Options struct {
	Settings   string `long:"settings" short:"s" value-name:"FILE" description:"JSON settings of this daemon"`
	Check      bool   `long:"check" description:"Check the settings, print the result and exit"`
	Version    bool   `long:"version" description:"Print the version and exit"`
	Policy     string `long:"policy" hidden:"true" description:"Routing policy, for measurements"`
	Limiter    string `long:"limiter" hidden:"true" description:"How the gate's slots are set, for measurements"`
	Discipline string `long:"discipline" hidden:"true" description:"Order of the gate's queue, for measurements"`
}

// Main runs the daemon and returns its exit code: 0 after a clean stop, 1 when it could not run,
// 2 when the command line or the settings were refused.
func Main[D talk.Dialect](front Front[D], args []string, out, errs io.Writer) int {
	options := front.Defaults
	parser := flags.NewParser(&options, flags.HelpFlag|flags.PassDoubleDash)
	parser.Name = "cftd"
	parser.LongDescription = "Takes calls for services, and is the gate of the upstream beside it. Example: cftd --settings reservas-1.json"
	if _, err := parser.ParseArgs(args); err != nil {
		if flags.WroteHelp(err) {
			fmt.Fprintln(out, err)
			return exitOK
		}
		fmt.Fprintf(errs, "cftd: %v; see cftd --help\n", err)
		return exitSettings
	}
	if options.Version {
		fmt.Fprintln(out, "cftd "+Version)
		return exitOK
	}
	return run(front, options, out, errs)
}

// startSink starts writing log lines. The function that it returns stops this; it waits up to logFlushTimeout for the
// queued lines to be written.
func startSink(sink *logs.Sink, out io.Writer, log *slog.Logger) func() {
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		sink.Run(ctx, out, log)
		close(done)
	}()
	return func() {
		stop()
		select {
		case <-done:
		case <-time.After(logFlushTimeout):
		}
	}
}

// logFlushTimeout bounds the wait at the end of the process, since the reader of the log may have stopped reading.
const logFlushTimeout = 200 * time.Millisecond

// checkSettingsOnHangup checks the settings file at each SIGHUP and logs the result. It applies nothing, because the
// addresses and names of a running daemon do not change. Operators learn of an invalid file before the next start.
func checkSettingsOnHangup(file string, inForce setup.Settings, log *slog.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for range hangups {
		settings, err := setup.Read(file)
		switch {
		case err != nil:
			log.Error("settings not reloaded", "error", err.Error())
		case !reflect.DeepEqual(settings, inForce):
			log.Warn("settings changed; they come into force at the next start")
		default:
			log.Info("settings reloaded", "changed", false)
		}
	}
}

func run[D talk.Dialect](front Front[D], options Options, out, errs io.Writer) int {
	if options.Settings == "" {
		fmt.Fprintln(errs, "cftd: no settings; name the file with --settings FILE")
		return exitSettings
	}
	settings, err := setup.Read(options.Settings)
	if err != nil {
		fmt.Fprintf(errs, "cftd: %v\n", err)
		return exitSettings
	}
	if options.Check {
		fmt.Fprintf(out, "%s: settings of %s are good\n", options.Settings, settings.Name)
		return exitOK
	}
	sink := logs.New(time.Now)
	front.LinesDropped = sink.Dropped
	log := newLog(settings.Log, sink).With(field.Daemon, settings.Name)
	defer startSink(sink, out, log)()
	go checkSettingsOnHangup(options.Settings, settings, log)
	debug.SetMemoryLimit(settings.Limits.RuntimeBytes())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := Serve(ctx, front, settings, options, log); err != nil {
		log.Error("stopped", "error", err)
		return exitFailed
	}
	return exitOK
}
