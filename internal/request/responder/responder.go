// Package responder writes the HTTP response of one request to its caller.
//
// The router puts replies on the ring of the request, and the goroutine that
// net/http runs for the request removes them and writes the response. A streamed
// answer is written as server-sent events, any other answer as one JSON object,
// in the formats of OpenAI's chat completions. A failure is a JSON object with an
// error code, and the header [OutcomeHeader] carries its outcome.
//
// # Usage
//
//	replies := responder.NewRing()
//	// pass replies to the router
//	err := responder.StreamCompletion(ctx, w, metadata, replies)
package responder

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/connection/closer"
	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
)

// OutcomeHeader is the name of the header field that says whether a request was
// run. Failures, replayed answers and responses of plain services have it.
const OutcomeHeader = "Magnoliafront-Outcome"

// replyCapacity is the number of replies that are buffered for a slow caller,
// about 8 s of tokens at 33 ms per token. If a caller falls further behind, its
// answer is aborted.
const replyCapacity = 256

// Kind is the type of a [Reply].
type Kind int

// The reply kinds.
const (
	// KindTokens carries generated tokens.
	KindTokens Kind = iota
	// KindFinished marks the end of a complete answer.
	KindFinished
	// KindResponse carries the complete response of a plain service.
	KindResponse
	// KindFailed means that the request failed, possibly after some tokens.
	KindFailed
	// KindModels carries a list of models.
	KindModels
)

// Reply is a part of the answer to a request. Its kind determines which of the
// other fields are set.
type Reply struct {
	Kind         Kind
	Tokens       []string
	FinishReason string
	Response     *messenger.Response
	Failure      *admitter.Failure
	Models       []string
	// Replayed is true for the stored answer of an earlier request with the same
	// idempotency key.
	Replayed bool
}

// Ring carries the replies to one request from the router to the goroutine that
// writes the response.
type Ring = buffer.Ring[Reply, buffer.Reject]

// NewRing returns an empty ring for the replies to one request.
func NewRing() *Ring {
	return buffer.New[Reply, buffer.Reject]("request_replies", replyCapacity)
}

