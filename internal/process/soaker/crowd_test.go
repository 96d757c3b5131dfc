package soaker

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/emulator"
)

const (
	// crowdDescriptors is the limit of the descriptors of the entry, of which fileDescriptors
	// are for files and the rest for sockets and pipes.
	crowdDescriptors = 500
	fileDescriptors  = 200
	// crowdMemoryMB is the memory of the smallest entry of a deployment.
	crowdMemoryMB = 136
	// crowdKind is the number of connections of each kind in a crowd. Two kinds together
	// exceed the descriptors of the entry.
	crowdKind = 260
	// reconnectPause is the time after which a connection of a crowd is opened again.
	reconnectPause = 500 * time.Millisecond
	// crowdSamples and samplePause are the number of looks at the process and the time
	// between two.
	crowdSamples = 20
	samplePause  = 100 * time.Millisecond
	// crowdSecret is the shared secret of the entries.
	crowdSecret = "secret of the test"
)

// crowdFixture is an entry process with few descriptors and one upstream.
type crowdFixture struct {
	t     *testing.T
	entry *entry
	// peerAddress is the address of the entry for connections of other entries.
	peerAddress string
	// members are the goroutines of the crowd, and requests numbers the requests.
	members  sync.WaitGroup
	requests atomic.Int64
}

func newCrowdFixture(t *testing.T) *crowdFixture {
	t.Helper()
	is := is.New(t)
	f := newEmptyFleet(t)
	r, err := emulator.NewRunner("i-0")
	is.NoErr(err)
	t.Cleanup(r.Stop)
	f.store.Put("servers", r.ID, r.StoreSpec("desk", "ready"))
	f.routes = []any{newRoute("hold", "non_idempotent", 1, false)}
	f.writeConfig()
	addresses := freeAddresses(t, 0)
	e := &entry{
		process: process{t: t, name: "entry-1"}, fleet: f, address: addresses[0], readyAddress: addresses[1],
		binaryPath: limitDescriptors(t, buildProgram(t)),
	}
	e.settingsPath = filepath.Join(t.TempDir(), "settings.json")
	data, err := json.Marshal(map[string]any{
		"identity": e.name, "availability_zone": "z", "listen": e.address, "ready_listen": e.readyAddress, "peer_listen": addresses[2],
		"platform": "http://" + f.storeAddress, "shared_secret": crowdSecret, "grace_period": "8s", "notice_period": "500ms",
		"leaving_limit": "2s", "retry_share": retryShare, "retry_slack": retrySlack, "memory_limit_mb": crowdMemoryMB,
	})
	is.NoErr(err)
	is.NoErr(os.WriteFile(e.settingsPath, data, 0o600))
	e.start()
	t.Cleanup(e.kill)
	for end := time.Now().Add(waitTimeout); !e.isReady(); time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	c := &crowdFixture{t: t, entry: e, peerAddress: addresses[2]}
	t.Cleanup(c.members.Wait)
	return c
}

// limitDescriptors returns the path of a program that runs another with crowdDescriptors
// descriptors. The limit holds before the program starts and cannot be raised.
func limitDescriptors(t *testing.T, program string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "limited")
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec '%s' \"$@\"\n", crowdDescriptors, program)
	is.New(t).NoErr(os.WriteFile(path, []byte(script), 0o700))
	return path
}

const (
	crowdPartOfHead = "POST /hold/1 HTTP/1.1\r\nHost: desk.example\r\n"
	crowdRequest    = crowdPartOfHead + "Authorization: Bearer key\r\nMagnoliafront-Request-Id: crowd-%d\r\nMagnoliafront-Deadline-Ms: 30000\r\nContent-Length: 1\r\n\r\nx"
)

// connect opens a connection that is closed at the end of the test at the latest, and sends
// text.
func (f *crowdFixture) connect(address, text string) (net.Conn, error) {
	d := net.Dialer{Timeout: waitTimeout}
	conn, err := d.DialContext(f.t.Context(), "tcp", address)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(f.t.Context(), func() { _ = conn.Close() })
	_, err = io.WriteString(conn, text)
	return conn, err
}

// newRequest returns a request with an identity of its own.
func (f *crowdFixture) newRequest() string { return fmt.Sprintf(crowdRequest, f.requests.Add(1)) }

// request sends a request on a new connection and returns the status of its answer.
func (f *crowdFixture) request() int {
	f.t.Helper()
	is := is.New(f.t)
	conn, err := f.connect(f.entry.address, f.newRequest())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, resp.Body)
	is.NoErr(resp.Body.Close())
	return resp.StatusCode
}

// addAnswered opens connections each of which gets an answer and then stays idle.
func (f *crowdFixture) addAnswered(n int) {
	for range n {
		begun := make(chan struct{}, 1)
		f.members.Go(func() {
			f.keepOpen(f.entry.address, f.newRequest, func(conn net.Conn) {
				_, _ = conn.Read(make([]byte, 1))
				begun <- struct{}{}
			})
		})
		f.await(begun)
	}
}

