package starter

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
)

const (
	// cutStreamEvents is the number of events of the streams of these tests.
	cutStreamEvents = 3
	// cutCallers is the number of callers that send requests at once.
	cutCallers = 4
	// longestCutAnswer is more bytes than any answer of these tests has.
	longestCutAnswer = 400
)

// The framings of the answers of a cuttingUpstream.
const (
	framingLength   = "length"
	framingChunked  = "chunked"
	framingUnframed = "unframed"
	// framingResumedUnframed is chunked and ends within the second event. The answer that
	// goes on with the stream is unframed and ends after the number of bytes.
	framingResumedUnframed = "resumed-unframed"
	// framingConfirmed is the same, but an answer after the last event is chunked.
	framingConfirmed = "confirmed"
)

// startCuttingUpstream registers an upstream that ends each connection after a number of
// bytes of an answer. The path of a request names the framing, the number of bytes, and
// whether the connection is reset.
func (r *gatewayFixture) startCuttingUpstream(name string) {
	r.t.Helper()
	r.startRawUpstream(name, answerInPart)
}

// startRawUpstream registers an upstream that passes each connection to serve.
func (r *gatewayFixture) startRawUpstream(name string, serve func(net.Conn)) {
	r.t.Helper()
	r.store.Put("servers", name, map[string]any{
		"service": "desk", "address": listenRaw(r.t, serve), "zone": "z", "version": "v1", "slots": 8,
		"state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": 1,
	})
}

// listenRaw passes each connection to the address that it returns to serve.
func listenRaw(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

// answerInPart reads a request and writes the first bytes of the answer.
func answerInPart(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	path := strings.Split(req.URL.Path, "/")
	framing, end := path[len(path)-3], path[len(path)-1]
	text := cutAnswer(req, framing)
	if (framing == framingResumedUnframed || framing == framingConfirmed) && req.Header.Get("Last-Event-Id") == "" {
		text = text[:strings.Index(text, "id: 2")+1]
	} else if k, err := strconv.Atoi(path[len(path)-2]); err == nil && k < len(text) {
		text = text[:k]
	}
	if tcp, ok := conn.(*net.TCPConn); ok && end == "reset" {
		_ = tcp.SetLinger(0)
	}
	_, _ = io.WriteString(conn, text)
}

// cutAnswer returns the whole answer to a request.
func cutAnswer(req *http.Request, framing string) string {
	id, last := req.Header.Get("Magnoliafront-Request-Id"), req.Header.Get("Last-Event-Id")
	// The connection ends after the answer. Unannounced, the next request could be sent on it
	// just before and be lost.
	body, head := cutBody(req.URL.Path, id, last), "HTTP/1.1 200 OK\r\nMagnoliafront-Request-Id: "+id+"\r\nMagnoliafront-Response-Signature: s\r\nConnection: close\r\n"
	if strings.HasPrefix(req.URL.Path, "/stream/") {
		head += "Content-Type: text/event-stream\r\n"
	}
	switch {
	case framing == framingLength:
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	case framing == framingUnframed, framing == framingResumedUnframed && last != "", framing == framingConfirmed && last != "" && body != "":
		return head + "\r\n" + body
	case body == "":
		return head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	}
	return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(body), body)
}

// cutBody returns the body of the answer to the request id, after the event last.
func cutBody(path, id, last string) string {
	if !strings.HasPrefix(path, "/stream/") {
		return "answer to " + id + "\n"
	}
	first, _ := strconv.Atoi(last)
	body := ""
	for i := first + 1; i <= cutStreamEvents; i++ {
		body += emulator.Event(id, i)
	}
	return body
}

// assertNoCutAnswerLooksWhole sends requests whose answers end after a number of bytes from
// first to last, and checks that no caller can take a part for the whole.
func assertNoCutAnswerLooksWhole(t *testing.T, g *gateway, prefix, framing string, first, last int) {
	t.Helper()
	cuts := make(chan int, last-first+1)
	for k := first; k <= last; k++ {
		cuts <- k
	}
	close(cuts)
	var wg sync.WaitGroup
	for range cutCallers {
		wg.Go(func() {
			for k := range cuts {
				path := fmt.Sprintf("%s%s/%d/%s", prefix, framing, k, [...]string{"closed", "reset"}[(k-first)%2])
				if fault := g.findCutAnswerThatLooksWhole(path, cutRequestID(prefix, framing, k)); fault != "" {
					t.Errorf("%s: %s", path, fault)
				}
			}
		})
	}
	wg.Wait()
}

// cutRequestID returns the identity of a request. Its length does not depend on k.
func cutRequestID(prefix, framing string, k int) string {
	return fmt.Sprintf("%s-%s-%03d", strings.Trim(strings.ReplaceAll(prefix, "/", "-"), "-"), framing, k)
}

