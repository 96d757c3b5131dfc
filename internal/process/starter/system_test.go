package starter

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/fx"

	"magnoliafront.dev/magnoliafront/internal/process/acceptor"
	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/internal/process/exchanger"
	"magnoliafront.dev/magnoliafront/internal/process/executor"
	"magnoliafront.dev/magnoliafront/internal/process/loader"
	"magnoliafront.dev/magnoliafront/internal/process/recorder"
	"magnoliafront.dev/magnoliafront/internal/process/router"
	"magnoliafront.dev/magnoliafront/internal/process/server"
	"magnoliafront.dev/magnoliafront/internal/process/writer"
	"magnoliafront.dev/magnoliafront/pkg/descriptor"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// system runs entries, engines and agents on loopback. Engines can be crashed, and
// entries and agents can be stopped gracefully. A [fleet] can also replace and
// crash entries and agents.
type system struct {
	t        *testing.T
	platform *emulator.Platform
	url      string
	entries  []*entryProcess
	// peers are the addresses on which the entries accept other processes.
	peers   []string
	engines []*engineProcess
}

type entryProcess struct {
	app    *fx.App
	server *server.Server
	router *router.Router
	// exchanger knows the other entries.
	exchanger *exchanger.Exchanger
}

// engineProcess is an engine with its agent.
type engineProcess struct {
	name         string
	http         *httptest.Server
	app          *fx.App
	executor     *executor.Executor
	recorder     *recorder.Recorder
	agentAddress string
	// requests counts the requests that reached the engine.
	requests atomic.Int64
}

func newSystem(t *testing.T, engines, entries int) *system {
	t.Helper()
	s := &system{t: t, platform: emulator.NewPlatform()}
	t.Cleanup(s.platform.Stop)
	h := httptest.NewServer(emulator.PlatformHandler(s.platform))
	t.Cleanup(func() {
		h.CloseClientConnections()
		h.Close()
	})
	s.url = h.URL
	records := systemRecords()
	for i := range engines {
		e := s.startEngine("desk-" + string(rune('1'+i)))
		records = append(records, descriptor.Record{
			SchemaVersion: descriptor.SchemaVersion, Kind: descriptor.KindUpstream, Name: e.name,
			Upstream: &descriptor.Upstream{
				Service: "desk-assistant", Type: descriptor.TypeEngine, Address: e.agentAddress,
				AvailabilityZone: "stowe", Models: []string{"desk"}, Slots: 8, KVTokens: 65536,
			},
		})
	}
	is.New(t).NoErr(writeRecords(t.Context(), s.platform, records))
	for i := range entries {
		s.startEntry("entry-" + string(rune('1'+i)))
	}
	return s
}

// systemRecords returns the classes and the organisation of a system.
func systemRecords() []descriptor.Record {
	sum := sha256.Sum256([]byte(DemoKey))
	return []descriptor.Record{
		{SchemaVersion: descriptor.SchemaVersion, Kind: descriptor.KindClass, Name: "renter-chat", Class: &descriptor.Class{
			Tier: 2, FirstTokenTarget: time.Second, TokenGapTarget: 33 * time.Millisecond, Repeatable: true,
		}},
		{SchemaVersion: descriptor.SchemaVersion, Kind: descriptor.KindOrganisation, Name: "notch-guides", Organisation: &descriptor.Organisation{
			KeyHashes: []string{hex.EncodeToString(sum[:])}, DefaultClass: "renter-chat",
		}},
	}
}

func (s *system) startEngine(name string) *engineProcess {
	s.t.Helper()
	e := &engineProcess{name: name}
	engine := emulator.NewEngine(emulator.EngineOptions{Clock: timer.System{}, Batch: emulator.BatchOptions{
		PromptDelay: 2 * time.Millisecond, DecodeTime: 2 * time.Millisecond,
	}})
	s.t.Cleanup(engine.Stop)
	e.http = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.Method == http.MethodPost {
			e.requests.Add(1)
		}
		if strings.Contains(string(body), "too long") {
			http.Error(w, "the prompt is too long", http.StatusBadRequest)
			return
		}
		if strings.Contains(string(body), "poison") {
			e.crash()
			return
		}
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		engine.ServeHTTP(w, r)
	}))
	s.t.Cleanup(e.crash)
	settings := loader.Agent{Common: s.commonSettings("agent-" + name), Upstream: name, UpstreamURL: e.http.URL}
	var a *acceptor.Acceptor
	e.app = s.startApp(Agent(settings), fx.Populate(&a, &e.executor, &e.recorder))
	e.agentAddress = a.Address()
	s.engines = append(s.engines, e)
	return e
}

