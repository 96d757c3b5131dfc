package loader

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const entrySettings = `{"identity":"entry-1","availability_zone":"stowe","peer_listen":"10.0.0.5:9001","platform":"http://10.0.0.9:9100",
	"shared_secret":"0123456789abcdef","listen":"10.0.0.5:8080","leaving_pause":"5s","peers":["10.0.0.6:9001"]}`

const agentSettings = `{"identity":"agent-1","availability_zone":"stowe","peer_listen":"10.0.0.5:9001","platform":"http://10.0.0.9:9100",
	"shared_secret":"0123456789abcdef","upstream":"desk-1","upstream_url":"http://127.0.0.1:9000","metrics":"10.0.0.5:9002"}`

// TestReadEntryNamesInvalidFields checks that one error lists all invalid fields, so
// that an operator can correct them at once.
func TestReadEntryNamesInvalidFields(t *testing.T) {
	assertReads(t, entrySettings, ReadEntry)
	for _, c := range []struct{ name, old, replacement, want string }{
		{"empty identity is rejected", `"identity":"entry-1"`, `"identity":""`, "identity:"},
		{"empty availability zone is rejected", `"stowe"`, `""`, "availability_zone:"},
		{"host name as an address is rejected", `"peer_listen":"10.0.0.5:9001"`, `"peer_listen":"host:9001"`, "peer_listen:"},
		{"address without a port is rejected", `"listen":"10.0.0.5:8080"`, `"listen":"10.0.0.5"`, "listen:"},
		{"platform URL without a scheme is rejected", `"http://10.0.0.9:9100"`, `"10.0.0.9:9100"`, "platform:"},
		{"shared secret under the minimum length is rejected", `0123456789abcdef`, `short`, "shared_secret:"},
		{"negative leaving pause is rejected", `"5s"`, `"-5s"`, "leaving_pause:"},
		{"peer address without a port is rejected", `"10.0.0.6:9001"`, `"10.0.0.6"`, "peers:"},
		{"unknown field is rejected", `"identity"`, `"identiti":"x","identity"`, `"identiti"`},
		{"number as the identity is rejected", `"entry-1"`, `7`, "identity"},
		{"invalid JSON is rejected", `{`, `[`, "read "},
		{"two JSON objects are rejected", entrySettings, entrySettings + "{}", "nothing after it"},
		{"all missing fields are listed", entrySettings, "{}", "identity: expects a name that no other process has; availability_zone:"},
	} {
		t.Run(c.name, func(t *testing.T) {
			assertErrorContains(t, strings.Replace(entrySettings, c.old, c.replacement, 1), c.want, ReadEntry)
		})
	}
}

func TestReadAgentNamesInvalidFields(t *testing.T) {
	assertReads(t, agentSettings, ReadAgent)
	for _, c := range []struct{ name, old, replacement, want string }{
		{"empty upstream is rejected", `"desk-1"`, `""`, "upstream:"},
		{"upstream URL without a host is rejected", `"http://127.0.0.1:9000"`, `"http://"`, "upstream_url:"},
		{"metrics address without a port is rejected", `"10.0.0.5:9002"`, `"10.0.0.5"`, "metrics:"},
	} {
		t.Run(c.name, func(t *testing.T) {
			assertErrorContains(t, strings.Replace(agentSettings, c.old, c.replacement, 1), c.want, ReadAgent)
		})
	}
}

func TestReadGatewayNamesInvalidFields(t *testing.T) {
	const settings = `{"identity":"entry-1","availability_zone":"stowe","peer_listen":"10.0.0.5:9001","platform":"http://10.0.0.9:9100",
		"shared_secret":"0123456789abcdef","listen":"10.0.0.5:8080","ready_listen":"10.0.0.5:8081","grace_period":"8s","notice_period":"2s",
		"leaving_limit":"2s","retry_share":0.2,"retry_slack":50,"memory_limit_mb":284}`
	assertReads(t, settings, ReadGateway)
	assertReads(t, strings.Replace(settings, `,"memory_limit_mb":284`, "", 1), ReadGateway)
	for _, c := range []struct{ name, replacement string }{
		{"memory limit below that of an idle process is rejected", "63"},
		{"negative memory limit is rejected", "-1"},
		{"memory limit with a unit is rejected", `"284MB"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			assertErrorContains(t, strings.Replace(settings, ":284", ":"+c.replacement, 1), "memory_limit_mb", ReadGateway)
		})
	}
}

// TestReadSecretAcceptsAnySettings checks that the secret can be read from the
// settings of both an entry and an agent.
func TestReadSecretAcceptsAnySettings(t *testing.T) {
	for _, text := range []string{entrySettings, agentSettings} {
		s, err := ReadSecret(writeSettings(t, text))
		is.New(t).NoErr(err)
		is.New(t).Equal(s, "0123456789abcdef")
	}
	assertErrorContains(t, "{}", "shared_secret:", ReadSecret)
}

func TestReadEntryFailsWithoutFile(t *testing.T) {
	_, err := ReadEntry(filepath.Join(t.TempDir(), "none"))
	is.New(t).True(err != nil)
}

// FuzzSettings checks that valid settings are still valid after encoding and
// decoding.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(entrySettings))
	f.Add([]byte(agentSettings))
	f.Add([]byte(`{"peers":[null],"leaving_pause":"1h1h"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		assertRoundTrip(t, data, Entry.Check)
		assertRoundTrip(t, data, Agent.Check)
	})
}

// assertRoundTrip checks that settings that are valid remain valid after encoding
// and decoding.
func assertRoundTrip[S any](t *testing.T, data []byte, check func(S) error) {
	t.Helper()
	var first, second S
	if decode(data, &first) != nil || check(first) != nil {
		return
	}
	text, err := json.Marshal(first)
	is.New(t).NoErr(err)
	is.New(t).NoErr(decode(text, &second))
	is.New(t).NoErr(check(second))
}

func assertReads[S any](t *testing.T, text string, read func(string) (S, error)) {
	t.Helper()
	_, err := read(writeSettings(t, text))
	is.New(t).NoErr(err)
}

func assertErrorContains[S any](t *testing.T, text, want string, read func(string) (S, error)) {
	t.Helper()
	_, err := read(writeSettings(t, text))
	is.New(t).True(err != nil)
	is.New(t).True(strings.Contains(err.Error(), want))
}

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}
