// Package starter assembles the processes of the system with fx.
//
// [Entry] and [Agent] return the options of one process each. Every constructor
// starts its duty, and the lifecycle hooks given here stop the duties in the
// reverse order, after the process has refused new work and finished what is in
// flight.
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

// StopTimeout is the time that a process has to finish what is in flight. The
// longest answers, of 2,000 tokens at 33 ms, take about 66 s.
const StopTimeout = 5 * time.Minute

// entryGrace bounds the time for which a leaving agent without work waits for
// entries that do not close their connections, such as ones cut off.
const entryDisconnectTimeout = 10 * time.Second

// Entry returns the options of an entry.
func Entry(s loader.Entry) fx.Option {
	return fx.Options(
		commonOptions(s.Common, messenger.RoleEntry),
		fx.Supply(s, upstreamName("")),
		fx.Provide(newLinker, newRouterRef, newSharer, newClaimer, newRouter, newServer),
		fx.Provide(entryRoutes),
		fx.Invoke(func(m *meter.Meter, r *router.Router) error { return m.WatchRings(r.Stats) }),
		fx.Invoke(func(m *meter.Meter, c *claimer.Claimer) error { return m.WatchRings(c.Stats) }),
		fx.Invoke(func(*acceptor.Acceptor, *server.Server, *watcher.Watcher) {}),
		fx.Invoke(drainEntry, recordStopping),
		fx.Provide(func(r *router.Router) []func(*compiler.Snapshot) {
			return []func(*compiler.Snapshot){r.Apply}
		}),
	)
}

// Agent returns the options of an agent.
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
		fx.Invoke(serveMetrics, drainAgent, recordStopping),
		fx.Provide(func(x *executor.Executor) []func(*compiler.Snapshot) {
			return []func(*compiler.Snapshot){x.Apply}
		}),
	)
}

func commonOptions(s loader.Common, role messenger.Role) fx.Option {
	return fx.Options(
		fx.StopTimeout(StopTimeout),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(s),
		fx.Supply(messenger.Peer{Role: role, Identity: s.Identity, AvailabilityZone: s.AvailabilityZone}),
		fx.Provide(
			func() timer.Clock { return timer.System{} },
			func() accessor.Store { return &accessor.Client{URL: s.Platform, HTTP: &http.Client{}} },
			newMeter, newPeerRefusedCounter, newRecorder, newWatcherRef, newExchanger, newWatcher, newAcceptor,
		),
	)
}

func newMeter(lc fx.Lifecycle) (*meter.Meter, error) {
	m, err := meter.New()
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(m.Stop))
	return m, nil
}
