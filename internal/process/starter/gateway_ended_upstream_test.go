package starter

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// mortalUpstream answers each request with an answer that ends with its connection. After
// the first part of it, it waits until it goes on.
type mortalUpstream struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
	// begun gets a value when the first part of an answer was written, and each value of
	// goOn lets one answer end.
	begun chan struct{}
	goOn  chan struct{}
}

// startMortalUpstream registers an upstream.
func (r *gatewayFixture) startMortalUpstream(name string) *mortalUpstream {
	r.t.Helper()
	l, err := net.Listen("tcp", freeAddress(r.t))
	is.New(r.t).NoErr(err)
	u := &mortalUpstream{listener: l, begun: make(chan struct{}, 8), goOn: make(chan struct{}, 8)}
	r.t.Cleanup(u.end)
	go u.serve(l)
	r.store.Put("servers", name, map[string]any{
		"service": "desk", "address": l.Addr().String(), "zone": "z", "version": "v1", "slots": 8,
		"state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": 1,
	})
	return u
}

func (u *mortalUpstream) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns = append(u.conns, conn)
		u.mu.Unlock()
		go u.answer(conn)
	}
}

func (u *mortalUpstream) answer(conn net.Conn) {
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	id := req.Header.Get("Magnoliafront-Request-Id")
	text := cutAnswer(req, framingUnframed)
	cut := strings.Index(text, "id: 2")
	if cut < 0 {
		cut = strings.Index(text, id+"\n")
	}
	_, _ = io.WriteString(conn, text[:cut])
	u.begun <- struct{}{}
	<-u.goOn
	_, _ = io.WriteString(conn, text[cut:])
	_ = conn.Close()
}

// stopListening is the beginning of a planned stop.
func (u *mortalUpstream) stopListening() { _ = u.listener.Close() }

// end closes the sockets as a kernel does when the process ends.
func (u *mortalUpstream) end() {
	u.stopListening()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		_ = c.Close()
	}
}

