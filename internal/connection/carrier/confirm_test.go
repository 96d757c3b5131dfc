package carrier

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/prober"
	"magnoliafront.dev/magnoliafront/internal/request/relayer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// endingUpstream answers requests with a text and then ends the connection in an orderly
// way.
type endingUpstream struct {
	listener net.Listener
	// stopsListening is true if it closes the listener first, as a kernel does for a
	// process that ends.
	stopsListening bool
	// accepted counts the connections.
	accepted chan struct{}
}

func newEndingUpstream(t *testing.T, text string, stopsListening bool) *endingUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	u := &endingUpstream{listener: l, stopsListening: stopsListening, accepted: make(chan struct{}, 16)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			u.accepted <- struct{}{}
			go u.answer(conn, text)
		}
	}()
	return u
}

func (u *endingUpstream) answer(conn net.Conn, text string) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, _ = io.WriteString(conn, text)
	if u.stopsListening {
		_ = u.listener.Close()
	}
}

// confirmingConn is a connection to an upstream whose owner gives a verdict.
type confirmingConn struct {
	conn    *Conn
	reports chan Report
	// unconfirmed counts the questions to the owner.
	unconfirmed int
}

func newConfirmingConn(t *testing.T, u *endingUpstream, v prober.Verdict) *confirmingConn {
	t.Helper()
	k := &confirmingConn{reports: make(chan Report, 1)}
	k.conn = New(Options{Address: u.listener.Addr().String(), Clock: timer.System{}, Report: func(r Report) {
		switch {
		case r.Unconfirmed:
			k.unconfirmed++
			k.conn.Confirm(v)
		case r.Ended:
			k.reports <- r
		}
	}})
	t.Cleanup(k.conn.Close)
	return k
}

// call returns the report of a call and whether the caller can take the answer for whole.
func (k *confirmingConn) call(t *testing.T, stream bool) (Report, bool) {
	t.Helper()
	head, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://desk.example/x", nil)
	is.New(t).NoErr(err)
	replies, whole := relayer.NewRing(), make(chan bool)
	go func() {
		ended := false
		for r, ok := replies.Take(t.Context()); ok; r, ok = replies.Take(t.Context()) {
			ended = ended || r.Kind == relayer.KindEnd || r.Kind == relayer.KindComplete
		}
		whole <- ended
	}()
	k.conn.Send(Call{
		Request: "r", Attempt: 1, Context: t.Context(), Head: head, DialTimeout: time.Minute, Deadline: time.Now().Add(time.Hour),
		Classify: classifyForeign, Replies: replies, Stream: stream,
	})
	r := <-k.reports
	replies.Close()
	return r, <-whole
}

