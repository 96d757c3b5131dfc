package reader

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// replayingUpstream answers the first request with first. On a connection that has
// carried a request it writes that once more, then the answer. It returns its URL.
func replayingUpstream(t *testing.T, first, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	var begun atomic.Bool
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		for used := false; ; used = true {
			q, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			switch {
			case used:
				_, _ = io.WriteString(conn, first+answer)
			case begun.Swap(true):
				_, _ = io.WriteString(conn, answer)
			default:
				_, _ = io.WriteString(conn, first)
			}
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return "http://" + l.Addr().String()
}

// An engine wrote an earlier refusal once more on a kept connection, and a request that
// it was running was reported as not run. Its answers have no identity.
func TestEarlierRefusalIsNotTakenForAnswer(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"
	const stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 14\r\n\r\ndata: [DONE]\n\n"
	url := replayingUpstream(t, refusal, stream)
	client := newClient(t)
	for _, want := range []EventKind{EventRejected, EventFinished} {
		events := make(chan Event, 8)
		NewEngine(client, timer.System{}, url, Job{Key: scheduler.Key{Request: "r"}, Body: []byte(`{}`)}, func(e Event) { events <- e })
		is.New(t).Equal((<-events).Kind, want)
	}
}

// A call of a service was sent on the connection of a health check, whose answer could
// then be taken for that of the call.
func TestHealthCheckSharesNoConnectionWithCall(t *testing.T) {
	const healthy = "HTTP/1.1 204 No Content\r\n\r\n"
	url := replayingUpstream(t, healthy, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	client := newClient(t)
	is := is.New(t)
	is.NoErr(ping(t.Context(), client, url, probeTimeout))
	events := make(chan Event, 1)
	NewService(client, timer.System{}, url, Job{Call: &messenger.Call{Method: http.MethodPost, Path: "/hold"}}, func(e Event) { events <- e })
	e := <-events
	is.Equal(e.Kind, EventResponse)
	is.Equal(e.Response.Status, http.StatusOK)
}

// newClient returns a client that keeps connections.
func newClient(t *testing.T) *http.Client {
	t.Helper()
	c := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(c.CloseIdleConnections)
	return c
}
