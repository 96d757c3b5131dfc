package accessor

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A platform that accepts connections and never responds must not block the
// caller, and a write without a response must not be reported as having no effect.
func TestCallTimesOutWhenPlatformNeverResponds(t *testing.T) {
	release := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer s.Close()
	defer close(release)
	c := &Client{URL: s.URL, Timeout: time.Millisecond, WatchTimeout: time.Millisecond}
	for _, call := range []struct {
		name string
		kind ErrorKind
		do   func(context.Context) error
	}{
		{"get", ErrorUnavailable, func(ctx context.Context) error { _, err := c.Get(ctx, "k"); return err }},
		{"list", ErrorUnavailable, func(ctx context.Context) error { _, err := c.List(ctx, "k"); return err }},
		{"watch", ErrorUnavailable, func(ctx context.Context) error { _, err := c.Watch(ctx, "k", 1); return err }},
		{"put", ErrorOutcomeUnknown, func(ctx context.Context) error { _, err := c.Put(ctx, "k", nil, 0); return err }},
		{"delete", ErrorOutcomeUnknown, func(ctx context.Context) error { return c.Delete(ctx, "k", 1) }},
	} {
		t.Run(call.name, func(t *testing.T) {
			assertKind(t, call.do(t.Context()), call.kind)
		})
	}
}

func assertKind(t *testing.T, err error, k ErrorKind) {
	t.Helper()
	is.New(t).True(IsKind(err, k)) // error has the expected kind
}
