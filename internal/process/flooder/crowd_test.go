package flooder

import (
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// crowdSize is the number of clients. What they may send together by the limits of the
	// configuration is two and a half times the memory limit of the entry.
	crowdSize = 40
	// pieceBytes is the size of a piece of a body, and of a large chunk.
	pieceBytes = 64 << 10
	// smallChunks is the number of chunks of one byte that are written at once.
	smallChunks = 8 << 10
	// overlongBytes is the announced length of a body far over the limit, and maxSentBytes
	// the number of bytes after which a client that is still not refused ends.
	overlongBytes = 900_000_000
	maxSentBytes  = 8 * maxBodyBytes
	// maxHeadBytes is the size of a head that is not ended. The entry takes none of 64 KB.
	maxHeadBytes = 60 << 10
	// headCrowdSize is the number of clients that send such heads.
	headCrowdSize = 200
	// blockedTimeout is the time after which a client that cannot send on counts as held
	// back. A shorter one than is needed ends the test earlier, with a lower peak.
	blockedTimeout = time.Second
	// sendBufferBytes keeps the kernel from holding on the side of the client what the
	// entry has not received.
	sendBufferBytes = 16 << 10
)

// body is what each client of a crowd sends after the head of its request.
type body struct {
	name string
	// framing is the line of the head that states how the body ends.
	framing string
	// piece is written until size bytes have been sent, and once says that all of it is
	// handed to the kernel in a single write.
	piece string
	size  int
	once  bool
	// headOnly is true if the head of the request does not end, and no body follows.
	headOnly bool
	// clients is the number of clients, crowdSize if it is zero.
	clients int
}

// crowdSize returns the number of clients that send the body.
func (b body) crowdSize() int {
	if b.clients > 0 {
		return b.clients
	}
	return crowdSize
}

// chunk returns a chunk of n bytes.
func chunk(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n)) }

// stated returns the line of a head that states the length of a body.
func stated(n int) string { return fmt.Sprintf("Content-Length: %d", n) }

const chunked = "Transfer-Encoding: chunked"

// unfinished are bodies of a legal size that stop one byte short of their end.
func unfinished() []body {
	piece, small := strings.Repeat("x", pieceBytes), strings.Repeat(chunk(1), smallChunks)
	large := chunk(pieceBytes)
	return []body{
		{name: "length-in-one-piece", framing: stated(maxBodyBytes), piece: piece, size: maxBodyBytes - 1, once: true},
		{name: "length-piece-by-piece", framing: stated(maxBodyBytes), piece: piece, size: maxBodyBytes - 1},
		{name: "large-chunks", framing: chunked, piece: large, size: maxBodyBytes/pieceBytes*len(large) - len("x\r\n")},
		{name: "chunks-of-one-byte", framing: chunked, piece: small, size: maxBodyBytes*len(chunk(1)) - len("x\r\n")},
	}
}

// overlong are bodies far over the limit.
func overlong() []body {
	piece := strings.Repeat("x", pieceBytes)
	return []body{
		{name: "announced", framing: stated(overlongBytes), piece: piece, size: maxSentBytes},
		{name: "chunks-without-end", framing: chunked, piece: chunk(pieceBytes), size: maxSentBytes},
	}
}

// crowd is a number of clients that keep their connections open.
type crowd struct {
	entry *entry
	body  body
	mu    sync.Mutex
	conns []net.Conn
	// refused is the number of clients that could not send all because their connection
	// was closed.
	refused int
}

// send has all clients send their bodies at the same time, until nothing more of any is
// taken.
func (c *crowd) send(t *testing.T) {
	t.Helper()
	var clients sync.WaitGroup
	for i := range c.body.crowdSize() {
		clients.Go(func() {
			conn, err := net.Dial("tcp", c.entry.address)
			if err != nil {
				t.Error(err)
				return
			}
			c.mu.Lock()
			c.conns = append(c.conns, conn)
			c.mu.Unlock()
			if !c.body.sendTo(conn, fmt.Sprint("crowd-", i)) {
				c.mu.Lock()
				c.refused++
				c.mu.Unlock()
			}
		})
	}
	clients.Wait()
	t.Logf("%d of %d connections were closed by the entry", c.refused, c.body.crowdSize())
}

