package soaker

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/peeker"
)

const (
	// maxPieces is the maximum number of writes for one request.
	maxPieces = 5
	// bodySize is the size of the body of a request in bytes.
	bodySize = 2000
	// redialInterval is the maximum pause before a caller opens a new connection.
	redialInterval = 2 * time.Millisecond
	// crossingTime is the maximum time between the last write and the end of the
	// connection for which the two count as simultaneous. It only splits the counts
	// of a report.
	crossingTime = 10 * time.Millisecond
	// resetTimeout is how long a caller waits for a reset after the end of the
	// connection. It exceeds the time for which net/http may keep a connection after
	// it has closed its sending side.
	resetTimeout = time.Second
	// resetPollInterval is the time between two looks for a reset.
	resetPollInterval = 5 * time.Millisecond
)

// ending is how a request ended at its caller.
type ending int

const (
	// endingAnswered means that the answer is complete.
	endingAnswered ending = iota
	// endingCutOff means that the connection ended within the answer.
	endingCutOff
	// endingCrossed means that the connection was reset within crossingTime of the
	// last write, and endingUnread that it was reset later, both before an answer. The
	// entry has not read all that was sent.
	endingCrossed
	endingUnread
	// endingRead means that the connection was closed before an answer without a
	// reset. TCP resets a connection that is closed with unread bytes, so the entry
	// has read everything that was sent.
	endingRead
	// endingTimeout means that nothing came within waitTimeout.
	endingTimeout
	endingCount
)

func (e ending) String() string {
	return [endingCount]string{"answered", "cut off", "crossed", "unread", "read", "timed out"}[e]
}

// pieceRequest is a request that was sent in pieces.
type pieceRequest struct {
	request
	ending ending
	// caller is the address of the caller, as the entry sees it.
	caller string
	// protocol is the version of HTTP of the request.
	protocol string
	// sent is the number of bytes that were written, and wanted the size of the
	// request.
	sent, wanted int
}

// pieceCaller sends requests one after another on one kept connection, in pieces with
// pauses between them. It knows whether the connection had ended before it wrote, which
// the HTTP client of the standard library hides.
type pieceCaller struct {
	fleet    *fleet
	random   *rand.Rand
	idPrefix string
	// maxPause is the maximum pause between two pieces.
	maxPause time.Duration
	// kinds are the kinds of requests, of which each is equally frequent.
	kinds []string
	// deadline is the time within which the caller wants an answer.
	deadline time.Duration
	// protocol is the version of HTTP that the caller speaks.
	protocol string
	// readPause is the pause before each read of at most smallSocketBytes. Without one, the
	// caller reads what has arrived at once.
	readPause time.Duration

	conn         *net.TCPConn
	reader       *bufio.Reader
	entry        *entry
	requestCount int
	// idleEndings is the number of connections that ended between two requests.
	idleEndings int
	requests    []pieceRequest
}

func newPieceCaller(f *fleet, seed uint64, name string, i int, maxPause time.Duration) *pieceCaller {
	return &pieceCaller{
		fleet: f, random: rand.New(rand.NewPCG(seed, uint64(200+i))), maxPause: maxPause,
		idPrefix: fmt.Sprintf("s%d-%s%d", seed, name, i),
		// Requests that may not be repeated are the most frequent.
		kinds:    []string{"hold", "hold", "hold", "check", "stream/chat", "stream/brief"},
		deadline: callerTimeout, protocol: "HTTP/1.1",
	}
}

// connect opens a connection to entry e. It reports whether the entry accepts one.
func (c *pieceCaller) connect(e *entry) bool {
	c.close()
	conn, err := net.Dial("tcp", e.address)
	if err != nil {
		return false
	}
	c.conn, c.entry, c.reader = conn.(*net.TCPConn), e, bufio.NewReader(conn)
	if c.readPause > 0 {
		_ = c.conn.SetReadBuffer(smallSocketBytes)
		c.reader = bufio.NewReaderSize(slowReader{conn, c.readPause}, smallSocketBytes)
	}
	return true
}

