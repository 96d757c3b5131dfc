package prober

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// The outcomes of a connection to an upstream.
const (
	connOpen    = "open"
	connClosed  = "closed"
	connRefused = "refused"
	connTimeout = "timeout"
)

// dialer returns a dial function with these outcomes, of which the last one repeats.
func dialer(t *testing.T, outcomes ...string) func(context.Context) (net.Conn, error) {
	return func(context.Context) (net.Conn, error) {
		next := outcomes[0]
		if len(outcomes) > 1 {
			outcomes = outcomes[1:]
		}
		conn, peer := net.Pipe()
		t.Cleanup(func() {
			_ = conn.Close()
			_ = peer.Close()
		})
		switch next {
		case connRefused:
			return nil, errors.Wrap(syscall.ECONNREFUSED, "connect")
		case connTimeout:
			return nil, errors.Wrap(os.ErrDeadlineExceeded, "connect")
		case connClosed:
			_ = peer.Close()
		}
		return conn, nil
	}
}

func assertProbe(t *testing.T, accepts bool, outcomes ...string) {
	t.Helper()
	conn, err := Probe(t.Context(), dialer(t, outcomes...), timer.System{})
	is := is.New(t)
	is.Equal(conn != nil, accepts)
	is.Equal(err == nil, accepts)
}

// An upstream that ended within an answer that ends with its connection was taken for one
// that had finished it.
func TestProbeTellsWhetherUpstreamAccepts(t *testing.T) {
	t.Run("accepts connections", func(t *testing.T) { assertProbe(t, true, connOpen) })
	t.Run("refuses connections", func(t *testing.T) { assertProbe(t, false, connRefused) })
	t.Run("does not respond", func(t *testing.T) { assertProbe(t, false, connTimeout) })
	t.Run("responds late", func(t *testing.T) { assertProbe(t, true, connTimeout, connOpen) })
	t.Run("closes each connection", func(t *testing.T) { assertProbe(t, false, connClosed) })
	t.Run("closes the first connection", func(t *testing.T) { assertProbe(t, true, connClosed, connOpen) })
	t.Run("ends while it is probed", func(t *testing.T) { assertProbe(t, false, connClosed, connRefused, connOpen) })
	t.Run("caller has left", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		conn, err := Probe(ctx, dialer(t, connTimeout), timer.System{})
		is := is.New(t)
		is.True(conn == nil)
		is.True(errors.Is(err, context.Canceled))
	})
}

// A stopping upstream, which had closed its listener and was finishing its streams, must
// not be taken for one that has ended.
func TestOtherConnectionsShowThatUpstreamIsThere(t *testing.T) {
	for _, c := range []struct {
		name     string
		evidence Evidence
		there    bool
	}{
		{"accepts", Evidence{Accepts: true}, true},
		{"accepts, others have ended", Evidence{Accepts: true, Ended: 3}, true},
		{"does not accept, no others", Evidence{}, false},
		{"does not accept, others are open", Evidence{Open: 2, Ended: 1}, true},
		{"does not accept, others have ended", Evidence{Ended: 3}, false},
		{"finishes its last answer", Evidence{Finishing: true}, true},
		{"finishes its answers, others have ended", Evidence{Finishing: true, Ended: 1}, false},
		{"finishes its answers, one of the others is open", Evidence{Finishing: true, Open: 1, Ended: 2}, true},
		{"does not accept, the end of one connection has not arrived", Evidence{Open: 1, Ended: 1}, false},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(IsThere(c.evidence), c.there) })
	}
}

// Events that were read when the upstream had already ended must not show that it finishes
// its answers.
func TestProgressAfterRefusalShowsThatUpstreamFinishes(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name     string
		refused  time.Time
		progress time.Time
		want     bool
	}{
		{"never refused", time.Time{}, now, false},
		{"progress before", now, now.Add(-time.Second), false},
		{"progress at about the same time", now, now.Add(closeSkew), false},
		{"progress after", now, now.Add(closeSkew + 1), true},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(IsFinishing(c.refused, c.progress), c.want) })
	}
}
