package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net"
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

// silentUpstream listens and reads all that it is sent, and never answers. It returns
// its address.
func silentUpstream(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(io.Discard, conn)
				_ = conn.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// newSilentForwarder returns a forwarder with two upstreams that never answer and a
// route of the given kind.
func newSilentForwarder(t *testing.T, kind matcher.RouteKind, maxAttempts int) *forwarder.Forwarder {
	t.Helper()
	f := forwarder.New(forwarder.Options{
		Clock: timer.System{}, Codec: faultyCodec{}, Dispatcher: dispatcher.Settings{RetryRatio: 1, RetryCapacity: 1000},
	})
	t.Cleanup(f.Stop)
	f.HandleRegistrarEvent(registrar.Event{Kind: registrar.EventListed, Upstreams: []registrar.Upstream{
		{Name: "desk-1", Service: "desk", Address: silentUpstream(t)},
		{Name: "desk-2", Service: "desk", Address: silentUpstream(t)},
	}})
	f.Configure(matcher.New(matcher.Configuration{Version: 1, Routes: []matcher.Route{{
		Name: "all", Host: "h", PathPrefix: "/", Public: true, Kind: kind, Resumable: true, MaxAttempts: maxAttempts, Timeout: time.Minute,
		WeightedServices: []matcher.WeightedService{{Service: "desk", Weight: 1}},
	}}, Services: []matcher.Service{{Name: "desk"}}}))
	for f.State().Table == nil {
		time.Sleep(time.Millisecond)
	}
	return f
}

// A request whose suspended attempt reached its deadline before the other one, or whose
// other attempt fell silent too, was resumed without an attempt, and its caller got
// neither an answer nor a refusal.
func TestRequestOnSilentUpstreamsEndsAtDeadline(t *testing.T) {
	for _, c := range []struct {
		name        string
		kind        matcher.RouteKind
		maxAttempts int
		deadline    time.Duration
	}{
		{"just after the idle timeout", matcher.Streaming, 2, 1250 * time.Millisecond},
		{"after the second idle timeout", matcher.Idempotent, 3, 400 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newSilentForwarder(t, c.kind, c.maxAttempts)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			var all []*relayer.Ring
			for i := range 20 {
				all = append(all, submit(ctx, t, f, fmt.Sprint("r", i), c.deadline))
			}
			for _, replies := range all {
				reply, ok := replies.Take(ctx)
				is := is.New(t)
				is.True(ok)
				is.Equal(reply.Kind, relayer.KindFailed)
			}
		})
	}
}

// submit starts a request and returns the ring of its replies.
func submit(ctx context.Context, t *testing.T, f *forwarder.Forwarder, id string, deadline time.Duration) *relayer.Ring {
	t.Helper()
	replies, now := relayer.NewRing(), time.Now()
	is.New(t).True(f.Submit(ctx, forwarder.Job{Request: dispatcher.Request{
		ID: id, Received: now, Deadline: now.Add(deadline), Query: matcher.Query{Host: "h", Path: "/x", RequestID: id},
	}, Context: ctx, Replies: replies}))
	return replies
}
