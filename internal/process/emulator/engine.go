package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"

	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// prefixBytes is the length of the prompt prefix that the prefix cache stores.
// A shorter prompt has no prefix.
const prefixBytes = 1024

// EngineOptions configures an [Engine].
type EngineOptions struct {
	Clock timer.Clock
	Batch BatchOptions
}

// EngineRequest holds the fields of a chat completion request that the engine
// uses.
type EngineRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	// MaxCompletionTokens replaces MaxTokens in newer versions of the API and
	// takes precedence.
	MaxCompletionTokens int    `json:"max_completion_tokens"`
	Priority            int    `json:"priority"`
	RequestID           string `json:"request_id"`
	ResumeFrom          int    `json:"resume_from"`
}

// Engine is a model engine that serves a [Batch] over HTTP. One goroutine owns
// the batch.
type Engine struct {
	options EngineOptions
	handler http.Handler
	calls   *buffer.Ring[func(*engineState), buffer.Block]
	done    chan struct{}
}

// engineState is owned by the goroutine of an [Engine].
type engineState struct {
	batch     *Batch
	streams   map[int64]*stream
	lastRunID int64
}

// stream buffers the outputs of one run. Its ring has room for all of them, so
// that a slow client never blocks the engine's goroutine.
type stream struct {
	outputs *buffer.Ring[Output, buffer.Reject]
}

// NewEngine starts the goroutine of an engine, which runs until [Engine.Stop].
func NewEngine(o EngineOptions) *Engine {
	e := &Engine{
		options: o,
		calls:   buffer.New[func(*engineState), buffer.Block]("engine_calls", 256),
		done:    make(chan struct{}),
	}
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", e.serveCompletion).Methods(http.MethodPost)
	r.HandleFunc("/load", e.serveLoad).Methods(http.MethodGet)
	r.HandleFunc("/switches", e.serveSwitches).Methods(http.MethodPost)
	e.handler = r
	go func() {
		defer close(e.done)
		s := &engineState{batch: NewBatch(o.Batch), streams: map[int64]*stream{}}
		for e.step(s) {
		}
		s.crash()
	}()
	return e
}

// ServeHTTP implements [http.Handler].
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.handler.ServeHTTP(w, r) }

// Stop ends the engine's goroutine and aborts all answers.
func (e *Engine) Stop() {
	e.calls.Close()
	<-e.done
}

// Crash aborts all answers and makes the engine close the connections of new
// requests without a response until [Engine.Restart].
func (e *Engine) Crash() { e.do(context.Background(), (*engineState).crash) }

// Restart makes a crashed engine serve requests again.
func (e *Engine) Restart() {
	e.do(context.Background(), func(s *engineState) { s.batch.Restart() })
}

// SlowDown multiplies the duration of later iterations by factor, see
// [Batch.SlowDown].
func (e *Engine) SlowDown(factor float64) {
	e.do(context.Background(), func(s *engineState) { s.batch.SlowDown(factor) })
}

// do runs f on the engine's goroutine and waits for it. It returns false if the
// engine is stopped or ctx ends before f is queued.
func (e *Engine) do(ctx context.Context, f func(*engineState)) bool {
	ran := make(chan struct{})
	if !e.calls.Put(ctx, func(s *engineState) { f(s); close(ran) }) {
		return false
	}
	select {
	case <-ran:
		return true
	case <-e.done:
		return false
	}
}

// step waits for the next call or the end of the iteration and handles it. It
// returns false once the engine is stopped.
func (e *Engine) step(s *engineState) bool {
	var wake <-chan time.Time
	if at := s.batch.NextStep(); !at.IsZero() {
		c, stop := e.options.Clock.After(at.Sub(e.options.Clock.Now()))
		defer stop()
		wake = c
	}
	select {
	case call := <-e.calls.C():
		s.advance(e.options.Clock.Now())
		call(s)
	case <-wake:
		s.advance(e.options.Clock.Now())
	case <-e.calls.Done():
		return false
	}
	return true
}