// sendTo sends the body until all is sent, nothing more is taken or the connection is
// closed. It reports false in the last case.
func (b body) sendTo(conn net.Conn, id string) bool {
	_ = conn.(*net.TCPConn).SetWriteBuffer(sendBufferBytes)
	headEnd := "\r\n\r\n"
	if b.headOnly {
		headEnd = ""
	}
	if _, err := fmt.Fprintf(conn, "POST /check/%s HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer key\r\nMagnoliafront-Request-Id: %s\r\nMagnoliafront-Deadline-Ms: 60000\r\n%s%s", id, id, b.framing, headEnd); err != nil {
		return false
	}
	piece := b.piece
	if b.once {
		piece = strings.Repeat(b.piece, b.size/len(b.piece)+1)
	}
	for rest := b.size; rest > 0; {
		_ = conn.SetWriteDeadline(time.Now().Add(blockedTimeout))
		n, err := io.WriteString(conn, piece[:min(len(piece), rest)])
		rest -= n
		if err != nil {
			return os.IsTimeout(err)
		}
	}
	return true
}

// leave closes all connections.
func (c *crowd) leave() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// assertEntrySurvives has a crowd send a body to an entry of its own and checks the entry.
// The ordinary request is sent after the crowd has gone.
func assertEntrySurvives(t *testing.T, binary string, b body) {
	t.Helper()
	e := startEntry(t, binary)
	s := e.startSampler()
	c := &crowd{entry: e, body: b}
	t.Logf("resident set of the idle entry %d KB", statusBytes(e.command.Process.Pid, "VmRSS:")>>10)
	c.send(t)
	e.assertLives()
	c.leave()
	e.assertServes()
	assertBounded(t, s.finish(), b.crowdSize())
	e.assertLives()
}

// Bodies of a legal size that stopped one byte short of their end were each read whole into
// memory. Their sum was not bounded and ended the process.
func TestUnfinishedBodiesKeepEntryWithinItsMemory(t *testing.T) {
	binary := buildProgram(t)
	for _, b := range unfinished() {
		t.Run(b.name, func(t *testing.T) { assertEntrySurvives(t, binary, b) })
	}
}

// Bodies over the limit were read up to the limit before they were refused, all at the same
// time. Their sum was not bounded and ended the process.
func TestOverlongBodiesKeepEntryWithinItsMemory(t *testing.T) {
	binary := buildProgram(t)
	for _, b := range overlong() {
		t.Run(b.name, func(t *testing.T) { assertEntrySurvives(t, binary, b) })
	}
}

// A crowd of large bodies kept the memory for itself, so that small requests of others
// failed for as long as it was there.
func TestOrdinaryRequestIsAnsweredBesideCrowd(t *testing.T) {
	binary := buildProgram(t)
	for _, b := range slices.Concat(unfinished(), overlong()) {
		t.Run(b.name, func(t *testing.T) {
			e := startEntry(t, binary)
			c := &crowd{entry: e, body: b}
			c.send(t)
			e.assertServes()
			c.leave()
			e.assertLives()
		})
	}
}

// Heads without an end took many times their size in memory, and their sum had no bound.
func TestUnfinishedHeadsKeepEntryWithinItsMemory(t *testing.T) {
	var lines strings.Builder
	for i := 0; lines.Len() < maxHeadBytes; i++ {
		fmt.Fprintf(&lines, "A%d:\r\n", i)
	}
	assertEntrySurvives(t, buildProgram(t), body{name: "heads", framing: lines.String(), headOnly: true, clients: headCrowdSize})
}

// A body of the full size that the configuration allows is served while the entry is idle,
// however it is framed.
func TestBodyOfFullSizeIsServed(t *testing.T) {
	e := startEntry(t, buildProgram(t))
	is.New(t).Equal(e.post("full", strings.Repeat("x", maxBodyBytes)), 200)
}
