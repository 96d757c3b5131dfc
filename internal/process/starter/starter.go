// Package starter assembles the processes of the system with fx.
//
// [Entry], [Agent] and [Gateway] return the fx options of one process each: an
// entry that calls its upstreams through agents, an agent of one upstream, and an
// entry that calls its upstreams directly. [StartDemo] runs an entry and agents in
// one process, against stand-ins for the platform and the upstreams. Every
// constructor starts the goroutines of its component. The lifecycle hooks stop
// the components in reverse order, after the process has refused new work and
// finished the work in flight.
//
// # Usage
//
//	app := fx.New(starter.Entry(settings))
//	err := app.Start(ctx)
//	<-app.Done()
//	err = app.Stop(ctx)
package starter

import (
	"net/http"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/connection/validator"
	"magnoliafront.dev/magnoliafront/internal/process/acceptor"
	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/claimer"
	"magnoliafront.dev/magnoliafront/internal/process/executor"
	"magnoliafront.dev/magnoliafront/internal/process/loader"
	"magnoliafront.dev/magnoliafront/internal/process/meter"
	"magnoliafront.dev/magnoliafront/internal/process/placer"
	"magnoliafront.dev/magnoliafront/internal/process/router"
	"magnoliafront.dev/magnoliafront/internal/process/server"
	"magnoliafront.dev/magnoliafront/internal/process/watcher"
	"magnoliafront.dev/magnoliafront/internal/version/compiler"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// StopTimeout bounds the graceful stop of a process, which finishes the work in
// flight. The longest answers, 2,000 tokens at 33 ms each, take about 66 s.
const StopTimeout = 5 * time.Minute

// entryDisconnectTimeout bounds how long a leaving agent without work waits for
// the entries to close their connections. An entry that is cut off by the network
// does not close its connection.
const entryDisconnectTimeout = 10 * time.Second

// Entry returns the fx options of an entry, which serves callers and sends their
// requests to agents.
func Entry(s loader.Entry) fx.Option {
	return fx.Options(
		commonOptions(s.Common, messenger.RoleEntry),
		fx.Supply(s, upstreamName("")),
		fx.Provide(newLinker, newEntryRefs, newSharer, newClaimer, newRouter, newServer),
		fx.Provide(entryRoutes),
		fx.Invoke(func(m *meter.Meter, r *router.Router) error { return m.WatchRings(r.Stats) }),
		fx.Invoke(func(m *meter.Meter, c *claimer.Claimer) error { return m.WatchRings(c.Stats) }),
		fx.Invoke(func(*acceptor.Acceptor, *server.Server, *watcher.Watcher) {}),
		fx.Invoke(watchEntryConnections, drainEntry, recordStopping),
		fx.Provide(func(r *router.Router) []func(*compiler.Snapshot) {
			return []func(*compiler.Snapshot){r.Apply}
		}),
	)
}

// Agent returns the fx options of an agent, which runs the attempts of entries at
// one upstream.
func Agent(s loader.Agent) fx.Option {
	return fx.Options(
		commonOptions(s.Common, messenger.RoleAgent),
		fx.Supply(s, upstreamName(s.Upstream)),
		fx.Provide(newExecutor, newGuard),
		fx.Provide(agentRoutes),
		fx.Invoke(func(m *meter.Meter, x *executor.Executor, g *placer.Guard) error {
			return m.WatchRings(func() []buffer.Stats { return []buffer.Stats{x.Stats(), g.Stats()} })
		}),
		fx.Invoke(func(*acceptor.Acceptor, *watcher.Watcher) {}),
		fx.Invoke(watchAgentConnections, serveMetrics, drainAgent, recordStopping),
		fx.Provide(func(x *executor.Executor) []func(*compiler.Snapshot) {
			return []func(*compiler.Snapshot){x.Apply}
		}),
	)
}

// commonOptions returns the fx options that entries and agents share.
func commonOptions(s loader.Common, role messenger.Role) fx.Option {
	return fx.Options(
		fx.StopTimeout(StopTimeout),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(s),
		fx.Supply(messenger.Peer{Role: role, Identity: s.Identity, AvailabilityZone: s.AvailabilityZone}),
		fx.Provide(
			func() timer.Clock { return timer.System{} },
			func() accessor.Store { return newObjectClient(s.Platform) },
			newShares, newMeter, newPeerRefusedCounter, newRecorder, newWatcherRef, newExchanger, newWatcher, newAcceptor,
		),
	)
}

// newObjectClient returns a client of the object API at url.
func newObjectClient(url string) *accessor.Client {
	return &accessor.Client{URL: url, HTTP: newHTTPClient()}
}

// newHTTPClient returns a client that returns an error for a response that is not valid HTTP.
func newHTTPClient() *http.Client {
	return &http.Client{Transport: &validator.Transport{}}
}

func newMeter(lc fx.Lifecycle) (*meter.Meter, error) {
	m, err := meter.New()
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(m.Stop))
	return m, nil
}