// advance steps the batch and passes its outputs to the streams.
func (s *engineState) advance(now time.Time) {
	for _, out := range s.batch.Step(now) {
		t := s.streams[out.ID]
		if t == nil {
			continue
		}
		t.outputs.Put(context.Background(), out)
		if out.Finished {
			t.outputs.Close()
			delete(s.streams, out.ID)
		}
	}
}

func (s *engineState) crash() {
	s.batch.Crash()
	for _, id := range slices.Sorted(maps.Keys(s.streams)) {
		s.streams[id].outputs.Close()
	}
	clear(s.streams)
}

// startRun adds a run to the batch and returns its ID and stream. It returns
// false if the engine is down or stopped, or the prompt doesn't fit into the KV
// cache.
func (e *Engine) startRun(ctx context.Context, q EngineRequest) (int64, *stream, bool) {
	tokens := AnswerLength(AnswerSeed(q.Messages), q.answerLimit())
	t := &stream{outputs: buffer.New[Output, buffer.Reject]("engine_outputs", tokens+1)}
	r := BatchRun{PromptTokens: len(q.Messages) / 4, Tokens: tokens, ResumeFrom: q.ResumeFrom, Priority: q.Priority}
	if len(q.Messages) >= prefixBytes {
		r.Prefix, r.PrefixTokens = AnswerSeed(q.Messages[:prefixBytes]), prefixBytes/4
	}
	added := false
	ok := e.do(ctx, func(s *engineState) {
		s.lastRunID++
		r.ID = s.lastRunID
		if added = s.batch.Add(e.options.Clock.Now(), r); added {
			s.streams[r.ID] = t
		}
	})
	return r.ID, t, ok && added
}

func (e *Engine) cancelRun(id int64) {
	e.calls.Put(context.Background(), func(s *engineState) {
		s.batch.Cancel(id)
		delete(s.streams, id)
	})
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var q EngineRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, t, ok := e.startRun(r.Context(), q)
	if !ok {
		// A crashed engine closes the connection without a response.
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	seed := AnswerSeed(q.Messages)
	for {
		out, ok := t.outputs.Take(r.Context())
		switch {
		case r.Context().Err() != nil:
			e.cancelRun(id)
			return
		case !ok:
			panic(http.ErrAbortHandler)
		case out.Finished:
			_, _ = fmt.Fprint(w, "data: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n")
			return
		}
		_, _ = fmt.Fprintf(w, "data: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n", AnswerToken(seed, out.Token))
		_ = rc.Flush()
	}
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	var l BatchLoad
	if !e.do(r.Context(), func(s *engineState) { l = s.batch.Load(e.options.Clock.Now()) }) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l)
}

// serveSwitches sets the faults of the engine from the form values crashed (true
// or false) and slow_down (a factor).
func (e *Engine) serveSwitches(w http.ResponseWriter, r *http.Request) {
	var factor float64
	if text := r.FormValue("slow_down"); text != "" {
		if _, err := fmt.Sscan(text, &factor); err != nil || factor <= 0 {
			http.Error(w, "slow_down must be a number above 0", http.StatusBadRequest)
			return
		}
		e.SlowDown(factor)
	}
	switch r.FormValue("crashed") {
	case "true":
		e.Crash()
	case "false":
		e.Restart()
	}
}

func (q EngineRequest) answerLimit() int {
	if q.MaxCompletionTokens > 0 {
		return q.MaxCompletionTokens
	}
	return q.MaxTokens
}

// AnswerSeed hashes the messages of a prompt to the seed from which
// [AnswerLength] and [AnswerToken] derive the answer.
func AnswerSeed(messages []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(messages)
	return h.Sum64()
}

// AnswerLength returns the number of tokens of the answer with the given seed:
// 10 to 200, or limit if that is smaller and positive.
func AnswerLength(seed uint64, limit int) int {
	n := 10 + int(seed%191)
	if limit > 0 {
		n = min(n, limit)
	}
	return n
}

// AnswerToken returns token i, from zero, of the answer with the given seed.
func AnswerToken(seed uint64, i int) string {
	return fmt.Sprintf("t%x.%d ", seed&0xffff, i)
}
