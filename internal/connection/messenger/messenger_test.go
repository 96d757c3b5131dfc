package messenger

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

var testSecret = []byte("a shared secret")

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testServer accepts connections and records their messages.
type testServer struct {
	listener net.Listener
	refused  atomic.Uint64
	messages chan Message
	accepted chan *Conn
}

func startTestServer(t *testing.T) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &testServer{listener: l, messages: make(chan Message, 16), accepted: make(chan *Conn, 16)}
	o := Options{Self: Peer{Role: RoleAgent, Identity: "agent-1"}, Secret: testSecret, Refused: &s.refused, HandshakeTimeout: time.Minute}
	o.Handle = func(_ *Conn, m Message) (any, error) {
		if m.Method == "panic" {
			panic("fault")
		}
		s.messages <- m
		return nil, nil
	}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted <- Accept(nc, o)
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return s
}

// rawPeer is a client that writes arbitrary lines to a testServer.
type rawPeer struct {
	net.Conn
	lines *bufio.Reader
}

func (s *testServer) dialRaw(t *testing.T) *rawPeer {
	t.Helper()
	nc, err := net.Dial("tcp", s.listener.Addr().String())
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = nc.Close() })
	return &rawPeer{nc, bufio.NewReader(nc)}
}

func (r *rawPeer) send(line string) { _, _ = r.Write([]byte(line + "\n")) }

// hello sends h and returns the response.
func (r *rawPeer) hello(t *testing.T, h Hello) Welcome {
	t.Helper()
	params, err := json.Marshal(h)
	is.New(t).NoErr(err)
	r.send(fmt.Sprintf(`{"jsonrpc":"2.0","id":1,"method":"hello","params":%s}`, params))
	line, err := r.lines.ReadBytes('\n')
	is.New(t).NoErr(err)
	var answer struct {
		Result Welcome `json:"result"`
	}
	is.New(t).NoErr(json.Unmarshal(line, &answer))
	return answer.Result
}

func (r *rawPeer) prove(p []byte) {
	params, _ := json.Marshal(Prove{Proof: p})
	r.send(fmt.Sprintf(`{"jsonrpc":"2.0","id":2,"method":"prove","params":%s}`, params))
}

// completeHandshake authenticates the peer with testSecret.
func (r *rawPeer) completeHandshake(t *testing.T) {
	t.Helper()
	h := validHello()
	w := r.hello(t, h)
	r.prove(computeProof(testSecret, "dial", h.Nonce, w.Nonce, h.Peer))
	_, err := r.lines.ReadBytes('\n')
	is.New(t).NoErr(err)
}

func validHello() Hello {
	return Hello{Peer: Peer{Role: RoleEntry, Identity: "entry-1"}, MinVersion: MinVersion, MaxVersion: MaxVersion, Nonce: []byte("0123456789abcdef")}
}

// A message that was cut off by the end of its sender, even between its last byte and the end
// of its line, must not be delivered: a frame with the end of an answer would count.
func TestCutMessageIsNotDelivered(t *testing.T) {
	const line = `{"jsonrpc":"2.0","method":"frame","params":{"request":"r","attempt":1,"kind":"finished"}}`
	for k := 1; k <= len(line); k++ {
		s := startTestServer(t)
		peer := s.dialRaw(t)
		peer.completeHandshake(t)
		_, _ = peer.Write([]byte(line[:k]))
		is.New(t).NoErr(peer.Close())
		// The end of a connection is delivered as an empty message.
		is.New(t).Equal((<-s.messages).Method, "")
	}
}

