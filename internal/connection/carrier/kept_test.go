package carrier

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/request/relayer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// keptConn is a connection to an upstream that answers each request with the same text.
type keptConn struct {
	conn    *Conn
	reports chan Report
}

func newKeptConn(t *testing.T, response string) *keptConn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		for in := bufio.NewReader(conn); ; {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			_, _ = io.WriteString(conn, response)
		}
	}()
	k := &keptConn{reports: make(chan Report, 1)}
	k.conn = New(Options{Address: l.Addr().String(), Clock: timer.System{}, Report: func(r Report) { k.reports <- r }})
	t.Cleanup(k.conn.Close)
	return k
}

// call sends a request with the identity and returns the report.
func (k *keptConn) call(t *testing.T, identity string) Report {
	t.Helper()
	head, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://desk.example/hold/1", nil)
	is.New(t).NoErr(err)
	k.conn.Send(Call{
		Request: identity, Attempt: 1, Context: t.Context(), Head: head, DialTimeout: time.Minute, Deadline: time.Now().Add(time.Hour),
		Classify: classifyForeign, Replies: relayer.NewRing(),
	})
	return <-k.reports
}

// A caller that sent a refused request again with the same identity could get the
// earlier refusal, written once more, for a request that was running.
func TestRefusedIdentityIsNotSentOnSameConnectionAgain(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"
	t.Run("same identity", func(t *testing.T) {
		k := newKeptConn(t, refusal)
		is := is.New(t)
		is.Equal(k.call(t, "r1").Outcome, OutcomeRefused)
		is.Equal(k.call(t, "r2").Outcome, OutcomeRefused)
		r := k.call(t, "r1")
		is.Equal(r.Outcome, OutcomeStale)
		is.True(!r.Reusable)
	})
	t.Run("the number of identities is bounded", func(t *testing.T) {
		k := newKeptConn(t, refusal)
		for i := range maxRefusedIdentities {
			is.New(t).Equal(k.call(t, fmt.Sprint("r", i)).Reusable, i+1 < maxRefusedIdentities)
		}
	})
	t.Run("identity that was not refused", func(t *testing.T) {
		k := newKeptConn(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		is := is.New(t)
		is.Equal(k.call(t, "r1").Outcome, OutcomeAnswered)
		is.Equal(k.call(t, "r1").Outcome, OutcomeAnswered)
	})
}