// findCutAnswerThatLooksWhole sends a request and returns what is wrong with the answer.
func (g *gateway) findCutAnswerThatLooksWhole(path, id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.callerAddress+path, strings.NewReader(id))
	if err != nil {
		return err.Error()
	}
	req.Host = "desk.example"
	req.Header.Set("Authorization", "Bearer key")
	req.Header.Set("Magnoliafront-Request-Id", id)
	req.Header.Set("Magnoliafront-Deadline-Ms", "10000")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		// The connection was closed without an answer.
		return ""
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusBadGateway, err != nil:
		return ""
	case resp.StatusCode != http.StatusOK:
		return fmt.Sprintf("status %d", resp.StatusCode)
	}
	whole, framed := cutBody(path, id, ""), resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	switch {
	case framed && string(body) != whole:
		return fmt.Sprintf("framed as whole: %q", body)
	case !framed && !strings.Contains(path, "/"+framingUnframed+"/"):
		return fmt.Sprintf("lost its framing: %q", body)
	case !framed && strings.HasSuffix(path, "/reset"):
		return fmt.Sprintf("ended without a reset: %q", body)
	case !strings.HasPrefix(whole, string(body)):
		return fmt.Sprintf("not the answer: %q", body)
	}
	return ""
}

// An upstream stopped within the head of its answer and closed, and callers got a 200 with
// an empty or short body, framed as whole. Whatever part of an answer has arrived, a caller
// must get a failure, a cut connection, or what its upstream ended in the same way.
func TestGatewayCutAnswerDoesNotLookWhole(t *testing.T) {
	r := newGatewayFixture(t, 0)
	r.startCuttingUpstream("i-a")
	r.startCuttingUpstream("i-b")
	g := r.startReadyEntry()
	for _, framing := range []string{framingLength, framingChunked, framingUnframed} {
		for _, prefix := range []string{"/hold/", "/check/", "/stream/chat/", "/stream/brief/"} {
			t.Run(prefix+framing, func(t *testing.T) {
				assertNoCutAnswerLooksWhole(t, g, prefix, framing, 0, longestCutAnswer)
				id := cutRequestID(prefix, framing, 0)
				a := g.call(http.MethodPost, fmt.Sprintf("%s%s/%d/closed", prefix, framing, longestCutAnswer), id, id, nil)
				assertStatus(t, a, http.StatusOK)
				is.New(t).Equal(a.body, cutBody(prefix, id, ""))
			})
		}
	}
}

// An answer without framing that went on with a framed stream ended it as whole, whatever
// had ended the connection. The caller missed events and could not tell.
func TestGatewayUnframedContinuationDoesNotEndFramedStream(t *testing.T) {
	r := newGatewayFixture(t, 0)
	r.startCuttingUpstream("i-a")
	r.startCuttingUpstream("i-b")
	g := r.startReadyEntry()
	const prefix = "/stream/chat/"
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, prefix, nil)
	is.New(t).NoErr(err)
	req.Header.Set("Magnoliafront-Request-Id", cutRequestID(prefix, framingResumedUnframed, 0))
	req.Header.Set("Last-Event-Id", "1")
	// The budget of a service allows about 50 requests to be sent again.
	boundary := strings.Index(cutAnswer(req, framingResumedUnframed), "id: 3")
	assertNoCutAnswerLooksWhole(t, g, prefix, framingResumedUnframed, boundary-12, boundary+12)
}

// A stream in chunks whose rest had arrived without framing was cut although a further
// attempt was allowed, and a third upstream could have said that nothing was left.
func TestGatewayThirdUpstreamConfirmsUnframedEndOfFramedStream(t *testing.T) {
	const prefix = "/stream/chat/"
	for _, c := range []struct {
		name, framing string
		attempts      int
		whole         bool
	}{
		{"the third answer is framed", framingConfirmed, 3, true},
		{"the third answer is unframed", framingResumedUnframed, 3, false},
		{"no third attempt", framingConfirmed, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newGatewayFixture(t, 0)
			r.configure(func(v map[string]any) { v["routes"].([]any)[0].(map[string]any)["max_attempts"] = c.attempts })
			for _, name := range []string{"i-a", "i-b", "i-c"} {
				r.startCuttingUpstream(name)
			}
			id := cutRequestID(prefix, c.framing, 0)
			a := r.startReadyEntry().call(http.MethodPost, fmt.Sprintf("%s%s/%d/closed", prefix, c.framing, longestCutAnswer), id, id, nil)
			is := is.New(t)
			is.Equal(a.status, http.StatusOK)
			is.Equal(a.body, cutBody(prefix, id, ""))
			is.Equal(a.err == nil, c.whole)
		})
	}
}
