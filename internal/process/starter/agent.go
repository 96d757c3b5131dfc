package starter

import (
	"context"
	"net/http"

	"go.uber.org/fx"

	"magnoliafront.dev/magnoliafront/internal/connection/reader"
	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/allocator"
	"magnoliafront.dev/magnoliafront/internal/process/exchanger"
	"magnoliafront.dev/magnoliafront/internal/process/executor"
	"magnoliafront.dev/magnoliafront/internal/process/loader"
	"magnoliafront.dev/magnoliafront/internal/process/meter"
	"magnoliafront.dev/magnoliafront/internal/process/placer"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

func newExecutor(lc fx.Lifecycle, s loader.Agent, c timer.Clock, rec *recorder.Recorder, e *exchanger.Exchanger) *executor.Executor {
	x := executor.New(executor.Options{
		Upstream: s.Upstream, URL: s.UpstreamURL, Clock: c, Recorder: rec, OnNewerRevision: e.HintRevision,
		Client: reader.NewClient(),
	})
	lc.Append(fx.StopHook(x.Stop))
	return x
}

func newGuard(lc fx.Lifecycle, s loader.Agent, store accessor.Store, c timer.Clock, rec *recorder.Recorder) *placer.Guard {
	g := placer.NewGuard(placer.GuardOptions{
		Upstream: s.Upstream, URL: s.UpstreamURL, Client: newHTTPClient(), Store: store, Clock: c, Recorder: rec,
	})
	lc.Append(fx.StopHook(g.Stop))
	return g
}

// drainAgent registers the first step of a graceful stop: the agent refuses new
// attempts, waits until no attempt is in flight, and then waits up to
// entryDisconnectTimeout for the entries to close their connections.
func drainAgent(lc fx.Lifecycle, c timer.Clock, x *executor.Executor) {
	lc.Append(fx.StopHook(func(ctx context.Context) error {
		x.Leave()
		select {
		case <-x.Drained():
		case <-ctx.Done():
			return ctx.Err()
		}
		wake, stop := c.After(entryDisconnectTimeout)
		defer stop()
		select {
		case <-x.Disconnected():
		case <-wake:
		case <-ctx.Done():
		}
		return nil
	}))
}

// serveMetrics serves /metrics on the address Metrics of the settings. Without
// an address there is no endpoint.
func serveMetrics(lc fx.Lifecycle, s loader.Agent, m *meter.Meter, c timer.Clock, shares allocator.Shares) error {
	if s.Metrics == "" {
		return nil
	}
	h := http.NewServeMux()
	h.Handle("GET /metrics", m.Handler())
	return listenForMetrics(lc, s.Metrics, h, c, shares)
}
