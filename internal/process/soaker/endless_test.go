package soaker

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
)

const (
	// entryMemoryMB is the memory of an entry of a small deployment. The platform kills a
	// process that exceeds it.
	entryMemoryMB = 284
	// unreadCalls is the number of callers that read nothing at the same time.
	unreadCalls = 600
	// blockedTimeout is the time after which a write that does not end counts as blocked.
	// A shorter one than is needed ends the test earlier, with a lower peak.
	blockedTimeout = 500 * time.Millisecond
	// smallSocketBytes keeps the kernel from holding what the entry should hold back.
	smallSocketBytes = 16 << 10
)

// endlessUpstream is an upstream that answers each request with the same bytes, followed
// by others without an end.
type endlessUpstream struct {
	listener net.Listener
	// once and repeated are written after the header lines that name the request.
	once, repeated string
	// held receives a value for each answer of which no more is read, or that stops, and
	// for each request that was refused.
	held chan struct{}
}

func newEndlessUpstream(t *testing.T, once, repeated string) *endlessUpstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	u := &endlessUpstream{listener: l, once: once, repeated: repeated, held: make(chan struct{}, 4*unreadCalls)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u
}

// serve answers one request until its connection is closed.
func (u *endlessUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetWriteBuffer(smallSocketBytes)
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	const head = "HTTP/1.1 200 OK\r\nMagnoliafront-Request-Id: %s\r\nMagnoliafront-Response-Signature: s\r\n"
	_, err = fmt.Fprintf(conn, head+"%s", r.Header.Get("Magnoliafront-Request-Id"), u.once)
	if u.repeated == "" {
		u.held <- struct{}{}
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	rest, blocked := u.repeated, false
	for err == nil || os.IsTimeout(err) {
		if os.IsTimeout(err) && !blocked {
			blocked = true
			u.held <- struct{}{}
		}
		if rest == "" {
			rest = u.repeated
		}
		_ = conn.SetWriteDeadline(time.Now().Add(blockedTimeout))
		var n int
		n, err = io.WriteString(conn, rest)
		rest = rest[n:]
	}
	if !blocked {
		u.held <- struct{}{}
	}
}

// awaitHeld waits until nothing more of any answer is read.
func (u *endlessUpstream) awaitHeld(t *testing.T) {
	t.Helper()
	for i := range unreadCalls {
		select {
		case <-u.held:
		case <-time.After(waitTimeout):
			t.Fatalf("after %v, %d of %d answers are held back", waitTimeout, i, unreadCalls)
		}
	}
}

// endlessFixture is an entry process with an upstream whose answers have no end, and a
// sound one of another service.
type endlessFixture struct {
	t     *testing.T
	entry *entry
	// metrics is the address of the metrics of the entry.
	metrics string
}

func newEndlessFixture(t *testing.T, binary string, u *endlessUpstream) *endlessFixture {
	t.Helper()
	f := &fleet{t: t, store: emulator.NewObjectStore()}
	t.Cleanup(f.store.Stop)
	srv := httptest.NewServer(f.store.Handler())
	t.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	sound, err := emulator.NewRunner("sound")
	is.New(t).NoErr(err)
	t.Cleanup(sound.Stop)
	for id, service := range map[string]string{"sound": "booking", "endless": "desk"} {
		spec := sound.StoreSpec(service, "ready")
		spec["slots"] = 2 * unreadCalls
		if id == "endless" {
			spec["address"] = u.listener.Addr().String()
		}
		f.store.Put("servers", id, spec)
	}
	route := func(path, kind, service string) map[string]any {
		return map[string]any{
			"name": path, "host": "desk.example", "path_prefix": "/" + path + "/", "route_type": kind, "service": service,
			"timeout_ms": 60000, "target_latency_ms": 60000, "target_gap_ms": 60000, "priority": 1,
			"max_attempts": 1, "resumable": false, "public": false,
		}
	}
	f.store.Put("config", "main", map[string]any{
		"version":  1,
		"routes":   []any{route("stream", "streaming", "desk"), route("check", "idempotent", "desk"), route("hold", "non_idempotent", "booking")},
		"services": []any{map[string]any{"name": "desk", "health_check": "/health", "max_connections": 2 * unreadCalls}, map[string]any{"name": "booking", "health_check": "/health", "max_connections": 200}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "guides", "api_keys": []any{"key"}}},
	})
	addresses, metrics := freeAddresses(t, 0), freeAddresses(t, 1)[0]
	e := &entry{process: process{t: t, name: "entry-1"}, fleet: f, address: addresses[0], readyAddress: addresses[1], binaryPath: binary}
	e.settingsPath = filepath.Join(t.TempDir(), "settings.json")
	settings := map[string]any{
		"identity": e.name, "availability_zone": "z", "listen": e.address, "ready_listen": e.readyAddress, "peer_listen": addresses[2],
		"platform": srv.URL, "shared_secret": "secret of the test", "grace_period": "8s", "notice_period": "500ms",
		"leaving_limit": "2s", "retry_share": retryShare, "retry_slack": retrySlack, "memory_limit_mb": entryMemoryMB,
		"metrics": metrics,
	}
	data, err := json.Marshal(settings)
	is.New(t).NoErr(err)
	is.New(t).NoErr(os.WriteFile(e.settingsPath, data, 0o600))
	e.start()
	t.Cleanup(e.kill)
	for end := time.Now().Add(waitTimeout); !e.isReady(); time.Sleep(10 * time.Millisecond) {
		is.New(t).True(time.Now().Before(end))
	}
	return &endlessFixture{t: t, entry: e, metrics: metrics}
}