// slowReader is a connection that waits before each read.
type slowReader struct {
	net.Conn
	pause time.Duration
}

func (r slowReader) Read(b []byte) (int, error) {
	time.Sleep(r.pause)
	return r.Conn.Read(b[:min(len(b), smallSocketBytes)])
}

func (c *pieceCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// isConnected reports whether the caller has a connection that has not ended.
func (c *pieceCaller) isConnected() bool {
	if c.conn == nil {
		return false
	}
	if peeker.Peek(c.conn) != peeker.Ended {
		return true
	}
	c.idleEndings++
	c.close()
	return false
}

// run sends requests to random entries until ctx is done, each connection being used
// until it ends.
func (c *pieceCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.sleepUpTo(maxThinkTime)
		if c.isConnected() || c.connect(c.fleet.entries[c.random.IntN(len(c.fleet.entries))]) {
			c.send()
		}
	}
	c.close()
}

// runOnEntries sends requests to random entries until ctx is done, each on a connection of
// its own.
func (c *pieceCaller) runOnEntries(ctx context.Context) {
	for ctx.Err() == nil {
		c.sleepUpTo(maxThinkTime)
		if c.connect(c.fleet.entries[c.random.IntN(len(c.fleet.entries))]) {
			c.send()
			c.close()
		}
	}
}

// runOnNewConnections sends requests to e until ctx is done, each on a connection of its
// own, which it tries to open until the entry accepts it.
func (c *pieceCaller) runOnNewConnections(ctx context.Context, e *entry) {
	for ctx.Err() == nil {
		if c.connect(e) {
			c.send()
			c.close()
		}
		c.sleepUpTo(redialInterval)
	}
}

func (c *pieceCaller) sleepUpTo(d time.Duration) {
	time.Sleep(time.Duration(c.random.Int64N(int64(d))))
}