// crash closes the listener and all connections of the engine.
func (e *engineProcess) crash() {
	_ = e.http.Listener.Close()
	e.http.CloseClientConnections()
}

func (s *system) startEntry(identity string) *entryProcess {
	s.t.Helper()
	e := &entryProcess{}
	settings := loader.Entry{Common: s.commonSettings(identity), Listen: "127.0.0.1:0"}
	var a *acceptor.Acceptor
	e.app = s.startApp(Entry(settings), fx.Populate(&e.server, &e.router, &a, &e.exchanger))
	s.peers = append(s.peers, a.Address())
	<-e.router.Ready()
	s.entries = append(s.entries, e)
	return e
}

func (s *system) commonSettings(identity string) loader.Common {
	return loader.Common{
		Identity: identity, AvailabilityZone: "stowe", PeerListen: "127.0.0.1:0",
		Platform: s.url, SharedSecret: DemoSecret, Peers: slices.Clone(s.peers),
	}
}

func (s *system) startApp(options ...fx.Option) *fx.App {
	s.t.Helper()
	app := fx.New(options...)
	is.New(s.t).NoErr(app.Start(s.t.Context()))
	s.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		_ = app.Stop(ctx)
	})
	return app
}

// reply is the streamed answer that a caller received, split into tokens.
type reply struct {
	status  int
	outcome string
	tokens  []string
	// done is set if the stream ended with [DONE].
	done bool
	// failure collects the lines that are no chunk of an answer, such as errors.
	failure string
}

// sendPrompt sends a request for a streamed chat completion to entry i. onToken is
// called after each token with the number of tokens so far. It may be nil.
func (s *system) sendPrompt(i int, prompt string, onToken func(n int)) reply {
	s.t.Helper()
	is := is.New(s.t)
	body, err := json.Marshal(map[string]any{
		"model": "desk", "stream": true, "max_tokens": 40,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	is.NoErr(err)
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+s.entries[i].server.Address()+"/v1/chat/completions", strings.NewReader(string(body)))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+DemoKey)
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	r := reply{status: resp.StatusCode, outcome: resp.Header.Get("Magnoliafront-Outcome")}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		r.parseLine(lines.Text(), onToken)
	}
	return r
}

// parseLine adds a line of the stream to the reply.
func (r *reply) parseLine(text string, onToken func(n int)) {
	data, ok := strings.CutPrefix(text, "data: ")
	if !ok {
		r.failure += text
		return
	}
	if data == "[DONE]" {
		r.done = true
		return
	}
	var c struct {
		Choices []struct{ Delta struct{ Content string } }
		Error   struct{ Code string }
	}
	if json.Unmarshal([]byte(data), &c) != nil || c.Error.Code != "" {
		r.failure += data
		return
	}
	for _, choice := range c.Choices {
		if choice.Delta.Content != "" {
			r.tokens = append(r.tokens, choice.Delta.Content)
			if onToken != nil {
				onToken(len(r.tokens))
			}
		}
	}
}

// assertCompleteAnswer checks that r is exactly the answer that the stand-in gives
// to prompt, with all tokens.
func assertCompleteAnswer(t *testing.T, prompt string, r reply) {
	t.Helper()
	is := is.New(t)
	messages, err := json.Marshal([]map[string]string{{"role": "user", "content": prompt}})
	is.NoErr(err)
	seed := emulator.AnswerSeed(messages)
	var want []string
	for i := range emulator.AnswerLength(seed, 40) {
		want = append(want, emulator.AnswerToken(seed, i))
	}
	is.Equal(r.failure, "")
	is.True(r.done)
	is.True(slices.Equal(r.tokens, want))
}

// An answer whose engine, agent or entry ends in the middle must be finished, on
// another engine if necessary, and the caller must get each token once.
func TestCutAnswerIsResumed(t *testing.T) {
	t.Run("engine crashes", func(t *testing.T) {
		s := newSystem(t, 2, 1)
		r := s.sendPrompt(0, "a long briefing", func(n int) {
			if n == 3 {
				s.engineInUse().crash()
			}
		})
		assertCompleteAnswer(t, "a long briefing", r)
	})
	t.Run("agent stops gracefully", func(t *testing.T) {
		s := newSystem(t, 2, 1)
		stopped := make(chan error, 1)
		r := s.sendPrompt(0, "a tour briefing", func(n int) {
			if n == 3 {
				e := s.engineInUse()
				go func() { stopped <- e.app.Stop(context.Background()) }()
			}
		})
		assertCompleteAnswer(t, "a tour briefing", r)
		is.New(t).NoErr(<-stopped)
		assertCompleteAnswer(t, "another", s.sendPrompt(0, "another", nil))
	})
	t.Run("entry stops gracefully", func(t *testing.T) {
		s := newSystem(t, 2, 1)
		stopped := make(chan error, 1)
		r := s.sendPrompt(0, "a tour briefing", func(n int) {
			if n == 3 {
				go func() { stopped <- s.entries[0].app.Stop(context.Background()) }()
			}
		})
		assertCompleteAnswer(t, "a tour briefing", r)
		is.New(t).NoErr(<-stopped)
	})
}

