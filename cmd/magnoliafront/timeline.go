package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/checker"
	"magnoliafront.dev/magnoliafront/internal/process/driver"
	"magnoliafront.dev/magnoliafront/internal/process/loader"
	"magnoliafront.dev/magnoliafront/internal/process/merger"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// gatherTimeout limits the time to fetch the events of one peer address.
const gatherTimeout = time.Minute

type timelineCommand struct {
	ctx          context.Context
	Peers        []string `long:"peer" value-name:"ADDRESS" description:"Peer address of a process; that of an entry covers its agents (repeatable)"`
	Settings     string   `long:"settings" value-name:"FILE" description:"Settings of any process, for the shared secret"`
	SecretFile   string   `long:"secret-file" value-name:"FILE" description:"File with the shared secret alone"`
	Request      string   `long:"request" description:"Show this request alone"`
	Class        string   `long:"class" description:"Show requests of this class"`
	Organisation string   `long:"organisation" description:"Show requests of this organisation"`
	Upstream     string   `long:"upstream" description:"Show what concerns this upstream"`
	Since        string   `long:"since" value-name:"TIME" description:"Leave out earlier events: a time such as 2026-03-01T10:00:00Z, or 5m ago"`
	Until        string   `long:"until" value-name:"TIME" description:"Leave out later events"`
	Format       string   `long:"format" choice:"text" choice:"json" choice:"html" choice:"trace" default:"text" description:"Format of the output; trace is one that the command load replays"`
	Why          string   `long:"why" value-name:"REQUEST" description:"Tell whether the request missed its target, where its time went and for whom it waited"`
	Check        bool     `long:"check" description:"Check the promises P1 to P8 and fail if one is broken"`
	Args         struct {
		Files []string `positional-arg-name:"FILE" description:"File of events as JSON lines; - is standard input"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute([]string) error {
	filter, err := c.filter(timer.System{}.Now())
	if err != nil {
		return err
	}
	events, gatherErr := c.gatherEvents()
	if len(events) == 0 && gatherErr != nil {
		return gatherErr
	}
	if gatherErr != nil {
		fmt.Fprintln(os.Stderr, "the time line is incomplete:", gatherErr)
	}
	switch {
	case c.Check:
		return checkPromises(os.Stdout, events)
	case c.Why != "" && c.Format == "text":
		explanation, ok := merger.Explain(events, c.Why)
		if !ok {
			return errors.Errorf("no event shows the admission of request %s", c.Why)
		}
		_, err := explanation.WriteTo(os.Stdout)
		return err
	}
	return c.writeEvents(os.Stdout, events, filter)
}

// writeEvents writes the events that match f in the requested format.
func (c *timelineCommand) writeEvents(w io.Writer, events []tracer.Event, f merger.Filter) error {
	if f.Request == "" {
		f.Request = c.Why
	}
	selected := f.Select(events)
	switch c.Format {
	case "json":
		return merger.WriteJSON(w, selected)
	case "trace":
		return driver.TraceFromEvents("recorded", selected).Write(w)
	case "html":
		var explanation *merger.Explanation
		if x, ok := merger.Explain(events, f.Request); ok {
			explanation = &x
		}
		return merger.WriteHTML(w, "magnoliafront time line", selected, explanation)
	}
	return merger.WriteText(w, selected)
}

// filter returns the filter that the flags describe.
func (c *timelineCommand) filter(now time.Time) (merger.Filter, error) {
	f := merger.Filter{Request: c.Request, Class: c.Class, Organisation: c.Organisation, Upstream: c.Upstream}
	var err error
	if f.Since, err = parseTime(c.Since, now); err != nil {
		return f, errors.Wrap(err, "--since")
	}
	if f.Until, err = parseTime(c.Until, now); err != nil {
		return f, errors.Wrap(err, "--until")
	}
	return f, nil
}

// parseTime parses an RFC 3339 time, or a duration before now such as "5m" or
// "5m ago". It returns the zero time for an empty text.
func parseTime(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(strings.TrimSuffix(text, " ago")); err == nil {
		return now.Add(-d), nil
	}
	return time.Parse(time.RFC3339, text)
}

// gatherEvents merges the events of all peers and files. If a source fails, it
// returns the events that could be read together with the errors. If the shared
// secret for the peers is missing, it returns only that error.
func (c *timelineCommand) gatherEvents() ([]tracer.Event, error) {
	if len(c.Peers)+len(c.Args.Files) == 0 {
		return nil, errors.New("give at least one --peer or FILE")
	}
	var lists [][]tracer.Event
	var gatherErr error
	for _, name := range c.Args.Files {
		events, err := readEvents(name)
		lists, gatherErr = append(lists, events), errors.Join(gatherErr, err)
	}
	if len(c.Peers) > 0 {
		secret, err := c.sharedSecret()
		if err != nil {
			return nil, err
		}
		host, _ := os.Hostname()
		o := merger.GatherOptions{
			Self:   messenger.Peer{Role: messenger.RoleTool, Identity: fmt.Sprintf("timeline-%s-%d", host, os.Getpid())},
			Secret: []byte(secret), Query: recorder.Query{},
		}
		for _, p := range c.Peers {
			ctx, cancel := context.WithTimeout(c.ctx, gatherTimeout)
			events, err := merger.Gather(ctx, p, o)
			cancel()
			lists, gatherErr = append(lists, events), errors.Join(gatherErr, err)
		}
	}
	return merger.Merge(lists...), gatherErr
}

// sharedSecret reads the shared secret from the settings file or the secret file.
func (c *timelineCommand) sharedSecret() (string, error) {
	switch {
	case c.Settings != "":
		return loader.ReadSecret(c.Settings)
	case c.SecretFile != "":
		data, err := os.ReadFile(c.SecretFile)
		if err != nil {
			return "", errors.Wrap(err, "read the shared secret")
		}
		return strings.TrimSpace(string(data)), nil
	}
	return "", errors.New("--peer needs --settings or --secret-file")
}

// readEvents reads events as JSON lines from a file, or from standard input if
// name is "-".
func readEvents(name string) ([]tracer.Event, error) {
	if name == "-" {
		return merger.Read(os.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return merger.Read(f)
}

// checkPromises prints each violation of a promise in the merged events, and fails
// if there is one. The number that it prints as forgotten is
// [checker.Checker.Evicted].
func checkPromises(w io.Writer, events []tracer.Event) error {
	var c checker.Checker
	violations := 0
	for _, e := range events {
		for _, v := range c.Observe(e) {
			violations++
			_, _ = fmt.Fprintln(w, v)
		}
	}
	_, _ = fmt.Fprintf(w, "%d events, %d broken promises, %d forgotten\n", len(events), violations, c.Evicted)
	if violations > 0 {
		return errors.Errorf("%d broken promises", violations)
	}
	return nil
}
