package receiver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/carrier"
	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/forwarder"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// faultyCodec panics when it encodes a request for an upstream.
type faultyCodec struct{}

func (faultyCodec) ParseRequest(r *http.Request, _ [][]byte, now time.Time) (dispatcher.Request, *admitter.Failure) {
	return dispatcher.Request{ID: "r1", Received: now, Query: matcher.Query{Host: "h", Path: r.URL.Path, RequestID: "r1"}}, nil
}

func (faultyCodec) WriteFailure(w http.ResponseWriter, f *admitter.Failure) { w.WriteHeader(f.Status) }

func (faultyCodec) Encode(forwarder.Job, dispatcher.Action, time.Duration) *http.Request {
	panic("fault")
}

func (faultyCodec) ClassifyResponse(string) func(*http.Response) carrier.Verdict { return nil }

func (faultyCodec) DecodeNotice(*http.Response) carrier.Notice { return carrier.Notice{} }

// callerCodec is the codec of both a receiver and its forwarder.
type callerCodec interface {
	Codec
	forwarder.Codec
}

// startReceiver starts a receiver with one route and one upstream and returns it with the
// address for callers.
func startReceiver(t *testing.T, c callerCodec, upstream string) (*Receiver, string) {
	t.Helper()
	f := forwarder.New(forwarder.Options{Clock: timer.System{}, Codec: c})
	t.Cleanup(f.Stop)
	f.HandleRegistrarEvent(registrar.Event{Kind: registrar.EventListed, Upstreams: []registrar.Upstream{
		{Name: "desk-1", Service: "desk", Address: upstream},
	}})
	f.Configure(matcher.New(matcher.Configuration{Version: 1, Routes: []matcher.Route{{
		Name: "all", Host: "h", PathPrefix: "/", Public: true, MaxAttempts: 1, Timeout: time.Minute,
		WeightedServices: []matcher.WeightedService{{Service: "desk", Weight: 1}},
	}}, Services: []matcher.Service{{Name: "desk"}}}))
	for f.State().Table == nil {
		// Until then, the forwarder may take a request first.
		time.Sleep(time.Millisecond)
	}
	address := freeAddress(t)
	r, err := New(Options{Listen: address, ReadyListen: freeAddress(t), ReadyPath: "/ready", Codec: c, Forwarder: f, Clock: timer.System{}})
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = r.Stop(context.Background()) })
	return r, address
}

// freeAddress returns an address at which nothing listens. Its IP address belongs to this
// process alone, since an outgoing connection from 127.0.0.1 may take any free port there
// before the receiver listens on it.
func freeAddress(t *testing.T) string {
	t.Helper()
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>16&63, pid>>8&255, pid&255))
	is.New(t).NoErr(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// A panic while a request was handled ended it without a reply, and the connection of its
// caller was closed without an answer.
func TestRequestWithoutReplyGetsFailure(t *testing.T) {
	_, address := startReceiver(t, faultyCodec{}, "127.0.0.1:1")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + "/x")
	is := is.New(t)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	is.Equal(resp.StatusCode, http.StatusBadGateway)
}
