// Package relayer relays the response of an upstream to the caller unchanged.
//
// The goroutine that reads from the upstream puts replies on the ring of the
// request. The handler goroutine of net/http takes them from the ring and writes
// them. A complete response is one reply. A streamed response is a head, parts of
// the body that hold whole events, and an end. If the ring is closed before the
// end, the response is incomplete. [Relay] then returns an error on which the
// server aborts the connection, so that the caller can tell that the response is
// incomplete. If not even the head has been written, the error is of the kind
// [ErrorNoReply] and the server writes a failure instead.
//
// The framing of a response says no more about its end than the upstream did. If only
// the end of the connection marked the end of the response, it does so for the caller
// as well, since the upstream may have failed in the midst of it.
//
// # Usage
//
//	replies := relayer.NewRing()
//	// pass replies to the goroutine that reads from the upstream
//	err := relayer.Relay(ctx, w, replies, fail)
package relayer

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/connection/closer"
	"magnoliafront.dev/magnoliafront/internal/process/reserver"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
)

// ringCapacity is the maximum number of replies queued for a slow caller. While
// the ring is full, the upstream is not read, and TCP flow control slows it down. The
// process may hold a full ring for each of some thousand requests.
const ringCapacity = 4

// Kind is the type of a [Reply].
type Kind int

// The reply kinds.
const (
	// KindComplete carries the head and the whole body of a response.
	KindComplete Kind = iota
	// KindHead carries the status and headers of a streamed response.
	KindHead
	// KindBody carries a part of the body of a streamed response.
	KindBody
	// KindEnd marks the end of a streamed response that is complete as far as its
	// framing says.
	KindEnd
	// KindFailed ends a request that failed before any part of a response was
	// relayed.
	KindFailed
)

// Reply is one part of a response, or the failure of the request. Only the fields
// of its kind are set.
type Reply struct {
	Kind   Kind
	Status int
	Header http.Header
	// CloseDelimited is true for the head, the end or the whole of a response whose end
	// is marked only by the close of the connection. It is relayed with the same framing,
	// since it is unknown whether the response was complete when the connection closed.
	// Head and end differ if a stream was continued by another response.
	CloseDelimited bool
	Bytes          []byte
	// Reserved is the number of bytes that are reserved for the reply in the account of
	// its ring. Who ends with the reply releases them.
	Reserved int
	Failure  *admitter.Failure
}

// Ring queues the replies to one request.
type Ring struct {
	*buffer.Ring[Reply, buffer.Block]
	// Account holds the bytes that are reserved for the replies. If it is nil, they are
	// not limited.
	Account *reserver.Account
}

// NewRing returns a ring for the replies to one request, whose bytes are not limited.
func NewRing() *Ring { return NewLimitedRing(nil) }

// NewLimitedRing returns a ring for the replies to one request, whose bytes are reserved
// in a.
func NewLimitedRing(a *reserver.Account) *Ring {
	return &Ring{Ring: buffer.New[Reply, buffer.Block]("relayed_replies", ringCapacity), Account: a}
}

// End puts a reply that ends the request without waiting for its caller. If the ring is
// full, the caller has a part of a response already, and the ring is closed instead.
func (r *Ring) End(reply Reply) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if !r.Put(ctx, reply) {
		r.Account.Release(reply.Reserved)
		r.Close()
	}
}

// Relay writes the replies from the ring to w until the response ends. For
// [KindFailed] it calls fail to write the failure. Its errors have the type
// [*Error].
func Relay(ctx context.Context, w http.ResponseWriter, replies *Ring, fail func(http.ResponseWriter, *admitter.Failure)) error {
	controller := http.NewResponseController(w)
	reserved := 0
	defer func() { replies.Account.Release(reserved) }()
	for begun, framed := false, false; ; {
		// The reply before this one has been written.
		replies.Account.Release(reserved)
		reserved = 0
		r, err := takeReply(ctx, replies, begun)
		if err != nil {
			return err
		}
		reserved = r.Reserved
		if begun && r.Kind != KindBody && r.Kind != KindEnd {
			return &Error{Op: "write", Kind: ErrorBroken, Err: errors.New("another response follows the beginning of one")}
		}
		begun = true
		if r.CloseDelimited && r.Kind != KindEnd {
			closer.EndWithConnection(ctx, w.Header())
		}
		switch r.Kind {
		case KindComplete:
			return writeComplete(w, r)
		case KindHead:
			framed = !r.CloseDelimited
			writeHead(w, r)
		case KindBody:
			if err := writeBody(w, r.Bytes); err != nil {
				return err
			}
			if replies.Stats().Depth > 0 {
				continue
			}
			if err := controller.Flush(); err != nil {
				return &Error{Op: "flush", Kind: ErrorCaller, Err: err}
			}
		case KindEnd:
			if framed && r.CloseDelimited {
				// The events that the caller is to go on from may not have been sent.
				_ = controller.Flush()
				return &Error{Op: "end", Kind: ErrorBroken, Err: errors.New("only the close of a connection marks the end of the framed response")}
			}
			return nil
		case KindFailed:
			fail(w, r.Failure)
			return nil
		}
	}
}

// takeReply takes the next reply of a response that has begun, or has not.
func takeReply(ctx context.Context, replies *Ring, begun bool) (Reply, error) {
	r, ok := replies.Take(ctx)
	switch {
	case ok:
		return r, nil
	case ctx.Err() != nil:
		return r, &Error{Op: "take a reply", Kind: ErrorCaller, Err: ctx.Err()}
	case !begun:
		return r, &Error{Op: "take a reply", Kind: ErrorNoReply, Err: errors.New("the request ended without a reply")}
	}
	return r, &Error{Op: "take a reply", Kind: ErrorBroken, Err: errors.New("the response ended prematurely")}
}

// writeComplete writes a complete response. It sets Content-Length unless the response
// is close-delimited. For an empty body, net/http sets it where the response could have
// had one; the response to a HEAD request keeps what the upstream stated.
func writeComplete(w http.ResponseWriter, r Reply) error {
	to := copyHeader(w, r)
	if !r.CloseDelimited && len(r.Bytes) > 0 {
		to.Set("Content-Length", strconv.Itoa(len(r.Bytes)))
	}
	w.WriteHeader(r.Status)
	return writeBody(w, r.Bytes)
}

// writeHead writes the status and headers of a streamed response.
func writeHead(w http.ResponseWriter, r Reply) {
	copyHeader(w, r)
	w.WriteHeader(r.Status)
}

// copyHeader copies the headers of a response. It sets Date and Content-Type to
// nil if the upstream did not send them, which prevents net/http from adding them.
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

// HasHead reports whether the head of a response has been written to a
// [http.ResponseWriter] with the header h by [Relay].
func HasHead(h http.Header) bool {
	_, ok := h["Date"]
	return ok
}

// writeBody writes b, if it is not empty. It ignores the error of net/http for a
// status that allows no body, such as 204 or 304.
func writeBody(w http.ResponseWriter, b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if _, err := w.Write(b); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return &Error{Op: "write", Kind: ErrorCaller, Err: err}
	}
	return nil
}

// RemoveHopByHopHeaders removes the hop-by-hop headers of HTTP and those that the
// Connection header lists, except the listed ones for which keep returns true. A
// nil keep removes all.
func RemoveHopByHopHeaders(h http.Header, keep func(name string) bool) {
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