// A protocol violation must close the connection, increment the refusal counter
// once, call no handler and leak no goroutine.
func TestProtocolViolationClosesConnection(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(t *testing.T, r *rawPeer)
	}{
		{"oversized message", func(t *testing.T, r *rawPeer) {
			r.completeHandshake(t)
			go r.send(strings.Repeat("x", MaxMessageBytes+2))
		}},
		{"oversized message before the handshake", func(_ *testing.T, r *rawPeer) { go r.send(strings.Repeat("x", MaxMessageBytes+2)) }},
		{"message without an end before the handshake", func(_ *testing.T, r *rawPeer) {
			_, _ = r.Write([]byte(strings.Repeat("x", 3*maxHandshakeBytes)))
		}},
		{"malformed message", func(t *testing.T, r *rawPeer) {
			r.completeHandshake(t)
			r.send(`{"jsonrpc":"2.0","method":`)
		}},
		{"truncated message", func(t *testing.T, r *rawPeer) {
			r.completeHandshake(t)
			_, _ = r.Write([]byte(`{"jsonrpc"`))
			_ = r.Conn.(*net.TCPConn).CloseWrite()
		}},
		{"message before the handshake", func(_ *testing.T, r *rawPeer) {
			r.send(`{"jsonrpc":"2.0","method":"submit","params":{"request":"r"}}`)
		}},
		{"proof before the hello", func(_ *testing.T, r *rawPeer) { r.prove(nil) }},
		{"second hello", func(t *testing.T, r *rawPeer) {
			r.hello(t, validHello())
			r.send(`{"jsonrpc":"2.0","id":3,"method":"hello","params":{}}`)
		}},
		{"wrong secret", func(t *testing.T, r *rawPeer) {
			h := validHello()
			w := r.hello(t, h)
			r.prove(computeProof([]byte("another secret"), "dial", h.Nonce, w.Nonce, h.Peer))
		}},
		{"reflected proof", func(t *testing.T, r *rawPeer) {
			w := r.hello(t, validHello())
			r.prove(w.Proof)
		}},
		{"proof for another identity than in the hello", func(t *testing.T, r *rawPeer) {
			h := validHello()
			w := r.hello(t, h)
			r.prove(computeProof(testSecret, "dial", h.Nonce, w.Nonce, Peer{Role: RoleEntry, Identity: "entry-2"}))
		}},
		{"unsupported version", func(_ *testing.T, r *rawPeer) {
			r.send(`{"jsonrpc":"2.0","id":1,"method":"hello","params":{"min_version":90,"max_version":99}}`)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startTestServer(t)
			c.do(t, s.dialRaw(t))
			assertRefused(t, s)
		})
	}
}

// A recorded handshake must not authenticate a second connection.
func TestReplayedHandshakeIsRefused(t *testing.T) {
	s := startTestServer(t)
	h := validHello()
	first := s.dialRaw(t)
	w := first.hello(t, h)
	p := computeProof(testSecret, "dial", h.Nonce, w.Nonce, h.Peer)
	first.prove(p)
	_, err := first.lines.ReadBytes('\n')
	is.New(t).NoErr(err)
	_ = first.Close()
	<-(<-s.accepted).Done()
	second := s.dialRaw(t)
	second.hello(t, h)
	second.prove(p)
	assertRefused(t, s)
}

// A peer that never reads must be disconnected, and Notify must not block.
func TestPeerThatNeverReadsIsDisconnected(t *testing.T) {
	s := startTestServer(t)
	r := s.dialRaw(t)
	r.completeHandshake(t)
	c := <-s.accepted
	frame := Frame{Kind: FrameTokens, Tokens: []string{strings.Repeat("x", 64<<10)}}
	for c.Notify(MethodFrame, frame) {
	}
	<-c.Done()
	is.New(t).Equal(s.refused.Load(), uint64(1))
}

// A process that stops must send the last frames of answers that ended.
// Otherwise the entries treat these answers as lost.
func TestDrainSendsQueuedMessages(t *testing.T) {
	const n = 500
	s := startTestServer(t)
	got := make(chan string, n+1)
	c, err := Dial(t.Context(), s.listener.Addr().String(), Options{Secret: testSecret, Handle: func(_ *Conn, m Message) (any, error) {
		got <- m.Method
		return nil, nil
	}})
	is.New(t).NoErr(err)
	a := <-s.accepted
	for range n {
		is.New(t).True(a.Notify(MethodFrame, Frame{Kind: FrameTokens}))
	}
	a.Drain()
	<-a.Done()
	<-c.Done()
	<-s.messages
	frames := 0
	for <-got != "" {
		frames++
	}
	is.New(t).Equal(frames, n)
}

// A peer that never reads must not prevent a process from stopping.
func TestDrainEndsWhenPeerNeverReads(t *testing.T) {
	s := startTestServer(t)
	r := s.dialRaw(t)
	r.completeHandshake(t)
	c := <-s.accepted
	for range 200 {
		c.Notify(MethodFrame, Frame{Tokens: []string{strings.Repeat("x", 64<<10)}})
	}
	c.Drain()
	<-c.Done()
}

// A peer that sends nothing must be disconnected at the handshake timeout.
func TestSilentPeerIsDisconnectedAtHandshakeTimeout(t *testing.T) {
	is := is.New(t)
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	var refused atomic.Uint64
	<-Accept(local, Options{Secret: testSecret, Refused: &refused, HandshakeTimeout: time.Millisecond}).Done()
	is.Equal(refused.Load(), uint64(1))
}

