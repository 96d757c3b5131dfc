// Package relayer passes the answer of an upstream on to its caller unchanged.
//
// The duty that reads an upstream puts replies on the ring of the request; the
// goroutine that net/http runs for the request takes them and writes. A whole
// answer is one reply. A stream is a head, the bytes of whole events and an
// end. If the ring is closed without an end, the answer has broken off. It must
// not look complete then, so [Relay] returns an error that makes the server cut
// the connection.
//
// # Usage
//
//	replies := relayer.NewRing()
//	// hand replies to the duty that reads the upstream
//	err := relayer.Relay(ctx, w, replies, fail)
package relayer

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
)

// ringCapacity is the number of replies that may wait for a slow caller. When
// it is full, the upstream is slowed by TCP.
const ringCapacity = 64

// Kind tells what a reply brings.
type Kind int

// The kinds of replies.
const (
	// KindWhole brings a whole answer.
	KindWhole Kind = iota
	// KindHead brings the status and headers of a stream.
	KindHead
	// KindBytes brings bytes of a stream.
	KindBytes
	// KindEnd ends a stream that is complete.
	KindEnd
	// KindFailed ends a request of which nothing has been passed on.
	KindFailed
)

// Reply is one part of an answer. Only the fields of its kind are set.
type Reply struct {
	Kind   Kind
	Status int
	Header http.Header
	// Unframed is true for a head whose answer ends with the connection. It is
	// passed on in the same way, since nobody knows whether its end is complete.
	Unframed bool
	Bytes    []byte
	Failure  *admitter.Failure
}

// Ring carries replies to one caller.
type Ring = buffer.Ring[Reply, buffer.Block]

// NewRing returns a ring for the replies to one request.
func NewRing() *Ring { return buffer.New[Reply, buffer.Block]("relayed_replies", ringCapacity) }

// Relay writes the replies on the ring until the answer has ended. It calls
// fail with the failure of a request of which nothing was passed on. Its
// errors have the type [*Error].
func Relay(ctx context.Context, w http.ResponseWriter, replies *Ring, fail func(http.ResponseWriter, *admitter.Failure)) error {
	flusher := http.NewResponseController(w)
	for {
		r, ok := replies.Take(ctx)
		if !ok && ctx.Err() == nil {
			return &Error{Op: "take a reply", Kind: ErrorBroken, Err: errors.New("the answer broke off")}
		}
		if !ok {
			return &Error{Op: "take a reply", Kind: ErrorCaller, Err: ctx.Err()}
		}
		switch r.Kind {
		case KindWhole:
			return whole(w, r)
		case KindHead:
			begin(w, r)
		case KindBytes:
			if err := write(w, r.Bytes); err != nil {
				return err
			}
			if replies.Stats().Depth > 0 {
				continue
			}
			if err := flusher.Flush(); err != nil {
				return &Error{Op: "flush", Kind: ErrorCaller, Err: err}
			}
		case KindEnd:
			return nil
		case KindFailed:
			fail(w, r.Failure)
			return nil
		}
	}
}

// whole writes an answer that is complete. The answer to a HEAD request keeps
// the length that the upstream named.
func whole(w http.ResponseWriter, r Reply) error {
	to := copyHeader(w, r)
	if len(r.Bytes) > 0 || to.Get("Content-Length") == "" {
		to.Set("Content-Length", strconv.Itoa(len(r.Bytes)))
	}
	w.WriteHeader(r.Status)
	return write(w, r.Bytes)
}

// begin writes the head of a stream.
func begin(w http.ResponseWriter, r Reply) {
	to := copyHeader(w, r)
	if r.Unframed {
		// net/http then ends the answer with the connection.
		to.Set("Transfer-Encoding", "identity")
	}
	w.WriteHeader(r.Status)
}

// copyHeader copies the headers of an answer, and keeps net/http from adding
// some that the upstream did not send.
func copyHeader(w http.ResponseWriter, r Reply) http.Header {
	to := w.Header()
	for name, values := range r.Header {
		to[name] = values
	}
	for _, name := range [...]string{"Date", "Content-Type"} {
		if _, ok := to[name]; !ok {
			to[name] = nil
		}
	}
	return to
}

func write(w http.ResponseWriter, b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if _, err := w.Write(b); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return &Error{Op: "write", Kind: ErrorCaller, Err: err}
	}
	return nil
}

// StripConnection removes the headers that concern one connection only, and
// those that the Connection header names unless keep holds them.
func StripConnection(h http.Header, keep func(name string) bool) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if name = strings.TrimSpace(name); keep == nil || !keep(name) {
				h.Del(name)
			}
		}
	}
	for _, name := range [...]string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade",
	} {
		h.Del(name)
	}
}