// addUnanswered opens connections on each of which text is sent once.
func (f *crowdFixture) addUnanswered(n int, address, text string) {
	for range n {
		begun := make(chan struct{}, 1)
		f.members.Go(func() {
			f.keepOpen(address, func() string { return text }, func(net.Conn) { begun <- struct{}{} })
		})
		f.await(begun)
	}
}

// await waits until a connection of the crowd is begun, or seems not to be served.
func (f *crowdFixture) await(begun <-chan struct{}) {
	select {
	case <-begun:
	case <-time.After(time.Second):
	}
}

// keepOpen opens a connection of the crowd, and again after the entry has closed it. begun
// is called for the first.
func (f *crowdFixture) keepOpen(address string, text func() string, begun func(net.Conn)) {
	for f.t.Context().Err() == nil {
		conn, err := f.connect(address, text())
		if err == nil && begun != nil {
			begun(conn)
			begun = nil
		}
		if conn != nil {
			_, _ = io.Copy(io.Discard, conn)
			_ = conn.Close()
		}
		select {
		case <-f.t.Context().Done():
		case <-time.After(reconnectPause):
		}
	}
}

// descriptors returns the numbers of all open descriptors of the entry, and of its sockets
// and pipes.
func (f *crowdFixture) descriptors() (all, sockets int) {
	f.t.Helper()
	folder := fmt.Sprintf("/proc/%d/fd", f.entry.command.Process.Pid)
	names, err := os.ReadDir(folder)
	is.New(f.t).NoErr(err)
	for _, n := range names {
		target, err := os.Readlink(filepath.Join(folder, n.Name()))
		if err != nil {
			continue
		}
		all++
		if strings.HasPrefix(target, "socket:") || strings.HasPrefix(target, "pipe:") {
			sockets++
		}
	}
	return all, sockets
}

// assertStaysWithinLimits checks that the process lives and keeps within its descriptors
// and memory. Sockets must leave the descriptors of files free.
func (f *crowdFixture) assertStaysWithinLimits() {
	f.t.Helper()
	var all, sockets int
	for range crowdSamples {
		nowAll, nowSockets := f.descriptors()
		all, sockets = max(all, nowAll), max(sockets, nowSockets)
		time.Sleep(samplePause)
	}
	peak := (&endlessFixture{t: f.t, entry: f.entry}).peakMB()
	f.t.Logf("%d descriptors, %d of them sockets and pipes; peak of the resident set: %d MB", all, sockets, peak)
	is := is.New(f.t)
	is.True(all > 0)
	is.True(all <= crowdDescriptors)
	is.True(sockets <= crowdDescriptors-fileDescriptors)
	is.True(peak < crowdMemoryMB)
}

// assertServes checks that readiness, one ordinary request and another entry get an answer
// while the crowd is open.
func (f *crowdFixture) assertServes() {
	f.t.Helper()
	is := is.New(f.t)
	resp, err := (&http.Client{Timeout: waitTimeout, Transport: &http.Transport{}}).Get("http://" + f.entry.readyAddress + "/-/ready")
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(f.request(), http.StatusOK)
	peer, err := messenger.Dial(f.t.Context(), f.peerAddress, messenger.Options{
		Self: messenger.Peer{Role: messenger.RoleEntry, Identity: "entry-2", AvailabilityZone: "z"}, Secret: []byte(crowdSecret),
		Handle:           func(*messenger.Conn, messenger.Message) (any, error) { return struct{}{}, nil },
		HandshakeTimeout: waitTimeout,
	})
	is.NoErr(err)
	peer.Close()
}

// Idle connections of callers used up the descriptors of an entry, which then took no
// connection for as long as they stayed open. Those to the other listeners did the same.
func TestIdleCrowdLeavesEntryServing(t *testing.T) {
	for _, c := range []struct {
		name string
		fill func(f *crowdFixture)
	}{
		{"answered", func(f *crowdFixture) { f.addAnswered(2 * crowdKind) }},
		{"silent and in a head", func(f *crowdFixture) {
			f.addUnanswered(crowdKind, f.entry.address, "")
			f.addUnanswered(crowdKind, f.entry.address, crowdPartOfHead)
		}},
		{"all kinds", func(f *crowdFixture) {
			f.addAnswered(crowdKind)
			f.addUnanswered(crowdKind, f.entry.address, "")
			f.addUnanswered(crowdKind, f.entry.address, crowdPartOfHead)
		}},
		{"silent readiness checks and peers", func(f *crowdFixture) {
			f.addUnanswered(crowdKind, f.entry.readyAddress, "")
			f.addUnanswered(crowdKind, f.peerAddress, "")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newCrowdFixture(t)
			c.fill(f)
			f.assertStaysWithinLimits()
			f.assertServes()
			f.assertStaysWithinLimits()
		})
	}
}
