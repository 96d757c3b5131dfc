package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/forwarder"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/request/relayer"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// newNarrowForwarder returns a forwarder that may have one connection, with one upstream for
// each of two services. Requests run until release is closed.
func newNarrowForwarder(t *testing.T, release <-chan struct{}) *forwarder.Forwarder {
	t.Helper()
	f := forwarder.New(forwarder.Options{Clock: timer.System{}, Codec: faultyCodec{}, MaxConns: 1})
	t.Cleanup(f.Stop)
	c := matcher.Configuration{Version: 1}
	var upstreams []registrar.Upstream
	for _, name := range []string{"desk", "booking"} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			<-release
			_, _ = io.WriteString(w, name)
		}))
		t.Cleanup(srv.Close)
		upstreams = append(upstreams, registrar.Upstream{Name: name, Service: name, Address: strings.TrimPrefix(srv.URL, "http://")})
		c.Services = append(c.Services, matcher.Service{Name: name})
		c.Routes = append(c.Routes, matcher.Route{
			Name: name, Host: "h", PathPrefix: "/" + name, Public: true, MaxAttempts: 1, Timeout: time.Minute,
			WeightedServices: []matcher.WeightedService{{Service: name, Weight: 1}},
		})
	}
	f.HandleRegistrarEvent(registrar.Event{Kind: registrar.EventListed, Upstreams: upstreams})
	f.Configure(matcher.New(c))
	for f.State().Table == nil || f.State().EligibleCount == 0 {
		time.Sleep(time.Millisecond)
	}
	return f
}

// submitTo submits a request and returns its first reply.
func submitTo(ctx context.Context, t *testing.T, f *forwarder.Forwarder, service string) relayer.Reply {
	t.Helper()
	now := time.Now()
	replies := relayer.NewRing()
	is := is.New(t)
	is.True(f.Submit(ctx, forwarder.Job{Request: dispatcher.Request{
		ID: service, Received: now, Deadline: now.Add(time.Minute), Query: matcher.Query{Host: "h", Path: "/" + service, RequestID: service},
	}, Context: ctx, Replies: replies}))
	r, ok := replies.Take(ctx)
	is.True(ok)
	return r
}

// Connections to upstreams took the descriptors of other uses.
func TestConnectionsToUpstreamsAreBounded(t *testing.T) {
	release := make(chan struct{}, 2)
	f := newNarrowForwarder(t, release)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	is := is.New(t)
	for _, service := range []string{"desk", "booking"} {
		release <- struct{}{}
		// A connection may count as idle only after its caller has the answer.
		for submitTo(ctx, t, f, service).Kind == relayer.KindFailed {
			is.NoErr(ctx.Err())
		}
		is.Equal(f.Connections().Open, int64(1))
	}
	is.Equal(f.Connections().Evicted, uint64(1))
}

// A request for which there is no connection must be refused, and not be counted as a
// failure of its upstream.
func TestRequestIsRefusedWhileAllConnectionsAreInUse(t *testing.T) {
	release := make(chan struct{})
	f := newNarrowForwarder(t, release)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	first := make(chan relayer.Reply, 1)
	go func() { first <- submitTo(ctx, t, f, "desk") }()
	for f.Connections().Open == 0 {
		time.Sleep(time.Millisecond)
	}
	r := submitTo(ctx, t, f, "booking")
	is := is.New(t)
	is.Equal(r.Kind, relayer.KindFailed)
	is.Equal(r.Failure.Status, http.StatusServiceUnavailable)
	close(release)
	is.True((<-first).Kind != relayer.KindFailed)
}
