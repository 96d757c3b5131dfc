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

// gatherTimeout bounds the time for fetching the events of one address.
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
	f, err := c.filter(timer.System{}.Now())
	if err != nil {
		return err
	}
	events, failed := c.gather()
	if len(events) == 0 && failed != nil {
		return failed
	}
	if failed != nil {
		fmt.Fprintln(os.Stderr, "the time line is incomplete:", failed)
	}
	switch {
	case c.Check:
		return check(os.Stdout, events)
	case c.Why != "" && c.Format == "text":
		s, ok := merger.Explain(events, c.Why)
		if !ok {
			return errors.Errorf("no event shows the admission of request %s", c.Why)
		}
		_, err := s.WriteTo(os.Stdout)
		return err
	}
	return c.write(os.Stdout, events, f)
}

func (c *timelineCommand) write(w io.Writer, events []tracer.Event, f merger.Filter) error {
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
		var story *merger.Explanation
		if s, ok := merger.Explain(events, f.Request); ok {
			story = &s
		}
		return merger.WriteHTML(w, "magnoliafront time line", selected, story)
	}
	return merger.WriteText(w, selected)
}

func (c *timelineCommand) filter(now time.Time) (merger.Filter, error) {
	f := merger.Filter{Request: c.Request, Class: c.Class, Organisation: c.Organisation, Upstream: c.Upstream}
	var err error
	if f.Since, err = moment(c.Since, now); err != nil {
		return f, errors.Wrap(err, "--since")
	}
	if f.Until, err = moment(c.Until, now); err != nil {
		return f, errors.Wrap(err, "--until")
	}
	return f, nil
}

// moment reads a time or a duration before now.
func moment(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if d, err := time.ParseDuration(strings.TrimSuffix(text, " ago")); err == nil {
		return now.Add(-d), nil
	}
	return time.Parse(time.RFC3339, text)
}

// gather returns the events of all peers and files, and what failed.
func (c *timelineCommand) gather() ([]tracer.Event, error) {
	if len(c.Peers)+len(c.Args.Files) == 0 {
		return nil, errors.New("give at least one --peer or FILE")
	}
	var lists [][]tracer.Event
	var failed error
	for _, name := range c.Args.Files {
		events, err := readFile(name)
		lists, failed = append(lists, events), errors.Join(failed, err)
	}
	if len(c.Peers) > 0 {
		secret, err := c.secret()
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
			lists, failed = append(lists, events), errors.Join(failed, err)
		}
	}
	return merger.Merge(lists...), failed
}

func (c *timelineCommand) secret() (string, error) {
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

func readFile(name string) ([]tracer.Event, error) {
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

// check prints the broken promises of a merged history.
func check(w io.Writer, events []tracer.Event) error {
	var c checker.Checker
	broken := 0
	for _, e := range events {
		for _, v := range c.Observe(e) {
			broken++
			_, _ = fmt.Fprintln(w, v)
		}
	}
	_, _ = fmt.Fprintf(w, "%d events, %d broken promises, %d forgotten\n", len(events), broken, c.Evicted)
	if broken > 0 {
		return errors.Errorf("%d broken promises", broken)
	}
	return nil
}
