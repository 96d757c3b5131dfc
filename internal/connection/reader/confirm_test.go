package reader

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/connection/prober"
	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// startEndingService starts a service that writes one answer and closes its sockets, as the
// kernel does when a process ends. It returns its URL.
func startEndingService(t *testing.T, answer string) string {
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
		q, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		_, _ = io.WriteString(conn, answer)
		_ = l.Close()
	}()
	return "http://" + l.Addr().String()
}

// callEnding calls a service that ends and returns the last event of the call, and the
// number of events that asked whether the service is there.
func callEnding(t *testing.T, method, answer string, v prober.Verdict) (Event, int) {
	t.Helper()
	events := make(chan Event, 4)
	job := Job{Key: scheduler.Key{Request: "r"}, Call: &messenger.Call{Method: method, Path: "/holds"}}
	r := NewService(NewClient(), timer.System{}, startEndingService(t, answer), job, func(e Event) { events <- e })
	for asked := 0; ; asked++ {
		e := <-events
		if e.Kind != EventUnconfirmed {
			return e, asked
		}
		r.Confirm(v)
	}
}

// A service that was killed within an answer that ends with its connection left a part that
// was passed on as the whole.
func TestResponseOfEndedServiceIsNotWhole(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.1 500 Failed\r\nConnection: close\r\n\r\n"} {
		t.Run(head[:12]+" of ended service", func(t *testing.T) {
			e, asked := callEnding(t, http.MethodPost, head+"hold 12", prober.Gone)
			is := is.New(t)
			is.Equal(e.Kind, EventLost)
			is.True(e.Crashed)
			is.True(e.Unreachable)
			is.Equal(asked, 1)
		})
		t.Run(head[:12]+" of stopping service", func(t *testing.T) {
			e, asked := callEnding(t, http.MethodPost, head+"hold 12", prober.There)
			is := is.New(t)
			is.Equal(e.Kind, EventResponse)
			is.True(e.Response.CloseDelimited)
			is.Equal(string(e.Response.Body), "hold 12")
			is.True(asked > 0)
		})
	}
}

// A response that states its own end must not be given up because its service has ended.
func TestFramedResponseOfEndedServiceIsWhole(t *testing.T) {
	for _, c := range []struct{ name, method, answer string }{
		{"length", http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nheld"},
		{"chunks", http.MethodPost, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nheld\r\n0\r\n\r\n"},
		{"HEAD without a length", http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n"},
		{"no content", http.MethodPost, "HTTP/1.1 204 No Content\r\n\r\n"},
		{"not modified", http.MethodGet, "HTTP/1.1 304 Not Modified\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, asked := callEnding(t, c.method, c.answer, prober.Gone)
			is := is.New(t)
			is.Equal(e.Kind, EventResponse)
			is.True(!e.Response.CloseDelimited)
			is.Equal(asked, 0)
		})
	}
}
