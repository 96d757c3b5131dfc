package soaker

import (
	"bufio"
	"cmp"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// silentStreamKind is the kind of the requests that are answered with streams.
	silentStreamKind = "stream/chat"
	// silentStreamEvents is the number of events in a stream of a silent upstream.
	silentStreamEvents = 6
	// maxAnswerDelay is the maximum time before an answer, and maxEventPause that before
	// an event.
	maxAnswerDelay = 200 * time.Millisecond
	maxEventPause  = 10 * time.Millisecond
	// One answer in silentEvery is interrupted for minSilence to maxSilence.
	silentEvery = 5
	minSilence  = 800 * time.Millisecond
	maxSilence  = 2500 * time.Millisecond
)

// silencePlace is where an upstream is silent within an answer.
type silencePlace int

const (
	// silentAnywhere means at any byte, the first included.
	silentAnywhere silencePlace = iota
	// silentAtEnd means after the last event or the last chunk, before the end of the
	// framing. In an answer with a length it means before the last byte.
	silentAtEnd
)

// upstreamRun is the work of an upstream on one request. The target names the method, the
// path and the address of the sender.
type upstreamRun struct {
	id, target, upstream string
	start, end           time.Time
	// whole is true if the answer was written to its end.
	whole bool
}

// silentUpstream is a sound upstream that falls silent within some of its answers and
// then goes on. It writes its answers to the socket itself, byte for byte.
type silentUpstream struct {
	*rawServer
	id    string
	seed  uint64
	place silencePlace
	mu    sync.Mutex
	runs  []upstreamRun
}

func newSilentUpstream(t *testing.T, id string, seed uint64, place silencePlace) *silentUpstream {
	t.Helper()
	l, err := net.Listen("tcp", processIP()+":0")
	is.New(t).NoErr(err)
	u := &silentUpstream{id: id, seed: seed, place: place}
	u.rawServer = newRawServer(l, 0, u.serve)
	t.Cleanup(u.stop)
	return u
}

// storeSpec returns the spec of the object that registers the upstream in the store.
func (u *silentUpstream) storeSpec() map[string]any {
	return newServerSpec(u.listener.Addr().String(), "ready", 1)
}

// serve answers a request. It reports whether the connection can be used again.
func (u *silentUpstream) serve(conn net.Conn, reader *bufio.Reader, req *http.Request) bool {
	run := newUpstreamRun(u.id, conn, req)
	if isMisdirected(u.id, req) {
		return refuseMisdirected(conn, run.id)
	}
	a := u.newAnswer(req, run.id)
	run.whole = a.write(conn, reader)
	run.end = time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs = append(u.runs, run)
	return run.whole && !a.closes
}

// newAnswer returns the answer to a request. What is random in it depends on the seed, the
// upstream and the request alone.
func (u *silentUpstream) newAnswer(req *http.Request, id string) timedAnswer {
	random := newAnswerRandom(u.seed, u.id, id)
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	a := newTimedAnswer(u.id, id)
	a.pauses = []pause{{duration: upTo(maxAnswerDelay)}}
	if strings.HasPrefix(req.URL.Path, "/"+silentStreamKind+"/") {
		events := streamSize{Events: silentStreamEvents}.eventsFrom(id, firstEvent(req))
		a.addEvents(framedByChunks, events, func() time.Duration { return upTo(maxEventPause) })
	} else {
		body, f := newBody(u.id, id), framing(random.IntN(int(framingCount)))
		parts := []string{body}
		if f == framedByChunks {
			split := 1 + random.IntN(len(body)-1)
			parts = []string{body[:split], body[split:]}
		}
		a.addParts(f, parts, nil)
	}
	if random.IntN(silentEvery) == 0 {
		offset := random.IntN(len(a.text))
		if u.place == silentAtEnd {
			offset = a.end + random.IntN(max(1, len(a.text)-a.end))
		}
		a.pauses = append(a.pauses, pause{offset: offset, duration: minSilence + upTo(maxSilence-minSilence)})
	}
	slices.SortStableFunc(a.pauses, func(x, y pause) int { return cmp.Compare(x.offset, y.offset) })
	return a
}
