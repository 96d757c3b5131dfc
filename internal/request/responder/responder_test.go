package responder

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
)

// A service that closes its own connection must not close the caller's: its
// hop-by-hop header fields and its Content-Length are not forwarded.
func TestWriteResponseDropsHopByHopHeaders(t *testing.T) {
	is := is.New(t)
	w := httptest.NewRecorder()
	replies := NewRing()
	replies.Put(t.Context(), Reply{Kind: KindResponse, Response: &messenger.Response{
		Status: http.StatusCreated, Body: []byte("held"),
		Header: map[string][]string{"Connection": {"close"}, "X-Hold": {"12"}, "Content-Length": {"99"}},
	}})
	is.NoErr(WriteResponse(t.Context(), w, replies))
	is.Equal(w.Code, http.StatusCreated)
	is.Equal(w.Body.String(), "held")
	assertHeader(t, w.Header(), map[string]string{
		"Connection": "", "X-Hold": "12", "Content-Length": "4", OutcomeHeader: string(admitter.OutcomeRan),
	})
}

// writtenResponse returns what a caller gets for a response of a service.
func writtenResponse(t *testing.T, method, protocol string, r messenger.Response) *http.Response {
	t.Helper()
	return answerTo(t, method, protocol, func(w http.ResponseWriter, q *http.Request) {
		replies := NewRing()
		replies.Put(q.Context(), Reply{Kind: KindResponse, Response: &r})
		_ = WriteResponse(q.Context(), w, replies)
	})
}

// The first part of a response that its service would have ended with the connection got a
// Content-Length that fits, so that the caller took it for the whole.
func TestWriteResponseKeepsCloseDelimitedFraming(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, body := range []string{"half", ""} {
			t.Run(fmt.Sprint(protocol, " with ", len(body), " bytes"), func(t *testing.T) {
				resp := writtenResponse(t, http.MethodGet, protocol, messenger.Response{Status: http.StatusOK, Body: []byte(body), CloseDelimited: true})
				is := is.New(t)
				data, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.Equal(string(data), body)
				is.Equal(len(resp.TransferEncoding), 0)
				is.True(resp.Close)
				assertHeader(t, resp.Header, map[string]string{"Content-Length": ""})
			})
		}
	}
}

// A response to a HEAD request got a Content-Length of zero, which says that the response
// to a GET request would have no body.
func TestWriteResponseStatesNoLengthForHEAD(t *testing.T) {
	for _, c := range []struct {
		method string
		length string
	}{{http.MethodHead, ""}, {http.MethodGet, "0"}} {
		t.Run(c.method, func(t *testing.T) {
			resp := writtenResponse(t, c.method, "HTTP/1.1", messenger.Response{Status: http.StatusOK})
			assertHeader(t, resp.Header, map[string]string{"Content-Length": c.length})
		})
	}
}

// A failure must carry its outcome and the time until a retry, rounded up to
// whole seconds.
func TestWriteFailureSetsOutcomeAndRetryAfter(t *testing.T) {
	w := httptest.NewRecorder()
	WriteFailure(w, admitter.LimitReachedFailure())
	is.New(t).Equal(w.Code, http.StatusTooManyRequests)
	assertHeader(t, w.Header(), map[string]string{"Retry-After": "1", OutcomeHeader: string(admitter.OutcomeNotRun)})
}

func assertHeader(t *testing.T, h http.Header, want map[string]string) {
	t.Helper()
	for name, value := range want {
		is.New(t).Equal(h.Get(name), value) // value of the header field
	}
}

// A request that ended inside the entry without a reply, at its exit for example, closed the
// connection of its caller, who could have got a failure: nothing had been written.
func TestRequestWithoutReplyGetsFailure(t *testing.T) {
	for _, c := range []struct {
		name  string
		write func(http.ResponseWriter, *Ring) error
	}{
		{"response of a service", func(w http.ResponseWriter, r *Ring) error { return WriteResponse(t.Context(), w, r) }},
		{"completion", func(w http.ResponseWriter, r *Ring) error {
			return WriteCompletion(t.Context(), w, CompletionMetadata{}, r)
		}},
		{"stream", func(w http.ResponseWriter, r *Ring) error {
			return StreamCompletion(t.Context(), w, CompletionMetadata{}, r)
		}},
		{"models", func(w http.ResponseWriter, r *Ring) error { return WriteModels(t.Context(), w, r) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			replies := NewRing()
			replies.Close()
			w := httptest.NewRecorder()
			is := is.New(t)
			is.NoErr(c.write(w, replies))
			is.Equal(w.Code, http.StatusBadGateway)
			assertHeader(t, w.Header(), map[string]string{OutcomeHeader: string(admitter.OutcomeUnknown)})
		})
	}
}
