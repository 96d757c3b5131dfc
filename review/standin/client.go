package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// clientTimeout is the time that a client waits for an answer.
const clientTimeout = 10 * time.Second

// request is one client attempt.
type request struct {
	id     string
	method string
	target string
	body   []byte
}

// answer is what a client got.
type answer struct {
	status int
	signed bool
	// framed is true if the answer has a length or chunks, so that its end can be
	// told from the end of the connection.
	framed bool
	body   string
	// err is set if the answer is not complete.
	err error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, %d bytes, then: %v", a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("status %d, signed %t, framed %t, %d bytes, complete", a.status, a.signed, a.framed, len(a.body))
}

// send sends a request on a new connection and reads the answer.
func (f *fleet) send(address string, r request) answer {
	f.record.logf("client sends %s %s %s, %d bytes", r.id, r.method, r.target, len(r.body))
	a := exchange(address, r)
	f.record.logf("client gets for %s: %v", r.id, a)
	return a
}

func exchange(address string, r request) answer {
	c, err := dial(address)
	if err != nil {
		return answer{err: err}
	}
	defer c.close()
	return c.exchange(r)
}

// clientConn is a connection of a client.
type clientConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second) //nolint:gosec // a loopback address of this case
	if err != nil {
		return nil, err
	}
	return &clientConn{conn, bufio.NewReader(conn)}, nil
}

func (c *clientConn) close() { _ = c.conn.Close() }

// exchange sends a request and reads the answer.
func (c *clientConn) exchange(r request) answer { return c.exchangeWithin(r, clientTimeout) }

// exchangeWithin is like exchange with another time to wait.
func (c *clientConn) exchangeWithin(r request, patience time.Duration) answer {
	_ = c.conn.SetDeadline(time.Now().Add(patience))
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: desk.example\r\nMagnoliafront-Request-Id: %s\r\nMagnoliafront-Deadline-Ms: %d\r\nAuthorization: Bearer key-1\r\nContent-Length: %d\r\n\r\n%s",
		r.method, r.target, r.id, patience.Milliseconds(), len(r.body), r.body)
	if err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, signed: resp.Header.Get("Magnoliafront-Response-Signature") != "",
		framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0, body: string(body), err: err,
	}
}
