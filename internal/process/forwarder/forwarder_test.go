package forwarder_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/carrier"
	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/process/forwarder"
	"magnoliafront.dev/magnoliafront/internal/process/recoverer"
	"magnoliafront.dev/magnoliafront/internal/process/registrar"
	"magnoliafront.dev/magnoliafront/internal/request/relayer"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// An entry that reported ready after the end of an outage and before the list of
// upstreams refused its first callers with no_upstream.
func TestUpstreamsListedOnlyAfterCompleteList(t *testing.T) {
	for _, c := range []struct {
		name   string
		events []registrar.Event
		want   bool
	}{
		{"no event", nil, false},
		{"outage began", []registrar.Event{{Kind: registrar.EventOutageBegan}}, false},
		{"outage ended", []registrar.Event{{Kind: registrar.EventOutageBegan}, {Kind: registrar.EventOutageEnded}}, false},
		{"single change", []registrar.Event{{Kind: registrar.EventChanged, Upstreams: []registrar.Upstream{{Name: "desk-1"}}}}, false},
		{"list", []registrar.Event{{Kind: registrar.EventOutageEnded}, {Kind: registrar.EventListed}}, true},
		{"outage after a list", []registrar.Event{{Kind: registrar.EventListed}, {Kind: registrar.EventOutageBegan}}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := forwarder.New(forwarder.Options{Clock: timer.NewManual(time.Unix(1000, 0))})
			t.Cleanup(f.Stop)
			for _, e := range c.events {
				f.HandleRegistrarEvent(e)
			}
			awaitConfigured(f)
			is.New(t).Equal(f.State().UpstreamsListed, c.want)
		})
	}
}

// faultyCodec panics when it encodes the given attempt of the request with the given
// identity.
type faultyCodec struct {
	identity string
	attempt  int
}

func (c faultyCodec) Encode(j forwarder.Job, a dispatcher.Action, _ time.Duration) *http.Request {
	if j.Request.ID == c.identity && a.Attempt == c.attempt {
		panic("fault")
	}
	return httptest.NewRequest(http.MethodGet, "/x", nil)
}

func (faultyCodec) ClassifyResponse(string) func(*http.Response) carrier.Verdict {
	return func(*http.Response) carrier.Verdict { return carrier.VerdictAccepted }
}

func (faultyCodec) DecodeNotice(*http.Response) carrier.Notice { return carrier.Notice{} }

// A panic of the goroutine that forwards all requests ended the process, and later, if it
// came with the report of a connection, left the request without an end. It must end the
// request that caused it and release its identity, and the next one must be handled.
func TestPanicEndsOneRequest(t *testing.T) {
	for _, c := range []struct {
		name    string
		attempt int
	}{{"while the request is started", 1}, {"while a report is handled", 2}} {
		t.Run(c.name, func(t *testing.T) {
			var r recoverer.Recoverer
			f := newFaultyForwarder(t, faultyCodec{"bad", c.attempt}, &r)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			for i := range 2 {
				_, ok := submitAt(ctx, t, f, "bad", time.Unix(1000, 0), time.Minute).Take(ctx)
				is := is.New(t)
				is.True(!ok)
				is.NoErr(ctx.Err())
				is.Equal(r.Panics.Load(), uint64(i+1))
			}
			reply, ok := submitAt(ctx, t, f, "good", time.Unix(1000, 0), time.Minute).Take(ctx)
			is := is.New(t)
			is.True(ok)
			// Nothing listens at the addresses of the upstreams.
			is.Equal(reply.Kind, relayer.KindFailed)
		})
	}
}

// newFaultyForwarder returns a forwarder with two upstreams at whose addresses nothing
// listens.
func newFaultyForwarder(t *testing.T, c faultyCodec, r *recoverer.Recoverer) *forwarder.Forwarder {
	t.Helper()
	f := forwarder.New(forwarder.Options{Clock: timer.NewManual(time.Unix(1000, 0)), Codec: c, Recoverer: r})
	t.Cleanup(f.Stop)
	f.HandleRegistrarEvent(registrar.Event{Kind: registrar.EventListed, Upstreams: []registrar.Upstream{
		{Name: "desk-1", Service: "desk", Address: "127.0.0.1:1"},
		{Name: "desk-2", Service: "desk", Address: "127.0.0.1:1"},
	}})
	f.Configure(matcher.New(matcher.Configuration{Version: 1, Routes: []matcher.Route{{
		Name: "all", Host: "h", PathPrefix: "/", Public: true, MaxAttempts: 1, Timeout: time.Minute,
		WeightedServices: []matcher.WeightedService{{Service: "desk", Weight: 1}},
	}}, Services: []matcher.Service{{Name: "desk"}}}))
	for f.State().Table == nil {
		// Until then, the goroutine may take the job first.
		time.Sleep(time.Millisecond)
	}
	return f
}

// awaitConfigured waits until f has handled a configuration, and with it all earlier
// events.
func awaitConfigured(f *forwarder.Forwarder) {
	f.Configure(matcher.New(matcher.Configuration{Version: 1}))
	for f.State().Table == nil {
		time.Sleep(time.Millisecond)
	}
}
