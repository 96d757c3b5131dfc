package loader

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const dutySettings = `{"identity":"entry-1","availability_zone":"stowe","peer_listen":"10.0.0.5:9001","platform":"http://10.0.0.9:9100",
	"shared_secret":"0123456789abcdef","listen":"10.0.0.5:8080","ready_listen":"10.0.0.5:8081","grace_period":"8s","notice_period":"2s",
	"leaving_limit":"2s","retry_share":0.2,"retry_slack":50,"duties":{"api":"http://10.0.0.9:9200","usage":true,
	"scale":{"name":"b","in":["a","b"]},"calls_per_second":4,"lease_duration":"3000ms","usage_window":"5s","usage_due":"10s"}}`

// An invalid setting of a duty must stop the start with its name, value and limit: a
// duty that runs with a default instead would report wrong or late.
func TestReadGatewayNamesInvalidDuties(t *testing.T) {
	assertReads(t, dutySettings, ReadGateway)
	for _, c := range []struct{ name, old, replacement, want string }{
		{"API without a scheme", `"http://10.0.0.9:9200"`, `"10.0.0.9:9200"`, "duties.api:"},
		{"no calls allowed", `"calls_per_second":4`, `"calls_per_second":0`, "duties.calls_per_second: expects a number above 0 and up to 1000, got 0"},
		{"lease below the minimum", `"3000ms"`, `"30ms"`, `duties.lease_duration: expects a duration from 1s to 1m0s, got "30ms"`},
		{"lease without a unit", `"3000ms"`, `"3000"`, "duties.lease_duration:"},
		{"window of zero", `"5s"`, `"0s"`, "duties.usage_window:"},
		{"usage due before a lease ends", `"10s"`, `"2s"`, `duties.usage_due: expects a duration from 3s to 1h0m0s, got "2s"`},
		{"number as a switch", `"usage":true`, `"usage":1`, "read "},
	} {
		t.Run(c.name, func(t *testing.T) {
			assertErrorContains(t, strings.Replace(dutySettings, c.old, c.replacement, 1), c.want, ReadGateway)
		})
	}
}

// A duty that the platform does not list must not run, and one that it lists must.
func TestSwitchIsTrueIfListHasName(t *testing.T) {
	for _, c := range []struct {
		text string
		want Switch
	}{
		{`true`, true},
		{`false`, false},
		{`{"name":"b","in":["a","b"]}`, true},
		{`{"name":"b","in":["a"]}`, false},
		{`{"name":"b","in":[]}`, false},
	} {
		t.Run(c.text, func(t *testing.T) {
			var s Switch
			is.New(t).NoErr(s.UnmarshalJSON([]byte(c.text)))
			is.New(t).Equal(s, c.want)
		})
	}
}

// The template must render valid settings with the table of the API and without it.
func TestTemplateRendersDuties(t *testing.T) {
	template, err := os.ReadFile("../../../deploy/entry.json.tmpl")
	is.New(t).NoErr(err)
	values := strings.NewReplacer(
		"{{node_name|json}}", `"entry-1"`, "{{zone|json}}", `"stowe"`, "{{listen.front|json}}", `"10.0.0.5:8080"`,
		"{{listen.ready|json}}", `"10.0.0.5:8081"`, "{{listen.control|json}}", `"10.0.0.5:9001"`, "{{seed_nodes|json}}", `[]`,
		"{{platform.address}}", "10.0.0.9:9100", "{{ip}}", "10.0.0.5", "{{bounds.grace_period_s}}", "8", "{{bounds.drain_ms}}", "2000",
		"{{bounds.stability_window_ms}}", "3000", "{{bounds.retry_budget_ratio}}", "0.2", "{{bounds.retry_budget_slack}}", "50",
		"{{limits.memory_mb}}", "284", "{{#cloud_api}}", "", "{{/cloud_api}}", "", "{{cloud_api.address}}", "10.0.0.9:9200",
		"{{cloud_api.duties|json}}", `["metering"]`, "{{cloud_api.duty_per_s}}", "4", "{{bounds.lease_ms}}", "3000",
		"{{bounds.usage_window_s}}", "5", "{{bounds.usage_late_s}}", "10",
	)
	t.Run("with the API", func(t *testing.T) {
		g, err := ParseGateway([]byte(values.Replace(string(template))))
		is := is.New(t)
		is.NoErr(err)
		is.True(bool(g.Duties.Usage))
		is.True(!bool(g.Duties.Scale))
	})
	t.Run("without the API", func(t *testing.T) {
		before, rest, _ := strings.Cut(string(template), "{{#cloud_api}}")
		_, after, _ := strings.Cut(rest, "{{/cloud_api}}")
		g, err := ParseGateway([]byte(values.Replace(before + after)))
		is.New(t).NoErr(err)
		is.New(t).True(g.Duties == nil)
	})
}
