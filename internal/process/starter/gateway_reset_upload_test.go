package starter

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// uploadBytes is more of a request than the kernel takes for an upstream that does not
	// read it.
	uploadBytes = 16 << 20
	// uploadTries is the number of uploads of each case. The reset meets a write in some.
	uploadTries = 10
)

// startResettingUpstream registers an upstream that answers before it has read the body of a
// request and resets the connection within the answer, which states no length.
func (r *gatewayFixture) startResettingUpstream(name string, pause time.Duration) {
	r.t.Helper()
	r.startRawUpstream(name, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nMagnoliafront-Request-Id: %s\r\nMagnoliafront-Response-Signature: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n",
			req.Header.Get("Magnoliafront-Request-Id"))
		time.Sleep(pause)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	})
}

// assertCutUploadsAreNotAnswered sends uploads and checks that no answer looks whole.
func assertCutUploadsAreNotAnswered(t *testing.T, g *gateway, prefix string) {
	t.Helper()
	body := strings.Repeat("x", uploadBytes)
	for i := range uploadTries {
		a := g.call(http.MethodPost, prefix+"1", fmt.Sprintf("r%d-%s", i, strings.ReplaceAll(prefix, "/", "-")), body, nil)
		if a.err == nil && a.status != http.StatusBadGateway {
			t.Errorf("upload %d: status %d, body %q", i, a.status, a.body)
		}
	}
}

// A caller got a part of an answer without a length as the whole when the upstream reset the
// connection while the request was being written.
func TestGatewayResetWithinUploadDoesNotLookWhole(t *testing.T) {
	for _, pause := range []time.Duration{0, 100 * time.Millisecond} {
		t.Run(fmt.Sprintf("reset after %v", pause), func(t *testing.T) {
			r := newGatewayFixture(t, 0)
			r.configure(func(c map[string]any) { c["limits"].(map[string]any)["max_body_bytes"] = 2 * uploadBytes })
			r.startResettingUpstream("i-a", pause)
			g := r.startReadyEntry()
			for _, prefix := range []string{"/hold/", "/check/", "/stream/brief/", "/stream/chat/"} {
				t.Run(strings.Trim(prefix, "/"), func(t *testing.T) { assertCutUploadsAreNotAnswered(t, g, prefix) })
			}
		})
	}
}
