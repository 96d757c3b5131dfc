package carrier

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/prober"
	"magnoliafront.dev/magnoliafront/internal/request/relayer"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// bytesConn is a connection whose peer has sent bytes and ended the connection.
type bytesConn struct {
	net.Conn
	received io.Reader
}

func (c bytesConn) Read(b []byte) (int, error)     { return c.received.Read(b) }
func (bytesConn) SetReadDeadline(time.Time) error  { return nil }
func (bytesConn) SetWriteDeadline(time.Time) error { return nil }
func (bytesConn) SetDeadline(time.Time) error      { return nil }
func (bytesConn) Write(b []byte) (int, error)      { return len(b), nil }
func (bytesConn) Close() error                     { return nil }

func refuseDial(context.Context, string, string) (net.Conn, error) {
	return nil, syscall.ECONNREFUSED
}

// Any bytes of an upstream must end a call without a panic. The head of an answer must
// be relayed at most once, and nothing after its end.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), false)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nid: 1\n\n\n\r\n0\r\n\r\n"), true)
	f.Add([]byte("HTTP/1.1 503 Full\r\nRefused: 1\r\n\r\nx"), false)
	f.Fuzz(func(t *testing.T, answer []byte, stream bool) {
		r, replies := readAnswer(t, answer, func(c *Call) { c.Stream = stream })
		assertSequence(t, replies, r)
	})
}

// Whatever an upstream answers to the resumption of a stream, the caller must get only
// whole events behind the last one that it has, and an end only after an event.
func FuzzResumedAnswer(f *testing.F) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	f.Add([]byte(head + "\r\nid: 3\ndata:\n\n"))
	f.Add([]byte(head + "\r\nid: 3\ndata:\n\nid: 4\nda"))
	f.Add([]byte(head + "Content-Length: 0\r\n\r\n"))
	f.Add([]byte(head + "\r\ndata: failed\n\n"))
	f.Add([]byte("HTTP/1.1 500 Failed\r\nContent-Type: text/event-stream\r\n\r\nid: 3\ndata:\n\n"))
	f.Add([]byte("HTTP/1.1 404 Gone\r\nContent-Length: 4\r\n\r\n\n\n\n\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/html\r\n\r\nid: 3\n\nfailed\n\n"))
	f.Add([]byte("HTTP/1.1 503 Full\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, answer []byte) {
		r, replies := readAnswer(t, answer, resume)
		assertSequence(t, replies, r)
		assertContinuation(t, replies, r)
	})
}

// readAnswer returns the report and the replies of a call whose upstream sends the bytes
// of an answer and closes the connection.
func readAnswer(t *testing.T, answer []byte, change func(*Call)) (Report, []relayer.Reply) {
	t.Helper()
	return readAnswerFrom(t, bytes.NewReader(answer), change)
}

// readAnswerFrom is like readAnswer for an upstream whose bytes are read from a reader.
// Its error is that of the connection.
func readAnswerFrom(t *testing.T, received io.Reader, change func(*Call)) (Report, []relayer.Reply) {
	t.Helper()
	conn := &limitedConn{Conn: bytesConn{received: received}}
	c := &Conn{
		conn: conn, received: conn, reader: bufio.NewReaderSize(conn, readBufferBytes),
		confirmations: buffer.New[prober.Verdict, buffer.Reject]("confirmations", 1),
	}
	// The upstream accepts no other connection, and is there.
	c.options = Options{Clock: timer.System{}, Dial: refuseDial, Report: func(r Report) {
		if r.Unconfirmed {
			c.Confirm(prober.There)
		}
	}}
	head, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://desk.example/x", nil)
	is.New(t).NoErr(err)
	replies := relayer.NewRing()
	a := &attempt{start: time.Now(), firstReport: true, call: Call{
		Context: t.Context(), Head: head, Deadline: time.Now().Add(time.Hour), Replies: replies,
		Classify: func(r *http.Response) Verdict {
			if r.Header.Get("Refused") != "" {
				return VerdictRefused
			}
			return VerdictAccepted
		},
	}}
	change(&a.call)
	a.begun, a.splitter.lastID, a.lastEvent = a.call.Begun, a.call.LastEvent, a.call.LastEvent
	done := make(chan []relayer.Reply)
	go func() {
		var all []relayer.Reply
		for r, ok := replies.Take(t.Context()); ok; r, ok = replies.Take(t.Context()) {
			all = append(all, r)
		}
		done <- all
	}()
	r := c.roundTrip(a)
	replies.Close()
	return r, <-done
}

// assertContinuation checks that the replies to the resumption of a stream hold only whole
// events with newer IDs, and that an end follows at least one of them.
func assertContinuation(t *testing.T, replies []relayer.Reply, r Report) {
	t.Helper()
	is := is.New(t)
	is.True(r.Begun)
	var body []byte
	ended := false
	for _, reply := range replies {
		is.True(reply.Kind == relayer.KindBody || reply.Kind == relayer.KindEnd)
		body = append(body, reply.Bytes...)
		ended = ended || reply.Kind == relayer.KindEnd
	}
	s := splitter{lastID: "2"}
	whole, events, _ := s.split(body)
	is.Equal(string(whole)+string(s.partial), string(body))
	is.True(!hasContent(s.partial))
	is.True(!s.unnumbered)
	is.True(events > 0 || !ended)
}

// assertSequence checks that the replies to one call are at most one answer.
func assertSequence(t *testing.T, replies []relayer.Reply, r Report) {
	t.Helper()
	is := is.New(t)
	for i, reply := range replies {
		switch reply.Kind {
		case relayer.KindHead, relayer.KindComplete:
			is.Equal(i, 0)
		case relayer.KindEnd:
			is.Equal(i, len(replies)-1)
			is.Equal(r.Outcome, OutcomeAnswered)
		}
	}
}
