package forwarder_test

import (
	"context"
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

// newSilentForwarder returns a forwarder with two upstreams that never answer.
func newSilentForwarder(t *testing.T) *forwarder.Forwarder {
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
		Name: "chat", Host: "h", PathPrefix: "/", Public: true, Kind: matcher.Streaming, Resumable: true, MaxAttempts: 2, Timeout: time.Minute,
		WeightedServices: []matcher.WeightedService{{Service: "desk", Weight: 1}},
	}}, Services: []matcher.Service{{Name: "desk"}}}))
	for f.State().Table == nil {
		time.Sleep(time.Millisecond)
	}
	return f
}

// A request whose suspended attempt reached its deadline before the other one was
// resumed without an attempt, and its caller got neither an answer nor a refusal.
func TestRequestOnSilentUpstreamsEndsAtDeadline(t *testing.T) {
	f := newSilentForwarder(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var all []*relayer.Ring
	for i := range 20 {
		id := string(rune('a' + i))
		replies := relayer.NewRing()
		now := time.Now()
		is.New(t).True(f.Submit(ctx, forwarder.Job{Request: dispatcher.Request{
			// The deadline is just after the idle timeout of 1.2 s.
			ID: id, Received: now, Deadline: now.Add(1250 * time.Millisecond), Query: matcher.Query{Host: "h", Path: "/x", RequestID: id},
		}, Context: ctx, Replies: replies}))
		all = append(all, replies)
	}
	for _, replies := range all {
		reply, ok := replies.Take(ctx)
		is := is.New(t)
		is.True(ok)
		is.Equal(reply.Kind, relayer.KindFailed)
	}
}
