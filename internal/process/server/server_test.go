package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/closer"
	"magnoliafront.dev/magnoliafront/internal/process/drainer"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/internal/process/router"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/request/decoder"
	"magnoliafront.dev/magnoliafront/internal/request/responder"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// A request that reaches a leaving entry on a persistent connection must be
// answered, and the response must close the connection. If Leave closed idle
// connections, requests sent at the moment of the close would be lost, as an
// earlier version did.
func TestRequestAfterLeaveAnsweredAndConnectionClosed(t *testing.T) {
	is := is.New(t)
	rec := recorder.New(recorder.Options{Clock: timer.System{}})
	defer rec.Stop()
	r := router.New(router.Options{Clock: timer.System{}, Recorder: rec})
	defer r.Stop()
	s, err := New(Options{Listen: "127.0.0.1:0", Router: r, Clock: timer.System{}})
	is.NoErr(err)
	conn, err := net.Dial("tcp", s.Address())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	is.True(!getModels(t, conn, reader).Close)
	s.Leave()
	is.True(getModels(t, conn, reader).Close)
	is.NoErr(s.Stop(context.Background()))
}

// A caller whose body was too large, and who waited for the answer before sending the rest,
// got none: the server waited for the rest first.
func TestTooLargeBodyIsAnsweredBeforeItsRest(t *testing.T) {
	s, err := New(Options{Listen: "127.0.0.1:0", Clock: timer.System{}})
	is := is.New(t)
	is.NoErr(err)
	defer func() { _ = s.Stop(context.Background()) }()
	conn, err := net.Dial("tcp", s.Address())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetDeadline(time.Now().Add(20 * time.Second)))
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: desk\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n%s",
		decoder.MaxBodyBytes+2, make([]byte, decoder.MaxBodyBytes+1))
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err) // there is no answer
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
	is.True(resp.Close)
}

// getModels requests the list of models over conn and returns the response.
func getModels(t *testing.T, conn net.Conn, reader *bufio.Reader) *http.Response {
	t.Helper()
	is := is.New(t)
	_, err := fmt.Fprint(conn, "GET /v1/models HTTP/1.1\r\nHost: desk\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	return resp
}

// An answer that broke off ended with its last chunk, and one of which nothing was
// written became an empty answer with status 200, so that both looked complete. Without
// chunks it ended with its connection, like a complete one.
func TestBrokenAnswerDoesNotLookComplete(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0", "HTTP/1.0 keep-alive"} {
		for _, c := range []struct {
			name, written string
			unframed      bool
			err           error
		}{
			{"nothing written", "", false, errors.New("broken")},
			{"a part written", "data: x\n\n", false, errors.New("broken")},
			{"a part without framing written", "data: x\n\n", true, errors.New("broken")},
			{"whole answer", "data: [DONE]\n\n", false, nil},
			{"whole answer without framing", "data: [DONE]\n\n", true, nil},
		} {
			t.Run(protocol+" "+c.name, func(t *testing.T) {
				address := serveAnswer(t, func(s *Server, w http.ResponseWriter, req *http.Request) {
					if c.unframed {
						closer.EndWithConnection(req.Context(), w.Header())
					}
					if c.written != "" {
						_, _ = w.Write([]byte(c.written))
						_ = http.NewResponseController(w).Flush()
					}
					s.abandonOnError("r1", c.err)
				})
				is.New(t).Equal(readAnswer(t, address, protocol) == nil, c.err == nil)
			})
		}
	}
}

// serveAnswer serves the answers that write writes, as [New] does, and returns its address.
func serveAnswer(t *testing.T, write func(*Server, http.ResponseWriter, *http.Request)) string {
	t.Helper()
	rec := recorder.New(recorder.Options{Clock: timer.System{}})
	t.Cleanup(rec.Stop)
	r := router.New(router.Options{Clock: timer.System{}, Recorder: rec})
	t.Cleanup(r.Stop)
	s := &Server{options: Options{Router: r}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	h := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { write(s, w, req) })
	d := drainer.Serve(&http.Server{Handler: h}, l, drainer.Options{})
	t.Cleanup(func() { _ = d.Stop(context.Background()) })
	return l.Addr().String()
}

// readAnswer sends a request and returns the error with which its answer ends, if any. A
// protocol of "HTTP/1.0 keep-alive" asks for a connection that stays open.
func readAnswer(t *testing.T, address, protocol string) error {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	version, connection, _ := strings.Cut(protocol, " ")
	if connection != "" {
		connection = "Connection: " + connection + "\r\n"
	}
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions %s\r\nHost: desk\r\n%sContent-Length: 0\r\n\r\n", version, connection)
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadAll(resp.Body)
	return err
}

// An answer whose end is known without its connection must not end the connection of a caller
// of HTTP/1.0 who asks for it to stay open, nor be reset as a part of an answer.
func TestConnectionOfHTTP10StaysOpenAfterWholeAnswer(t *testing.T) {
	for _, c := range []struct {
		name, method string
		write        func(http.ResponseWriter)
	}{
		{"failure", http.MethodPost, func(w http.ResponseWriter) { responder.WriteFailure(w, admitter.OverloadedFailure()) }},
		{"HEAD", http.MethodHead, func(w http.ResponseWriter) { w.WriteHeader(http.StatusOK) }},
		{"no content", http.MethodPost, func(w http.ResponseWriter) { w.WriteHeader(http.StatusNoContent) }},
		{"not modified", http.MethodGet, func(w http.ResponseWriter) { w.WriteHeader(http.StatusNotModified) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address := serveAnswer(t, func(_ *Server, w http.ResponseWriter, _ *http.Request) { c.write(w) })
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			lines := bufio.NewReader(conn)
			for range 3 {
				_, err := fmt.Fprintf(conn, "%s /holds HTTP/1.0\r\nHost: desk\r\nConnection: keep-alive\r\n\r\n", c.method)
				is.NoErr(err)
				resp, err := http.ReadResponse(lines, &http.Request{Method: c.method})
				is.NoErr(err)
				_, err = io.ReadAll(resp.Body)
				is.NoErr(err)
				is.True(!resp.Close)
			}
		})
	}
}