// CompletionMetadata holds the fields of a chat completion that don't come from
// replies. The chunks of a stream repeat all but PromptTokens.
type CompletionMetadata struct {
	ID    string
	Model string
	// Created is the time of the request in seconds since the Unix epoch.
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

type errorResponse struct {
	Error errorDetails `json:"error"`
}

type errorDetails struct {
	Code    string `json:"code"`
	Type    string `json:"type"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
}

// WriteCompletion writes a chat completion as one JSON object after its last token
// has arrived.
func WriteCompletion(ctx context.Context, w http.ResponseWriter, meta CompletionMetadata, replies *Ring) error {
	var text strings.Builder
	tokens := 0
	for {
		r, err := nextReply(ctx, replies)
		if err != nil {
			return failUnanswered(w, err)
		}
		setReplayedOutcome(w, r)
		switch r.Kind {
		case KindTokens:
			tokens += len(r.Tokens)
			for _, t := range r.Tokens {
				text.WriteString(t)
			}
		case KindFailed:
			WriteFailure(w, r.Failure)
			return nil
		default:
			reason := finishReason(r)
			c := completion{ID: meta.ID, Object: "chat.completion", Created: meta.Created, Model: meta.Model}
			c.Choices = []choice{{Message: &message{Role: "assistant", Content: text.String()}, FinishReason: &reason}}
			c.Usage = &usage{PromptTokens: meta.PromptTokens, CompletionTokens: tokens, TotalTokens: meta.PromptTokens + tokens}
			return writeJSON(w, http.StatusOK, c)
		}
	}
}

// setReplayedOutcome sets the outcome header if the answer is the stored answer of
// an earlier request.
func setReplayedOutcome(w http.ResponseWriter, r Reply) {
	if r.Replayed {
		w.Header().Set(OutcomeHeader, string(admitter.OutcomeRan))
	}
}

// WriteResponse writes the response of a plain service without its hop-by-hop
// header fields. If only the close of a connection marked the end of the response, it
// does so for the caller as well. For an empty body, net/http states the length unless
// the request was HEAD.
func WriteResponse(ctx context.Context, w http.ResponseWriter, replies *Ring) error {
	r, ok, err := firstReply(ctx, w, replies)
	if !ok {
		return err
	}
	for name, values := range r.Response.Header {
		if !isDroppedField(name) {
			w.Header()[name] = values
		}
	}
	w.Header().Set(OutcomeHeader, string(admitter.OutcomeRan))
	switch {
	case r.Response.CloseDelimited:
		closer.EndWithConnection(ctx, w.Header())
	case len(r.Response.Body) > 0:
		w.Header().Set("Content-Length", strconv.Itoa(len(r.Response.Body)))
	}
	w.WriteHeader(r.Response.Status)
	if _, err := w.Write(r.Response.Body); err != nil {
		return &Error{Op: "write", Kind: ErrorDisconnected, Err: err}
	}
	return nil
}

// WriteModels writes the list of models in the format of OpenAI.
func WriteModels(ctx context.Context, w http.ResponseWriter, replies *Ring) error {
	r, ok, err := firstReply(ctx, w, replies)
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

// WriteFailure writes a failure. The header Retry-After carries f.RetryAfter,
// rounded up to whole seconds, unless it is zero.
func WriteFailure(w http.ResponseWriter, f *admitter.Failure) {
	retryAfter := ""
	if f.RetryAfter > 0 {
		retryAfter = strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds())))
	}
	WriteFailureWithRetryAfter(w, f, retryAfter)
}

// WriteFailureWithRetryAfter writes a failure with the given value of the header
// Retry-After. If retryAfter is empty, the header is not set.
func WriteFailureWithRetryAfter(w http.ResponseWriter, f *admitter.Failure, retryAfter string) {
	w.Header().Set(OutcomeHeader, string(f.Outcome))
	if retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
	}
	// A write error means that the caller has disconnected, and there is nobody
	// left to inform.
	_ = writeJSON(w, f.Status, errorObject(f))
}

// firstReply waits for the first reply. It returns false if nothing is left to
// write: the request failed and the failure has been written, or no reply will
// arrive, and the error says why.
func firstReply(ctx context.Context, w http.ResponseWriter, replies *Ring) (Reply, bool, error) {
	r, err := nextReply(ctx, replies)
	if err != nil {
		return r, false, failUnanswered(w, err)
	}
	if r.Kind == KindFailed {
		WriteFailure(w, r.Failure)
		return r, false, nil
	}
	return r, true, nil
}

// failUnanswered answers a request that ended without a reply before anything was written.
// It returns err if the caller has disconnected.
func failUnanswered(w http.ResponseWriter, err error) error {
	var e *Error
	if !errors.As(err, &e) || e.Kind != ErrorOverrun {
		return err
	}
	WriteFailure(w, admitter.InterruptedFailure())
	return nil
}

// isDroppedField reports whether a header field of a service's response is not
// forwarded: it is a hop-by-hop field (RFC 9110, section 7.6.1), or
// Content-Length, which the responder sets itself.
func isDroppedField(name string) bool {
	switch http.CanonicalHeaderKey(name) {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length":
		return true
	}
	return false
}

// nextReply waits for a reply until ctx ends or the ring is closed.
func nextReply(ctx context.Context, replies *Ring) (Reply, error) {
	r, ok := replies.Take(ctx)
	if ok {
		return r, nil
	}
	if ctx.Err() != nil {
		return r, &Error{Op: "wait", Kind: ErrorDisconnected, Err: ctx.Err()}
	}
	return r, &Error{Op: "wait", Kind: ErrorOverrun, Err: errors.New("the caller reads too slowly or the entry stopped")}
}

func finishReason(r Reply) string {
	if r.FinishReason == "" {
		return "stop"
	}
	return r.FinishReason
}

func errorObject(f *admitter.Failure) errorResponse {
	kind := "invalid_request_error"
	if f.Status >= http.StatusInternalServerError {
		kind = "server_error"
	}
	return errorResponse{Error: errorDetails{Code: f.Code, Type: kind, Message: f.Message, Outcome: string(f.Outcome)}}
}

// writeJSON writes v with its length. Without one, a caller of HTTP/1.0 could not tell a part
// of a large answer from the whole.
func writeJSON(w http.ResponseWriter, status int, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return &Error{Op: "encode", Kind: ErrorEncoding, Err: err}
	}
	data = append(data, '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	if _, err := w.Write(data); err != nil {
		return &Error{Op: "write", Kind: ErrorDisconnected, Err: err}
	}
	return nil
}
