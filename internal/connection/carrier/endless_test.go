package carrier

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/prober"
	"magnoliafront.dev/magnoliafront/internal/request/relayer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// rawUpstream is an upstream that writes the given bytes to each connection after the
// head of a request, then repeats others until the connection is closed.
type rawUpstream struct {
	address string
	// closed receives the number of bytes written to a connection once it is closed.
	closed chan int
	// ready receives a value when a contested call has a part of its response.
	ready chan struct{}
	// closes is true if the upstream closes a connection after its response.
	closes bool
	// clock is the clock of the calls, or nil for that of the system.
	clock timer.Clock
	// dial connects to the upstream; see [Options].
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

func newRawUpstream(t *testing.T, once, repeated string, pause time.Duration) *rawUpstream {
	t.Helper()
	u := &rawUpstream{closed: make(chan int, 8), ready: make(chan struct{}, 8)}
	u.start(t, once, repeated, pause)
	return u
}

// newClosingUpstream returns an upstream that closes each connection after response.
func newClosingUpstream(t *testing.T, response string) *rawUpstream {
	t.Helper()
	u := &rawUpstream{closed: make(chan int, 8), closes: true}
	u.start(t, response, "", 0)
	return u
}

func (u *rawUpstream) start(t *testing.T, once, repeated string, pause time.Duration) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	u.address = l.Addr().String()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(conn, once, repeated, pause)
		}
	}()
}

func (u *rawUpstream) serve(conn net.Conn, once, repeated string, pause time.Duration) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	total, err := io.WriteString(conn, once)
	for err == nil && repeated != "" {
		n := 0
		n, err = io.WriteString(conn, repeated)
		total += n
		time.Sleep(pause)
	}
	if err == nil && !u.closes {
		// The upstream keeps the connection open until the other side closes it.
		_, _ = io.Copy(io.Discard, conn)
	}
	u.closed <- total
}

// call sends a request to the upstream and returns the report of its end, or that the
// upstream is silent, and the replies.
func (u *rawUpstream) call(t *testing.T, change func(*Call)) (Report, []relayer.Reply) {
	t.Helper()
	var all []relayer.Reply
	r := u.callAndTake(t, change, func(r relayer.Reply) { all = append(all, r) })
	return r, all
}

// callAndTake sends a request to the upstream and returns the last report. The replies
// are passed to take.
func (u *rawUpstream) callAndTake(t *testing.T, change func(*Call), take func(relayer.Reply)) Report {
	t.Helper()
	reports := make(chan Report, 1)
	c := New(Options{Address: u.address, Clock: cmp.Or[timer.Clock](u.clock, timer.System{}), Dial: u.dial, Report: func(r Report) {
		if r.Ready {
			u.ready <- struct{}{}
		}
		if r.Unconfirmed {
			r.Conn.Confirm(prober.Gone)
		}
		if r.Ended || r.Silent {
			select {
			case reports <- r:
			default:
				// The caller has taken an earlier report of a silence.
			}
		}
	}})
	defer c.Close()
	head, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://desk.example/hold/1", nil)
	is.New(t).NoErr(err)
	call := Call{
		Request: "r1", Attempt: 1, Context: t.Context(), Head: head, DialTimeout: time.Minute, Deadline: time.Now().Add(time.Hour),
		Classify: func(r *http.Response) Verdict {
			if r.Header.Get("Refused") != "" {
				return VerdictRefused
			}
			return VerdictAccepted
		},
		Replies: relayer.NewRing(),
	}
	if change != nil {
		change(&call)
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			r, ok := call.Replies.Take(ctx)
			if !ok {
				return
			}
			take(r)
		}
	}()
	c.Send(call)
	r := <-reports
	stop()
	<-done
	for reply, ok := call.Replies.TryTake(); ok; reply, ok = call.Replies.TryTake() {
		take(reply)
	}
	return r
}

