package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
)

const (
	// crowdDescriptors is the limit of the descriptors of each process, and crowdSize the
	// number of idle connections to each listener.
	crowdDescriptors = 400
	crowdSize        = 450
)

// limitDescriptors makes the processes that are started from now on run with
// crowdDescriptors descriptors.
func (f *fleet) limitDescriptors() {
	f.t.Helper()
	path := filepath.Join(f.dir, "limited")
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec '%s' \"$@\"\n", crowdDescriptors, f.binary)
	is.New(f.t).NoErr(os.WriteFile(path, []byte(script), 0o700))
	f.binary = path
}

// addCrowd opens connections on which nothing is sent, and which are opened again when they
// end.
func (f *fleet) addCrowd(address string) {
	for range crowdSize {
		go func() {
			for f.t.Context().Err() == nil {
				if conn, err := net.DialTimeout("tcp", address, time.Second); err == nil {
					_, _ = io.Copy(io.Discard, conn)
					_ = conn.Close()
				}
				time.Sleep(500 * time.Millisecond)
			}
		}()
	}
}

func countDescriptors(t *testing.T, p *process) int {
	t.Helper()
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid))
	is.New(t).NoErr(err)
	return len(names)
}

// Idle connections to any listener of the own front end used up the descriptors of its
// process, which then served nobody.
func TestIdleCrowdLeavesFrontEndServing(t *testing.T) {
	f := newFleet(t)
	engine := f.start("emulate", "engine", "--prefill", "5ms", "--gap", "3ms")
	f.limitDescriptors()
	agent := f.startAgent("desk-1", engine.readyFields[2], "127.0.0.1:0")
	f.applyRecords([]upstreamRecord{{"desk-1", agent.readyFields[2], engine.readyFields[2]}})
	entry := f.startEntry("entry-1")
	f.awaitReady(entry)
	for _, address := range []string{strings.TrimPrefix(entry.readyFields[2], "http://"), entry.readyFields[4], agent.readyFields[2]} {
		f.addCrowd(address)
	}
	is := is.New(t)
	for range 20 {
		for _, p := range []*process{entry, agent} {
			is.True(countDescriptors(t, p) <= crowdDescriptors-200)
		}
		time.Sleep(100 * time.Millisecond)
	}
	(&loadBalancer{t: t, urls: []string{entry.readyFields[2]}}).sendRequest("beside the crowd")
	for _, address := range []string{entry.readyFields[4], agent.readyFields[2]} {
		c, err := messenger.Dial(t.Context(), address, messenger.Options{
			Self: messenger.Peer{Role: messenger.RoleEntry, Identity: "entry-2"}, Secret: []byte("a secret of this test"),
			Handle:           func(*messenger.Conn, messenger.Message) (any, error) { return struct{}{}, nil },
			HandshakeTimeout: 30 * time.Second,
		})
		is.NoErr(err)
		c.Close()
	}
}
