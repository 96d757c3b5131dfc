// Package messenger exchanges messages between two processes of the system over
// an authenticated connection.
//
// The protocol is JSON-RPC 2.0 over TCP, with one JSON object per line. The
// handshake is mutual challenge-response with a shared secret: the dialling peer
// sends a hello with its protocol versions and a nonce, the accepting peer
// responds with its own nonce and a proof that it knows the secret, and the
// dialling peer then sends its proof. The nonces are fresh for each connection,
// which prevents the replay of a recorded handshake. Until both proofs are
// verified, any other method closes the connection.
//
// A connection has a reader goroutine, which passes each message to the
// [Handler] and writes its response, and a writer goroutine, which takes
// notifications from a bounded ring. If a peer does not read, its ring fills up
// and the connection is closed; [Conn.Notify] never blocks. [Conn.Call] writes on
// the goroutine of its caller and waits for the response.
//
// # Usage
//
//	c, err := messenger.Dial(ctx, address, messenger.Options{
//		Self:   messenger.Peer{Role: messenger.RoleEntry, Identity: "entry-1"},
//		Secret: secret,
//		Handle: func(c *messenger.Conn, m messenger.Message) (any, error) { ... },
//	})
//	c.Notify(messenger.MethodCancel, messenger.Cancel{Request: id})
//	err = c.Call(ctx, messenger.MethodFetchRecords, query, &result)
package messenger

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/jsonrpc2"

	"magnoliafront.dev/magnoliafront/internal/process/recoverer"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
)

const (
	// MaxMessageBytes is the maximum size of a message. The largest message is a
	// bucket of records, which the platform stores in an object of at most 1 MB.
	MaxMessageBytes = 1 << 20
	// maxHandshakeBytes is the maximum size of a message that an accepted peer sends before
	// it has proved that it knows the secret. A hello has less than 1 KB.
	maxHandshakeBytes = 4 << 10
	// handshakeTimeout is the default time after which a connection without a
	// complete handshake is closed. It bounds the time for which an
	// unauthenticated peer can occupy a connection.
	handshakeTimeout = 5 * time.Second
	// outRingCapacity is the maximum number of notifications queued for a slow peer.
	// With 64 streams and 33 ms per token, this is about half a second of frames.
	outRingCapacity = 1024
	// nonceBytes is the length of a handshake nonce.
	nonceBytes = 16
	// drainTimeout is the maximum time for sending the queued messages in
	// [Conn.Drain]. A peer that reads needs milliseconds.
	drainTimeout = time.Second
)

// Message is a call or notification received from the peer.
type Message struct {
	Method string
	// Params holds the JSON-RPC parameters, encoded in JSON.
	Params []byte
}

// Decode unmarshals the parameters of the message into to.
func (m Message) Decode(to any) error {
	if err := json.Unmarshal(m.Params, to); err != nil {
		return &Error{Op: "decode " + m.Method, Kind: ErrorProtocol, Err: err}
	}
	return nil
}

// Handler processes a message of an authenticated peer. It runs on the reader
// goroutine of the connection and must not wait for a later message. Its result
// is the response to a call and is ignored for a notification. After an
// authenticated connection has ended, the writer goroutine calls the handler once
// with an empty method.
type Handler func(c *Conn, m Message) (any, error)

// Options configures a connection.
type Options struct {
	// Self identifies this process to the peer.
	Self Peer
	// Secret is shared by all processes of the system.
	Secret []byte
	Handle Handler
	// Recoverer handles panics of Handle. It may be nil.
	Recoverer *recoverer.Recoverer
	// Refused counts refused messages, and connections that were closed because
	// the peer failed the handshake or reads too slowly. It may be nil.
	Refused *atomic.Uint64
	// HandshakeTimeout is the maximum duration of the handshake. Zero means 5 s.
	HandshakeTimeout time.Duration
}

func (o Options) handshakeTimeout() time.Duration {
	if o.HandshakeTimeout > 0 {
		return o.HandshakeTimeout
	}
	return handshakeTimeout
}

func (o Options) countRefused() {
	if o.Refused != nil {
		o.Refused.Add(1)
	}
}

// Conn is a connection to a peer process.
type Conn struct {
	// Peer identifies the peer. It is set when the handshake is complete.
	Peer Peer
	// Version is the negotiated protocol version.
	Version int

	options       Options
	conn          net.Conn
	rpc           *jsonrpc2.Conn
	out           *buffer.Ring[outgoingMessage, buffer.Reject]
	handshakeDone chan struct{}
	// dialled is true if this process opened the connection.
	dialled bool
	// hello and nonce are the handshake state of the accepting peer. Only the
	// reader goroutine uses them.
	hello Hello
	nonce []byte
}

// outgoingMessage is a notification queued for the writer goroutine.
type outgoingMessage struct {
	method string
	params any
}

// Dial connects to the process at address and completes the handshake.
func Dial(ctx context.Context, address string, o Options) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, o.handshakeTimeout())
	defer cancel()
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &Error{Op: "dial " + address, Kind: ErrorNetwork, Err: err}
	}
	c := newConn(nc, o, true)
	if err := c.handshake(ctx); err != nil {
		var refused *Error
		if errors.As(err, &refused) && refused.Kind == ErrorUnauthenticated {
			o.countRefused()
		}
		c.Close()
		return nil, err
	}
	return c, nil
}

// Accept starts a connection that a listener accepted. It doesn't wait for the
// handshake. The handler receives messages only after the peer has proved that
// it knows the shared secret.
func Accept(nc net.Conn, o Options) *Conn {
	c := newConn(nc, o, false)
	timer := time.AfterFunc(o.handshakeTimeout(), func() {
		if !c.authenticated() {
			o.countRefused()
			c.Close()
		}
	})
	go func() {
		// The running timer would keep a closed connection reachable in memory.
		<-c.Done()
		timer.Stop()
	}()
	return c
}

