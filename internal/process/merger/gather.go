package merger

import (
	"bufio"
	"context"
	"encoding/json"
	"io"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

const (
	// maxPages is the maximum number of pages fetched from one process. A process
	// keeps 65,536 events, and a page holds more than 100.
	maxPages = 1024
	// maxLineBytes is the maximum length of an input line.
	maxLineBytes = 1 << 20
)

// GatherOptions configures [Gather].
type GatherOptions struct {
	// Self is the identity of the caller, and Secret the shared secret.
	Self   messenger.Peer
	Secret []byte
	Query  recorder.Query
	// ExcludeAgents excludes the events of the agents of an entry.
	ExcludeAgents bool
}

// Gather fetches the events of the process at address and, if it is an entry, of
// its agents. If it fails, it also returns the events fetched until then.
func Gather(ctx context.Context, address string, o GatherOptions) ([]tracer.Event, error) {
	c, err := messenger.Dial(ctx, address, messenger.Options{
		Self: o.Self, Secret: o.Secret,
		Handle: func(*messenger.Conn, messenger.Message) (any, error) { return nil, nil },
	})
	if err != nil {
		return nil, &Error{Op: "connect to " + address, Kind: ErrorUnreachable, Err: err}
	}
	defer c.Close()
	events, agents, err := fetchPages(ctx, c, o.Query)
	if err != nil || o.ExcludeAgents {
		return events, err
	}
	var failures error
	for _, agent := range agents {
		q := o.Query
		q.Agent = agent
		more, _, err := fetchPages(ctx, c, q)
		events = append(events, more...)
		failures = errors.Join(failures, err)
	}
	return events, failures
}

// fetchPages fetches all pages of a query. It returns the events and the agents that
// the process lists.
func fetchPages(ctx context.Context, c *messenger.Conn, q recorder.Query) ([]tracer.Event, []string, error) {
	var events []tracer.Event
	var agents []string
	for range maxPages {
		var page recorder.Page
		if err := c.Call(ctx, messenger.MethodFetchEvents, q, &page); err != nil {
			return events, agents, &Error{Op: "fetch events of " + c.Peer.Identity + " " + q.Agent, Kind: ErrorUnreachable, Err: err}
		}
		events, agents = append(events, page.Events...), page.Agents
		if !page.More || len(page.Events) == 0 {
			return events, agents, nil
		}
		q.After = page.Events[len(page.Events)-1].Stamp
	}
	return events, agents, nil
}

// Read reads events in the format of [WriteJSON].
func Read(r io.Reader) ([]tracer.Event, error) {
	var events []tracer.Event
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 4096), maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var e tracer.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return events, &Error{Op: "read", Kind: ErrorFormat, Err: errors.Wrapf(err, "line %d", n)}
		}
		events = append(events, e)
	}
	if err := lines.Err(); err != nil {
		return events, &Error{Op: "read", Kind: ErrorFormat, Err: err}
	}
	return events, nil
}
