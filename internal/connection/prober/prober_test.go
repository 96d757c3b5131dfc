package prober

import (
	"context"
	"net"
	"os"
	"slices"
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

// The kernel of an upstream that was killed accepted a connection before it closed the
// listener, and never reset it. The upstream was taken for one that is there.
func TestProbeDoesNotConnectWhileListenerEnds(t *testing.T) {
	end := time.Now()
	open, refused := dialer(t, connOpen), dialer(t, connRefused)
	dial := func(ctx context.Context) (net.Conn, error) {
		if time.Since(end) < closeSkew {
			return open(ctx)
		}
		return refused(ctx)
	}
	_, err := Probe(t.Context(), dial, timer.System{})
	is.New(t).True(errors.Is(err, syscall.ECONNREFUSED))
}

// A stopping upstream, which had closed its listener and was finishing its streams, must
// not be taken for one that has ended, nor one that has ended for a stopping one: a silent
// connection looks open.
func TestOtherConnectionsShowWhetherUpstreamIsThere(t *testing.T) {
	for _, c := range []struct {
		name     string
		evidence Evidence
		verdict  Verdict
	}{
		{"accepts", Evidence{Accepts: true}, There},
		{"accepts, others have ended", Evidence{Accepts: true, Ended: 3}, There},
		{"does not accept, no others", Evidence{}, Gone},
		{"does not accept, others are open", Evidence{Open: 2, Ended: 1}, Undecided},
		{"does not accept, others go on", Evidence{Open: 2, Active: 2, Ended: 1}, There},
		{"does not accept, one of two others goes on", Evidence{Open: 2, Active: 1, Ended: 1}, Undecided},
		{"does not accept, others have ended", Evidence{Ended: 3}, Gone},
		{"does not accept, the end of one connection has not arrived", Evidence{Open: 1, Ended: 1}, Gone},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(Judge(c.evidence), c.verdict) })
	}
}

// assertConfirm checks whether an upstream that accepts no connection counts as there, and how
// often the other connections were looked at.
func assertConfirm(t *testing.T, q Inquiry, verdicts []Verdict, there bool) {
	t.Helper()
	asked := 0
	q.Clock = timer.System{}
	q.Ask = func(error) (Verdict, bool) {
		asked++
		return verdicts[asked-1], true
	}
	_, err := new(Socket).Confirm(t.Context(), q)
	is := is.New(t)
	is.Equal(err == nil, there)
	is.Equal(asked, len(verdicts))
}

// Connections that were silent were taken for a sign that the upstream is there, since they
// were not watched until their keep-alive ends them.
func TestUndecidedUpstreamIsWatchedUntilSilenceWouldShow(t *testing.T) {
	later := time.Now().Add(time.Minute)
	quiet := slices.Repeat([]Verdict{Undecided}, len(Looks(false)))
	refused, closed := dialer(t, connRefused), dialer(t, connClosed)
	t.Run("open all the time", func(t *testing.T) { assertConfirm(t, Inquiry{Dial: refused, Deadline: later}, quiet, true) })
	t.Run("ended late", func(t *testing.T) {
		assertConfirm(t, Inquiry{Dial: refused, Deadline: later}, []Verdict{Undecided, Undecided, Undecided, Gone}, false)
	})
	t.Run("goes on", func(t *testing.T) {
		assertConfirm(t, Inquiry{Dial: refused, Deadline: later}, []Verdict{There, Undecided, There}, true)
	})
	t.Run("deadline", func(t *testing.T) { assertConfirm(t, Inquiry{Dial: refused}, quiet[:2], false) })
	t.Run("same VM", func(t *testing.T) { assertConfirm(t, Inquiry{Dial: refused, Local: true}, quiet[:2], true) })
	t.Run("closes each connection", func(t *testing.T) { assertConfirm(t, Inquiry{Dial: closed, Deadline: later}, quiet[:2], true) })
}

// Answers of a stopping upstream that ended one after the other were taken for its end.
func TestOnlyEndsAtAboutTheSameTimeCount(t *testing.T) {
	const end = int64(1e18)
	for _, c := range []struct {
		name  string
		after int64
		want  Evidence
	}{
		{"at the same time", 0, Evidence{Ended: 1}},
		{"at about the same time", int64(closeSkew), Evidence{Ended: 1}},
		{"at about the same time before", -int64(closeSkew), Evidence{Ended: 1}},
		{"later", int64(closeSkew) + 1, Evidence{}},
		{"earlier", -int64(closeSkew) - 1, Evidence{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s, other Socket
			s.endedAt.Store(end)
			other.endedAt.Store(end + c.after)
			var e Evidence
			e.Add(&s, &other)
			is.New(t).Equal(e, c.want)
		})
	}
	t.Run("no connection", func(t *testing.T) {
		var s, other Socket
		s.endedAt.Store(end)
		var e Evidence
		e.Add(&s, &other)
		is.New(t).Equal(e, Evidence{})
	})
}
