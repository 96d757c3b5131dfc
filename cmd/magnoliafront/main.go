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

// The exit codes.
const (
	exitFailure  = 1
	exitUsage    = 2
	exitConflict = 3
	exitInvalid  = 4
	exitPlatform = 5
	exitUnknown  = 6
	exitMissing  = 7
)

const exitCodes = `magnoliafront routes language-model traffic with service levels and priorities.

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
	reload := catchReload(os.Args[1:])
	lines := logger.NewWriter(logOutput(os.Args[1:]), timer.System{})
	logger.Setup(lines)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := run(ctx, reload, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	lines.Stop()
	os.Exit(code)
}

// catchReload returns the signals that tell of changed settings. They are caught
// before anything else, since one that is not caught ends the process; SIGHUP
// came before the settings were read (soak, seed 21). Commands without such
// settings are to end by it.
func catchReload(args []string) <-chan os.Signal {
	if len(args) == 0 || args[0] != "gateway" {
		return nil
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// logOutput returns where the logs of a command go: those of a gateway, as the
// users' platform asks, to standard output, and all others beside the results.
func logOutput(args []string) *os.File {
	if len(args) > 0 && args[0] == "gateway" {
		return os.Stdout
	}
	return os.Stderr
}

// run runs one command and returns its exit code.
func run(ctx context.Context, reload <-chan os.Signal, args []string, stdout, stderr io.Writer) int {
	p, err := parser(ctx, reload, stdout)
	if err == nil {
		_, err = p.ParseArgs(args)
	}
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		_, _ = fmt.Fprintln(stdout, usage.Message)
		return 0
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(stderr, err)
		return exitUsage
	}
	_, _ = fmt.Fprintln(stderr, "magnoliafront:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	var change *writer.Error
	var record *descriptor.Error
	var platform *accessor.Error
	var missing *missingError
	switch {
	case errors.As(err, &change):
		switch change.Kind {
		case writer.ErrorConflict:
			return exitConflict
		case writer.ErrorInvalid:
			return exitInvalid
		case writer.ErrorUnavailable:
			return exitPlatform
		case writer.ErrorOutcomeUnknown:
			return exitUnknown
		}
	case errors.As(err, &record):
		return exitInvalid
	case errors.As(err, &platform):
		return exitPlatform
	case errors.As(err, &missing):
		return exitMissing
	}
	return exitFailure
}

func parser(ctx context.Context, reload <-chan os.Signal, out io.Writer) (*flags.Parser, error) {
	p := flags.NewNamedParser("magnoliafront", flags.HelpFlag|flags.PassDoubleDash)
	p.LongDescription = exitCodes
	for _, c := range []struct {
		name, short string
		command     any
	}{
		{"entry", "Run an entry: the process that callers reach", &entryCommand{ctx: ctx}},
		{"gateway", "Run an entry that calls its upstreams directly, on the users' platform", &gatewayCommand{ctx: ctx, reload: reload}},
		{"agent", "Run an agent: the process beside one upstream", &agentCommand{ctx: ctx}},
		{"emulate", "Run a stand-in for the platform, an engine or a service", &emulateCommand{ctx: ctx}},
		{"timeline", "Show or explain what happened, over all processes", &timelineCommand{ctx: ctx}},
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

// serve runs one process until a signal comes, then stops it gracefully. It
// prints the ready line once the process has started.
func serve(ctx context.Context, o fx.Option, ready func() string) error {
	app := fx.New(o)
	if err := app.Err(); err != nil {
		return err
	}
	if err := app.Start(ctx); err != nil {
		return err
	}
	fmt.Println(ready())
	<-ctx.Done()
	return stop(app.Stop)
}

func stop(f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), starter.StopTimeout)
	defer cancel()
	return f(ctx)
}