// endBesideSilence closes the sockets as a kernel does when the process ends, but the end of
// the connections after the first is not seen before a time: they have fallen silent.
func (u *mortalUpstream) endBesideSilence(silence time.Duration) {
	u.stopListening()
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = u.conns[0].Close()
	time.Sleep(silence)
	for _, c := range u.conns[1:] {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// beginCall sends a request with the protocol and returns a channel with its answer.
func (g *gateway) beginCall(path, protocol string) <-chan answer {
	done := make(chan answer, 1)
	go func() { done <- g.callRaw(path, protocol) }()
	return done
}

func (g *gateway) callRaw(path, protocol string) answer {
	conn, err := net.Dial("tcp", g.callerAddress)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s %s\r\nHost: desk.example\r\nAuthorization: Bearer key\r\nMagnoliafront-Request-Id: %s\r\n"+
		"Magnoliafront-Deadline-Ms: 10000\r\nContent-Length: 0\r\n\r\n", path, protocol, mortalID(path))
	if err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return answer{err: err}
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

// mortalID returns the identity of the request for a path.
func mortalID(path string) string { return "r" + strings.ReplaceAll(path, "/", "-") }

func assertWhole(t *testing.T, a answer, path string) {
	t.Helper()
	is := is.New(t)
	is.NoErr(a.err)
	is.Equal(a.status, http.StatusOK)
	is.Equal(a.body, cutBody(path, mortalID(path), ""))
}

// assertNotWhole checks that an answer is cut off or a failure of the entry.
func assertNotWhole(t *testing.T, a answer) {
	t.Helper()
	is.New(t).True(a.err != nil || a.status == http.StatusBadGateway)
}

// forEachProtocol runs f with a fresh entry and upstreams for each protocol of callers.
func forEachProtocol(t *testing.T, upstreams int, f func(t *testing.T, g *gateway, u []*mortalUpstream, protocol string)) {
	for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
		t.Run(protocol, func(t *testing.T) {
			r := newGatewayFixture(t, 0)
			var all []*mortalUpstream
			for i := range upstreams {
				all = append(all, r.startMortalUpstream(fmt.Sprint("i-", i)))
			}
			f(t, r.startReadyEntry(), all, protocol)
		})
	}
}

// awaitBegun returns the upstream that has begun an answer, and the other one.
func awaitBegun(u []*mortalUpstream) (begun, other *mortalUpstream) {
	select {
	case <-u[0].begun:
		return u[0], u[1]
	case <-u[1].begun:
		return u[1], u[0]
	}
}

// An upstream ended between two events of a stream without a length or chunks, or within
// such a body. Its kernel closed the connection in an orderly way, and the caller got the
// part as the whole.
func TestGatewayAnswerOfEndedUpstreamDoesNotLookWhole(t *testing.T) {
	t.Run("stream that may not run again", func(t *testing.T) {
		forEachProtocol(t, 1, func(t *testing.T, g *gateway, u []*mortalUpstream, protocol string) {
			done := g.beginCall("/stream/brief/1", protocol)
			<-u[0].begun
			u[0].end()
			is.New(t).True((<-done).err != nil)
		})
	})
	t.Run("body that may not run again", func(t *testing.T) {
		forEachProtocol(t, 1, func(t *testing.T, g *gateway, u []*mortalUpstream, protocol string) {
			done := g.beginCall("/hold/1", protocol)
			<-u[0].begun
			u[0].end()
			assertStatus(t, <-done, http.StatusBadGateway)
		})
	})
	for _, path := range []string{"/stream/chat/1", "/check/1"} {
		t.Run("another upstream goes on with "+path, func(t *testing.T) {
			forEachProtocol(t, 2, func(t *testing.T, g *gateway, u []*mortalUpstream, protocol string) {
				done := g.beginCall(path, protocol)
				begun, other := awaitBegun(u)
				other.goOn <- struct{}{}
				begun.end()
				assertWhole(t, <-done, path)
			})
		})
	}
}

// An upstream was killed while another connection to it was silent. That one looked open, so
// that the upstream was taken for one in a planned stop, and the caller got a part of the
// answer as the whole.
func TestGatewaySilentConnectionDoesNotShowThatUpstreamIsThere(t *testing.T) {
	const silence = 2 * time.Second
	for _, kind := range []string{"/stream/brief/", "/hold/"} {
		t.Run(kind, func(t *testing.T) {
			forEachProtocol(t, 1, func(t *testing.T, g *gateway, u []*mortalUpstream, protocol string) {
				first := g.beginCall(kind+"1", protocol)
				<-u[0].begun
				second := g.beginCall(kind+"2", protocol)
				<-u[0].begun
				u[0].endBesideSilence(silence)
				assertNotWhole(t, <-first)
				assertNotWhole(t, <-second)
			})
		})
	}
}

// An upstream in a planned stop closes its listener and finishes its answers, which must
// not be cut off because it accepts no more connections.
func TestGatewayAnswerOfStoppingUpstreamIsWhole(t *testing.T) {
	for _, kind := range []string{"/stream/brief/", "/hold/"} {
		t.Run(kind, func(t *testing.T) {
			forEachProtocol(t, 1, func(t *testing.T, g *gateway, u []*mortalUpstream, protocol string) {
				defer u[0].end()
				first, second := g.beginCall(kind+"1", protocol), g.beginCall(kind+"2", protocol)
				<-u[0].begun
				<-u[0].begun
				u[0].stopListening()
				u[0].goOn <- struct{}{}
				select {
				case a := <-first:
					assertWhole(t, a, kind+"1")
				case a := <-second:
					assertWhole(t, a, kind+"2")
				}
			})
		})
	}
}

// An upstream in a planned stop had finished an answer, and ended within the last one. The
// caller got that part as the whole.
func TestGatewayLastAnswerOfEndedStoppingUpstreamDoesNotLookWhole(t *testing.T) {
	forEachProtocol(t, 1, func(t *testing.T, g *gateway, u []*mortalUpstream, protocol string) {
		first, second := g.beginCall("/stream/brief/1", protocol), g.beginCall("/stream/brief/2", protocol)
		<-u[0].begun
		<-u[0].begun
		u[0].stopListening()
		u[0].goOn <- struct{}{}
		last := first
		select {
		case <-first:
			last = second
		case <-second:
		}
		u[0].end()
		is.New(t).True((<-last).err != nil)
	})
}
