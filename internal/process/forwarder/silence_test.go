package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
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

// listenUpstream listens and passes each connection to serve once the head of a request
// has been read. It returns its address.
func listenUpstream(t *testing.T, serve func(net.Conn)) string {
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
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					serve(conn)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// staySilent never answers.
func staySilent(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) }

// newSilentForwarder returns a forwarder with two upstreams that serve connections with
// serve and a route of the given kind.
func newSilentForwarder(t *testing.T, kind matcher.RouteKind, maxAttempts int, serve func(net.Conn)) *forwarder.Forwarder {
	t.Helper()
	f := forwarder.New(forwarder.Options{
		Clock: timer.System{}, Codec: faultyCodec{}, Dispatcher: dispatcher.Settings{RetryRatio: 1, RetryCapacity: 1000},
	})
	t.Cleanup(f.Stop)
	f.HandleRegistrarEvent(registrar.Event{Kind: registrar.EventListed, Upstreams: []registrar.Upstream{
		{Name: "desk-1", Service: "desk", Address: listenUpstream(t, serve)},
		{Name: "desk-2", Service: "desk", Address: listenUpstream(t, serve)},
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
			f := newSilentForwarder(t, c.kind, c.maxAttempts, staySilent)
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
	return submitAt(ctx, t, f, id, time.Now(), deadline)
}

// submitAt does the same for a request that was received at the given time of the clock of
// the forwarder.
func submitAt(ctx context.Context, t *testing.T, f *forwarder.Forwarder, id string, received time.Time, deadline time.Duration) *relayer.Ring {
	t.Helper()
	replies := relayer.NewRing()
	is.New(t).True(f.Submit(ctx, forwarder.Job{Request: dispatcher.Request{
		ID: id, Received: received, Deadline: received.Add(deadline), Query: matcher.Query{Host: "h", Path: "/x", RequestID: id},
	}, Context: ctx, Replies: replies}))
	return replies
}

// The second upstream relayed a part of a large answer and broke off. The suspended first
// attempt was then resumed, and the caller got its answer after that part. The first
// upstream answers once the caller has the part.
func TestAnswerOfSilentUpstreamDoesNotFollowPartOfAnother(t *testing.T) {
	var served atomic.Int64
	begun := make(chan struct{})
	f := newSilentForwarder(t, matcher.Idempotent, 2, func(conn net.Conn) {
		if served.Add(1) == 1 {
			<-begun
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n"+strings.Repeat("x", 300_000))
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	replies := submit(ctx, t, f, "r1", 20*time.Second)
	for i := 0; ; i++ {
		reply, ok := replies.Take(ctx)
		if !ok {
			break
		}
		is := is.New(t)
		is.Equal(reply.Kind == relayer.KindHead, i == 0)
		if i == 0 {
			close(begun)
		}
		is.True(reply.Kind == relayer.KindHead || reply.Kind == relayer.KindBody)
	}
	is.New(t).NoErr(ctx.Err())
}

// Two upstreams must not work on a request for long: the second one is disconnected soon
// after the request was sent to it if it shows nothing, and the first one goes on.
func TestSecondUpstreamIsDisconnectedIfItShowsNothing(t *testing.T) {
	var served atomic.Int64
	disconnected := make(chan struct{})
	f := newSilentForwarder(t, matcher.Idempotent, 2, func(conn net.Conn) {
		if served.Add(1) == 2 {
			staySilent(conn)
			close(disconnected)
			return
		}
		<-disconnected
		_, _ = io.WriteString(conn, callAnswer)
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	replies := submit(ctx, t, f, "r1", time.Minute)
	reply, ok := replies.Take(ctx)
	is := is.New(t)
	is.True(ok)
	is.Equal(reply.Kind, relayer.KindComplete)
}

// Both upstreams of a request must stop work soon after its caller has left, also the
// silent one that goes on beside the other.
func TestCallerThatLeavesEndsBothAttempts(t *testing.T) {
	reached, disconnected := make(chan struct{}, 2), make(chan struct{}, 2)
	f := newSilentForwarder(t, matcher.Idempotent, 2, func(conn net.Conn) {
		reached <- struct{}{}
		staySilent(conn)
		disconnected <- struct{}{}
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	submit(ctx, t, f, "r1", time.Minute)
	for range 2 {
		<-reached
	}
	cancel()
	for range 2 {
		<-disconnected
	}
}
