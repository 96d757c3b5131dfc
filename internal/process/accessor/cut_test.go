package accessor

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// A platform that ends within an answer leaves a part that ends in an orderly way. A part of
// a list must not count as a list, nor a part of an object as the object.
func TestCutAnswerOfPlatformIsAnError(t *testing.T) {
	for _, c := range []struct {
		name, whole string
		call        func(*Client) error
	}{
		{"list", `[{"key":"a/1","version":3,"value":"eA=="},{"key":"a/2","version":4}]`, func(c *Client) error {
			_, err := c.List(t.Context(), "a/")
			return err
		}},
		{"object", `{"key":"a/1","version":3,"value":"eA=="}`, func(c *Client) error {
			_, err := c.Get(t.Context(), "a/1")
			return err
		}},
		{"answer to a write", `{"key":"a/1","version":3,"value":"eA=="}`, func(c *Client) error {
			_, err := c.Put(t.Context(), "a/1", []byte("x"), 2)
			return err
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			length := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Transfer-Encoding", "identity")
				_, _ = w.Write([]byte(c.whole[:length]))
			}))
			defer server.Close()
			for ; length < len(c.whole); length++ {
				if c.call(&Client{URL: server.URL}) == nil {
					t.Errorf("%q counts as whole", c.whole[:length])
				}
			}
			is.New(t).NoErr(c.call(&Client{URL: server.URL}))
		})
	}
}
