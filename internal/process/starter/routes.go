package starter

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/acceptor"
	"magnoliafront.dev/magnoliafront/internal/process/claimer"
	"magnoliafront.dev/magnoliafront/internal/process/exchanger"
	"magnoliafront.dev/magnoliafront/internal/process/executor"
	"magnoliafront.dev/magnoliafront/internal/process/limiter"
	"magnoliafront.dev/magnoliafront/internal/process/placer"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/internal/process/router"
	"magnoliafront.dev/magnoliafront/internal/process/sharer"
)

// entryRoutes returns the handlers of an entry for the messages of accepted
// connections. The handler of the empty method is called when a connection ends.
func entryRoutes(r *recorder.Recorder, ref *watcherRef, e *exchanger.Exchanger, s *sharer.Sharer, x *router.Router, c *claimer.Claimer) acceptor.Routes {
	return acceptor.Routes{
		messenger.MethodClaim:  c.Handle,
		messenger.MethodStrike: ref.handleMessage, messenger.MethodFetchStrikes: ref.handleMessage,
		messenger.MethodReport: func(conn *messenger.Conn, m messenger.Message) (any, error) {
			var report limiter.Report
			if err := m.Decode(&report); err != nil {
				return nil, err
			}
			s.Report(report, func(share limiter.Share) { conn.Notify(messenger.MethodShare, share) })
			return nil, nil
		},
		"":                           e.Handle,
		messenger.MethodExchange:     e.Handle,
		messenger.MethodFetchRecords: ref.handleMessage,
		messenger.MethodFetchEvents:  relayEvents(r, x),
	}
}

// agentRoutes returns the handlers of an agent for the messages of accepted
// connections. Both the exchanger and the executor handle the end of a connection.
func agentRoutes(r *recorder.Recorder, x *executor.Executor, ref *watcherRef, e *exchanger.Exchanger, g *placer.Guard) acceptor.Routes {
	return acceptor.Routes{
		messenger.MethodOrder: g.Handle,
		"": func(c *messenger.Conn, m messenger.Message) (any, error) {
			_, _ = e.Handle(c, m)
			return x.Handle(c, m)
		},
		messenger.MethodSubmit:       x.Handle,
		messenger.MethodCancel:       x.Handle,
		messenger.MethodNotice:       x.Handle,
		messenger.MethodExchange:     e.Handle,
		messenger.MethodFetchRecords: ref.handleMessage,
		messenger.MethodFetchEvents:  fetchEvents(r),
	}
}

// fetchEventsTimeout bounds the time for fetching a page of events, also from an
// agent.
const fetchEventsTimeout = 5 * time.Second

// fetchEvents returns a handler that answers with a page of the events of this
// process.
func fetchEvents(r *recorder.Recorder) messenger.Handler {
	return func(_ *messenger.Conn, m messenger.Message) (any, error) {
		var q recorder.Query
		if err := m.Decode(&q); err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(context.Background(), fetchEventsTimeout)
		defer cancel()
		return r.Page(ctx, q), nil
	}
}

// relayEvents returns a handler that answers with the events of the entry or, if
// the query names an agent, with the events of that agent. A tool thus needs only
// the address of one entry.
func relayEvents(r *recorder.Recorder, x *router.Router) messenger.Handler {
	return func(_ *messenger.Conn, m messenger.Message) (any, error) {
		var q recorder.Query
		if err := m.Decode(&q); err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(context.Background(), fetchEventsTimeout)
		defer cancel()
		agents := x.AgentConns(ctx)
		if q.Agent == "" {
			p := r.Page(ctx, q)
			p.Agents = slices.Sorted(maps.Keys(agents))
			return p, nil
		}
		c := agents[q.Agent]
		if c == nil {
			return nil, &Error{Op: "fetch events", Kind: ErrorNoAgent, Err: errors.Errorf("no connection to the agent of %q", q.Agent)}
		}
		q.Agent = ""
		var p recorder.Page
		err := c.Call(ctx, messenger.MethodFetchEvents, q, &p)
		return p, err
	}
}
