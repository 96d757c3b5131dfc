package starter

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"go.uber.org/fx"

	"magnoliafront.dev/magnoliafront/internal/process/accessor"
	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/internal/process/loader"
	"magnoliafront.dev/magnoliafront/internal/process/writer"
	"magnoliafront.dev/magnoliafront/internal/version/cataloger"
	"magnoliafront.dev/magnoliafront/pkg/descriptor"
	"magnoliafront.dev/magnoliafront/pkg/timer"
	"magnoliafront.dev/magnoliafront/pkg/tracer"
)

// The unmodified OpenAI client library must work against the whole system.
func TestOpenAIClientWorksUnmodified(t *testing.T) {
	d := startDemo(t)
	client := openai.NewClient(option.WithBaseURL("http://"+d.Address+"/v1"), option.WithAPIKey(DemoKey), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model:     "desk",
		MaxTokens: openai.Int(7),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Did beacon 12 pass its battery check?")},
	}
	t.Run("whole answer", func(t *testing.T) {
		is := is.New(t)
		c, err := client.Chat.Completions.New(t.Context(), params)
		is.NoErr(err)
		assertTokens(t, c.Choices[0].Message.Content, 7)
		is.Equal(c.Usage.CompletionTokens, int64(7))
	})
	t.Run("streamed answer", func(t *testing.T) {
		is := is.New(t)
		s := client.Chat.Completions.NewStreaming(t.Context(), params)
		acc := openai.ChatCompletionAccumulator{}
		for s.Next() {
			acc.AddChunk(s.Current())
		}
		is.NoErr(s.Err())
		assertTokens(t, acc.Choices[0].Message.Content, 7)
	})
	t.Run("models", func(t *testing.T) {
		is := is.New(t)
		page, err := client.Models.List(t.Context())
		is.NoErr(err)
		is.Equal(len(page.Data), 2)
		is.Equal(page.Data[0].ID, "desk")
		is.Equal(page.Data[1].ID, "racik")
	})
}

// The body of a call to a plain service must be passed on unchanged, and the call
// must run once.
func TestServiceCallPassesBodyAndRunsOnce(t *testing.T) {
	d := startDemo(t)
	is := is.New(t)
	resp, body := post(t, d, "/services/booking/holds", "unit 12", map[string]string{"Magnoliafront-Class": "hold"})
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "{\"path\":\"/holds\",\"runs\":1}\n")
	is.Equal(d.Service.Runs(http.MethodPost, "/holds", "unit 12"), 1)
}

// Invalid input must be refused with its error code and the outcome not_run.
func TestBadInputIsRefusedAsNotRun(t *testing.T) {
	d := startDemo(t)
	const good = `{"model":"desk","messages":[{"role":"user","content":"hi"}]}`
	for _, c := range []struct {
		name, path, body string
		header           map[string]string
		status           int
		code             string
	}{
		{"malformed JSON", "/v1/chat/completions", `{"model":`, nil, http.StatusBadRequest, "malformed_json"},
		{"no model", "/v1/chat/completions", `{"messages":[]}`, nil, http.StatusBadRequest, "missing_field"},
		{"no messages", "/v1/chat/completions", `{"model":"desk"}`, nil, http.StatusBadRequest, "missing_field"},
		{"unknown model", "/v1/chat/completions", strings.Replace(good, "desk", "other", 1), nil, http.StatusNotFound, "unknown_model"},
		{"unknown key", "/v1/chat/completions", good, map[string]string{"Authorization": "Bearer x"}, http.StatusUnauthorized, "unknown_key"},
		{"unknown class", "/v1/chat/completions", good, map[string]string{"Magnoliafront-Class": "x"}, http.StatusBadRequest, "unknown_class"},
		{"unknown service", "/services/none/x", "", nil, http.StatusNotFound, "unknown_service"},
		{"unknown path", "/v2/x", "", nil, http.StatusNotFound, "unknown_path"},
		{"wrong method", "/v1/models", "", nil, http.StatusMethodNotAllowed, "wrong_method"},
		{"oversized body", "/services/booking/x", strings.Repeat("x", 600<<10), nil, http.StatusRequestEntityTooLarge, "body_too_large"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			resp, body := post(t, d, c.path, c.body, c.header)
			is.Equal(resp.StatusCode, c.status)
			is.Equal(resp.Header.Get("Magnoliafront-Outcome"), "not_run")
			is.True(strings.Contains(body, `"code":"`+c.code+`"`))
		})
	}
}

