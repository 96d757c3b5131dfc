package emulator

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// respond waits for Release and answers according to b.
func (r *Runner) respond(w http.ResponseWriter, req *http.Request, run *RunnerRequest, b RunnerBehaviour) {
	if r.Release != nil {
		select {
		case <-r.Release:
		case <-req.Context().Done():
			close(run.Cancelled)
			return
		}
	}
	if b == RunnerAnswers && r.PoisonPart != "" && holdsSharedPart(req.Header.Get("Magnoliafront-Prompt-Prefix"), r.PoisonPart) {
		// The requests in flight lose their connections and later ones are refused,
		// as after the end of a process.
		_ = r.server.Close()
		return
	}
	switch b {
	case RunnerRefuses, RunnerRefusesBeforeBody:
		w.Header().Set("Magnoliafront-Not-Executed", "1")
		if after := r.retryAfter.Load(); after != nil {
			w.Header().Set("Retry-After", *after)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	case RunnerFails:
		w.Header().Set("Magnoliafront-Response-Signature", r.signature(run))
		w.WriteHeader(http.StatusInternalServerError)
	case RunnerResets:
		resetConnection(w)
	case RunnerSilent:
		<-req.Context().Done()
		close(run.Cancelled)
	case RunnerResetsMidBody, RunnerOmitsLength, RunnerAppendsForeign, RunnerPrependsForeign, RunnerGarbles,
		RunnerRepeatsRefusal, RunnerRepeatsUnnamedRefusal:
		r.writeRaw(w, run, b)
	case RunnerEndlessHead, RunnerEndlessEvent, RunnerTrickles, RunnerEndlessUnframed:
		r.writeEndless(w, req, run, b)
	default:
		if b != RunnerUnsigned {
			w.Header().Set("Magnoliafront-Response-Signature", r.signature(run))
		}
		r.writeAnswer(w, req, run, b)
	}
}

// holdsSharedPart reports whether a list of prompt parts has an entry with the ID, not
// as its last one.
func holdsSharedPart(list, id string) bool {
	entries := strings.Split(list, ",")
	return slices.ContainsFunc(entries[:len(entries)-1], func(e string) bool { return strings.HasPrefix(e, id+":") })
}

// signature identifies an answer as the one of this runner to this request.
func (r *Runner) signature(run *RunnerRequest) string { return r.ID + "." + run.ID }

// body returns the body of a response that isn't streamed.
func (r *Runner) body(run *RunnerRequest) string { return "answer of " + r.ID + " to " + run.ID + "\n" }

// writeAnswer writes the body, or the stream of events after the one that
// Last-Event-Id names.
func (r *Runner) writeAnswer(w http.ResponseWriter, req *http.Request, run *RunnerRequest, b RunnerBehaviour) {
	if !isStream(req) {
		if b == RunnerPauses && !r.pause(req, run) {
			return
		}
		_, _ = io.WriteString(w, r.body(run))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	first := 1
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	if b == RunnerAbortsShortStream {
		length := 0
		for i := first; i <= r.Events/2+1; i++ {
			length += len(Event(run.ID, i))
		}
		w.Header().Set("Content-Length", strconv.Itoa(length))
	}
	for i := first; i <= r.Events; i++ {
		if (b == RunnerAbortsStream || b == RunnerAbortsShortStream) && i > r.Events/2 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i)
			_ = flusher.Flush()
			panic(http.ErrAbortHandler)
		}
		if b == RunnerPauses && i == r.Events/2+1 && !r.pause(req, run) {
			return
		}
		_, _ = io.WriteString(w, Event(run.ID, i))
		_ = flusher.Flush()
		select {
		case <-time.After(r.EventInterval):
		case <-req.Context().Done():
			close(run.Cancelled)
			return
		}
	}
}

// pause waits for Continue. It reports false if the connection has ended.
func (r *Runner) pause(req *http.Request, run *RunnerRequest) bool {
	select {
	case <-r.Continue:
		return true
	case <-req.Context().Done():
		close(run.Cancelled)
		return false
	}
}

// Event returns event i, from one, of the stream that answers the request id.
func Event(id string, i int) string { return fmt.Sprintf("id: %d\ndata: %s/%d\n\n", i, id, i) }

func isStream(req *http.Request) bool {
	return len(req.URL.Path) > 8 && req.URL.Path[:8] == "/stream/"
}

// writeRaw writes responses that net/http can't produce.
func (r *Runner) writeRaw(w http.ResponseWriter, run *RunnerRequest, b RunnerBehaviour) {
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	draining := ""
	if r.draining.Load() {
		draining = "Server-Leaving: 1\r\n"
	}
	withLength := func(id string) string {
		body := r.body(run)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nMagnoliafront-Request-Id: %s\r\n%sMagnoliafront-Response-Signature: %s\r\nContent-Length: %d\r\n\r\n%s",
			id, draining, r.signature(run), len(body), body)
	}
	withoutLength := fmt.Sprintf("HTTP/1.1 200 OK\r\nMagnoliafront-Request-Id: %s\r\n%sMagnoliafront-Response-Signature: %s\r\n\r\n%s",
		run.ID, draining, r.signature(run), r.body(run))
	switch b {
	case RunnerOmitsLength:
		send(rw, withoutLength)
	case RunnerResetsMidBody:
		send(rw, withoutLength)
		if tcp, ok := conn.(*net.TCPConn); ok {
			// A reset discards unread bytes, so it waits until the client has
			// received them.
			time.Sleep(20 * time.Millisecond)
			_ = tcp.SetLinger(0)
		}
	case RunnerAppendsForeign:
		send(rw, withLength(run.ID)+withLength("another"))
	case RunnerPrependsForeign:
		send(rw, withLength("another")+withLength(run.ID))
	case RunnerRepeatsRefusal:
		send(rw, fmt.Sprintf(refusal, "Magnoliafront-Request-Id: another\r\n")+withLength(run.ID))
	case RunnerRepeatsUnnamedRefusal:
		send(rw, fmt.Sprintf(refusal, "")+withLength(run.ID))
	case RunnerGarbles:
		send(rw, "\x16\x03\x01\x00*\x02\r\n\r\n")
	}
}

// refusal is the format of a refusal with a further header.
const refusal = "HTTP/1.1 503 Service Unavailable\r\n%sMagnoliafront-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

func send(rw *bufio.ReadWriter, text string) {
	_, _ = rw.WriteString(text)
	_ = rw.Flush()
}
