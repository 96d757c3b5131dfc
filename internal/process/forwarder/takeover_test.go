package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/forwarder"
	"magnoliafront.dev/magnoliafront/internal/request/relayer"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

const (
	streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	streamEnd  = "0\r\n\r\n"
	callAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
)

// chunk returns a chunk that holds the event with the given ID.
func chunk(id int) string {
	e := fmt.Sprintf("id: %d\ndata: x\n\n", id)
	return fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
}

// takeover serves a request whose first upstream is silent for a while and then goes on.
// The second upstream is asked meanwhile and does what other says. Either of them goes on
// once the forwarder has closed the connection to one of them.
type takeover struct {
	// part is what the first upstream sends before the silence, and rest what it sends
	// after it.
	part, rest string
	other      func(net.Conn)
	served     atomic.Int64
	// closed is closed once the forwarder has closed one of the connections.
	closed chan struct{}
	once   sync.Once
}

// serve handles one connection.
func (o *takeover) serve(conn net.Conn) {
	number := o.served.Add(1)
	if number == 1 {
		_, _ = io.WriteString(conn, o.part)
	}
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		staySilent(conn)
	}()
	select {
	case <-gone:
		o.once.Do(func() { close(o.closed) })
	case <-o.closed:
		o.finish(conn, number)
		<-gone
	}
}

func (o *takeover) finish(conn net.Conn, number int64) {
	if number == 1 {
		_, _ = io.WriteString(conn, o.rest)
		return
	}
	o.other(conn)
}

// answerOf returns the bytes of the body that the caller of a request gets, and whether the
// answer is complete and a success.
func answerOf(ctx context.Context, t *testing.T, f *forwarder.Forwarder) (body string, complete bool) {
	t.Helper()
	replies := submit(ctx, t, f, "r1", time.Minute)
	for {
		r, ok := replies.Take(ctx)
		if !ok {
			return body, false
		}
		body += string(r.Bytes)
		switch r.Kind {
		case relayer.KindComplete, relayer.KindEnd:
			return body, true
		case relayer.KindFailed:
			return body, false
		}
	}
}

// The attempt at a sound upstream that was silent for a second was given up 0.1 to 0.3 s
// after the request was sent to another one, whatever that one had shown. If the other
// then brought nothing, the caller lost an answer that the first would have completed.
func TestSilentAttemptIsKeptUntilAnotherHasPartOfItsAnswer(t *testing.T) {
	others := map[string]func(net.Conn){
		"fails":        func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n") },
		"breaks off":   func(conn net.Conn) { _ = conn.Close() },
		"is silent":    func(net.Conn) {},
		"answers late": func(conn net.Conn) { _, _ = io.WriteString(conn, streamHead+chunk(1)+chunk(2)+streamEnd) },
	}
	events := chunk(1) + chunk(2)
	for _, c := range []struct {
		name, part, rest string
		kind             matcher.RouteKind
		body             string
	}{
		{"stream before its head", "", streamHead + events + streamEnd, matcher.Streaming, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"},
		{"stream between two events", streamHead + chunk(1), chunk(2) + streamEnd, matcher.Streaming, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"},
		{"stream after its last event", streamHead + events, streamEnd, matcher.Streaming, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"},
		{"call", "", callAnswer, matcher.Idempotent, "ok"},
		{"call within its answer", callAnswer[:len(callAnswer)-1], "k", matcher.Idempotent, "ok"},
	} {
		for name, other := range others {
			t.Run(c.name+", the other "+name, func(t *testing.T) {
				o := &takeover{part: c.part, rest: c.rest, other: other, closed: make(chan struct{})}
				f := newSilentForwarder(t, c.kind, 3, o.serve)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				assertWhole(ctx, t, f, c.body)
			})
		}
	}
}

// assertWhole checks that the caller of a request gets the whole of body.
func assertWhole(ctx context.Context, t *testing.T, f *forwarder.Forwarder, body string) {
	t.Helper()
	is := is.New(t)
	got, complete := answerOf(ctx, t, f)
	is.NoErr(ctx.Err())
	is.True(complete)
	is.Equal(strings.ReplaceAll(got, "\r", ""), body)
}
