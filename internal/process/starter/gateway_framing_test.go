package starter

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
	"k8s.io/klog/v2"

	"magnoliafront.dev/magnoliafront/internal/process/logger"
)

// framingPrefix is the path of a route whose streams are not resumed.
const framingPrefix = "/stream/brief/"

// callOverSocket sends a request for a stream that its upstream ends after the first event,
// and waits for the end of the answer.
func (g *gateway) callOverSocket(framing, protocol, id string) {
	g.t.Helper()
	is := is.New(g.t)
	req := g.newRequest(g.t.Context(), http.MethodPost, framingPrefix+framing+"/0/closed", id, "")
	end := strings.Index(cutAnswer(req, framing), "id: 2")
	conn, err := net.Dial("tcp", g.callerAddress)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s%s/%d/closed %s\r\nHost: desk.example\r\nAuthorization: Bearer key\r\nMagnoliafront-Request-Id: %s\r\nMagnoliafront-Deadline-Ms: 10000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
		framingPrefix, framing, end, protocol, id)
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, conn)
}

// findLogged returns the fields of the logged lines with a message and a request.
func (l *logBuffer) findLogged(message, request string) (found []map[string]string) {
	for line := range strings.Lines(l.String()) {
		if fields := parseFields(line); fields["msg"] == message && fields["request"] == request {
			found = append(found, fields)
		}
	}
	return found
}

// assertFields checks that a request has exactly one line with a message, and that it has
// the fields, or that there is no line if want is nil.
func assertFields(t *testing.T, log *logBuffer, message, request string, want map[string]string) {
	t.Helper()
	is := is.New(t)
	if want == nil {
		is.Equal(len(log.findLogged(message, request)), 0)
		return
	}
	assertEventually(t, message+" of "+request, func() bool { return len(log.findLogged(message, request)) > 0 })
	found := log.findLogged(message, request)
	is.Equal(len(found), 1)
	for key, value := range want {
		if found[0][key] != value {
			t.Errorf("%s: %s=%q, want %q", message, key, found[0][key], value)
		}
	}
}

// metrics returns what the entry exports.
func (g *gateway) metrics() string {
	w := httptest.NewRecorder()
	g.meter.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return w.Body.String()
}

// No line told how an answer was framed for the entry and for its caller, nor how many
// events it had, so that a stream that ended with its connection could not be told from one
// that was known to be whole.
func TestGatewayLogsFramingAndEvents(t *testing.T) {
	var log logBuffer
	logger.Setup(&log)
	t.Cleanup(klog.ClearLogger)
	r := newGatewayFixture(t, 0)
	r.startCuttingUpstream("i-a")
	g := r.startReadyEntry()
	type fields = map[string]string
	for _, c := range []struct {
		name, framing, protocol, id string
		attempt, request, cutOff    fields
		metric                      string
	}{
		{
			"the end of the stream is that of the connection", framingUnframed, "HTTP/1.1", "close", nil,
			fields{"outcome": "answered", "framing": "close", "events": "1", "begun": "true"}, nil,
			`end="answered",framing="close"`,
		},
		{
			"chunks", framingChunked, "HTTP/1.1", "chunks", fields{"outcome": "lost", "framing": "chunks", "events": "1"},
			fields{"outcome": "upstream_lost", "framing": "chunks", "events": "1", "begun": "true"},
			fields{"framing": "chunks", "protocol": "HTTP/1.1", "stopping": "false"},
			`end="lost",framing="chunks"`,
		},
		{
			"chunks, caller of HTTP/1.0", framingChunked, "HTTP/1.0", "http10", fields{"outcome": "lost", "framing": "chunks", "events": "1"},
			fields{"outcome": "upstream_lost", "framing": "chunks", "events": "1", "begun": "true"},
			fields{"framing": "close", "protocol": "HTTP/1.0", "stopping": "false"},
			`end="lost",framing="chunks"`,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			g.callOverSocket(c.framing, c.protocol, c.id)
			assertFields(t, &log, "request ended", c.id, c.request)
			assertFields(t, &log, "attempt ended", c.id, c.attempt)
			assertFields(t, &log, "answer cut off", c.id, c.cutOff)
			is.New(t).True(strings.Contains(g.metrics(), c.metric))
		})
	}
	is.New(t).True(!strings.Contains(log.String(), "connection closed within an answer"))
}
