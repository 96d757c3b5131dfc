package router_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/server"
)

// A request that was still in flight when the time for the stop of an entry ended was cut
// off without an answer.
func TestRequestInFlightIsAnsweredBeforeEntryExits(t *testing.T) {
	const grace = time.Minute
	r := newTestRig(t)
	executed, release := r.blockService()
	r.startAgent("")
	t.Cleanup(func() { close(release) })
	e := r.startEntry("entry-1", nil)
	s, err := server.New(server.Options{Listen: "127.0.0.1:0", Identity: "entry-1", Clock: r.clock, Router: e.router})
	r.is.NoErr(err)
	answered := make(chan int, 1)
	go func() { answered <- postHold(t, s.Address()) }()
	r.awaitSignal(executed)
	stopped := make(chan error, 1)
	deadline := r.clock.Now().Add(grace)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { stopped <- s.StopBefore(ctx, deadline) }()
	r.clock.Advance(grace)
	select {
	case status := <-answered:
		r.is.Equal(status, http.StatusGatewayTimeout)
	case <-time.After(waitTimeout):
		cancel()
		t.Fatal("the request has no answer")
	}
	r.is.NoErr(<-stopped)
}

// postHold sends a call to the service and returns the status of the answer, or 0 if there
// was none.
func postHold(t *testing.T, address string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+"/services/booking"+path, strings.NewReader(body))
	is.New(t).NoErr(err)
	req.Header.Set("Authorization", "Bearer key")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
