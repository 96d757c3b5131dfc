// Package explainer answers where an entry would send a request now, and why, without
// sending it.
//
// It is the encoding of package dispatcher's Explain: [NewHandler] serves it as JSON and
// [Fetch] asks for it. The decision is made by the dispatcher.
//
// A question has the properties of a request on which decisions depend, except its body.
// Strikes against the content are found by its digest, which the log lines of a request
// have in the field content.
//
// # Usage
//
//	mux.Handle(explainer.Path, explainer.NewHandler(explainer.Options{Clock: c, Parse: parse, Explain: f.Explain}))
//
//	answer, err := explainer.Fetch(ctx, "10.20.1.11:9090", explainer.Question{Host: "desk.example", Path: "/chat/1"})
package explainer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/process/dispatcher"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// Path is the path at which an entry answers questions.
const Path = "/explain"

const (
	// answerTimeout bounds the time for which a question waits for the decision.
	answerTimeout = 2 * time.Second
	// maxAnswerBytes is the maximum size of an answer. A candidate takes about 700 bytes.
	maxAnswerBytes = 1 << 20
)

// Options configures a handler.
type Options struct {
	Clock timer.Clock
	// Parse returns the request that a question describes.
	Parse func(q Question, now time.Time) (dispatcher.Request, *admitter.Failure)
	// Explain makes the decision. It returns false if there is none before ctx is done.
	Explain func(ctx context.Context, r dispatcher.Request) (dispatcher.Explanation, bool)
}

// NewHandler returns the handler of [Path].
func NewHandler(o Options) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet {
			http.Error(w, "only GET is allowed", http.StatusMethodNotAllowed)
			return
		}
		q, err := readQuestion(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		request, failure := o.Parse(q, o.Clock.Now())
		if failure != nil {
			http.Error(w, failure.Message, http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
		defer cancel()
		e, ok := o.Explain(ctx, request)
		if !ok {
			http.Error(w, "the entry is busy or stopping", http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// An error means that the caller has left.
		_ = json.NewEncoder(w).Encode(newAnswer(e))
	})
}

// Fetch asks the entry whose metrics are served at address.
func Fetch(ctx context.Context, address string, q Question) (Answer, error) {
	u := url.URL{Scheme: "http", Host: address, Path: Path, RawQuery: q.values().Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return Answer{}, &Error{Op: "ask " + address, Kind: ErrorQuestion, Err: err}
	}
	if q.Authorization != "" {
		req.Header.Set("Authorization", q.Authorization)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Answer{}, &Error{Op: "ask " + address, Kind: ErrorUnavailable, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, &Error{Op: "read the answer of " + address, Kind: ErrorUnavailable, Err: err}
	}
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusBadRequest:
		return Answer{}, &Error{Op: "ask " + address, Kind: ErrorQuestion, Err: errors.New(string(data))}
	default:
		return Answer{}, &Error{Op: "ask " + address, Kind: ErrorUnavailable, Err: errors.Errorf("status %d: %s", resp.StatusCode, data)}
	}
	var a Answer
	if err := json.Unmarshal(data, &a); err != nil {
		return Answer{}, &Error{Op: "decode the answer of " + address, Kind: ErrorAnswer, Err: err}
	}
	return a, nil
}
