package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
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

// newLeadingClock returns a manual clock that is an hour ahead of the system clock. The
// deadlines of sockets are times of the clock, and the kernel compares them with the system
// clock: on a manual clock that stands at the present, they pass while a slow test runs.
func newLeadingClock() *timer.Manual { return timer.NewManual(time.Now().Add(time.Hour)) }

// newStoppableForwarder returns a forwarder with one upstream that serves connections
// with serve, and a route whose requests must not run twice.
func newStoppableForwarder(t *testing.T, clock timer.Clock, c forwarder.Codec, serve func(net.Conn)) *forwarder.Forwarder {
	t.Helper()
	f := forwarder.New(forwarder.Options{Clock: clock, Codec: c})
	t.Cleanup(f.Stop)
	f.HandleRegistrarEvent(registrar.Event{Kind: registrar.EventListed, Upstreams: []registrar.Upstream{
		{Name: "desk-1", Service: "desk", Address: listenUpstream(t, serve)},
	}})
	f.Configure(matcher.New(matcher.Configuration{Version: 1, Routes: []matcher.Route{{
		Name: "all", Host: "h", PathPrefix: "/", Public: true, Kind: matcher.NonIdempotent, MaxAttempts: 1, Timeout: time.Minute,
		WeightedServices: []matcher.WeightedService{{Service: "desk", Weight: 1}},
	}}, Services: []matcher.Service{{Name: "desk"}}}))
	awaitVersion(f, 1)
	return f
}

// awaitVersion waits until the configuration with the given version is in force.
func awaitVersion(f *forwarder.Forwarder, version int64) {
	for s := f.State(); s.Table == nil || s.Table.Configuration.Version < version; s = f.State() {
		time.Sleep(time.Millisecond)
	}
}

// assertFailure checks that the next reply is a failure with the given status.
func assertFailure(ctx context.Context, t *testing.T, replies *relayer.Ring, status int) {
	t.Helper()
	reply, ok := replies.Take(ctx)
	is := is.New(t)
	is.True(ok)
	is.Equal(reply.Kind, relayer.KindFailed)
	is.Equal(reply.Failure.Status, status)
}

// At the exit of an entry, requests in flight ended without a reply while their upstreams
// still worked on them.
func TestRequestInFlightIsAnsweredBeforeExit(t *testing.T) {
	clock := newLeadingClock()
	reached, disconnected := make(chan struct{}), make(chan struct{})
	f := newStoppableForwarder(t, clock, faultyCodec{}, func(conn net.Conn) {
		close(reached)
		staySilent(conn)
		close(disconnected)
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	replies := submitAt(ctx, t, f, "r1", clock.Now(), time.Minute)
	<-reached
	f.BeginStop(dispatcher.Stop{NoticeEnd: clock.Now().Add(time.Second), ExitDeadline: clock.Now().Add(2 * time.Second)})
	// An event after BeginStop is in force, so BeginStop is too.
	f.Configure(matcher.New(matcher.Configuration{Version: 2}))
	awaitVersion(f, 2)
	clock.Advance(1900 * time.Millisecond)
	assertFailure(ctx, t, replies, http.StatusGatewayTimeout)
	<-disconnected
}

// The final answer to a request, whose caller did not read the large answer that had
// begun, waited for room in its ring. The forwarder stood still meanwhile, and with it all
// other requests.
func TestFinalAnswerDoesNotWaitForCallerThatDoesNotRead(t *testing.T) {
	clock := newLeadingClock()
	f := newStoppableForwarder(t, clock, faultyCodec{}, func(conn net.Conn) {
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n")
		for err == nil {
			_, err = io.WriteString(conn, strings.Repeat("x", 4000))
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	unread := submitAt(t.Context(), t, f, "unread", clock.Now(), time.Minute)
	for unread.Stats().Depth < unread.Stats().Capacity {
		time.Sleep(time.Millisecond)
	}
	f.BeginStop(dispatcher.Stop{NoticeEnd: clock.Now().Add(time.Second), ExitDeadline: clock.Now().Add(2 * time.Second)})
	// An event after BeginStop is in force, so BeginStop is too.
	f.Configure(matcher.New(matcher.Configuration{Version: 2}))
	awaitVersion(f, 2)
	clock.Advance(1900 * time.Millisecond)
	select {
	case <-unread.Done():
	case <-ctx.Done():
		t.Fatal("the forwarder waits for the caller")
	}
	assertFailure(ctx, t, submitAt(ctx, t, f, "next", clock.Now(), time.Minute), http.StatusServiceUnavailable)
}

// blockingCodec blocks the goroutine of the forwarder in its first call of Encode until
// release is closed.
type blockingCodec struct {
	faultyCodec
	blocked chan struct{}
	release chan struct{}
}

func (c blockingCodec) Encode(j forwarder.Job, a dispatcher.Action, remaining time.Duration) *http.Request {
	select {
	case c.blocked <- struct{}{}:
		<-c.release
	case <-c.release:
	}
	return c.faultyCodec.Encode(j, a, remaining)
}

// Requests that waited in the ring of jobs when the forwarder stopped had no end.
func TestRequestsInRingEndAtStop(t *testing.T) {
	c := blockingCodec{blocked: make(chan struct{}), release: make(chan struct{})}
	f := newStoppableForwarder(t, timer.System{}, c, staySilent)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	submit(ctx, t, f, "r1", time.Minute)
	<-c.blocked
	replies := submit(ctx, t, f, "r2", time.Minute)
	go f.Stop()
	for f.Submit(ctx, forwarder.Job{Context: ctx, Replies: relayer.NewRing()}) {
		time.Sleep(time.Millisecond)
	}
	close(c.release)
	reply, ok := replies.Take(ctx)
	is := is.New(t)
	is.NoErr(ctx.Err())
	// The forwarder may have taken the job before it saw that it must stop.
	if ok {
		is.Equal(reply.Kind, relayer.KindFailed)
		is.Equal(reply.Failure.Status, http.StatusServiceUnavailable)
	}
}