// send sends a request of a random kind on the open connection and reads the answer.
func (c *pieceCaller) send() {
	c.requestCount++
	kind := c.kinds[c.random.IntN(len(c.kinds))]
	r := pieceRequest{caller: c.conn.LocalAddr().String(), protocol: c.protocol}
	r.id, r.kind, r.entry, r.start = fmt.Sprintf("%s-%d", c.idPrefix, c.requestCount), kind, c.entry, time.Now()
	message := fmt.Sprintf("POST /%s/%s %s\r\nHost: desk.example\r\nAuthorization: Bearer key\r\n"+
		"Magnoliafront-Request-Id: %s\r\nMagnoliafront-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		kind, r.id, c.protocol, r.id, c.deadline.Milliseconds(), bodySize)
	headSize := len(message)
	message += strings.Repeat("x", bodySize)
	r.wanted = len(message)
	w := c.writePieces(&r, message, headSize)
	c.readAnswer(&r, w)
	r.end = time.Now()
	c.requests = append(c.requests, r)
}

// lastWrite is the last write of a request.
type lastWrite struct {
	at time.Time
	// reset is true if the connection was found to be reset at that write or in the
	// pause after it. The kernel reports a reset only once.
	reset bool
}

// writePieces writes the message until it is complete, or until something arrives or
// the connection ends.
func (c *pieceCaller) writePieces(r *pieceRequest, message string, headSize int) (last lastWrite) {
	var cuts []int
	for range c.random.IntN(maxPieces) {
		// Half of the cuts are within the head.
		size := headSize
		if c.random.IntN(2) == 0 {
			size = len(message)
		}
		cuts = append(cuts, 1+c.random.IntN(size-1))
	}
	slices.Sort(cuts)
	for _, end := range append(cuts, len(message)) {
		if r.sent > 0 {
			err := c.awaitInput(time.Duration(c.random.Int64N(int64(c.maxPause))))
			if !isTimeout(err) {
				last.reset = err != nil && !errors.Is(err, io.EOF)
				return last
			}
		}
		last.at = time.Now()
		n, err := c.conn.Write([]byte(message[r.sent:end]))
		r.sent += n
		if err != nil {
			last.reset = true
			return last
		}
	}
	return last
}

// awaitInput waits until bytes arrive. The error says that the connection has ended or
// that d has passed.
func (c *pieceCaller) awaitInput(d time.Duration) error {
	_ = c.conn.SetReadDeadline(time.Now().Add(d))
	defer func() { _ = c.conn.SetReadDeadline(time.Time{}) }()
	_, err := c.reader.Peek(1)
	return err
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// readAnswer reads the answer to r and sets how r ended. It closes the connection if
// that cannot be used again.
func (c *pieceCaller) readAnswer(r *pieceRequest, last lastWrite) {
	_ = c.conn.SetReadDeadline(time.Now().Add(waitTimeout))
	defer func() {
		if c.conn != nil {
			_ = c.conn.SetReadDeadline(time.Time{})
		}
	}()
	if _, r.err = c.reader.Peek(1); r.err != nil {
		r.ending = c.missingAnswer(r.err, last)
		c.close()
		return
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.status, r.body = resp.StatusCode, string(data)
	}
	if r.err = err; err != nil {
		r.ending = endingCutOff
	}
	if err != nil || resp.Close || r.sent < r.wanted {
		c.close()
	}
}

// missingAnswer returns how a request ended on whose connection err came in place of
// the first byte of an answer.
func (c *pieceCaller) missingAnswer(err error, last lastWrite) ending {
	elapsed := time.Since(last.at)
	switch {
	case isTimeout(err):
		return endingTimeout
	case errors.Is(err, io.EOF) && !last.reset && !c.awaitReset():
		return endingRead
	case elapsed <= crossingTime:
		return endingCrossed
	}
	return endingUnread
}

// awaitReset reports whether the peer resets the connection after it has closed it.
func (c *pieceCaller) awaitReset() bool {
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return false
	}
	for end := time.Now().Add(resetTimeout); time.Now().Before(end); time.Sleep(resetPollInterval) {
		pending := 0
		_ = raw.Control(func(fd uintptr) {
			pending, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		})
		if pending != 0 {
			return true
		}
	}
	return false
}

// A reset that the caller overlooks would look as if the server had read the request. The
// kernel reports it only once, at a write, at a read or while nothing is in progress.
func TestCallerKnowsWhetherItsRequestWasRead(t *testing.T) {
	for _, c := range []struct {
		name  string
		serve func(conn net.Conn)
		want  []ending
		seeds uint64
	}{
		{"closed before anything arrived", func(net.Conn) {}, []ending{endingCrossed, endingUnread}, 200},
		{"closed with unread bytes", func(conn net.Conn) {
			for peeker.Peek(conn) != peeker.DataAvailable {
				time.Sleep(time.Microsecond)
			}
		}, []ending{endingCrossed, endingUnread}, 200},
		{"closed after the whole request was read", readRequest, []ending{endingRead}, 2},
		{"answered", func(conn net.Conn) {
			readRequest(conn)
			_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
		}, []ending{endingAnswered}, 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range c.seeds {
				got := sendTo(t, seed, c.serve).ending
				if !slices.Contains(c.want, got) {
					t.Errorf("seed %d: the request ended as %v, want one of %v", seed, got, c.want)
				}
			}
		})
	}
}

func readRequest(conn net.Conn) {
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err == nil {
		_, _ = io.Copy(io.Discard, req.Body)
	}
}

// sendTo sends one request to a server that closes the connection after serve.
func sendTo(t *testing.T, seed uint64, serve func(net.Conn)) pieceRequest {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		serve(conn)
		_ = conn.Close()
	}()
	c := newPieceCaller(nil, seed, "caller", 0, time.Millisecond)
	is.True(c.connect(&entry{address: l.Addr().String()})) // connected
	c.send()
	c.close()
	return c.requests[0]
}