// send sends a request. Its caller reads no more than the status of the answer, to tell
// whether the request was refused.
func (f *endlessFixture) send(path, id string, held chan<- struct{}) {
	f.t.Helper()
	is := is.New(f.t)
	d := net.Dialer{Timeout: waitTimeout}
	conn, err := d.DialContext(f.t.Context(), "tcp", f.entry.address)
	is.NoErr(err)
	f.t.Cleanup(func() { _ = conn.Close() })
	is.NoErr(conn.(*net.TCPConn).SetReadBuffer(smallSocketBytes))
	_, err = fmt.Fprintf(conn, "GET /%s/1 HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key\r\nMagnoliafront-Request-Id: %s\r\nMagnoliafront-Deadline-Ms: 60000\r\n\r\n", path, id)
	is.NoErr(err)
	go func() {
		const refusal = "HTTP/1.1 503"
		status := make([]byte, len(refusal))
		if _, err := io.ReadFull(conn, status); err == nil && string(status) == refusal {
			held <- struct{}{}
		}
	}()
}

// assertSoundServiceAnswers checks that requests of the other service are answered.
func (f *endlessFixture) assertSoundServiceAnswers() {
	f.t.Helper()
	is := is.New(f.t)
	for i := range 20 {
		req, err := http.NewRequestWithContext(f.t.Context(), http.MethodPost, "http://"+f.entry.address+"/hold/1", strings.NewReader("x"))
		is.NoErr(err)
		req.Host = "desk.example"
		req.Header.Set("Authorization", "Bearer key")
		req.Header.Set("Magnoliafront-Request-Id", fmt.Sprint("sound-", i))
		req.Header.Set("Magnoliafront-Deadline-Ms", "30000")
		resp, err := http.DefaultClient.Do(req)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, http.StatusOK)
	}
}

// assertHeldBytesExported checks that the metrics tell the held bytes and their limit.
func (f *endlessFixture) assertHeldBytesExported() {
	f.t.Helper()
	is := is.New(f.t)
	resp, err := http.Get("http://" + f.metrics + "/metrics")
	is.NoErr(err)
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	value := func(name string) float64 {
		_, rest, ok := strings.Cut(string(data), "\n"+name+"{")
		is.True(ok)
		line, _, _ := strings.Cut(rest, "\n")
		v, err := strconv.ParseFloat(line[strings.LastIndex(line, " ")+1:], 64)
		is.NoErr(err)
		return v
	}
	held, limit := value("magnoliafront_answer_held_bytes"), value("magnoliafront_answer_held_bytes_limit")
	f.t.Logf("held %.0f of %.0f bytes, %.0f reservations refused", held, limit, value("magnoliafront_answer_reservations_refused_total"))
	is.True(held >= 0)
	is.True(held <= limit)
}

// peakMB returns the largest resident set of the entry process so far.
func (f *endlessFixture) peakMB() int {
	f.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.entry.command.Process.Pid))
	is.New(f.t).NoErr(err)
	_, rest, ok := strings.Cut(string(status), "VmHWM:")
	is.New(f.t).True(ok)
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	is.New(f.t).NoErr(err)
	return kb >> 10
}

// The answers of a faulty upstream that nobody reads were each held up to a bound, their
// sum was not bounded: the process exceeded its memory, and the requests of all others
// ended with it.
func TestUnreadEndlessAnswersKeepEntryWithinItsMemory(t *testing.T) {
	binary := buildProgram(t)
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	const stream = "Content-Type: text/event-stream\r\n" + chunked
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	var lines strings.Builder
	for i := range 6000 {
		fmt.Fprintf(&lines, "A%d:\r\n", i)
	}
	for _, c := range []struct{ name, path, once, repeated string }{
		{"body in small chunks", "check", chunked, chunk(strings.Repeat("x", 4000))},
		{"body of a stated length", "check", "Content-Length: 1000000000\r\n\r\n", strings.Repeat("x", 4000)},
		{"events", "stream", stream, chunk("data: " + strings.Repeat("x", 4000) + "\n\n")},
		{"large events", "stream", stream, chunk("data: " + strings.Repeat("x", 100_000) + "\n\n")},
		{"body that stops", "check", chunked + chunk(strings.Repeat("x", 130_000)), ""},
		{"event that stops", "stream", stream + chunk("data: "+strings.Repeat("x", 130_000)), ""},
		{"header lines that stop", "check", lines.String(), ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := newEndlessUpstream(t, c.once, c.repeated)
			f := newEndlessFixture(t, binary, u)
			var wg sync.WaitGroup
			for i := range unreadCalls {
				wg.Go(func() { f.send(c.path, fmt.Sprint("endless-", i), u.held) })
			}
			wg.Wait()
			u.awaitHeld(t)
			f.assertSoundServiceAnswers()
			f.assertHeldBytesExported()
			peak := f.peakMB()
			t.Logf("peak of the resident set: %d MB", peak)
			is.New(t).True(peak < entryMemoryMB)
		})
	}
}
