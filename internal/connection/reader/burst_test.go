package reader

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/scheduler"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// arrivedResponse is a transport whose response has arrived as a whole.
type arrivedResponse string

// RoundTrip implements [http.RoundTripper].
func (a arrivedResponse) RoundTrip(q *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(a))), Request: q}, nil
}

// Tokens that an engine held back while it was silent came as one event each. Their number
// exceeded the ring of the connection to the entry, which was closed, so that the answers
// of all requests on it were cut off.
func TestTokensThatArriveTogetherAreEmittedTogether(t *testing.T) {
	const tokens, maxEvents = 2000, 100
	body := strings.Repeat("data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n", tokens) + "data: [DONE]\n\n"
	events := make(chan Event, tokens+1)
	client := &http.Client{Transport: arrivedResponse(body)}
	NewEngine(client, timer.NewManual(time.Unix(0, 0)), "http://engine", Job{Key: scheduler.Key{Request: "r"}, Body: []byte(`{}`), ResumeFrom: 7}, func(e Event) { events <- e })
	is := is.New(t)
	n := 0
	for next := 7; ; n++ {
		e := <-events
		if e.Kind != EventTokens {
			is.Equal(e.Kind, EventFinished)
			is.Equal(next, 7+tokens)
			break
		}
		is.Equal(e.First, next)
		next += len(e.Tokens)
	}
	is.True(n <= maxEvents)
}
