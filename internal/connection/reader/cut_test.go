package reader

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// cuttingUpstream ends each connection after a number of bytes of an answer. The path of a
// request names the number, and whether the connection is reset. It returns its URL.
func cuttingUpstream(t *testing.T, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		q, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		path := strings.Split(q.URL.Path, "/")
		text := answer
		if k, err := strconv.Atoi(path[1]); err == nil {
			text = text[:k]
		}
		if tcp, ok := conn.(*net.TCPConn); ok && path[len(path)-1] == "reset" {
			_ = tcp.SetLinger(0)
		}
		_, _ = io.WriteString(conn, text)
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

// assertCutIsNotWhole calls a service whose answer is cut after each byte, and checks the
// event of each call.
func assertCutIsNotWhole(t *testing.T, head, framedBody, body string, closeDelimited bool) {
	t.Helper()
	url, client := cuttingUpstream(t, head+framedBody), newClient(t)
	for k := range len(head+framedBody) + 1 {
		for _, end := range [...]string{"closed", "reset"} {
			path := fmt.Sprintf("/%d/%s", k, end)
			events := make(chan Event, 1)
			NewService(client, timer.System{}, url, Job{Key: scheduler.Key{Request: "r"}, Call: &messenger.Call{Method: http.MethodPost, Path: path}}, func(e Event) { events <- e })
			e := <-events
			if e.Kind != EventResponse {
				is.New(t).Equal(e.Kind, EventLost) // event of path
				continue
			}
			whole := string(e.Response.Body) == body && k == len(head+framedBody)
			ended := closeDelimited && k >= len(head) && end == "closed" && strings.HasPrefix(body, string(e.Response.Body))
			if e.Response.CloseDelimited != closeDelimited || !whole && !ended {
				t.Fatalf("%s: %q looks whole", path, e.Response.Body)
			}
		}
	}
}

// The first part of a response that its service would have ended with the connection got a
// Content-Length that fits, so that the caller took it for the whole.
func TestCutResponseOfServiceIsNotWhole(t *testing.T) {
	const body = "hold 12 is yours\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	t.Run("length", func(t *testing.T) {
		assertCutIsNotWhole(t, "HTTP/1.1 200 OK\r\n"+length+"X-Note: a\r\n\r\n", body, body, false)
	})
	t.Run("length of HTTP/1.0", func(t *testing.T) {
		assertCutIsNotWhole(t, "HTTP/1.0 200 OK\r\nX-Note: a\r\n"+length+"\r\n", body, body, false)
	})
	t.Run("chunks", func(t *testing.T) {
		assertCutIsNotWhole(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body), body, false)
	})
	t.Run("end of the connection", func(t *testing.T) {
		assertCutIsNotWhole(t, "HTTP/1.1 200 OK\r\nX-Note: a\r\n\r\n", body, body, true)
	})
	t.Run("end of the connection of HTTP/1.0", func(t *testing.T) {
		assertCutIsNotWhole(t, "HTTP/1.0 500 Failed\r\n\r\n", body, body, true)
	})
}

// An engine that ends within its stream must not be taken for one that has finished.
func TestCutStreamOfEngineIsNotFinished(t *testing.T) {
	const stream = "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: [DONE]\n\n"
	for _, c := range []struct{ name, head, stream string }{
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(stream), stream)},
		{"end of the connection", "HTTP/1.1 200 OK\r\n\r\n", stream},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer := c.head + c.stream
			done := strings.Index(answer, "[DONE]") + len("[DONE]")
			url, client := cuttingUpstream(t, answer), newClient(t)
			for k := range len(answer) + 1 {
				events := make(chan Event, 8)
				NewEngine(client, timer.System{}, fmt.Sprintf("%s/%d/closed", url, k), Job{Body: []byte(`{}`)}, func(e Event) { events <- e })
				last := <-events
				for last.Kind == EventTokens {
					last = <-events
				}
				is.New(t).Equal(last.Kind == EventFinished, k >= done)
			}
		})
	}
}

// An engine that crashed within a line of its stream counted as one that had sent a malformed
// event, so that the content that crashed it got no strike.
func TestEngineEndedWithinLineHasCrashed(t *testing.T) {
	const stream = "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: [DONE]\n\n"
	const head = "HTTP/1.1 200 OK\r\n\r\n"
	url, client := cuttingUpstream(t, head+stream), newClient(t)
	for k := len(head); k < len(head)+strings.Index(stream, "[DONE]"); k++ {
		for _, end := range [...]string{"closed", "reset"} {
			events := make(chan Event, 8)
			NewEngine(client, timer.System{}, fmt.Sprintf("%s/%d/%s", url, k, end), Job{Body: []byte(`{}`)}, func(e Event) { events <- e })
			last := <-events
			for last.Kind == EventTokens {
				last = <-events
			}
			if last.Kind != EventLost || !last.Crashed {
				t.Errorf("%s after %d bytes of the stream: event %d, crashed %t, %v", end, k-len(head), last.Kind, last.Crashed, last.Err)
			}
		}
	}
}