// unframedAnswers are answers that end with their connection.
var unframedAnswers = []struct {
	name, text string
	stream     bool
}{
	{"stream", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata:\n\nid: 2\ndata:\n\n", true},
	{"stream without an event", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", true},
	{"text on a streaming route", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\na\n\nb\n\n", true},
	{"body", "HTTP/1.1 200 OK\r\n\r\nhold 12", false},
	{"large body", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", maxBufferedBytes+1), false},
}

// An upstream that ended within an answer, between two events or parts, was taken for one
// that had finished it, and the caller got the part as the whole.
func TestAnswerCutOffByEndOfUpstreamIsLost(t *testing.T) {
	for _, a := range unframedAnswers {
		t.Run(a.name, func(t *testing.T) {
			k := newConfirmingConn(t, newEndingUpstream(t, a.text, true), prober.Gone)
			r, whole := k.call(t, a.stream)
			is := is.New(t)
			is.Equal(r.Outcome, OutcomeLost)
			is.True(r.ClosedByPeer)
			is.True(!r.Reusable)
			is.True(!whole)
			is.Equal(k.unconfirmed, 1)
		})
	}
}

// A part of a failure was taken for the whole, and forwarded as such where no other upstream
// may get the request.
func TestFailureCutOffByEndOfUpstreamIsLost(t *testing.T) {
	k := newConfirmingConn(t, newEndingUpstream(t, "HTTP/1.1 500 Failed\r\n\r\nout of", true), prober.Gone)
	r, _ := k.call(t, false)
	is.New(t).Equal(r.Outcome, OutcomeLost)
}

// The time of a probe was counted as that of the answer, so that the upstream seemed busier.
func TestProbeIsNoPartOfTheTimeOfAnAnswer(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\n\r\nhold 12"
	k := newConfirmingConn(t, newEndingUpstream(t, text, false), prober.Gone)
	start := time.Now()
	r, _ := k.call(t, false)
	is := is.New(t)
	is.True(r.Elapsed > 0)
	is.True(time.Since(start)-r.Elapsed >= prober.Looks(true)[1])
}

// Answers of an upstream that goes on must not be cut off.
func TestAnswerOfUpstreamThatIsThereIsWhole(t *testing.T) {
	for _, a := range unframedAnswers {
		t.Run(a.name+", accepts connections", func(t *testing.T) {
			u := newEndingUpstream(t, a.text, false)
			k := newConfirmingConn(t, u, prober.Gone)
			is := is.New(t)
			for range 2 {
				// The next request uses the connection that showed that the upstream is there.
				r, whole := k.call(t, a.stream)
				is.Equal(r.Outcome, OutcomeAnswered)
				is.True(r.Reusable)
				is.True(whole)
			}
			is.Equal(len(u.accepted), 3)
			is.Equal(k.unconfirmed, 0)
		})
		t.Run(a.name+", other connections are open", func(t *testing.T) {
			k := newConfirmingConn(t, newEndingUpstream(t, a.text, true), prober.There)
			r, whole := k.call(t, a.stream)
			is := is.New(t)
			is.Equal(r.Outcome, OutcomeAnswered)
			is.True(!r.Reusable)
			is.True(whole)
			is.Equal(k.unconfirmed, len(prober.Looks(true)))
		})
	}
}

// The error of a probe must not be taken for that of the call: an upstream that does not
// respond to it has not crashed, and the time of the call has not passed.
func TestErrorOfProbeDecidesOutcome(t *testing.T) {
	for _, c := range []struct {
		name         string
		err          error
		closedByPeer bool
	}{
		{"refused", errors.Wrap(syscall.ECONNREFUSED, "connect"), true},
		{"timeout", errors.Wrap(os.ErrDeadlineExceeded, "connect"), false},
		{"closed", errors.New("closed"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			dial := func(context.Context) (net.Conn, error) { return nil, c.err }
			_, err := new(prober.Socket).Confirm(t.Context(), prober.Inquiry{
				Clock: timer.System{}, Dial: dial, Ask: func(error) (prober.Verdict, bool) { return prober.Gone, true },
			})
			a := &attempt{sent: 1, call: Call{Context: t.Context()}}
			r := new(Conn).classifyError(a, err)
			is := is.New(t)
			is.Equal(r.Outcome, OutcomeLost)
			is.Equal(r.ClosedByPeer, c.closedByPeer)
		})
	}
}

// A server of HTTP/1.0 that serves one connection at a time waited for a request on the
// connection of the probe, and served nobody else.
func TestConnectionToServerOfHTTP10IsNotKept(t *testing.T) {
	k := newConfirmingConn(t, newEndingUpstream(t, "HTTP/1.0 200 OK\r\n\r\nhold 12", false), prober.Gone)
	r, whole := k.call(t, false)
	is := is.New(t)
	is.Equal(r.Outcome, OutcomeAnswered)
	is.True(whole)
	is.True(!r.Reusable)
}

// A caller who leaves while the upstream is probed must end the call.
func TestCallerWhoLeavesEndsProbe(t *testing.T) {
	u := newEndingUpstream(t, unframedAnswers[0].text, true)
	ctx, cancel := context.WithCancel(t.Context())
	reports := make(chan Report, 1)
	conn := New(Options{Address: u.listener.Addr().String(), Clock: timer.System{}, Report: func(r Report) {
		switch {
		case r.Unconfirmed:
			cancel()
		case r.Ended:
			reports <- r
		}
	}})
	t.Cleanup(conn.Close)
	head, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://desk.example/x", nil)
	is := is.New(t)
	is.NoErr(err)
	conn.Send(Call{
		Request: "r", Context: ctx, Head: head, DialTimeout: time.Minute, Deadline: time.Now().Add(time.Hour),
		Classify: classifyForeign, Replies: relayer.NewRing(), Stream: true,
	})
	is.Equal((<-reports).Outcome, OutcomeCancelled)
}

// The connections of an upstream must be watched until the keep-alive would have ended those
// that are silent.
func TestLastLookOutlastsKeepAlive(t *testing.T) {
	looks := prober.Looks(false)
	is.New(t).True(looks[len(looks)-1] > keepAliveIdle+keepAliveCount*keepAliveInterval)
}