// Dial must fail and be counted if the accepting agent does not know the secret,
// so that the agent gets no requests.
func TestDialRefusesPeerWithWrongSecret(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t)
	var refused atomic.Uint64
	_, err := Dial(t.Context(), s.listener.Addr().String(), Options{Secret: []byte("another secret"), Refused: &refused})
	is.True(err != nil)
	is.Equal(refused.Load(), uint64(1))
	<-(<-s.accepted).Done()
}

// The messages of an authenticated peer must reach the handler, and nothing must
// be counted as refused.
func TestAuthenticatedPeerDeliversMessage(t *testing.T) {
	is := is.New(t)
	s := startTestServer(t)
	c, err := Dial(t.Context(), s.listener.Addr().String(), Options{
		Self: Peer{Role: RoleEntry}, Secret: testSecret, Handle: func(*Conn, Message) (any, error) { return nil, nil },
	})
	is.NoErr(err)
	is.Equal(c.Peer.Identity, "agent-1")
	is.True(c.Notify(MethodCancel, Cancel{Request: "r"}))
	var got Cancel
	is.NoErr((<-s.messages).Decode(&got))
	is.Equal(got.Request, "r")
	c.Close()
	<-(<-s.accepted).Done()
	<-s.messages
	is.Equal(s.refused.Load(), uint64(0))
}

// No input before the handshake may reach the handler or crash the process.
func FuzzAccept(f *testing.F) {
	f.Add([]byte(`{"jsonrpc":"2.0","id":1,"method":"hello","params":{"min_version":1,"max_version":1,"nonce":"AAAA"}}` + "\n"))
	f.Add([]byte(`{"jsonrpc":"2.0","id":2,"method":"prove","params":{"proof":"AAAA"}}` + "\n"))
	f.Add([]byte(`{"jsonrpc":"2.0","method":"submit"}` + "\n{}\n[]\nnull\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		local, remote := net.Pipe()
		c := Accept(local, Options{Secret: testSecret, Handle: func(*Conn, Message) (any, error) {
			t.Error("the handler was reached without a handshake")
			return nil, nil
		}})
		drained := make(chan struct{})
		go func() {
			defer close(drained)
			_, _ = bufio.NewReader(remote).WriteTo(&bytes.Buffer{})
		}()
		_, _ = remote.Write(data)
		_ = remote.Close()
		<-c.Done()
		<-drained
	})
}

// Any message that can be decoded must survive an encode and decode round trip
// unchanged. Otherwise two processes interpret it differently.
func FuzzMessages(f *testing.F) {
	f.Add([]byte(`{"request":"r","attempt":1,"tier":2,"body":"e30=","first_token_in":5}`))
	f.Add([]byte(`{"stamp":{"wall":1,"logical":2},"kind":"tokens","first":3,"tokens":["a"],"load":{"waiting":1}}`))
	f.Add([]byte(`{"leaving":true,"revision":-1,"response":{"status":200,"body":"AA=="}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		assertRoundTrip[Submit](t, data)
		assertRoundTrip[Frame](t, data)
		assertRoundTrip[Cancel](t, data)
		assertRoundTrip[Notice](t, data)
		assertRoundTrip[Hello](t, data)
	})
}

// assertRoundTrip checks that data, if it decodes as a T, is encoded identically
// before and after a second round trip.
func assertRoundTrip[T any](t *testing.T, data []byte) {
	t.Helper()
	var first, second T
	if (Message{Params: data}).Decode(&first) != nil {
		return
	}
	once, err := json.Marshal(first)
	is.New(t).NoErr(err)
	is.New(t).NoErr(Message{Params: once}.Decode(&second))
	twice, err := json.Marshal(second)
	is.New(t).NoErr(err)
	is.New(t).Equal(string(once), string(twice))
}

// assertRefused checks that the latest connection ends, is counted once and
// passes no message to the handler.
func assertRefused(t *testing.T, s *testServer) {
	t.Helper()
	is := is.New(t)
	<-(<-s.accepted).Done()
	is.Equal(s.refused.Load(), uint64(1))
	for len(s.messages) > 0 {
		is.Equal((<-s.messages).Method, "")
	}
}

// A message on which the handler panicked ended the process. It must be refused, and
// the next message must be handled.
func TestPanicOfHandlerRefusesMessage(t *testing.T) {
	s := startTestServer(t)
	c, err := Dial(t.Context(), s.listener.Addr().String(), Options{Self: Peer{Role: RoleEntry, Identity: "entry-1"}, Secret: testSecret})
	is := is.New(t)
	is.NoErr(err)
	defer c.Close()
	c.Notify("panic", nil)
	c.Notify("next", nil)
	is.Equal((<-s.messages).Method, "next")
	is.Equal(s.refused.Load(), uint64(1))
}
