package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// The behaviours of a runner.
const (
	// behaviourAnswers runs each request and answers it with a length.
	behaviourAnswers = "answers"
	// behaviourUnframed answers without a length, in two halves halfPause apart.
	behaviourUnframed = "unframed"
	// behaviourFails runs each request. It answers failuresOf of failuresIn requests
	// with a 503 of its own, which does not say that the request was not run.
	behaviourFails = "fails"
	// behaviourStreams answers with a stream of events. A request with a long body gets
	// its first event after prefill.
	behaviourStreams = "streams"
	// behaviourCrashes is like behaviourAnswers, but ends the process in place of the
	// answer to a request whose body is poison.
	behaviourCrashes = "crashes"
)

const (
	halfPause  = 300 * time.Millisecond
	work       = 15 * time.Millisecond
	prefill    = 1200 * time.Millisecond
	eventGap   = 100 * time.Millisecond
	longBody   = 100_000
	longEvents = 20
	poison     = "poison"
	failuresOf = 4
	failuresIn = 10
)

// serveRunner runs a runner until the process is killed or cannot listen. It prints its
// address and what it does with each request.
func serveRunner(id, behaviour string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Println("listens at " + l.Addr().String())
	s := &runnerServer{id: id, behaviour: behaviour}
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go s.serveConn(conn)
	}
}

type runnerServer struct {
	id        string
	behaviour string
	requests  atomic.Int64
}

// serveConn serves the requests on one connection, one after another.
func (s *runnerServer) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		target := req.RequestURI
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !s.answer(conn, req, target, body) {
			return
		}
	}
}

// answer runs one request and answers it. It reports whether the connection stays
// open.
func (s *runnerServer) answer(conn net.Conn, req *http.Request, target string, body []byte) bool {
	id := req.Header.Get("Magnoliafront-Request-Id")
	if expected := req.Header.Get("Magnoliafront-Expect-Instance"); expected != "" && expected != s.id {
		return write(conn, "HTTP/1.1 421 Misdirected Request\r\nMagnoliafront-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
	}
	fmt.Printf("runs %s %s %s host %s, %d bytes\n", id, req.Method, target, req.Host, len(body))
	n := s.requests.Add(1)
	text := wholeBody(id)
	head := fmt.Sprintf("Magnoliafront-Request-Id: %s\r\nMagnoliafront-Response-Signature: %s\r\nContent-Type: text/plain\r\n", id, signature(s.id, id))
	switch s.behaviour {
	case behaviourUnframed:
		half := len(text) / 2
		if !write(conn, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n%s", head, text[:half]) {
			return false
		}
		fmt.Printf("has sent half of the answer to %s\n", id)
		time.Sleep(halfPause)
		if write(conn, "%s", text[half:]) {
			fmt.Printf("has sent the whole answer to %s\n", id)
		}
		return false
	case behaviourFails:
		time.Sleep(work)
		if n%failuresIn < failuresOf {
			fmt.Printf("answers %s with a 503 of its own after it has run it\n", id)
			return write(conn, "HTTP/1.1 503 Service Unavailable\r\n%sContent-Length: 0\r\n\r\n", head)
		}
	case behaviourStreams:
		return s.stream(conn, id, len(body) > longBody)
	case behaviourCrashes:
		if string(body) == poison {
			fmt.Printf("crashes with %s\n", id)
			os.Exit(exitFailed)
		}
		time.Sleep(work)
	default:
		time.Sleep(work)
	}
	return write(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(text), text)
}

// stream answers with events in chunks.
func (s *runnerServer) stream(conn net.Conn, id string, long bool) bool {
	events := 1
	if long {
		events = longEvents
		time.Sleep(prefill)
	}
	ok := write(conn, "HTTP/1.1 200 OK\r\nMagnoliafront-Request-Id: %s\r\nMagnoliafront-Response-Signature: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, signature(s.id, id))
	for i := 1; ok && i <= events; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s/%d\n\n", i, id, i)
		ok = write(conn, "%x\r\n%s\r\n", len(event), event)
		time.Sleep(eventGap)
	}
	return ok && write(conn, "0\r\n\r\n")
}

func write(conn net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(conn, format, args...)
	return err == nil
}

// wholeBody returns the body of the answer to a request. It is about as long as the
// mean answer of a small deployment.
func wholeBody(id string) string { return strings.Repeat("answer to "+id+"\n", 30) }

func signature(runner, request string) string { return runner + "." + request }
