package main

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A signal that the settings have changed must not end a process that has just
// begun.
func TestCatchReload(t *testing.T) {
	is := is.New(t)
	is.True(catchReload([]string{"entry"}) == nil)
	is.True(catchReload(nil) == nil)
	signals := catchReload([]string{"gateway", "--settings", "f"})
	t.Cleanup(func() { signal.Reset(syscall.SIGHUP) })
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	select {
	case s := <-signals:
		is.Equal(s, syscall.SIGHUP)
	case <-time.After(10 * time.Second):
		t.Fatal("the signal did not arrive")
	}
}
