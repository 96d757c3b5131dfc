package soaker

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// upstreamVariable is the environment variable that makes the test binary run a
	// [streamUpstream]. It holds an [upstreamSpec].
	upstreamVariable = "MAGNOLIAFRONT_SOAK_UPSTREAM"
	// bodyParts is the number of parts of an answer that is no stream.
	bodyParts = 3
)

// TestMain runs the tests, or an upstream as a process of its own.
func TestMain(m *testing.M) {
	if spec := os.Getenv(upstreamVariable); spec != "" {
		runStreamUpstream(spec)
		return
	}
	os.Exit(m.Run())
}

// upstreamSpec configures a [streamUpstream].
type upstreamSpec struct {
	ID   string
	Seed uint64
	// Address is the address to listen at, an unused one of the process if it is empty.
	Address string
	// Framings are the framings of the answers, each equally frequent. Answers that are
	// no streams may also have a length.
	Framings []framing
	// Size is that of a stream, and Interval the time before each event.
	Size     streamSize
	Interval time.Duration
	// One stream in ResetEvery is reset between two events, none if it is zero.
	ResetEvery int
	// MaxConns is the number of connections beyond which new ones are reset, without a
	// limit if it is zero.
	MaxConns int
}

// upstreamRecord is a line of the output of an upstream: its address, or the start or the
// end of a run.
type upstreamRecord struct {
	Address string `json:",omitempty"`
	ID      string `json:",omitempty"`
	Target  string `json:",omitempty"`
	At      time.Time
	// Ended is true at the end of a run. Whole is true if the answer was written to its
	// end.
	Ended, Whole bool
}

// streamUpstream is an upstream whose streams take a while. It writes what it runs to its
// output at once, so that this is known after the end of the process.
type streamUpstream struct{ upstreamSpec }

// runStreamUpstream serves until SIGTERM, and then finishes the requests in progress. It
// exits as well when its input ends, which is the end of the test.
func runStreamUpstream(spec string) {
	u := &streamUpstream{}
	err := json.Unmarshal([]byte(spec), &u.upstreamSpec)
	if err != nil {
		panic(err)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM)
	if u.Address == "" {
		u.Address = processIP() + ":0"
	}
	l, err := net.Listen("tcp", u.Address)
	if err != nil {
		panic(err)
	}
	s := newRawServer(l, u.MaxConns, u.answer)
	u.record(upstreamRecord{Address: l.Addr().String()})
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(1)
	}()
	<-stopped
	s.drain()
}

// record writes a line of the output.
func (u *streamUpstream) record(r upstreamRecord) {
	r.At = time.Now()
	line, err := json.Marshal(r)
	if err == nil {
		_, err = os.Stdout.Write(append(line, '\n'))
	}
	if err != nil {
		panic(err)
	}
}

func (u *streamUpstream) answer(conn net.Conn, reader *bufio.Reader, req *http.Request) bool {
	run := newUpstreamRun(u.ID, conn, req)
	if isMisdirected(u.ID, req) {
		return refuseMisdirected(conn, run.id)
	}
	u.record(upstreamRecord{ID: run.id, Target: run.target})
	a := u.newAnswer(req, run.id)
	whole := a.write(conn, reader)
	u.record(upstreamRecord{ID: run.id, Ended: true, Whole: whole})
	return whole && !a.closes
}

// newAnswer returns the answer to a request.
func (u *streamUpstream) newAnswer(req *http.Request, id string) timedAnswer {
	random := newAnswerRandom(u.Seed, u.ID, id)
	interval := func() time.Duration { return u.Interval }
	f := u.Framings[random.IntN(len(u.Framings))]
	a := newTimedAnswer(u.ID, id)
	if !strings.HasPrefix(req.URL.Path, "/stream/") {
		if random.IntN(2) == 0 {
			f = framedByLength
		}
		a.addParts(f, splitEvenly(newBody(u.ID, id), bodyParts), interval)
		return a
	}
	a.addEvents(f, u.Size.eventsFrom(id, firstEvent(req)), interval)
	// An upstream may be lost between the last event and the end of the answer.
	a.pauses = append(a.pauses, pause{offset: a.end, duration: u.Interval})
	if u.ResetEvery > 0 && len(a.pauses) > 1 && random.IntN(u.ResetEvery) == 0 {
		a.pauses[1+random.IntN(len(a.pauses)-1)].resets = true
	}
	return a
}

// splitEvenly splits text into n parts.
func splitEvenly(text string, n int) (parts []string) {
	for i := range n {
		parts = append(parts, text[i*len(text)/n:(i+1)*len(text)/n])
	}
	return parts
}

// upstreamProcess is an upstream of a fleet and its current process.
type upstreamProcess struct {
	process
	fleet *fleet
	spec  upstreamSpec
	// born is the number of starts.
	born    int
	address string
}

func newUpstreamProcess(f *fleet, spec upstreamSpec) *upstreamProcess {
	u := &upstreamProcess{process: process{t: f.t, name: spec.ID}, fleet: f, spec: spec}
	u.start()
	f.t.Cleanup(u.kill)
	return u
}

// start starts a process of the upstream and registers it.
func (u *upstreamProcess) start() {
	is := is.New(u.t)
	u.born++
	output, err := os.Create(filepath.Join(u.t.ArtifactDir(), fmt.Sprintf("%s-%d.json", u.spec.ID, u.born)))
	is.NoErr(err)
	spec, err := json.Marshal(u.spec)
	is.NoErr(err)
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), upstreamVariable+"="+string(spec))
	c.Stdout, c.Stderr = output, os.Stderr
	// The end of this pipe is that of the test.
	_, err = c.StdinPipe()
	is.NoErr(err)
	u.run(c, output)
	assertEventually(u.t, u.name+" listens", func() bool {
		records := readRecords(u.t, u.logPath)
		if len(records) > 0 {
			u.address = records[0].Address
		}
		return len(records) > 0
	})
	u.register("ready")
}

// register writes the object of the upstream to the store.
func (u *upstreamProcess) register(state string) {
	u.fleet.store.Put("servers", u.name, newServerSpec(u.address, state, u.born))
}

// readRecords returns the whole lines of the output of an upstream.
func readRecords(t *testing.T, path string) (records []upstreamRecord) {
	t.Helper()
	is := is.New(t)
	data, err := os.ReadFile(path)
	is.NoErr(err)
	for line := range strings.Lines(string(data)) {
		if !strings.HasSuffix(line, "\n") {
			break
		}
		var r upstreamRecord
		is.NoErr(json.Unmarshal([]byte(line), &r))
		records = append(records, r)
	}
	return records
}

// readRuns returns the runs of all processes of the upstream, after the end of all of them.
func (u *upstreamProcess) readRuns() (runs []upstreamRun) {
	for i := range u.born {
		open := map[string]upstreamRun{}
		for _, r := range readRecords(u.t, filepath.Join(u.t.ArtifactDir(), fmt.Sprintf("%s-%d.json", u.spec.ID, i+1)))[1:] {
			if !r.Ended {
				open[r.ID] = upstreamRun{id: r.ID, target: r.Target, upstream: u.name, start: r.At}
				continue
			}
			run := open[r.ID]
			run.end, run.whole = r.At, r.Whole
			runs = append(runs, run)
			delete(open, r.ID)
		}
		for _, run := range open {
			runs = append(runs, run)
		}
	}
	return runs
}
