package emulator

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// Comment is the comment that [RunnerTrickles] sends in place of events.
	Comment = ":\n\n"
	// trickleInterval is the pause between two writes of [RunnerTrickles].
	trickleInterval = 50 * time.Millisecond
)

// writeEndless writes bytes that are no answer until the client closes the connection.
func (r *Runner) writeEndless(w http.ResponseWriter, req *http.Request, run *RunnerRequest, b RunnerBehaviour) {
	defer close(run.Cancelled)
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	filler := strings.Repeat("x", 1000)
	start, repeated, pause := "HTTP/1.1 200 OK\r\n", "X-Padding: "+filler+"\r\n", time.Duration(0)
	switch {
	case isStream(req) && b != RunnerEndlessHead:
		start, repeated, pause = r.endlessStream(run, b, filler)
	case b == RunnerTrickles:
		start, repeated, pause = "", "HTTP/1.1 100 Continue\r\n\r\n", trickleInterval
	}
	_, err = rw.WriteString(start)
	for err == nil {
		if _, err = rw.WriteString(repeated); err == nil {
			err = rw.Flush()
		}
		time.Sleep(pause)
	}
}

// endlessStream returns the first half of a stream, and what is repeated after it.
func (r *Runner) endlessStream(run *RunnerRequest, b RunnerBehaviour, filler string) (start, repeated string, pause time.Duration) {
	framing := "Transfer-Encoding: chunked\r\n"
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	if b == RunnerEndlessUnframed {
		framing, chunk = "", func(text string) string { return text }
	}
	start = fmt.Sprintf("HTTP/1.1 200 OK\r\nMagnoliafront-Request-Id: %s\r\nMagnoliafront-Response-Signature: %s\r\nContent-Type: text/event-stream\r\n%s\r\n",
		run.ID, r.signature(run), framing)
	for i := 1; i <= r.Events/2; i++ {
		start += chunk(Event(run.ID, i))
	}
	if b == RunnerTrickles {
		return start, chunk(Comment), trickleInterval
	}
	return start, chunk("data: " + filler), 0
}