// A new or changed class must take effect in a running system.
func TestChangedClassTakesEffect(t *testing.T) {
	is := is.New(t)
	events := make(chan tracer.Event, 1024)
	d := startDemoWith(t, DemoOptions{Observe: func(e tracer.Event) { events <- e }})
	const body = `{"model":"racik","max_tokens":3,"messages":[{"role":"user","content":"hi"}]}`
	header := map[string]string{"Magnoliafront-Class": "new-class"}
	resp, _ := post(t, d, "/v1/chat/completions", body, header)
	is.Equal(resp.StatusCode, http.StatusBadRequest)
	w := writer.Writer{Store: &accessor.Client{URL: d.Platform}, Clock: timer.System{}, Name: "test"}
	for _, tier := range []int{3, 5} {
		r := descriptor.Record{SchemaVersion: 2, Kind: descriptor.KindClass, Name: "new-class", Class: &descriptor.Class{Tier: tier, Repeatable: true}}
		result, err := w.Change(t.Context(), writer.Change{Put: []descriptor.Record{r}})
		is.NoErr(err)
		awaitEvent(events, func(e tracer.Event) bool {
			return e.Kind == tracer.KindRevisionInForce && e.Revision >= result.Revision
		})
		resp, _ = post(t, d, "/v1/chat/completions", body, header)
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(awaitEvent(events, func(e tracer.Event) bool { return e.Kind == tracer.KindAdmitted }).Tier, tier)
	}
}

// An agent that starts while the platform is down must get the records from its
// peers.
func TestAgentWithoutPlatformGetsRecordsFromPeers(t *testing.T) {
	is := is.New(t)
	d := startDemo(t)
	events := make(chan tracer.Event, 1024)
	s := loader.Agent{Common: d.commonSettings("agent-desk-3", "pinkham"), Upstream: "desk-3", UpstreamURL: "http://" + unreachableAddress}
	s.Platform = "http://" + unreachableAddress
	is.NoErr(d.startApp(t.Context(), Agent(s), fx.Supply(Observer(func(e tracer.Event) { events <- e }))))
	e := awaitEvent(events, func(e tracer.Event) bool { return e.Kind == tracer.KindRevisionInForce })
	is.Equal(e.Revision, int64(1))
}

// The status of an availability zone must show since when a revision is in force,
// and the metrics must show the bytes of the control plane.
func TestZoneStatusShowsRevisionInForce(t *testing.T) {
	is := is.New(t)
	d := startDemo(t)
	store := &accessor.Client{URL: d.Platform}
	var status cataloger.Status
	for o := (accessor.Object{Version: -1}); len(status.Reached) == 0 || status.MemberCount < 5 || status.LaggingCount > 0; {
		var err error
		o, err = store.Watch(t.Context(), cataloger.StatusPrefix+"north-conway", o.Version)
		is.NoErr(err)
		if o.Version > 0 {
			status = cataloger.Status{}
			is.NoErr(json.Unmarshal(o.Value, &status))
		}
	}
	_, ok := status.InForceSince(1)
	is.True(ok)
	resp, err := http.Get("http://" + d.Address + "/metrics")
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.True(strings.Contains(string(data), `magnoliafront_control_bytes_total{direction="sent",method="exchange"`))
	is.True(strings.Contains(string(data), `method="fetch_records"`))
}

// awaitEvent returns the next event for which matches returns true.
func awaitEvent(events <-chan tracer.Event, matches func(tracer.Event) bool) tracer.Event {
	for {
		if e := <-events; matches(e) {
			return e
		}
	}
}

func startDemo(t *testing.T) *Demo {
	t.Helper()
	return startDemoWith(t, DemoOptions{})
}

func startDemoWith(t *testing.T, o DemoOptions) *Demo {
	t.Helper()
	o.Listen, o.Prefill, o.Gap = "127.0.0.1:0", time.Millisecond, time.Millisecond
	d, err := StartDemo(t.Context(), o)
	is.New(t).NoErr(err)
	t.Cleanup(func() { is.New(t).NoErr(d.Stop(context.Background())) })
	return d
}

func post(t *testing.T, d *Demo, path, body string, header map[string]string) (*http.Response, string) {
	t.Helper()
	is := is.New(t)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+d.Address+path, strings.NewReader(body))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+DemoKey)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return resp, string(data)
}

// assertTokens checks that text consists of the tokens 0 to n-1 of one answer,
// each once and in order.
func assertTokens(t *testing.T, text string, n int) {
	t.Helper()
	is := is.New(t)
	tokens := strings.Fields(text)
	is.Equal(len(tokens), n)
	for i, token := range tokens {
		_, number, ok := strings.Cut(token, ".")
		is.True(ok)
		is.Equal(number, strings.TrimSpace(strings.SplitN(emulator.AnswerToken(0, i), ".", 2)[1]))
	}
}
