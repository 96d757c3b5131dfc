package main

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/fx"
)

// A signal that arrived while a process started ended it without its stop hooks, although
// it listened already, so that the requests of its first callers were cut off.
func TestServeStopsGracefullyAfterSignalDuringStart(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	stopped := false
	o := fx.Options(fx.NopLogger, fx.Invoke(func(lc fx.Lifecycle) {
		lc.Append(fx.StopHook(func() { stopped = true }))
	}))
	is.NoErr(serve(ctx, o, func() string { return "ready" }))
	is.True(stopped)
}
