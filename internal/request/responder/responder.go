// Package responder writes the answer of one request to its caller.
//
// The router puts replies on the ring of the request; the goroutine that
// net/http runs for the request takes them and writes. A streamed answer is
// written as server-sent events, a whole answer as one JSON object, in the
// formats of OpenAI's chat completions. A failure is a JSON object with a
// code, and its outcome stands in a header.
//
// # Usage
//
//	replies := responder.NewRing()
//	// hand replies to the router
//	err := responder.Stream(ctx, w, head, replies)
package responder

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
)

// OutcomeHeader tells whether a failed request was run.
const OutcomeHeader = "Magnoliafront-Outcome"

// ringCapacity is the number of replies that may wait for a slow caller, about
// 8 s of tokens at 33 ms. A caller that is further behind loses its answer.
const ringCapacity = 256

// Kind tells what a reply brings.
type Kind int

// The kinds of replies.
const (
	// KindTokens brings tokens.
	KindTokens Kind = iota
	// KindFinished ends an answer.
	KindFinished
	// KindResponse brings the response of a plain service and ends the answer.
	KindResponse
	// KindFailed ends the request without an answer.
	KindFailed
	// KindModels brings a list of models.
	KindModels
)

// Reply is one part of an answer.
type Reply struct {
	Kind         Kind
	Tokens       []string
	FinishReason string
	Response     *messenger.Response
	Failure      *admitter.Failure
	Models       []string
	// Replayed is true for the stored answer of an earlier request.
	Replayed bool
}

// Ring carries replies to one caller.
type Ring = buffer.Ring[Reply, buffer.Reject]

// NewRing returns a ring for the replies to one request.
func NewRing() *Ring {
	return buffer.New[Reply, buffer.Reject]("request_replies", ringCapacity)
}

