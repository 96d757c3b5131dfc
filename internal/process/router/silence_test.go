package router_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/router"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/request/responder"
	"magnoliafront.dev/magnoliafront/pkg/descriptor"
)

const (
	// engineSilence is the time on the clock of a test for which a sound engine falls
	// silent.
	engineSilence = 2 * time.Second
	engineTokens  = 3
)

// silentEngine is a sound engine on a raw socket. It stops its answer at one byte until
// the test lets it go on.
type silentEngine struct {
	listener net.Listener
	answer   string
	silentAt atomic.Int64
	// silent receives a value when the engine falls silent, and goOn lets it go on.
	silent, goOn chan struct{}
	requests     atomic.Int64
}

func newSilentEngine(t *testing.T, answer string) *silentEngine {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	e := &silentEngine{listener: l, answer: answer, silent: make(chan struct{}, 1), goOn: make(chan struct{}, 1)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	return e
}

func (e *silentEngine) url() string { return "http://" + e.listener.Addr().String() }

func (e *silentEngine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	e.requests.Add(1)
	at := e.silentAt.Load()
	_, _ = io.WriteString(conn, e.answer[:at])
	e.silent <- struct{}{}
	<-e.goOn
	_, _ = io.WriteString(conn, e.answer[at:])
}

// tokenEvents returns n events of a stream with one token each.
func tokenEvents(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "data: {\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", i)
	}
	return b.String()
}

// chunkedAnswer frames a body as a chunked response.
func chunkedAnswer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// startEngineAgents starts an agent for each engine of a model.
func (r *testRig) startEngineAgents(engines ...*silentEngine) {
	r.records[0].Class.Repeatable = true
	for _, e := range engines {
		r.startAgent(e.url())
		u := r.records[len(r.records)-1].Upstream
		u.Service, u.Type, u.Models = "desk", descriptor.TypeEngine, []string{"desk"}
	}
}

// discardEvents keeps the recorder from waiting for a test that reads no events.
func (r *testRig) discardEvents() {
	go func() {
		for {
			select {
			case <-r.events:
			case <-r.t.Context().Done():
				return
			}
		}
	}()
}

// complete submits a chat completion and returns its replies.
func (r *testRig) complete(e *entry, id string) *responder.Ring {
	replies := responder.NewRing()
	r.is.True(e.router.Submit(r.t.Context(), router.Job{Replies: replies, Request: admitter.Request{
		ID: id, Received: r.clock.Now(), APIKey: "key", Model: "desk", Body: []byte(`{"model":"desk"}`),
	}}))
	return replies
}

// assertWholeAnswer checks that the replies are n tokens in order and the end of a whole
// answer.
func (r *testRig) assertWholeAnswer(replies *responder.Ring, n int) {
	r.t.Helper()
	for next := 0; ; {
		reply := r.awaitReply(replies)
		if reply.Kind != responder.KindTokens {
			r.is.Equal(reply.Kind, responder.KindFinished)
			r.is.Equal(next, n)
			return
		}
		for _, token := range reply.Tokens {
			r.is.Equal(token, fmt.Sprintf("t%d ", next))
			next++
		}
	}
}

// A sound engine that falls silent at any byte and goes on must not lose its answer, and
// no other engine must run the request beside it.
func TestAnswerOfSilentEngineIsWhole(t *testing.T) {
	r := newTestRig(t)
	answer := chunkedAnswer(tokenEvents(engineTokens) + "data: [DONE]\n\n")
	one, two := newSilentEngine(t, answer), newSilentEngine(t, answer)
	r.startEngineAgents(one, two)
	e := r.startEntry("entry-1", nil)
	r.discardEvents()
	for at := range len(answer) {
		t.Run(fmt.Sprintf("byte %d", at), func(t *testing.T) {
			before := one.requests.Load() + two.requests.Load()
			one.silentAt.Store(int64(at))
			two.silentAt.Store(int64(at))
			replies := r.complete(e, fmt.Sprintf("request-%d", at))
			goOn := one.goOn
			select {
			case <-one.silent:
			case <-two.silent:
				goOn = two.goOn
			}
			r.clock.Advance(engineSilence)
			goOn <- struct{}{}
			r.assertWholeAnswer(replies, engineTokens)
			is.New(t).Equal(one.requests.Load()+two.requests.Load(), before+1)
		})
	}
}

// The tokens that an engine or its agent held back arrived one by one and overflowed the
// ring of the connection between agent and entry, which was closed.
func TestTokensHeldBackWhileSilentArrive(t *testing.T) {
	const tokens = 2000
	r := newTestRig(t)
	one := newSilentEngine(t, chunkedAnswer(tokenEvents(tokens)+"data: [DONE]\n\n"))
	r.startEngineAgents(one)
	e := r.startEntry("entry-1", nil)
	r.discardEvents()
	replies := r.complete(e, "request-1")
	r.awaitSignal(one.silent)
	r.clock.Advance(engineSilence)
	one.goOn <- struct{}{}
	r.assertWholeAnswer(replies, tokens)
}
