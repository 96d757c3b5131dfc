package decoder

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Two different calls must not share a digest, or the answer of one would be
// replayed to the other under the same idempotency key.
func TestDigestOfCalls(t *testing.T) {
	assertDistinct(t,
		digestOf(t, "/x", "", "12"),
		digestOf(t, "/x", "", "13"),
		digestOf(t, "/x", "y", "12"),
		digestOf(t, "/x", "y?", "12"),
		digestOf(t, "/x?y", "", "12"),
		digestOf(t, "/xy", "", "12"),
	)
}

// digestOf returns the digest of a call with the decoded path and the query.
func digestOf(t *testing.T, path, query, body string) string {
	t.Helper()
	r := httptest.NewRequest("POST", "/services/booking/x", strings.NewReader(body))
	r.URL.RawQuery = query
	q, f := ReadCall(httptest.NewRecorder(), r, "booking", path, "id", time.Unix(0, 0))
	is.New(t).True(f == nil)
	return q.ContentDigest
}

func assertDistinct(t *testing.T, digests ...string) {
	t.Helper()
	seen := map[string]bool{}
	for _, d := range digests {
		is.New(t).True(!seen[d]) // a digest of its own
		seen[d] = true
	}
}
