package starter

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/allocator"
	"magnoliafront.dev/magnoliafront/internal/process/loader"
	"magnoliafront.dev/magnoliafront/platform"
)

// startPlatformWithAnswer starts a platform that answers each call with the same bytes. It
// returns the URL.
func startPlatformWithAnswer(t *testing.T, answer string) string {
	t.Helper()
	return "http://" + listenRaw(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		for req, err := http.ReadRequest(in); err == nil; req, err = http.ReadRequest(in) {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(conn, answer)
		}
	})
}

// assertNoAcknowledgement checks that the outcome of each kind of write is unknown after the
// answer.
func assertNoAcknowledgement(t *testing.T, answer string) {
	t.Helper()
	url := startPlatformWithAnswer(t, answer)
	settings := loader.Gateway{Common: loader.Common{Platform: url}, Duties: &loader.Duties{API: url}}
	t.Run("store of the gateway", func(t *testing.T) {
		store, err := newStore(settings, allocator.Shares{})
		is := is.New(t)
		is.NoErr(err)
		is.True(accessor.IsKind(store.Delete(t.Context(), "entries/e", 1), accessor.ErrorOutcomeUnknown))
	})
	t.Run("API", func(t *testing.T) {
		api, err := newAPI(settings)
		is := is.New(t)
		is.NoErr(err)
		var failure *platform.Error
		is.True(errors.As(api.OrderScale(t.Context(), "e", 1, "desk", "z", 2), &failure))
		is.Equal(failure.Kind, platform.ErrorOutcomeUnknown)
	})
	t.Run("store", func(t *testing.T) {
		is.New(t).True(accessor.IsKind(newObjectClient(url).Delete(t.Context(), "entries/e", 1), accessor.ErrorOutcomeUnknown))
	})
}

// An invalid answer of the platform counted as an acknowledgement of a write, or as a refusal
// of an order that may have been carried out.
func TestInvalidAnswerOfPlatformIsNoAcknowledgement(t *testing.T) {
	const end = "Content-Length: 2\r\n\r\n{}"
	t.Run("status", func(t *testing.T) { assertNoAcknowledgement(t, "HTTP/1.1 000 Failed\r\n"+end) })
	t.Run("field name", func(t *testing.T) { assertNoAcknowledgement(t, "HTTP/1.1 200 OK\r\nX Odd: 1\r\n"+end) })
}
