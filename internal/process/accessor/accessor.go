// Package accessor reads and writes the objects of the platform.
//
// The platform keeps objects with a version under a key. An update may be
// conditional on the version that the writer has seen, and a watch waits until
// an object has changed. Everything that must last or be agreed upon goes
// through this interface; nothing else of the platform's is used for it.
//
// [Client] speaks the object API over HTTP. Its errors have the type [*Error];
// the kind [ErrorUnknown] means that a write may have taken effect although no
// answer came, and its author must read back before it tries again.
//
// # Usage
//
//	var s accessor.Store = &accessor.Client{URL: "http://10.0.0.9:9100"}
//	o, err := s.Get(ctx, "records/head")
//	_, err = s.Put(ctx, o.Key, value, o.Version)
//	o, err = s.Watch(ctx, "records/head", o.Version)
package accessor

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
)

// MaxValue is the largest value of an object in bytes.
const MaxValue = 1 << 20

// Object is one object of the platform.
type Object struct {
	Key string `json:"key"`
	// Version grows with each update of any object. Zero means that there is no
	// object.
	Version int64  `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Store is the object API.
type Store interface {
	// Get returns the object. Its version is zero if there is none.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose keys start with prefix.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put writes value if the object still has the version expect; zero means
	// that there must be none. It fails with [ErrorConflict] otherwise.
	Put(ctx context.Context, key string, value []byte, expect int64) (Object, error)
	// Delete removes the object if it still has the version expect.
	Delete(ctx context.Context, key string, expect int64) error
	// Watch waits until the object has another version than after, and returns
	// it. It may return the unchanged object when the platform ends the wait.
	Watch(ctx context.Context, key string, after int64) (Object, error)
}

// Client is a [Store] over HTTP.
type Client struct {
	URL string
	// HTTP is the client to use. Nil means http.DefaultClient.
	HTTP *http.Client
	// Timeout bounds a call and WatchTimeout a watch. Zero means the defaults of
	// 5 s and 45 s.
	Timeout      time.Duration
	WatchTimeout time.Duration
}

// The default time-outs. Without them, a platform that accepts connections and
// does not answer, or a connection that was cut without a word, would hold a
// duty for ever. The platform ends a watch itself after 30 s.
const (
	defaultTimeout      = 5 * time.Second
	defaultWatchTimeout = 45 * time.Second
)

// Get implements [Store].
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	return c.object(ctx, http.MethodGet, c.path(key), nil, "get "+key)
}

// List implements [Store].
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	op := "list " + prefix
	data, err := c.do(ctx, http.MethodGet, c.URL+"/objects?prefix="+url.QueryEscape(prefix), nil, op)
	if err != nil {
		return nil, err
	}
	var out []Object
	if err := json.Unmarshal(data, &out); err != nil {
		return nil, &Error{Op: op, Kind: ErrorUnavailable, Err: err}
	}
	return out, nil
}

// Put implements [Store].
func (c *Client) Put(ctx context.Context, key string, value []byte, expect int64) (Object, error) {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	return c.object(ctx, http.MethodPut, c.path(key)+"?expect="+strconv.FormatInt(expect, 10), value, "put "+key)
}

// Delete implements [Store].
func (c *Client) Delete(ctx context.Context, key string, expect int64) error {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	_, err := c.do(ctx, http.MethodDelete, c.path(key)+"?expect="+strconv.FormatInt(expect, 10), nil, "delete "+key)
	return err
}

// Watch implements [Store].
func (c *Client) Watch(ctx context.Context, key string, after int64) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.WatchTimeout, defaultWatchTimeout))
	defer cancel()
	return c.object(ctx, http.MethodGet, c.path(key)+"?after="+strconv.FormatInt(after, 10), nil, "watch "+key)
}

func (c *Client) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, cmp.Or(c.Timeout, defaultTimeout))
}

func (c *Client) path(key string) string { return c.URL + "/objects/" + key }

func (c *Client) object(ctx context.Context, method, path string, body []byte, op string) (Object, error) {
	data, err := c.do(ctx, method, path, body, op)
	if err != nil {
		return Object{}, err
	}
	var o Object
	if err := json.Unmarshal(data, &o); err != nil {
		return Object{}, &Error{Op: op, Kind: Unanswered(method), Err: err}
	}
	return o, nil
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, op string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, path, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Op: op, Kind: ErrorUnavailable, Err: err}
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, &Error{Op: op, Kind: Unanswered(method), Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	// An object in base64 within JSON takes four thirds of its size.
	data, err := io.ReadAll(io.LimitReader(resp.Body, 64*MaxValue))
	if err != nil {
		return nil, &Error{Op: op, Kind: Unanswered(method), Err: err}
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return data, nil
	case http.StatusConflict:
		return nil, &Error{Op: op, Kind: ErrorConflict, Err: errors.New("the object has another version")}
	case http.StatusRequestEntityTooLarge:
		return nil, &Error{Op: op, Kind: ErrorTooLarge, Err: errors.Errorf("the value is over %d bytes", MaxValue)}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return nil, &Error{Op: op, Kind: ErrorUnavailable, Err: errors.Errorf("status %d", resp.StatusCode)}
	}
	return nil, &Error{Op: op, Kind: Unanswered(method), Err: errors.Errorf("status %d", resp.StatusCode)}
}

// Unanswered returns the kind of error of a call with the given HTTP method that
// got no answer: a read had no effect, but a write may have had one.
func Unanswered(method string) ErrorKind {
	if method == http.MethodGet {
		return ErrorUnavailable
	}
	return ErrorUnknown
}
