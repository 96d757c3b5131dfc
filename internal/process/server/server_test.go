package server

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/internal/process/router"
	"magnoliafront.dev/magnoliafront/internal/request/decoder"
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
// written became an empty answer with status 200, so that both looked complete.
func TestBrokenAnswerDoesNotLookComplete(t *testing.T) {
	rec := recorder.New(recorder.Options{Clock: timer.System{}})
	defer rec.Stop()
	r := router.New(router.Options{Clock: timer.System{}, Recorder: rec})
	defer r.Stop()
	s := &Server{options: Options{Router: r}}
	for _, c := range []struct {
		name, written string
		err           error
		complete      bool
	}{
		{"nothing written", "", errors.New("broken"), false},
		{"a part written", "data: x\n\n", errors.New("broken"), false},
		{"whole answer", "data: [DONE]\n\n", nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.written != "" {
					_, _ = w.Write([]byte(c.written))
					_ = http.NewResponseController(w).Flush()
				}
				s.abandonOnError("r1", c.err)
			}))
			defer h.Close()
			is := is.New(t)
			conn, err := net.Dial("tcp", h.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprint(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: desk\r\nContent-Length: 0\r\n\r\n")
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			is.Equal(err == nil, c.complete)
		})
	}
}