// Head is what all parts of an answer repeat.
type Head struct {
	ID      string
	Model   string
	Created int64
	// PromptTokens is the estimated number of tokens of the prompt.
	PromptTokens int
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type failure struct {
	Error failureBody `json:"error"`
}

type failureBody struct {
	Code    string `json:"code"`
	Type    string `json:"type"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
}

// Stream writes an answer as server-sent events.
func Stream(ctx context.Context, w http.ResponseWriter, h Head, replies *Ring) error {
	first, ok, err := begin(ctx, w, replies)
	if !ok {
		return err
	}
	markReplayed(w, first)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	s := stream{w: w, c: http.NewResponseController(w), head: h}
	for r := first; ; {
		if err := s.write(r); err != nil {
			return err
		}
		if r.Kind != KindTokens {
			return nil
		}
		if r, err = take(ctx, replies); err != nil {
			return err
		}
	}
}

// Whole writes an answer as one object.
func Whole(ctx context.Context, w http.ResponseWriter, h Head, replies *Ring) error {
	var text strings.Builder
	tokens := 0
	for {
		r, err := take(ctx, replies)
		if err != nil {
			return err
		}
		markReplayed(w, r)
		switch r.Kind {
		case KindTokens:
			tokens += len(r.Tokens)
			for _, t := range r.Tokens {
				text.WriteString(t)
			}
		case KindFailed:
			Fail(w, r.Failure)
			return nil
		default:
			reason := finishReason(r)
			c := completion{ID: h.ID, Object: "chat.completion", Created: h.Created, Model: h.Model}
			c.Choices = []choice{{Message: &message{Role: "assistant", Content: text.String()}, FinishReason: &reason}}
			c.Usage = &usage{PromptTokens: h.PromptTokens, CompletionTokens: tokens, TotalTokens: h.PromptTokens + tokens}
			return writeJSON(w, http.StatusOK, c)
		}
	}
}

// markReplayed tells the caller that the answer is that of an earlier request.
func markReplayed(w http.ResponseWriter, r Reply) {
	if r.Replayed {
		w.Header().Set(OutcomeHeader, string(admitter.OutcomeRan))
	}
}

// PassOn writes the response of a plain service.
func PassOn(ctx context.Context, w http.ResponseWriter, replies *Ring) error {
	r, ok, err := begin(ctx, w, replies)
	if !ok {
		return err
	}
	for name, values := range r.Response.Header {
		if !ofConnection(name) {
			w.Header()[name] = values
		}
	}
	w.Header().Set(OutcomeHeader, string(admitter.OutcomeRan))
	w.Header().Set("Content-Length", strconv.Itoa(len(r.Response.Body)))
	w.WriteHeader(r.Response.Status)
	if _, err := w.Write(r.Response.Body); err != nil {
		return &Error{Op: "write", Kind: ErrorCaller, Err: err}
	}
	return nil
}

// Models writes the list of models.
func Models(ctx context.Context, w http.ResponseWriter, replies *Ring) error {
	r, ok, err := begin(ctx, w, replies)
	if !ok {
		return err
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, m := range r.Models {
		list.Data = append(list.Data, model{ID: m, Object: "model", OwnedBy: "magnoliafront"})
	}
	return writeJSON(w, http.StatusOK, list)
}

// Fail writes a failure. The time after which another try may succeed is
// rounded up to whole seconds.
func Fail(w http.ResponseWriter, f *admitter.Failure) {
	after := ""
	if f.RetryAfter > 0 {
		after = strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds())))
	}
	FailAfter(w, f, after)
}

// FailAfter writes a failure with a text for the Retry-After header, which may
// be empty.
func FailAfter(w http.ResponseWriter, f *admitter.Failure, after string) {
	w.Header().Set(OutcomeHeader, string(f.Outcome))
	if after != "" {
		w.Header().Set("Retry-After", after)
	}
	// The caller may be gone, in which case nobody reads this.
	_ = writeJSON(w, f.Status, body(f))
}

type stream struct {
	w    http.ResponseWriter
	c    *http.ResponseController
	head Head
	sent bool
}

func (s *stream) write(r Reply) error {
	switch r.Kind {
	case KindTokens:
		for _, t := range r.Tokens {
			m := &message{Content: t}
			if !s.sent {
				m.Role = "assistant"
				s.sent = true
			}
			if err := s.event(s.chunk(choice{Delta: m})); err != nil {
				return err
			}
		}
		return s.flush()
	case KindFailed:
		// The status is already sent, so the failure comes as an event, and the
		// missing end mark tells clients that the answer is not complete.
		if err := s.event(body(r.Failure)); err != nil {
			return err
		}
		return s.flush()
	}
	reason := finishReason(r)
	if err := s.event(s.chunk(choice{Delta: &message{}, FinishReason: &reason})); err != nil {
		return err
	}
	if _, err := s.w.Write([]byte("data: [DONE]\n\n")); err != nil {
		return &Error{Op: "write", Kind: ErrorCaller, Err: err}
	}
	return s.flush()
}

func (s *stream) chunk(c choice) completion {
	return completion{ID: s.head.ID, Object: "chat.completion.chunk", Created: s.head.Created, Model: s.head.Model, Choices: []choice{c}}
}

func (s *stream) event(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return &Error{Op: "encode", Kind: ErrorEncoding, Err: err}
	}
	if _, err := s.w.Write([]byte("data: " + string(data) + "\n\n")); err != nil {
		return &Error{Op: "write", Kind: ErrorCaller, Err: err}
	}
	return nil
}

func (s *stream) flush() error {
	if err := s.c.Flush(); err != nil {
		return &Error{Op: "write", Kind: ErrorCaller, Err: err}
	}
	return nil
}

// begin returns the first reply. It reports false if there is nothing more to
// write, because the request failed or its caller is gone.
func begin(ctx context.Context, w http.ResponseWriter, replies *Ring) (Reply, bool, error) {
	r, err := take(ctx, replies)
	if err != nil {
		return r, false, err
	}
	if r.Kind == KindFailed {
		Fail(w, r.Failure)
		return r, false, nil
	}
	return r, true, nil
}

// ofConnection reports whether a field of a header belongs to one connection
// and must not be passed on (RFC 9110, section 7.6.1).
func ofConnection(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	}
	return false
}

func take(ctx context.Context, replies *Ring) (Reply, error) {
	r, ok := replies.Take(ctx)
	if ok {
		return r, nil
	}
	if ctx.Err() != nil {
		return r, &Error{Op: "wait", Kind: ErrorCaller, Err: ctx.Err()}
	}
	return r, &Error{Op: "wait", Kind: ErrorOverrun, Err: errors.New("the caller reads too slowly or the entry stopped")}
}

func finishReason(r Reply) string {
	if r.FinishReason == "" {
		return "stop"
	}
	return r.FinishReason
}

func body(f *admitter.Failure) failure {
	kind := "invalid_request_error"
	if f.Status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	return failure{Error: failureBody{Code: f.Code, Type: kind, Message: f.Message, Outcome: string(f.Outcome)}}
}

func writeJSON(w http.ResponseWriter, status int, v any) error {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return &Error{Op: "write", Kind: ErrorCaller, Err: err}
	}
	return nil
}
