package soaker

import (
	"bufio"
	"cmp"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
)

const (
	// silentStreamKind is the kind of the requests that are answered with streams.
	silentStreamKind = "stream/chat"
	// silentStreamEvents is the number of events in a stream of a silent upstream.
	silentStreamEvents = 6
	// maxAnswerDelay is the maximum time before an answer, and maxEventPause that before
	// an event.
	maxAnswerDelay = 200 * time.Millisecond
	maxEventPause  = 10 * time.Millisecond
	// One answer in silentEvery is interrupted for minSilence to maxSilence.
	silentEvery = 5
	minSilence  = 800 * time.Millisecond
	maxSilence  = 2500 * time.Millisecond
)

// silencePlace is where an upstream is silent within an answer.
type silencePlace int

const (
	// silentAnywhere means at any byte, the first included.
	silentAnywhere silencePlace = iota
	// silentAtEnd means after the last event or the last chunk, before the end of the
	// framing. In an answer with a length it means before the last byte.
	silentAtEnd
)

// upstreamRun is the work of an upstream on one request. The target names the method, the
// path and the address of the sender.
type upstreamRun struct {
	id, target, upstream string
	start, end           time.Time
	// whole is true if the answer was written to its end.
	whole bool
}

// silentUpstream is a sound upstream that falls silent within some of its answers and
// then goes on. It writes its answers to the socket itself, byte for byte.
type silentUpstream struct {
	id       string
	seed     uint64
	place    silencePlace
	listener net.Listener
	serving  sync.WaitGroup
	mu       sync.Mutex
	conns    []net.Conn
	runs     []upstreamRun
}

func newSilentUpstream(t *testing.T, id string, seed uint64, place silencePlace) *silentUpstream {
	t.Helper()
	l, err := net.Listen("tcp", processIP()+":0")
	is.New(t).NoErr(err)
	u := &silentUpstream{id: id, seed: seed, place: place, listener: l}
	u.serving.Go(u.accept)
	t.Cleanup(u.stop)
	return u
}

// processIP returns a loopback address at which only this process listens. A port that
// another process on 127.0.0.1 has released may be assigned again while that one's
// clients still use it.
func processIP() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, pid&255)
}

func (u *silentUpstream) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns = append(u.conns, conn)
		u.mu.Unlock()
		u.serving.Go(func() { u.serveConn(conn) })
	}
}

// stop closes all connections and waits for the end of all runs.
func (u *silentUpstream) stop() {
	_ = u.listener.Close()
	u.mu.Lock()
	for _, c := range u.conns {
		_ = c.Close()
	}
	u.mu.Unlock()
	u.serving.Wait()
}

// storeSpec returns the spec of the object that registers the upstream in the store.
func (u *silentUpstream) storeSpec() map[string]any {
	return map[string]any{
		"service": "desk", "address": u.listener.Addr().String(), "zone": "z", "version": "v1", "slots": 64,
		"state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": 1,
	}
}

// serveConn serves requests one after another until the connection ends.
func (u *silentUpstream) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err == nil {
			_, err = io.Copy(io.Discard, req.Body)
		}
		if err != nil || !u.serve(conn, reader, req) {
			return
		}
	}
}

// serve answers a request. It reports whether the connection can be used again.
func (u *silentUpstream) serve(conn net.Conn, reader *bufio.Reader, req *http.Request) bool {
	run := upstreamRun{id: req.Header.Get("Magnoliafront-Request-Id"), upstream: u.id, start: time.Now()}
	run.target = fmt.Sprintf("%s %s of %v", req.Method, req.RequestURI, conn.RemoteAddr())
	if expected := req.Header.Get("Magnoliafront-Expect-Instance"); expected != "" && expected != u.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nMagnoliafront-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", run.id)
		return err == nil
	}
	a := u.newAnswer(req, run.id)
	run.whole = a.write(conn, reader)
	run.end = time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs = append(u.runs, run)
	return run.whole && !a.closes
}

// pause is a time without bytes before the byte at an offset.
type pause struct {
	offset   int
	duration time.Duration
}

// silentAnswer is an answer of a [silentUpstream].
type silentAnswer struct {
	text   string
	pauses []pause
	// end is the first offset at which [silentAtEnd] falls silent.
	end int
	// closes is true if the end of the connection marks that of the body.
	closes bool
}

// lastChunk ends a body in chunks.
const lastChunk = "0\r\n\r\n"

func newChunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// newAnswer returns the answer to a request. What is random in it depends on the seed, the
// upstream and the request alone.
func (u *silentUpstream) newAnswer(req *http.Request, id string) silentAnswer {
	h := fnv.New64a()
	_, _ = io.WriteString(h, u.id+" "+id)
	random := rand.New(rand.NewPCG(u.seed, h.Sum64()))
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nMagnoliafront-Request-Id: %s\r\nMagnoliafront-Response-Signature: %s.%s\r\n", id, u.id, id)
	a := silentAnswer{text: head, pauses: []pause{{0, upTo(maxAnswerDelay)}}}
	if strings.HasPrefix(req.URL.Path, "/"+silentStreamKind+"/") {
		last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
		a.addEvents(id, last+1, upTo)
	} else {
		a.addBody("answer of "+u.id+" to "+id+"\n", random)
	}
	if random.IntN(silentEvery) == 0 {
		offset := random.IntN(len(a.text))
		if u.place == silentAtEnd {
			offset = a.end + random.IntN(max(1, len(a.text)-a.end))
		}
		a.pauses = append(a.pauses, pause{offset, minSilence + upTo(maxSilence-minSilence)})
	}
	slices.SortStableFunc(a.pauses, func(x, y pause) int { return cmp.Compare(x.offset, y.offset) })
	return a
}

// addEvents adds the events from first on, each as a chunk.
func (a *silentAnswer) addEvents(id string, first int, upTo func(time.Duration) time.Duration) {
	a.text += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for i := first; i <= silentStreamEvents; i++ {
		a.pauses = append(a.pauses, pause{len(a.text), upTo(maxEventPause)})
		a.text += newChunk(emulator.Event(id, i))
	}
	a.end = len(a.text) - len("\r\n")
	a.text += lastChunk
}

// addBody adds a body with a length, in chunks, or up to the end of the connection.
func (a *silentAnswer) addBody(body string, random *rand.Rand) {
	switch random.IntN(3) {
	case 0:
		a.text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
		a.end = len(a.text) - 1
	case 1:
		split := 1 + random.IntN(len(body)-1)
		a.text += "Transfer-Encoding: chunked\r\n\r\n" + newChunk(body[:split]) + newChunk(body[split:])
		a.end = len(a.text) - len("\r\n")
		a.text += lastChunk
	default:
		a.text += "\r\n" + body
		a.closes, a.end = true, len(a.text)
	}
}

// write writes the answer. It reports false if the connection ended before.
func (a silentAnswer) write(conn net.Conn, reader *bufio.Reader) bool {
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
	}
	_ = conn.SetReadDeadline(time.Time{})
	_, err := io.WriteString(conn, a.text[written:])
	return err == nil
}
