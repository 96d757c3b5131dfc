package closer

import (
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/evictor"
)

// newLimitedConn returns a connection with limits that can be changed, and its other end.
func newLimitedConn(t *testing.T, l Limits) (c *Conn, caller io.ReadWriter, limits *atomic.Pointer[Limits]) {
	t.Helper()
	c, caller = newConn(t)
	limits = &atomic.Pointer[Limits]{}
	limits.Store(&l)
	c.Limits = func() Limits { return *limits.Load() }
	c.beginIdle(false)
	c.ApplyLimits()
	return c, caller, limits
}

// Limits of the configuration were decoded and not used.
func TestLimitsEndConnections(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits Limits
		sent   string
		want   Cause
	}{
		{"nothing arrives", Limits{IdleTimeout: time.Millisecond, HeadTimeout: time.Hour}, "", CauseIdleTimeout},
		{"a head does not end", Limits{IdleTimeout: time.Hour, HeadTimeout: time.Millisecond}, "POST /", CauseHeadTimeout},
		{"a head is too large", Limits{IdleTimeout: time.Hour, HeadTimeout: time.Hour, MaxHeadBytes: 6}, "POST /", CauseHeadTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, caller, _ := newLimitedConn(t, c.limits)
			_, err := io.WriteString(caller, c.sent)
			is := is.New(t)
			is.NoErr(err)
			if c.sent != "" {
				assertRead(t, conn, c.sent)
			}
			assertReadFails(t, conn)
			is.Equal(conn.Cause(), c.want)
			if c.want != CauseHeadTooLarge {
				return
			}
			answer, err := io.ReadAll(caller)
			is.NoErr(err)
			is.True(strings.HasPrefix(string(answer), "HTTP/1.1 431 "))
		})
	}
}

// A connection that is open when the configuration changes must not keep its old limits.
func TestChangedLimitsAreInForceOnOpenConnection(t *testing.T) {
	conn, _, limits := newLimitedConn(t, Limits{IdleTimeout: time.Hour})
	ended := make(chan error)
	go func() {
		_, err := conn.Read(make([]byte, 1))
		ended <- err
	}()
	limits.Store(&Limits{IdleTimeout: time.Millisecond})
	conn.ApplyLimits()
	is.New(t).True(<-ended != nil)
}

// A request that arrives while its connection is chosen to make room must be served.
func TestEvictionSparesRequests(t *testing.T) {
	for _, c := range []struct {
		name   string
		arrive func(t *testing.T, c *Conn, caller io.Writer)
		spared bool
	}{
		{"nothing arrives", func(*testing.T, *Conn, io.Writer) {}, false},
		{"a head was read after the choice", func(t *testing.T, c *Conn, caller io.Writer) {
			_, _ = io.WriteString(caller, "POST /")
			assertRead(t, c, "POST /")
		}, true},
		{"a head has arrived unread", func(t *testing.T, c *Conn, caller io.Writer) {
			_, _ = io.WriteString(caller, "POST /")
			awaitArrival(t, c)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, caller, _ := newLimitedConn(t, Limits{IdleTimeout: time.Hour, HeadTimeout: time.Hour})
			chosen := conn.Activity()
			is := is.New(t)
			is.Equal(chosen.Activity, evictor.ActivitySilent)
			c.arrive(t, conn, caller)
			conn.Evict(chosen)
			if !c.spared {
				assertReadFails(t, conn)
				is.Equal(conn.Cause(), CauseEvicted)
				return
			}
			_, _ = io.WriteString(caller, "hold")
			_, err := conn.Read(make([]byte, 10))
			is.NoErr(err)
		})
	}
}