// Notify queues a notification. If the ring is full because the peer reads too
// slowly, it closes the connection and returns false.
func (c *Conn) Notify(method string, params any) bool {
	if c.out.Put(context.Background(), outgoingMessage{method, params}) {
		return true
	}
	if c.Close() {
		c.options.countRefused()
	}
	return false
}

// Call sends a request and waits for its response.
func (c *Conn) Call(ctx context.Context, method string, params, result any) error {
	if err := c.rpc.Call(ctx, method, params, result); err != nil {
		return &Error{Op: "call " + method, Kind: ErrorNetwork, Err: err}
	}
	return nil
}

// Close closes the connection at once, without sending queued messages. It
// reports whether the connection was open.
func (c *Conn) Close() bool {
	c.out.Close()
	return c.rpc.Close() == nil
}

// Drain sends the queued messages and then closes the connection. Messages that
// the peer has not read within a second are lost.
func (c *Conn) Drain() {
	c.out.Close()
	timer := time.AfterFunc(drainTimeout, func() { c.Close() })
	go func() {
		<-c.Done()
		timer.Stop()
	}()
}

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

func newConn(nc net.Conn, o Options, dialled bool) *Conn {
	c := &Conn{
		options:       o,
		conn:          nc,
		out:           buffer.New[outgoingMessage, buffer.Reject]("messenger_out", outRingCapacity),
		handshakeDone: make(chan struct{}),
		dialled:       dialled,
	}
	stream := jsonrpc2.NewBufferedStream(nc, lineCodec{refused: o.countRefused, maxBytes: c.maxMessageBytes})
	constructed := make(chan struct{})
	// The log lines of the library duplicate errors that the handler reports.
	silent := jsonrpc2.SetLogger(log.New(io.Discard, "", 0))
	c.rpc = jsonrpc2.NewConn(context.Background(), stream, deferredHandler{c, constructed}, silent)
	close(constructed)
	go c.writeLoop()
	return c
}

// writeLoop is the writer goroutine. When the ring is closed, it sends the
// queued messages before it closes the connection.
func (c *Conn) writeLoop() {
	for c.writeNext() {
	}
	for n, ok := c.out.TryTake(); ok; n, ok = c.out.TryTake() {
		// After Close, every write fails immediately.
		if c.rpc.Notify(context.Background(), n.method, n.params) != nil {
			break
		}
	}
	c.Close()
	if c.authenticated() {
		_, _ = c.handle(Message{})
	}
}

// writeNext waits for a queued message and writes it. It returns false if the
// connection or the ring is closed, or if the write fails.
func (c *Conn) writeNext() bool {
	select {
	case <-c.rpc.DisconnectNotify():
		return false
	case <-c.out.Done():
		return false
	case n := <-c.out.C():
		return c.rpc.Notify(context.Background(), n.method, n.params) == nil
	}
}

// authenticated reports whether the handshake is complete.
func (c *Conn) authenticated() bool {
	select {
	case <-c.handshakeDone:
		return true
	default:
		return false
	}
}

// Authenticated reports whether the peer has proved that it knows the shared secret.
func (c *Conn) Authenticated() bool { return c.authenticated() }

// maxMessageBytes returns the maximum size of the message that is read. A dialled peer may
// send a large message while its part of the handshake is still being verified.
func (c *Conn) maxMessageBytes() int {
	if c.dialled || c.authenticated() {
		return MaxMessageBytes
	}
	return maxHandshakeBytes
}

// deferredHandler blocks the reader goroutine, which jsonrpc2.NewConn starts,
// until newConn has set Conn.rpc.
type deferredHandler struct {
	c           *Conn
	constructed chan struct{}
}

func (h deferredHandler) Handle(ctx context.Context, rpc *jsonrpc2.Conn, r *jsonrpc2.Request) {
	<-h.constructed
	result, err := h.c.dispatch(r)
	if err != nil {
		h.c.refuse()
	}
	if r.Notif {
		return
	}
	if err != nil {
		_ = rpc.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: err.Error()})
		return
	}
	_ = rpc.Reply(ctx, r.ID, result)
}

// refuse counts a refused message. It closes the connection if the handshake is
// not complete.
func (c *Conn) refuse() {
	c.options.countRefused()
	if !c.authenticated() {
		c.Close()
	}
}

// handle passes a message to the handler. A panic of the handler refuses the message.
func (c *Conn) handle(m Message) (result any, err error) {
	if failure := c.options.Recoverer.Run("message "+m.Method, func() { result, err = c.options.Handle(c, m) }); failure != nil {
		return nil, &Error{Op: "handle " + m.Method, Kind: ErrorProtocol, Err: failure}
	}
	return result, err
}

// dispatch passes a message to the handler, or to the handshake while it is not
// complete.
func (c *Conn) dispatch(r *jsonrpc2.Request) (any, error) {
	var params []byte
	if r.Params != nil {
		params = *r.Params
	}
	m := Message{Method: r.Method, Params: params}
	if c.authenticated() {
		return c.handle(m)
	}
	if c.dialled {
		// The accepting peer sends no request before the handshake is complete.
		return nil, &Error{Op: "handshake", Kind: ErrorProtocol, Err: errors.Errorf("method %q before the handshake", r.Method)}
	}
	switch r.Method {
	case MethodHello:
		return c.handleHello(m)
	case MethodProve:
		return c.handleProve(m)
	}
	return nil, &Error{Op: "handshake", Kind: ErrorUnauthenticated, Err: errors.Errorf("method %q before the handshake", r.Method)}
}