// assertLost checks that a call ended as lost, with no part of an answer relayed, and
// that its connection was closed.
func assertLost(t *testing.T, u *rawUpstream, r Report, replies []relayer.Reply) {
	t.Helper()
	is := is.New(t)
	is.Equal(r.Outcome, OutcomeLost)
	is.True(!r.Reusable)
	is.True(!r.ClosedByPeer)
	is.Equal(len(replies), 0)
	<-u.closed
}

// Bytes without end where the head of an answer is due were read into memory until the
// deadline of the request.
func TestEndlessHeadEndsCall(t *testing.T) {
	for _, c := range []struct{ name, once, repeated string }{
		{"header lines", "HTTP/1.1 200 OK\r\n", "X: " + strings.Repeat("x", 1000) + "\r\n"},
		{"one header line", "HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 1000)},
		{"status line", "HTTP/1.1 200 ", strings.Repeat("x", 1000)},
		{"spaces before the status line", "", strings.Repeat(" ", 1000)},
		{"informational answers", "", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 40)},
		{"continued header line", "HTTP/1.1 200 OK\r\nX: a\r\n", " " + strings.Repeat("x", 1000) + "\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := newRawUpstream(t, c.once, c.repeated, 0)
			r, replies := u.call(t, nil)
			assertLost(t, u, r, replies)
		})
	}
}

// A body without end where a short answer is due must not be collected in memory, and
// its connection must not carry another request.
func TestEndlessBodyIsNotBuffered(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	filler := strings.Repeat("x", 1000)
	t.Run("chunk extensions", func(t *testing.T) {
		u := newRawUpstream(t, head+"\r\n1;a=", filler, 0)
		r, replies := u.call(t, nil)
		assertLost(t, u, r, replies)
	})
	t.Run("trailers", func(t *testing.T) {
		u := newRawUpstream(t, head+"\r\n1\r\nx\r\n0\r\n", "X: "+filler+"\r\n", 0)
		r, replies := u.call(t, nil)
		assertLost(t, u, r, replies)
	})
	t.Run("body of a refusal", func(t *testing.T) {
		u := newRawUpstream(t, "HTTP/1.1 503 Full\r\nRefused: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n"+filler+"\r\n", 0)
		r, replies := u.call(t, nil)
		is := is.New(t)
		is.Equal(r.Outcome, OutcomeRefused)
		is.True(!r.Reusable)
		is.Equal(len(replies), 0)
		<-u.closed
	})
	t.Run("bytes after the stated length", func(t *testing.T) {
		u := newRawUpstream(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", filler, 0)
		r, replies := u.call(t, nil)
		is := is.New(t)
		is.Equal(r.Outcome, OutcomeAnswered)
		is.Equal(string(replies[0].Bytes), "ok")
	})
	t.Run("event without an end", func(t *testing.T) {
		u := newRawUpstream(t, head+"\r\n", "3e8\r\n"+filler+"\r\n", 0)
		r, replies := u.call(t, func(c *Call) { c.Stream = true })
		assertLost(t, u, r, replies)
	})
}

// maxEndlessHeap is the heap that may be used besides while many answers never end. The
// smallest entries have 160 MB, of which an idle process uses 31 MB.
const maxEndlessHeap = 96 << 20

// Many answers without end at once must not use up the memory of the process. Bodies
// and events of up to 1 MB were buffered, 400 MB for 200 of them, and each byte of an
// event was copied with all those before it.
func TestManyEndlessAnswersUseBoundedMemory(t *testing.T) {
	const calls = 200
	filler := strings.Repeat("x", 1000)
	chunk := "3e8\r\n" + filler + "\r\n"
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name, once, repeated string
		stream               bool
	}{
		{"head", "HTTP/1.1 200 OK\r\nX: ", filler, false},
		{"body", head, chunk, false},
		{"event", head, chunk, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := newRawUpstream(t, c.once, c.repeated, time.Millisecond)
			u.closed = make(chan int, calls)
			peak := measurePeakHeap(t, func() {
				var wg sync.WaitGroup
				for range calls {
					wg.Go(func() {
						u.callAndTake(t, func(x *Call) { x.Stream, x.Deadline = c.stream, time.Now().Add(2*time.Second) }, func(relayer.Reply) {})
					})
				}
				wg.Wait()
			})
			is.New(t).True(peak < maxEndlessHeap)
		})
	}
}

