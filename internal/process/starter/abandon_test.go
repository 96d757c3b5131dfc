package starter

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// goroutineSlack is the number of additional goroutines that may remain for a
// moment, such as those of idle connections to the engines.
const goroutineSlack = 16

// When a caller disconnects, its run at the engine must be cancelled and no
// goroutine may leak.
func TestAbandonedRequestsAreCancelled(t *testing.T) {
	s := newSystem(t, 2, 1)
	address := s.entries[0].server.Address()
	assertCompleteAnswer(t, "warm up", s.sendPrompt(0, "warm up", nil))
	before := runtime.NumGoroutine()
	t.Run("caller disconnects in the middle of a stream", func(t *testing.T) {
		for range 20 {
			abandonStream(t, "http://"+address)
		}
		s.assertNoWorkLeft(t, before)
		is.New(t).True(s.cancelledRuns() > 0) // runs were cancelled at an engine
	})
	t.Run("caller disconnects before the body is complete", func(t *testing.T) {
		for range 20 {
			c, err := net.Dial("tcp", address)
			is.New(t).NoErr(err)
			_, err = c.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{\"model\""))
			is.New(t).NoErr(err)
			is.New(t).NoErr(c.Close())
		}
		s.assertNoWorkLeft(t, before)
	})
	assertCompleteAnswer(t, "still serving", s.sendPrompt(0, "still serving", nil))
}

// abandonStream reads the first 16 bytes of a stream and disconnects.
func abandonStream(t *testing.T, url string) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	body := `{"model":"desk","stream":true,"messages":[{"role":"user","content":"a long answer"}]}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+DemoKey)
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	_, err = io.ReadFull(resp.Body, make([]byte, 16))
	is.NoErr(err)
	cancel()
	_ = resp.Body.Close()
}

// cancelledRuns returns the number of runs that agents have cancelled.
func (s *system) cancelledRuns() int {
	n := 0
	for _, e := range s.engines {
		for _, v := range e.recorder.Fetch(context.Background(), recorder.Query{}) {
			if v.Kind == tracer.KindCancelled {
				n++
			}
		}
	}
	return n
}

// assertNoWorkLeft waits until no agent has a queued or running attempt and at most
// goroutineSlack goroutines are left in addition to goroutinesBefore.
func (s *system) assertNoWorkLeft(t *testing.T, goroutinesBefore int) {
	t.Helper()
	for range 1000 {
		attempts := 0
		for _, e := range s.engines {
			attempts += e.executor.Attempts()
		}
		if attempts == 0 && runtime.NumGoroutine() <= goroutinesBefore+goroutineSlack {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("work is left: %d goroutines, %d before", runtime.NumGoroutine(), goroutinesBefore)
}
