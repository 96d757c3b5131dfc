package driver

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// ResultState classifies the end of a request.
type ResultState string

// The states.
const (
	// StateAnswered means that the answer was complete and correct.
	StateAnswered ResultState = "answered"
	// StateRefused means that the gateway refused the request.
	StateRefused ResultState = "refused"
	// StateBroken means that the answer ended early or never came, or that the
	// outcome of the request is unknown.
	StateBroken ResultState = "broken"
	// StateWrong means that the answer differs from the expected answer to the
	// request.
	StateWrong ResultState = "wrong"
	// StateUnsent means that the request was not sent because MaxInFlight
	// requests were in flight.
	StateUnsent ResultState = "unsent"
)

const (
	// maxAnswerBytes bounds the bytes read of an answer.
	maxAnswerBytes = 8 << 20
	// maxSaltAttempts bounds the search for a prompt with a long enough answer.
	maxSaltAttempts = 4096
)

// Result holds the state and the measurements of one request.
type Result struct {
	Class string
	// At is the scheduled send time, relative to the start of the run.
	At    time.Duration
	State ResultState
	// Reason is the error code of a refusal, or describes the fault of a broken
	// or wrong answer.
	Reason string
	// Outcome is the value of the Magnoliafront-Outcome response header.
	Outcome string
	// RequestID identifies the request in the gateway's event log.
	RequestID        string
	Tokens           int
	TimeToFirstToken time.Duration
	Latency          time.Duration
	// TokenGaps are the times between consecutive tokens of a streamed answer.
	TokenGaps []time.Duration
	// Repeated is true for a service call that ran more than once.
	Repeated bool
}

// requestSender sends one request and checks the answer.
type requestSender struct {
	client  *http.Client
	clock   timer.Clock
	baseURL string
	apiKey  string
}

// promptMessages returns the messages of a request as JSON. It varies a salt in
// the text until the emulated engine answers with as many tokens as the request
// allows. If no salt achieves this, as for more than the 200 tokens of the engine's
// longest answer, it returns a fixed prompt.
func promptMessages(q Request) []byte {
	for salt := range maxSaltAttempts {
		text := fmt.Sprintf("request %d %d ", q.Content, salt)
		text += strings.Repeat("word", max(0, q.PromptTokens-len(text)/4))
		m := []byte(`[{"role":"user","content":"` + text + `"}]`)
		if q.AnswerTokens == 0 || emulator.AnswerLength(emulator.AnswerSeed(m), q.AnswerTokens) >= q.AnswerTokens {
			return m
		}
	}
	return []byte(`[{"role":"user","content":"no prompt has so long an answer"}]`)
}

// send sends q and waits for its result.
func (s *requestSender) send(ctx context.Context, q Request) Result {
	start := s.clock.Now()
	r := Result{Class: q.Class, At: time.Duration(q.At)}
	req, messages, err := s.newRequest(ctx, q)
	if err != nil {
		return brokenResult(r, err)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return brokenResult(r, err)
	}
	defer func() { _ = resp.Body.Close() }()
	r.RequestID, r.Outcome = resp.Header.Get("X-Request-Id"), resp.Header.Get("Magnoliafront-Outcome")
	body := io.LimitReader(resp.Body, maxAnswerBytes)
	switch {
	case resp.StatusCode != http.StatusOK:
		r = refusedResult(r, resp.StatusCode, body)
	case q.Model == "":
		r = s.checkServiceCall(r, body)
	case q.Stream:
		r = s.checkStream(r, start, body, messages, q.AnswerTokens)
	default:
		r = s.checkCompletion(r, body, messages, q.AnswerTokens)
	}
	r.Latency = s.clock.Now().Sub(start)
	return r
}

// newRequest returns the HTTP request for q and, for a chat completion, its
// messages.
func (s *requestSender) newRequest(ctx context.Context, q Request) (*http.Request, []byte, error) {
	method, path := http.MethodPost, "/v1/chat/completions"
	var body, messages []byte
	if q.Model == "" {
		method, path = q.Method, "/services/"+q.Service+q.Path
		if method != http.MethodGet {
			body = fmt.Appendf(nil, `{"unit":%d}`, q.Content)
		}
	} else {
		messages = promptMessages(q)
		body = fmt.Appendf(nil, `{"model":%q,"stream":%t,"max_tokens":%d,"messages":%s}`, q.Model, q.Stream, q.AnswerTokens, messages)
	}
	req, err := http.NewRequestWithContext(ctx, method, s.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+s.apiKey)
	req.Header.Set("Magnoliafront-Class", q.Class)
	if q.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", q.IdempotencyKey)
	}
	return req, messages, nil
}

