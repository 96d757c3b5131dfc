// Command magnoliafront is a router for language-model traffic with service
// levels and priorities. Run it with --help for its commands.
//
// The help text lists the exit codes.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
	"go.uber.org/fx"

	"magnoliafront.dev/magnoliafront/internal/process/acceptor"
	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/loader"
	"magnoliafront.dev/magnoliafront/internal/process/logger"
	"magnoliafront.dev/magnoliafront/internal/process/server"
	"magnoliafront.dev/magnoliafront/internal/process/starter"
	"magnoliafront.dev/magnoliafront/internal/process/writer"
	"magnoliafront.dev/magnoliafront/pkg/descriptor"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// Exit codes; longDescription says what each means to operators.
const (
	exitFailure  = 1
	exitUsage    = 2
	exitConflict = 3
	exitInvalid  = 4
	exitPlatform = 5
	exitUnknown  = 6
	exitNotFound = 7
)

const longDescription = `magnoliafront routes language-model traffic with service levels and priorities.

Exit codes:
  0  success
  1  other failure
  2  wrong command line
  3  conflict: somebody else changed one of the records; nothing was changed
  4  invalid records; nothing was changed
  5  the platform does not answer; nothing was changed
  6  the platform does not answer and the change may or may not be accepted
  7  no such record`

func main() {
	reload := reloadSignals(os.Args[1:])
	logWriter := logger.NewWriter(logOutput(os.Args[1:]), timer.System{})
	logger.Setup(logWriter)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := run(ctx, reload, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	logWriter.Stop()
	os.Exit(code)
}

// reloadSignals returns the channel of the SIGHUP signals that request a reload
// of the settings file. It must be called before anything else, since a SIGHUP
// that is not caught ends the process; in a soak (seed 21) one arrived before the
// settings were read. Only the gateway command reloads its settings. For all
// other commands the channel is nil and SIGHUP ends the process.
func reloadSignals(args []string) <-chan os.Signal {
	if len(args) == 0 || args[0] != "gateway" {
		return nil
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// logOutput returns the file to which a command writes its logs. A gateway logs
// to standard output, as the users' platform requires. All other commands log to
// standard error, since standard output carries their results.
func logOutput(args []string) *os.File {
	if len(args) > 0 && args[0] == "gateway" {
		return os.Stdout
	}
	return os.Stderr
}

// run parses the arguments, runs the command that they name and returns its exit
// code.
func run(ctx context.Context, reload <-chan os.Signal, args []string, stdout, stderr io.Writer) int {
	p, err := newParser(ctx, reload, stdout)
	if err == nil {
		_, err = p.ParseArgs(args)
	}
	var usageErr *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usageErr) && usageErr.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, usageErr.Message)
		return 0
	case errors.As(err, &usageErr):
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	_, _ = fmt.Fprintln(stderr, "magnoliafront:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var changeErr *writer.Error
	var recordErr *descriptor.Error
	var platformErr *accessor.Error
	var notFoundErr *notFoundError
	switch {
	case errors.As(err, &changeErr):
		switch changeErr.Kind {
		case writer.ErrorConflict:
			return exitConflict
		case writer.ErrorInvalid:
			return exitInvalid
		case writer.ErrorUnavailable:
			return exitPlatform
		case writer.ErrorOutcomeUnknown:
			return exitUnknown
		}
	case errors.As(err, &recordErr):
		return exitInvalid
	case errors.As(err, &platformErr):
		return exitPlatform
	case errors.As(err, &notFoundErr):
		return exitNotFound
	}
	return exitFailure
}

func newParser(ctx context.Context, reload <-chan os.Signal, out io.Writer) (*flags.Parser, error) {
	p := flags.NewNamedParser("magnoliafront", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = longDescription
	for _, c := range []struct {
		name, short string
		command     any
	}{
		{"entry", "Run an entry: the process that callers reach", &entryCommand{ctx: ctx}},
		{"gateway", "Run an entry that calls its upstreams directly, on the users' platform", &gatewayCommand{ctx: ctx, reload: reload}},
		{"agent", "Run an agent: the process beside one upstream", &agentCommand{ctx: ctx}},
		{"emulate", "Run a stand-in for the platform, an engine or a service", &emulateCommand{ctx: ctx}},
		{"timeline", "Show or explain what happened, over all processes", &timelineCommand{ctx: ctx}},
		{"explain", "Ask a gateway where it would send a request now, and why, without sending it", &explainCommand{ctx: ctx, out: out}},
		{"load", "Send requests to an entry and measure what callers get", &loadCommand{ctx: ctx}},
		{"demo", "Run a whole system in one process on stand-ins", &demoCommand{ctx: ctx}},
		{"bench", "Measure routing and scheduling on a virtual clock", &benchCommand{}},
		{"apply", "Create and change records", &applyCommand{ctx: ctx, out: out}},
		{"get", "Show records and where they are in force", &getCommand{ctx: ctx, out: out}},
		{"withdraw", "Withdraw a record", &withdrawCommand{ctx: ctx, out: out}},
	} {
		if _, err := p.AddCommand(c.name, c.short, c.short+".", c.command); err != nil {
			return nil, errors.Wrap(err, "add command")
		}
	}
	return p, nil
}

type entryCommand struct {
	ctx      context.Context
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"JSON file with the settings"`
}

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	s, err := loader.ReadEntry(c.Settings)
	if err != nil {
		return err
	}
	var srv *server.Server
	var a *acceptor.Acceptor
	return serve(c.ctx, fx.Options(starter.Entry(s), fx.Populate(&srv, &a)), func() string {
		return fmt.Sprintf("ready entry http://%s peers %s", srv.Address(), a.Address())
	})
}

type agentCommand struct {
	ctx      context.Context
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"JSON file with the settings"`
}

// Execute implements flags.Commander.
func (c *agentCommand) Execute([]string) error {
	s, err := loader.ReadAgent(c.Settings)
	if err != nil {
		return err
	}
	var a *acceptor.Acceptor
	return serve(c.ctx, fx.Options(starter.Agent(s), fx.Populate(&a)), func() string {
		return "ready agent " + a.Address()
	})
}

// serve runs one process until ctx is cancelled by a signal, then stops it
// gracefully. It prints the ready line once the process has started.
func serve(ctx context.Context, o fx.Option, ready func() string) error {
	app := fx.New(o)
	if err := app.Err(); err != nil {
		return err
	}
	// A signal during the start must not skip the graceful stop: callers may have
	// connected already.
	if err := app.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	fmt.Println(ready())
	<-ctx.Done()
	return stopGracefully(app.Stop)
}

// stopGracefully calls stop and allows it starter.StopTimeout.
func stopGracefully(stop func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), starter.StopTimeout)
	defer cancel()
	return stop(ctx)
}
