package soaker

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
)

// rawServer reads requests and has answer write the answers to the connection itself, byte
// for byte.
type rawServer struct {
	listener net.Listener
	// answer answers a request. It reports whether the connection can be used again.
	answer func(conn net.Conn, reader *bufio.Reader, req *http.Request) bool
	// maxConns is the number of open connections beyond which new ones are reset, without
	// a limit if it is zero.
	maxConns int
	serving  sync.WaitGroup
	mu       sync.Mutex
	// conns holds for each open connection whether a request is in progress.
	conns    map[net.Conn]bool
	draining bool
}

func newRawServer(l net.Listener, maxConns int, answer func(net.Conn, *bufio.Reader, *http.Request) bool) *rawServer {
	s := &rawServer{listener: l, answer: answer, maxConns: maxConns, conns: map[net.Conn]bool{}}
	s.serving.Go(s.accept)
	return s
}

// processIP returns a loopback address at which only this process listens. A port that
// another process on 127.0.0.1 has released may be assigned again while that one's
// clients still use it.
func processIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, pid&255)
}

func (s *rawServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		full := s.draining || s.maxConns > 0 && len(s.conns) >= s.maxConns
		if !full {
			s.conns[conn] = false
		}
		s.mu.Unlock()
		if full {
			reset(conn)
			continue
		}
		s.serving.Go(func() { s.serveConn(conn) })
	}
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// serveConn serves requests one after another until the connection ends.
func (s *rawServer) serveConn(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err == nil {
			_, err = io.Copy(io.Discard, req.Body)
		}
		if err != nil || !s.setBusy(conn, true) || !s.answer(conn, reader, req) || !s.setBusy(conn, false) {
			return
		}
	}
}

// setBusy sets whether a request is in progress on a connection. It reports false if the
// server closes its idle connections.
func (s *rawServer) setBusy(conn net.Conn, busy bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = busy
	return !s.draining
}

// stop closes all connections and waits for the end of all requests.
func (s *rawServer) stop() { s.close(func(bool) bool { return true }) }

// drain closes the listener and the idle connections, and waits for the end of the requests
// that are in progress.
func (s *rawServer) drain() { s.close(func(busy bool) bool { return !busy }) }

func (s *rawServer) close(closes func(busy bool) bool) {
	_ = s.listener.Close()
	s.mu.Lock()
	s.draining = true
	for c, busy := range s.conns {
		if closes(busy) {
			_ = c.Close()
		}
	}
	s.mu.Unlock()
	s.serving.Wait()
}

// newUpstreamRun returns the run of a request that has reached an upstream.
func newUpstreamRun(upstream string, conn net.Conn, req *http.Request) upstreamRun {
	return upstreamRun{
		id: req.Header.Get("Magnoliafront-Request-Id"), upstream: upstream, start: time.Now(),
		target: fmt.Sprintf("%s %s of %v", req.Method, req.RequestURI, conn.RemoteAddr()),
	}
}

// isMisdirected reports whether a request is meant for another upstream.
func isMisdirected(upstream string, req *http.Request) bool {
	expected := req.Header.Get("Magnoliafront-Expect-Instance")
	return expected != "" && expected != upstream
}

func refuseMisdirected(conn net.Conn, id string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nMagnoliafront-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	return err == nil
}

// newAnswerRandom returns a random source that depends on the seed, the upstream and the
// request alone.
func newAnswerRandom(seed uint64, upstream, id string) *rand.Rand {
	h := fnv.New64a()
	_, _ = io.WriteString(h, upstream+" "+id)
	return rand.New(rand.NewPCG(seed, h.Sum64()))
}

// framing is what marks the end of a body.
type framing int

const (
	framedByLength framing = iota
	framedByChunks
	framedByClose
	framingCount
)

// pause is a time without bytes before the byte at an offset.
type pause struct {
	offset   int
	duration time.Duration
	// resets is true if the connection is reset after the pause.
	resets bool
}

// timedAnswer is an answer with pauses.
type timedAnswer struct {
	text string
	// pauses are in the order of their offsets.
	pauses []pause
	// end is the first offset at which [silentAtEnd] falls silent.
	end int
	// closes is true if the end of the connection marks that of the body.
	closes bool
}

// newTimedAnswer returns the begin of an answer of an upstream to a request.
func newTimedAnswer(upstream, id string) timedAnswer {
	const head = "HTTP/1.1 200 OK\r\nMagnoliafront-Request-Id: %s\r\nMagnoliafront-Response-Signature: %s.%s\r\n"
	return timedAnswer{text: fmt.Sprintf(head, id, upstream, id)}
}

// newBody returns the body of an answer that is no stream.
func newBody(upstream, id string) string { return "answer of " + upstream + " to " + id + "\n" }

// firstEvent returns the number of the first event that a request asks for.
func firstEvent(req *http.Request) int {
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	return last + 1
}

// lastChunk ends a body in chunks.
const lastChunk = "0\r\n\r\n"

func newChunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// streamSize is the size of a stream.
type streamSize struct {
	// Events is the number of events.
	Events int
	// Padding is the number of bytes that each event has beyond those of an emulated runner.
	Padding int
}

// eventsFrom returns the events of the stream for a request from number first on.
func (s streamSize) eventsFrom(id string, first int) (events []string) {
	for i := first; i <= s.Events; i++ {
		e := emulator.Event(id, i)
		if s.Padding > 0 {
			e = strings.TrimSuffix(e, "\n") + "data: " + strings.Repeat("x", s.Padding) + "\n\n"
		}
		events = append(events, e)
	}
	return events
}

// addEvents adds events, each after a pause.
func (a *timedAnswer) addEvents(f framing, events []string, pauseBefore func() time.Duration) {
	a.text += "Content-Type: text/event-stream\r\n"
	a.addParts(f, events, pauseBefore)
}

// addParts adds the parts of the body, each after a pause unless pauseBefore is nil. In
// chunks, each part is one.
func (a *timedAnswer) addParts(f framing, parts []string, pauseBefore func() time.Duration) {
	switch f {
	case framedByLength:
		size := 0
		for _, p := range parts {
			size += len(p)
		}
		a.text += fmt.Sprintf("Content-Length: %d\r\n", size)
	case framedByChunks:
		a.text += "Transfer-Encoding: chunked\r\n"
	}
	a.text += "\r\n"
	for _, p := range parts {
		if pauseBefore != nil {
			a.pauses = append(a.pauses, pause{offset: len(a.text), duration: pauseBefore()})
		}
		if f == framedByChunks {
			p = newChunk(p)
		}
		a.text += p
	}
	switch f {
	case framedByLength:
		a.end = len(a.text) - 1
	case framedByChunks:
		a.end = len(a.text) - len("\r\n")
		a.text += lastChunk
	default:
		a.end = len(a.text)
		a.closes = true
	}
}

// write writes the answer. It reports false if the connection ended before.
func (a timedAnswer) write(conn net.Conn, reader *bufio.Reader) bool {
	written := 0
	for _, p := range a.pauses {
		if _, err := io.WriteString(conn, a.text[written:p.offset]); err != nil {
			return false
		}
		written = p.offset
		// The end of the connection ends the wait.
		_ = conn.SetReadDeadline(time.Now().Add(p.duration))
		if _, err := reader.Peek(1); !isTimeout(err) {
			return false
		}
		if p.resets {
			reset(conn)
			return false
		}
	}
	_ = conn.SetReadDeadline(time.Time{})
	_, err := io.WriteString(conn, a.text[written:])
	return err == nil
}
