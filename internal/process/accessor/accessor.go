// Package accessor defines the interfaces of the platform's object store and an
// HTTP client.
//
// The platform is the system that runs the VMs. Its object store maps keys to
// versioned objects. Updates are conditional on the expected version
// (compare-and-swap), and a watch waits until an object has changed. All durable
// state and all coordination between processes use [Store] and [Feed] and no other
// service of the platform.
//
// [Client] implements the object API over HTTP. Its errors have the type
// [*Error]. The kind [ErrorOutcomeUnknown] means that a write may have taken
// effect although no response arrived; the caller must read the object back
// before it retries.
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

// MaxValueBytes is the maximum size of an object's value.
const MaxValueBytes = 1 << 20

// Object is one versioned object of the store.
type Object struct {
	Key string `json:"key"`
	// Version increases with each update of any object. Zero means that the
	// object does not exist.
	Version int64  `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Store is the interface of the object store.
type Store interface {
	// Get returns the object. Its version is zero if it does not exist.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose keys start with prefix.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put writes value if the object still has the version expect; zero means
	// that the object must not exist. Otherwise it fails with [ErrorConflict].
	Put(ctx context.Context, key string, value []byte, expect int64) (Object, error)
	// Delete removes the object if it still has the version expect. Otherwise it
	// fails with [ErrorConflict].
	Delete(ctx context.Context, key string, expect int64) error
	// Watch waits until the version of the object differs from after, and returns
	// the object. It may return the unchanged object when the platform ends the
	// wait.
	Watch(ctx context.Context, key string, after int64) (Object, error)
}

// Client is a [Store] over HTTP.
type Client struct {
	URL string
	// HTTP is the underlying client. Nil means [http.DefaultClient].
	HTTP *http.Client
	// WatchTimeout limits the duration of a call of [Client.Watch], Timeout the
	// duration of any other call. Zero means the defaults of 45 s and 5 s.
	Timeout      time.Duration
	WatchTimeout time.Duration
}

// Default time-outs. Without them, a platform that accepts connections but does
// not respond, or a connection that is lost without a FIN or RST, would block the
// calling goroutine forever. The platform itself ends a watch after 30 s.
const (
	defaultTimeout      = 5 * time.Second
	defaultWatchTimeout = 45 * time.Second
)

// Get implements [Store].
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	return c.doObject(ctx, http.MethodGet, c.objectURL(key), nil, "get "+key)
}

// List implements [Store].
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	ctx, cancel := c.withTimeout(ctx)
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
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	return c.doObject(ctx, http.MethodPut, c.objectURL(key)+"?expect="+strconv.FormatInt(expect, 10), value, "put "+key)
}

// Delete implements [Store].
func (c *Client) Delete(ctx context.Context, key string, expect int64) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	_, err := c.do(ctx, http.MethodDelete, c.objectURL(key)+"?expect="+strconv.FormatInt(expect, 10), nil, "delete "+key)
	return err
}

// Watch implements [Store].
func (c *Client) Watch(ctx context.Context, key string, after int64) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.WatchTimeout, defaultWatchTimeout))
	defer cancel()
	return c.doObject(ctx, http.MethodGet, c.objectURL(key)+"?after="+strconv.FormatInt(after, 10), nil, "watch "+key)
}

func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, cmp.Or(c.Timeout, defaultTimeout))
}

func (c *Client) objectURL(key string) string { return c.URL + "/objects/" + key }

func (c *Client) doObject(ctx context.Context, method, rawURL string, body []byte, op string) (Object, error) {
	data, err := c.do(ctx, method, rawURL, body, op)
	if err != nil {
		return Object{}, err
	}
	var o Object
	if err := json.Unmarshal(data, &o); err != nil {
		return Object{}, &Error{Op: op, Kind: NoResponseErrorKind(method), Err: err}
	}
	return o, nil
}

func (c *Client) do(ctx context.Context, method, rawURL string, body []byte, op string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, rawURL, bytes.NewReader(body))
	if err != nil {
		return nil, &Error{Op: op, Kind: ErrorUnavailable, Err: err}
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, &Error{Op: op, Kind: NoResponseErrorKind(method), Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	// The response of List holds several objects, and the base64 encoding of a
	// value in JSON has four thirds of its size.
	data, err := io.ReadAll(io.LimitReader(resp.Body, 64*MaxValueBytes))
	if err != nil {
		return nil, &Error{Op: op, Kind: NoResponseErrorKind(method), Err: err}
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return data, nil
	case http.StatusConflict:
		return nil, &Error{Op: op, Kind: ErrorConflict, Err: errors.New("the object has another version")}
	case http.StatusRequestEntityTooLarge:
		return nil, &Error{Op: op, Kind: ErrorTooLarge, Err: errors.Errorf("the value is over %d bytes", MaxValueBytes)}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return nil, &Error{Op: op, Kind: ErrorUnavailable, Err: errors.Errorf("status %d", resp.StatusCode)}
	}
	return nil, &Error{Op: op, Kind: NoResponseErrorKind(method), Err: errors.Errorf("status %d", resp.StatusCode)}
}

// NoResponseErrorKind returns the error kind of a call with the given HTTP method
// that got no valid response: a read had no effect, but a write may have had one.
func NoResponseErrorKind(method string) ErrorKind {
	if method == http.MethodGet {
		return ErrorUnavailable
	}
	return ErrorOutcomeUnknown
}
