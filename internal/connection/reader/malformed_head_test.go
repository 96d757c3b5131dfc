package reader

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// assertHeadIsLost checks the event of an answer with a head, of a service and of an engine.
// The upstream may have run the request. It counts as crashed only with crashed.
func assertHeadIsLost(t *testing.T, head string, crashed bool) {
	t.Helper()
	const stream = "data: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\ndata: [DONE]\n\n"
	url, client := cuttingUpstream(t, head+"\r\n"+stream), NewClient()
	events := make(chan Event, 8)
	emit := func(e Event) { events <- e }
	t.Run("service", func(t *testing.T) {
		NewService(client, timer.System{}, url, Job{Call: &messenger.Call{Method: http.MethodPost, Path: "/whole/closed"}}, emit)
		assertEnd(t, <-events, crashed)
	})
	t.Run("engine", func(t *testing.T) {
		NewEngine(client, timer.System{}, url+"/whole/closed", Job{Body: []byte(`{}`)}, emit)
		assertEnd(t, <-events, crashed)
	})
}

func assertEnd(t *testing.T, e Event, crashed bool) {
	t.Helper()
	is := is.New(t)
	is.Equal(e.Kind, EventLost)
	is.Equal(e.Crashed, crashed)
	is.Equal(e.Unreachable, crashed)
}

// An answer with status 000 of a service was passed on. That of an engine was taken for a
// promise that the request has not run.
func TestAnswerWithInvalidStatusIsLost(t *testing.T) {
	for _, status := range []string{"000", "000 Failed", "020 OK", "+20 OK", "099 OK", "101 Switching Protocols", "600 Failed", "999 Failed"} {
		t.Run(status, func(t *testing.T) { assertHeadIsLost(t, "HTTP/1.1 "+status+"\r\n", false) })
	}
	t.Run("after an informational answer", func(t *testing.T) {
		assertHeadIsLost(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Failed\r\n", false)
	})
}

// An answer with a blank in a field name was passed on, with another body than that of the
// upstream if the field was meant to state the length or the encoding.
func TestAnswerWithInvalidFieldNameIsLost(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Note: a\r\n"
	for _, c := range []struct{ name, head string }{
		{"blank within the name", head + "X Odd: 1\r\n"},
		{"length with a blank", head + "Content-Length : 2\r\n"},
		{"chunks with a blank", head + "Transfer-Encoding : chunked\r\n"},
		{"failure", "HTTP/1.1 500 Failed\r\nX Odd: 1\r\n"},
		{"refusal", "HTTP/1.1 503 Full\r\nX Odd: 1\r\n"},
		{"informational answer", "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) { assertHeadIsLost(t, c.head, false) })
	}
	// net/http rejects this answer by itself, and that to the health check as well.
	t.Run("control byte", func(t *testing.T) { assertHeadIsLost(t, head+"X\x01Odd: 1\r\n", true) })
}