func brokenResult(r Result, err error) Result {
	// The report counts results by reason, so the reason must not contain the
	// addresses of the failed connection.
	var call *url.Error
	if errors.As(err, &call) {
		err = call.Err
	}
	var op *net.OpError
	if errors.As(err, &op) {
		err = op.Err
	}
	r.State, r.Reason = StateBroken, err.Error()
	return r
}

// refusedResult takes the reason from the error code in the body, or from the
// status if there is none.
func refusedResult(r Result, status int, body io.Reader) Result {
	var f struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if err := json.NewDecoder(body).Decode(&f); err != nil || f.Error.Code == "" {
		f.Error.Code = fmt.Sprintf("status_%d", status)
	}
	r.State, r.Reason = StateRefused, f.Error.Code
	if r.Outcome == "unknown" {
		// The client can't tell whether the request ran.
		r.State = StateBroken
	}
	return r
}

// checkServiceCall checks the response of the emulated plain service.
func (s *requestSender) checkServiceCall(r Result, body io.Reader) Result {
	var answer struct {
		Runs int `json:"runs"`
	}
	if err := json.NewDecoder(body).Decode(&answer); err != nil {
		return brokenResult(r, err)
	}
	r.State, r.Repeated = StateAnswered, answer.Runs > 1
	return r
}

// checkCompletion checks an unstreamed chat completion.
func (s *requestSender) checkCompletion(r Result, body io.Reader, messages []byte, limit int) Result {
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.NewDecoder(body).Decode(&answer); err != nil || len(answer.Choices) != 1 {
		return brokenResult(r, fmt.Errorf("%d choices: %w", len(answer.Choices), err))
	}
	seed := emulator.AnswerSeed(messages)
	var want strings.Builder
	for i := range emulator.AnswerLength(seed, limit) {
		want.WriteString(emulator.AnswerToken(seed, i))
		r.Tokens++
	}
	if answer.Choices[0].Message.Content != want.String() {
		r.State, r.Reason = StateWrong, fmt.Sprintf("the text of %d bytes differs from the expected answer of %d bytes", len(answer.Choices[0].Message.Content), want.Len())
		return r
	}
	r.State = StateAnswered
	return r
}

// streamChunk is an event of a streamed chat completion.
type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
}

// checkStream checks each token of a streamed chat completion as it arrives.
func (s *requestSender) checkStream(r Result, start time.Time, body io.Reader, messages []byte, limit int) Result {
	seed := emulator.AnswerSeed(messages)
	last := start
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return checkLength(r, emulator.AnswerLength(seed, limit))
		}
		var event streamChunk
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return brokenResult(r, err)
		}
		if event.Error != nil {
			return brokenResult(r, fmt.Errorf("%s", event.Error.Code))
		}
		if len(event.Choices) == 0 || event.Choices[0].Delta.Content == "" {
			continue
		}
		now := s.clock.Now()
		if got, want := event.Choices[0].Delta.Content, emulator.AnswerToken(seed, r.Tokens); got != want {
			r.State, r.Reason = StateWrong, fmt.Sprintf("token %d is %q, not %q", r.Tokens, got, want)
			return r
		}
		if r.Tokens == 0 {
			r.TimeToFirstToken = now.Sub(start)
		} else {
			r.TokenGaps = append(r.TokenGaps, now.Sub(last))
		}
		last = now
		r.Tokens++
	}
	if err := lines.Err(); err != nil {
		return brokenResult(r, err)
	}
	return brokenResult(r, io.ErrUnexpectedEOF)
}

// checkLength checks the number of tokens of a complete stream.
func checkLength(r Result, length int) Result {
	if r.Tokens != length {
		r.State, r.Reason = StateWrong, fmt.Sprintf("the answer has %d tokens, not %d", r.Tokens, length)
		return r
	}
	r.State = StateAnswered
	return r
}
