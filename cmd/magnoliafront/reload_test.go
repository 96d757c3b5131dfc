package main

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// SIGHUP must not end a gateway process that has not read its settings yet. Other
// commands must not catch it.
func TestReloadSignalsCatchesSIGHUPForGatewayOnly(t *testing.T) {
	is := is.New(t)
	is.True(reloadSignals([]string{"entry"}) == nil)
	is.True(reloadSignals(nil) == nil)
	signals := reloadSignals([]string{"gateway", "--settings", "f"})
	t.Cleanup(func() { signal.Reset(syscall.SIGHUP) })
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	select {
	case s := <-signals:
		is.Equal(s, syscall.SIGHUP)
	case <-time.After(10 * time.Second):
		t.Fatal("SIGHUP was not received within 10s")
	}
}
