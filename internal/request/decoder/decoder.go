// Package decoder decodes and validates the HTTP requests of callers.
//
// It checks the syntax and the fields that the system itself needs.
// Package admitter decides whether the request is allowed. For a request that
// cannot be decoded, the package returns a failure with the outcome not_run.
//
// # Usage
//
//	c, f := decoder.ReadCompletion(r, body, id, now)
//	if f != nil {
//		responder.WriteFailure(w, f)
//		return
//	}
package decoder

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
)

const (
	// MaxBodyBytes is the maximum size of a request body. The encoded body must
	// fit into one message between processes.
	MaxBodyBytes = 512 << 10
	// ClassHeader is the name of the header field with the class of a request.
	ClassHeader = "Magnoliafront-Class"
	// IdempotencyHeader is the name of the header field with the idempotency key.
	IdempotencyHeader = "Idempotency-Key"
)

// Completion is a decoded request for a chat completion.
type Completion struct {
	Request admitter.Request
	// Stream is true if the caller wants server-sent events.
	Stream bool
}

type completionBody struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
}

// ReadCompletion decodes a request for a chat completion, which was received at
// now and gets the given ID. Its body has been read.
func ReadCompletion(r *http.Request, body []byte, id string, now time.Time) (Completion, *admitter.Failure) {
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		return Completion{}, badRequest("malformed_json", err.Error())
	}
	if b.Model == "" {
		return Completion{}, badRequest("missing_field", "field model is required")
	}
	if len(b.Messages) == 0 || b.Messages[0] != '[' {
		return Completion{}, badRequest("missing_field", "field messages must be an array")
	}
	c := Completion{Request: commonFields(r, id, now), Stream: b.Stream}
	c.Request.Model = b.Model
	c.Request.Body = body
	c.Request.MaxTokens = max(b.MaxTokens, b.MaxCompletionTokens)
	c.Request.ContentDigest = contentDigest(body)
	return c, nil
}

// ReadCall decodes a request to a plain service, which was received at now and
// gets the given ID. Its body has been read. The service receives the call with the given
// path.
func ReadCall(r *http.Request, body []byte, service, path, id string, now time.Time) admitter.Request {
	q := commonFields(r, id, now)
	q.Service = service
	q.ContentDigest = contentDigest([]byte(r.Method), []byte(service), []byte(path), []byte(r.URL.RawQuery), body)
	q.Call = &messenger.Call{Method: r.Method, Path: path, Query: r.URL.RawQuery, Header: forwardedFields(r.Header), Body: body}
	return q
}

// commonFields returns a request with the fields that don't depend on the route.
func commonFields(r *http.Request, id string, now time.Time) admitter.Request {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return admitter.Request{
		ID: id, Received: now, APIKey: key,
		Class:          r.Header.Get(ClassHeader),
		IdempotencyKey: r.Header.Get(IdempotencyHeader),
	}
}

// contentDigest returns the first 128 bits of a SHA-256 hash of a request's
// content in hexadecimal. Each part is hashed separately, so that parts that are
// split at different positions give different digests.
func contentDigest(parts ...[]byte) string {
	h := sha256.New()
	for _, p := range parts {
		sum := sha256.Sum256(p)
		_, _ = h.Write(sum[:])
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// forwardedFields returns the header fields that are forwarded to a plain
// service: all except hop-by-hop fields, Content-Length and Accept-Encoding, which
// the HTTP client sets itself, and the fields for the system itself.
func forwardedFields(h http.Header) map[string][]string {
	fields := map[string][]string{}
	for name, values := range h {
		switch textproto.CanonicalMIMEHeaderKey(name) {
		case "Authorization", "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
			"Transfer-Encoding", "Upgrade", "Content-Length", "Accept-Encoding", ClassHeader:
		default:
			fields[name] = values
		}
	}
	return fields
}

func badRequest(code, message string) *admitter.Failure {
	return &admitter.Failure{Status: http.StatusBadRequest, Code: code, Message: message, Outcome: admitter.OutcomeNotRun}
}
