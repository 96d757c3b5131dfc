package carrier

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/request/relayer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// bytesConn is a connection whose peer has sent bytes and closed its side.
type bytesConn struct {
	net.Conn
	received *bytes.Reader
}

func (c bytesConn) Read(b []byte) (int, error)     { return c.received.Read(b) }
func (bytesConn) SetReadDeadline(time.Time) error  { return nil }
func (bytesConn) SetWriteDeadline(time.Time) error { return nil }
func (bytesConn) SetDeadline(time.Time) error      { return nil }
func (bytesConn) Write(b []byte) (int, error)      { return len(b), nil }

// Any bytes of an upstream must end a call without a panic. The head of an answer must
// be relayed at most once, and nothing after its end.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), false)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nid: 1\n\n\n\r\n0\r\n\r\n"), true)
	f.Add([]byte("HTTP/1.1 503 Full\r\nRefused: 1\r\n\r\nx"), false)
	f.Fuzz(func(t *testing.T, answer []byte, stream bool) {
		conn := &limitedConn{Conn: bytesConn{received: bytes.NewReader(answer)}}
		c := &Conn{options: Options{Clock: timer.System{}, Report: func(Report) {}}, conn: conn, received: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
		head, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://desk.example/x", nil)
		is.New(t).NoErr(err)
		replies := relayer.NewRing()
		a := &attempt{start: time.Now(), firstReport: true, call: Call{
			Context: t.Context(), Head: head, Deadline: time.Now().Add(time.Hour), Stream: stream, Replies: replies,
			Classify: func(r *http.Response) Verdict {
				if r.Header.Get("Refused") != "" {
					return VerdictRefused
				}
				return VerdictAccepted
			},
		}}
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
		assertSequence(t, <-done, r)
	})
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
