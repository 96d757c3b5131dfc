package explainer

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// The parameters of a question in the URL. The key is in the header Authorization, since
// URLs are logged.
const (
	paramHost         = "host"
	paramPath         = "path"
	paramRequestID    = "request_id"
	paramModel        = "model"
	paramPrefix       = "prefix"
	paramContent      = "content"
	paramPromptTokens = "prompt_tokens"
	paramDeadline     = "deadline_ms"
)

// defaultRequestID is the identity of a request to explain that has none.
const defaultRequestID = "explain"

// Question describes the request to explain.
type Question struct {
	Host string
	Path string
	// Authorization is the value of the header of the same name, empty for none.
	Authorization string
	RequestID     string
	Model         string
	// Prefix lists the parts of the prompt in the form of callers: HASH:TOKENS, separated
	// by commas.
	Prefix       string
	PromptTokens int
	// Content is the digest of the content, by which strikes against it are found. It is
	// empty if unknown.
	Content string
	// Deadline is the time for which the caller waits. Zero means no deadline.
	Deadline time.Duration
}

// values returns the parameters of q for a URL.
func (q Question) values() url.Values {
	v := url.Values{}
	v.Set(paramHost, q.Host)
	v.Set(paramPath, q.Path)
	for name, value := range map[string]string{paramRequestID: q.RequestID, paramModel: q.Model, paramPrefix: q.Prefix, paramContent: q.Content} {
		if value != "" {
			v.Set(name, value)
		}
	}
	if q.PromptTokens > 0 {
		v.Set(paramPromptTokens, strconv.Itoa(q.PromptTokens))
	}
	if q.Deadline > 0 {
		v.Set(paramDeadline, strconv.FormatInt(q.Deadline.Milliseconds(), 10))
	}
	return v
}

// readQuestion returns the question of a request to the entry.
func readQuestion(r *http.Request) (Question, error) {
	v := r.URL.Query()
	q := Question{
		Host: v.Get(paramHost), Path: v.Get(paramPath), Authorization: r.Header.Get("Authorization"),
		RequestID: v.Get(paramRequestID), Model: v.Get(paramModel), Prefix: v.Get(paramPrefix), Content: v.Get(paramContent),
	}
	if q.RequestID == "" {
		q.RequestID = defaultRequestID
	}
	if q.Host == "" || q.Path == "" || q.Path[0] != '/' {
		return q, errors.New("host and a path that begins with a slash are required")
	}
	tokens, err := readNumber(v, paramPromptTokens)
	if err != nil {
		return q, err
	}
	ms, err := readNumber(v, paramDeadline)
	if err != nil {
		return q, err
	}
	q.PromptTokens, q.Deadline = tokens, time.Duration(ms)*time.Millisecond
	return q, nil
}

// readNumber returns the number in a parameter, zero if it is absent.
func readNumber(v url.Values, name string) (int, error) {
	text := v.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return 0, errors.Wrap(err, name)
	}
	return int(n), nil
}
