package receiver

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/carrier"
	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/forwarder"
)

// waitTimeout is the maximum wait for other goroutines. A test fails when it is reached.
const waitTimeout = 30 * time.Second

// soundCodec passes requests on unchanged.
type soundCodec struct{ faultyCodec }

func (soundCodec) Encode(j forwarder.Job, _ dispatcher.Action, _ time.Duration) *http.Request {
	head := httptest.NewRequest(j.Head.Method, j.Head.URL.Path, nil)
	head.Host = "h"
	return head
}

func (soundCodec) ClassifyResponse(string) func(*http.Response) carrier.Verdict {
	return func(*http.Response) carrier.Verdict { return carrier.VerdictAccepted }
}

// assertRequests waits until the numbers of received and in-flight requests are as given,
// and checks that the others have all ended in the given way.
func assertRequests(t *testing.T, r *Receiver, received, inFlight int, result string) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for q := r.Requests(); q.Received != uint64(received) || q.InFlight() != uint64(inFlight); q = r.Requests() {
		if time.Now().After(deadline) {
			t.Fatalf("got %+v", q)
		}
		time.Sleep(time.Millisecond)
	}
	is.New(t).Equal(r.Requests().Ended[result], uint64(received-inFlight))
}

// A request that arrived and never ended could only be found from outside: nothing counted
// its arrival.
func TestEachRequestIsCountedUntilItEnds(t *testing.T) {
	t.Run("with an answer", func(t *testing.T) {
		release := make(chan struct{})
		upstream := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		defer upstream.Close()
		r, address := startReceiver(t, soundCodec{}, upstream.Listener.Addr().String())
		ended := make(chan error, 1)
		go func() { ended <- get(address) }()
		assertRequests(t, r, 1, 1, endingAnswered.String())
		close(release)
		is.New(t).NoErr(<-ended)
		assertRequests(t, r, 1, 0, endingAnswered.String())
	})
	t.Run("without a reply", func(t *testing.T) {
		r, address := startReceiver(t, faultyCodec{}, "127.0.0.1:1")
		is.New(t).NoErr(get(address))
		assertRequests(t, r, 1, 0, endingUnanswered.String())
	})
	t.Run("refused for its body", func(t *testing.T) {
		r, address := startReceiver(t, soundCodec{}, "127.0.0.1:1")
		conn := send(t, address, "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nno chunk\r\n")
		defer func() { _ = conn.Close() }()
		assertRequests(t, r, 1, 0, endingRefused.String())
	})
	t.Run("whose caller leaves", func(t *testing.T) {
		release := make(chan struct{})
		upstream := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		defer upstream.Close()
		defer close(release)
		r, address := startReceiver(t, soundCodec{}, upstream.Listener.Addr().String())
		conn := send(t, address, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
		assertRequests(t, r, 1, 1, endingCallerLeft.String())
		_ = conn.Close()
		assertRequests(t, r, 1, 0, endingCallerLeft.String())
	})
	t.Run("with a part of an answer", func(t *testing.T) {
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "400000")
			_, _ = io.WriteString(w, strings.Repeat("x", 300_000))
		}))
		defer upstream.Close()
		r, address := startReceiver(t, soundCodec{}, upstream.Listener.Addr().String())
		is.New(t).True(get(address) != nil)
		assertRequests(t, r, 1, 0, endingCutOff.String())
	})
}

// get reads the whole answer to a request.
func get(address string) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + "/x")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// send sends the bytes of a request on a new connection.
func send(t *testing.T, address, request string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	is := is.New(t)
	is.NoErr(err)
	_, err = io.WriteString(conn, request)
	is.NoErr(err)
	return conn
}
