// Package decoder reads requests of callers from HTTP.
//
// It checks form alone: size, syntax, the fields that the system itself needs.
// Whether the request is allowed is decided by package admitter. A request that
// cannot be read is answered with a failure and has not been run.
//
// # Usage
//
//	c, f := decoder.ReadCompletion(w, r, id, now)
//	if f != nil {
//		responder.Fail(w, f)
//		return
//	}
package decoder

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
)

const (
	// MaxBody bounds the body of a request in bytes. It must fit into one
	// message between processes together with its encoding.
	MaxBody = 512 << 10
	// ClassHeader names the class of a request.
	ClassHeader = "Magnoliafront-Class"
	// IdempotencyHeader carries the idempotency key of a request.
	IdempotencyHeader = "Idempotency-Key"
)

// Completion is a chat completion that was read.
type Completion struct {
	Request admitter.Request
	Stream  bool
}

type completionBody struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
}

// ReadCompletion reads a chat completion.
func ReadCompletion(w http.ResponseWriter, r *http.Request, id string, now time.Time) (Completion, *admitter.Failure) {
	body, f := readBody(w, r)
	if f != nil {
		return Completion{}, f
	}
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		return Completion{}, bad("malformed_json", err.Error())
	}
	if b.Model == "" {
		return Completion{}, bad("missing_field", "field model is required")
	}
	if len(b.Messages) == 0 || b.Messages[0] != '[' {
		return Completion{}, bad("missing_field", "field messages must be an array")
	}
	c := Completion{Request: common(r, id, now), Stream: b.Stream}
	c.Request.Model = b.Model
	c.Request.Body = body
	c.Request.MaxTokens = max(b.MaxTokens, b.MaxCompletionTokens)
	c.Request.ContentDigest = digest(body)
	return c, nil
}

// ReadCall reads a request to a plain service.
func ReadCall(w http.ResponseWriter, r *http.Request, service, path, id string, now time.Time) (admitter.Request, *admitter.Failure) {
	body, f := readBody(w, r)
	if f != nil {
		return admitter.Request{}, f
	}
	q := common(r, id, now)
	q.Service = service
	q.ContentDigest = digest([]byte(r.Method), []byte(service), []byte(path), []byte(r.URL.RawQuery), body)
	q.Call = &messenger.Call{Method: r.Method, Path: path, Query: r.URL.RawQuery, Header: passedHeader(r.Header), Body: body}
	return q, nil
}

func common(r *http.Request, id string, now time.Time) admitter.Request {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return admitter.Request{
		ID: id, Received: now, APIKey: key,
		Class:          r.Header.Get(ClassHeader),
		IdempotencyKey: r.Header.Get(IdempotencyHeader),
	}
}

// digest returns 128 bits of the SHA-256 hash of a request's content, in
// hexadecimal digits. Each part is hashed on its own, so that no bytes can move
// between parts.
func digest(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		sum := sha256.Sum256(p)
		_, _ = h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *admitter.Failure) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, &admitter.Failure{
			Status: http.StatusRequestEntityTooLarge, Code: "body_too_large", Outcome: admitter.OutcomeNotRun,
			Message: fmt.Sprintf("the body is over %d bytes", MaxBody),
		}
	}
	if err != nil {
		return nil, bad("incomplete_body", err.Error())
	}
	return body, nil
}

// passedHeader returns the fields of a caller's header that a plain service
// gets: all but those of the connection and those that are meant for the
// system.
func passedHeader(h http.Header) map[string][]string {
	out := map[string][]string{}
	for name, values := range h {
		switch textproto.CanonicalMIMEHeaderKey(name) {
		case "Authorization", "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
			"Transfer-Encoding", "Upgrade", "Content-Length", "Accept-Encoding", ClassHeader:
		default:
			out[name] = values
		}
	}
	return out
}

func bad(code, message string) *admitter.Failure {
	return &admitter.Failure{Status: http.StatusBadRequest, Code: code, Message: message, Outcome: admitter.OutcomeNotRun}
}