// measurePeakHeap runs f and returns the largest heap seen meanwhile, less the one
// before.
func measurePeakHeap(t *testing.T, f func()) uint64 {
	t.Helper()
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapInuse
	}
	runtime.GC()
	before, peak := heap(), uint64(0)
	ended, sampled := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sampled)
		for {
			peak = max(peak, heap())
			select {
			case <-ended:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	f()
	close(ended)
	<-sampled
	t.Logf("peak of the heap: %d MB", (peak-min(peak, before))>>20)
	return peak - min(peak, before)
}

// A refusal of exactly the size up to which bodies are read left the rest of it on a
// connection that was used again.
func TestRefusalLargerThanLimitClosesConnection(t *testing.T) {
	for _, c := range []struct {
		size     int
		reusable bool
	}{{10, true}, {maxBufferedBytes, true}, {maxBufferedBytes + 1, false}, {maxBufferedBytes + 5000, false}} {
		t.Run(fmt.Sprint(c.size, " bytes"), func(t *testing.T) {
			u := newRawUpstream(t, fmt.Sprintf("HTTP/1.1 503 Full\r\nRefused: 1\r\nContent-Length: %d\r\n\r\n%s", c.size, strings.Repeat("x", c.size)), "", 0)
			r, _ := u.call(t, nil)
			is := is.New(t)
			is.Equal(r.Outcome, OutcomeRefused)
			is.Equal(r.Reusable, c.reusable)
		})
	}
}

// A stream that stalls but sends a byte now and then must be reported as silent after
// the idle timeout, every byte used to start it again, and must end when it is given
// up.
func TestStalledStreamIsSilentAfterIdleTimeout(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	const event = "d\r\nid: 1\ndata:\n\n\r\n"
	for _, c := range []struct{ name, once, repeated string }{
		{"before the head", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"bytes of an event without an end", head + event, "1\r\nx\r\n"},
		{"comments", head + event, "3\r\n:\n\n\r\n"},
		{"empty lines", head + event, "2\r\n\n\n\r\n"},
		{"the same event again", head + event, event},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := newRawUpstream(t, c.once, c.repeated, 10*time.Millisecond)
			ctx, cancel := context.WithCancel(t.Context())
			r, _ := u.call(t, func(call *Call) { call.Context, call.Stream, call.IdleTimeout = ctx, true, 300*time.Millisecond })
			is := is.New(t)
			is.True(r.Silent)
			is.True(!r.Ended)
			cancel()
			<-u.closed
		})
	}
}

// A call that ends while it is contested must relay nothing more unless it is permitted:
// the bytes that its last read had received before the silence came after those of the
// next attempt, and the caller got events twice.
func TestContestedCallRelaysNothing(t *testing.T) {
	const part = "20\r\nid: 1\ndata:\n\nid"
	for _, c := range []struct {
		name     string
		deadline time.Duration
	}{{"when it is abandoned", time.Hour}, {"when it expires", 600 * time.Millisecond}} {
		t.Run(c.name, func(t *testing.T) {
			u := newRawUpstream(t, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"+part, "", 0)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var ring *relayer.Ring
			r, replies := u.call(t, func(call *Call) {
				call.Context, call.Stream, call.IdleTimeout = ctx, true, 300*time.Millisecond
				call.Deadline, ring = time.Now().Add(c.deadline), call.Replies
			})
			is := is.New(t)
			is.True(r.Silent)
			is.Equal(len(replies), 0)
			if c.deadline != time.Hour {
				<-u.ready
			}
			cancel()
			<-u.closed
			_, relayed := ring.TryTake()
			is.True(!relayed)
		})
	}
}

// A panic while an answer is handled ended the process. It must end the call only, as
// one that may have run.
func TestPanicEndsCallAsLost(t *testing.T) {
	u := newRawUpstream(t, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "", 0)
	r, replies := u.call(t, func(c *Call) { c.Classify = func(*http.Response) Verdict { panic("fault") } })
	assertLost(t, u, r, replies)
}
