package starter

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// assertKeysRefused checks that requests with these keys are answered 401 and not run.
func assertKeysRefused(t *testing.T, r *gatewayFixture, g *gateway, keys ...string) {
	t.Helper()
	for i, key := range keys {
		id := fmt.Sprint("refused-", i)
		a := g.call(http.MethodPost, "/hold/1", id, "", func(q *http.Request) { setKey(q, key) })
		assertStatus(t, a, http.StatusUnauthorized)
		is.New(t).Equal(len(r.runnersOf(id)), 0)
	}
}

// setKey replaces the key of a request. An empty key leaves it without one.
func setKey(q *http.Request, key string) {
	q.Header.Del("Authorization")
	if key != "" {
		q.Header.Set("Authorization", "Bearer "+key)
	}
}

// assertInForce waits until an entry has the last configuration of the fixture in force.
func assertInForce(t *testing.T, r *gatewayFixture, g *gateway) {
	t.Helper()
	version := int64(r.configurationVersion)
	assertEventually(t, "the configuration is in force", func() bool { return g.forwarder.State().Table.Configuration.Version == version })
}

// When the last organisation was removed, requests ran with any key and without one.
func TestGatewayRemovalOfLastOrganisationOpensNoRoute(t *testing.T) {
	for _, c := range []struct {
		name string
		list any
	}{
		{"empty list", []any{}},
		{"null", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newGatewayFixture(t, 1)
			g := r.startReadyEntry()
			assertStatus(t, g.call(http.MethodPost, "/hold/1", "admitted", "", nil), http.StatusOK)
			r.configure(func(m map[string]any) { m["tenants"] = c.list })
			assertInForce(t, r, g)
			assertKeysRefused(t, r, g, "key", "unknown", "")
		})
	}
	t.Run("learned from another entry", func(t *testing.T) {
		r := newGatewayFixture(t, 1)
		r.configure(func(m map[string]any) { m["tenants"] = []any{} })
		g := r.startReadyEntry()
		second := r.startEntry("entry-2", "http://"+freeAddress(t), g.peerAddress)
		assertEventually(t, "in step", second.inSync)
		assertInForce(t, r, second)
		assertKeysRefused(t, r, second, "key", "unknown", "")
	})
	t.Run("no list", func(t *testing.T) {
		r := newGatewayFixture(t, 1)
		r.configure(func(m map[string]any) { delete(m, "tenants") })
		g := r.startReadyEntry()
		assertInForce(t, r, g)
		for i, key := range []string{"key", ""} {
			a := g.call(http.MethodPost, "/hold/1", fmt.Sprint("admitted-", i), "", func(q *http.Request) { setKey(q, key) })
			assertStatus(t, a, http.StatusOK)
		}
	})
}
