package responder

import (
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
