package decoder

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Two different calls must not have the same digest, or the answer of one would
// be replayed for the other under the same idempotency key.
func TestDifferentCallsHaveDifferentDigests(t *testing.T) {
	assertDistinct(t,
		digestOfCall(t, "/x", "", "12"),
		digestOfCall(t, "/x", "", "13"),
		digestOfCall(t, "/x", "y", "12"),
		digestOfCall(t, "/x", "y?", "12"),
		digestOfCall(t, "/x?y", "", "12"),
		digestOfCall(t, "/xy", "", "12"),
	)
}

// digestOfCall returns the content digest of a call with the given decoded path,
// query and body.
func digestOfCall(t *testing.T, path, query, body string) string {
	t.Helper()
	r := httptest.NewRequest("POST", "/services/booking/x", nil)
	r.URL.RawQuery = query
	return ReadCall(r, []byte(body), "booking", path, "id", time.Unix(0, 0)).ContentDigest
}

func assertDistinct(t *testing.T, digests ...string) {
	t.Helper()
	seen := map[string]bool{}
	for _, d := range digests {
		is.New(t).True(!seen[d]) // the digest is unique
		seen[d] = true
	}
}