// Content that crashes every engine that runs it must not crash a third engine,
// even if its caller sends it again.
func TestPoisonRequestCrashesTwoEnginesAtMost(t *testing.T) {
	s := newSystem(t, 4, 1)
	r := s.sendPrompt(0, "poison", nil)
	is := is.New(t)
	is.Equal(r.status, http.StatusUnprocessableEntity)
	is.Equal(r.outcome, "unknown")
	again := s.sendPrompt(0, "poison", nil)
	is.Equal(again.status, http.StatusUnprocessableEntity)
	is.Equal(again.outcome, "not_run")
	// Other content must not be blamed for attempts at the engines that are down.
	for _, prompt := range []string{"innocent", "another", "a third"} {
		assertCompleteAnswer(t, prompt, s.sendPrompt(0, prompt, nil))
	}
	down := 0
	for _, e := range s.engines {
		resp, err := http.Get(e.http.URL + "/health")
		if err != nil {
			down++
			continue
		}
		_ = resp.Body.Close()
	}
	is.Equal(down, 2)
}

// An entry must refuse content that crashed engines in attempts of another entry.
func TestPoisonRequestIsRefusedByOtherEntry(t *testing.T) {
	s := newSystem(t, 4, 2)
	s.waitForMembers(1)
	is := is.New(t)
	is.Equal(s.sendPrompt(0, "poison", nil).status, http.StatusUnprocessableEntity)
	for range 200 {
		if r := s.sendPrompt(1, "poison", nil); r.outcome == "not_run" {
			is.Equal(r.status, http.StatusUnprocessableEntity)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the second entry does not refuse the content that crashed two engines")
}

// The limit of an organisation must hold over all entries together, not for each
// of them.
func TestLimitHoldsOverAllEntries(t *testing.T) {
	s := newSystem(t, 2, 2)
	s.waitForMembers(1)
	s.applyConcurrencyLimit(4)
	is := is.New(t)
	// The entry that owns the limit assigns each entry at most an equal part of it
	// just after it has started.
	results := make(chan reply, 16)
	for i := range 16 {
		go func() { results <- s.sendPrompt(i%2, "limited "+string(rune('a'+i)), nil) }()
	}
	served := 0
	for range 16 {
		r := <-results
		if r.status == http.StatusOK {
			served++
			continue
		}
		is.Equal(r.status, http.StatusTooManyRequests)
		is.Equal(r.outcome, "not_run")
	}
	is.True(served > 0)
	is.True(served <= 4)
}

// waitForMembers waits until each entry knows at least n other entries.
func (s *system) waitForMembers(n int) {
	s.t.Helper()
	for range 1000 {
		known := 0
		for _, e := range s.entries {
			if len(e.exchanger.Members()) >= n {
				known++
			}
		}
		if known == len(s.entries) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Fatalf("not every entry knows %d others", n)
}

// applyConcurrencyLimit sets the concurrency limit of the organisation and waits
// until it is in force in all entries.
func (s *system) applyConcurrencyLimit(concurrency int) {
	s.t.Helper()
	records := systemRecords()
	o := *records[1].Organisation
	o.Concurrency = concurrency
	records[1].Organisation = &o
	change := writer.Change{Put: records[1:2]}
	result, err := writer.Writer{Store: s.platform, Clock: timer.System{}}.Change(s.t.Context(), change)
	is.New(s.t).NoErr(err)
	for _, e := range s.entries {
		for e.router.Revision() < result.Revision {
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// A request that an engine rejects must not be retried on another engine, and its
// caller must get the reason.
func TestRejectionByEngineIsNotRetried(t *testing.T) {
	s := newSystem(t, 3, 1)
	r := s.sendPrompt(0, "a prompt that is too long", nil)
	is := is.New(t)
	is.Equal(r.status, http.StatusBadRequest)
	is.Equal(r.outcome, "not_run")
	is.True(strings.Contains(r.failure, "the prompt is too long"))
	total := int64(0)
	for _, e := range s.engines {
		total += e.requests.Load()
	}
	is.Equal(total, int64(1))
}

// engineInUse returns an engine whose agent has a queued or running attempt.
func (s *system) engineInUse() *engineProcess {
	for _, e := range s.engines {
		if e.executor.Attempts() > 0 {
			return e
		}
	}
	s.t.Error("no engine is in use")
	return s.engines[0]
}
