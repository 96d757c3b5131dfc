package receiver

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/carrier"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/request/relayer"
)

// The line of an answer that was cut off did not tell whether its caller can see that. An
// upstream that frames its answer does not help a caller who speaks HTTP/1.0.
func TestFramingOfAnswerToCaller(t *testing.T) {
	length := http.Header{"Content-Length": {"12"}}
	for _, c := range []struct {
		name, protocol string
		replies        []relayer.Reply
		framing        carrier.Framing
	}{
		{"no head", "HTTP/1.1", nil, carrier.FramingNone},
		{"chunks", "HTTP/1.1", []relayer.Reply{{Kind: relayer.KindHead, Status: http.StatusOK}}, carrier.FramingChunks},
		{"length", "HTTP/1.1", []relayer.Reply{{Kind: relayer.KindHead, Status: http.StatusOK, Header: length}}, carrier.FramingLength},
		{"end of the connection", "HTTP/1.1", []relayer.Reply{{Kind: relayer.KindHead, Status: http.StatusOK, CloseDelimited: true}}, carrier.FramingClose},
		{"HTTP/1.0, chunks of the upstream", "HTTP/1.0", []relayer.Reply{{Kind: relayer.KindHead, Status: http.StatusOK}}, carrier.FramingClose},
		{"HTTP/1.0, length", "HTTP/1.0", []relayer.Reply{{Kind: relayer.KindHead, Status: http.StatusOK, Header: length}}, carrier.FramingLength},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			req := httptest.NewRequest(http.MethodPost, "/x", nil)
			var ok bool
			req.ProtoMajor, req.ProtoMinor, ok = http.ParseHTTPVersion(c.protocol)
			is.True(ok)
			ring := relayer.NewRing()
			for _, r := range c.replies {
				ring.Put(t.Context(), r)
			}
			ring.Close()
			w := httptest.NewRecorder()
			is.True(relayer.Relay(t.Context(), w, ring, func(http.ResponseWriter, *admitter.Failure) {}) != nil)
			is.Equal(answerFraming(w, req), c.framing)
		})
	}
}
