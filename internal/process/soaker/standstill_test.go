package soaker

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
)

// brokenStreams is the number of streams that each test breaks off.
const brokenStreams = 12

// releaseFleet is three entries before two runners of the software version v1. A release
// adds two of v2.
type releaseFleet struct {
	*fleet
	versions []string
}

func newReleaseFleet(t *testing.T) *releaseFleet {
	t.Helper()
	f := &releaseFleet{fleet: newEmptyFleet(t)}
	f.routes = []any{newRoute("stream/chat", "streaming", 2, true)}
	f.writeConfig()
	f.release("v1")
	f.startEntries(buildProgram(t), 0, entryCount)
	for _, e := range f.entries {
		f.awaitUse(e, "v1")
	}
	return f
}

func (f *releaseFleet) release(version string) {
	for range 2 {
		r, err := emulator.NewRunner(fmt.Sprint("i-", len(f.runners)))
		is.New(f.t).NoErr(err)
		f.t.Cleanup(r.Stop)
		f.runners, f.versions = append(f.runners, r), append(f.versions, version)
		spec := r.StoreSpec("desk", "ready")
		spec["version"] = version
		f.store.Put("servers", r.ID, spec)
	}
}

// versionOf returns the versions of the runners that ran a request.
func (f *releaseFleet) versionOf(id string) (out string) {
	for i, r := range f.runners {
		if slices.ContainsFunc(r.Requests(), func(q *emulator.RunnerRequest) bool { return q.ID == id && q.Executed }) {
			out += f.versions[i]
		}
	}
	return out
}

// open sends a request for a stream, or for the rest of one that another request began, and
// returns its status and body.
func (f *releaseFleet) open(ctx context.Context, e *entry, id, began string) (int, io.Reader) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.address+"/stream/chat/"+id, nil)
	is.New(f.t).NoErr(err)
	q.Host = "desk.example"
	q.Header = http.Header{"Authorization": {"Bearer key"}, "Magnoliafront-Request-Id": {id}, "Magnoliafront-Deadline-Ms": {"10000"}}
	if began != "" {
		q.Header.Set("Last-Event-Id", "4")
		q.Header.Set("Resumes", began)
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, strings.NewReader("")
	}
	f.t.Cleanup(func() { _ = resp.Body.Close() })
	return resp.StatusCode, resp.Body
}

// breakStreams begins streams through an entry. It returns a function with which their
// callers leave after four events.
func (f *releaseFleet) breakStreams(e *entry) func() {
	for _, r := range f.runners {
		r.SetBehaviour(emulator.RunnerPauses)
		defer r.SetBehaviour(emulator.RunnerAnswers)
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	for i := range brokenStreams {
		_, body := f.open(ctx, e, fmt.Sprint("s", i), "")
		events := make([]byte, 4*len(emulator.Event(fmt.Sprint("s", i), 1)))
		_, err := io.ReadFull(body, events)
		is.New(f.t).NoErr(err)
	}
	return cancel
}

// takeUp takes the streams up through an entry, all at once. It checks that none goes on at
// another version, and returns how many go on.
func (f *releaseFleet) takeUp(e *entry) int {
	var statuses [brokenStreams]int
	var calls sync.WaitGroup
	for i := range statuses {
		calls.Go(func() {
			status, body := f.open(f.t.Context(), e, fmt.Sprint("t", i), fmt.Sprint("s", i))
			_, _ = io.Copy(io.Discard, body)
			statuses[i] = status
		})
	}
	calls.Wait()
	wentOn := 0
	for i, status := range statuses {
		is := is.New(f.t)
		is.True(status == http.StatusOK || status == http.StatusServiceUnavailable)
		if status == http.StatusOK {
			wentOn++
			is.Equal(f.versionOf(fmt.Sprint("t", i)), f.versionOf(fmt.Sprint("s", i)))
		}
	}
	return wentOn
}

// awaitUse waits until new streams through an entry run at a version.
func (f *releaseFleet) awaitUse(e *entry, version string) {
	tries := 0
	assertEventually(f.t, e.name+" uses "+version, func() bool {
		tries++
		id := fmt.Sprint("use-", e.name, "-", tries)
		_, body := f.open(f.t.Context(), e, id, "")
		_, _ = io.Copy(io.Discard, body)
		return f.versionOf(id) == version
	})
}

// Guards against an entry that has stood still in a release and takes streams of the new
// software version up at the old one, the only one that it has heard of.
func TestEntryThatStoodStillTakesStreamsUpAtTheirVersion(t *testing.T) {
	f := newReleaseFleet(t)
	still, other := f.entries[0], f.entries[1]
	still.signal(syscall.SIGSTOP)
	f.release("v2")
	f.awaitUse(other, "v2")
	f.breakStreams(other)()
	// The entry goes on once its kernel has the requests.
	time.AfterFunc(500*time.Millisecond, func() { still.signal(syscall.SIGCONT) })
	f.takeUp(still)
}

// Guards against entries that refuse the streams of one that stands still since before a
// release, although these can only have begun at the old software version.
func TestStreamsOfEntryThatStandsStillGoOnAtOthers(t *testing.T) {
	f := newReleaseFleet(t)
	still, other := f.entries[0], f.entries[1]
	leave := f.breakStreams(still)
	still.signal(syscall.SIGSTOP)
	f.release("v2")
	f.awaitUse(other, "v2")
	f.awaitUse(f.entries[2], "v2")
	leave()
	is.New(t).Equal(f.takeUp(other), brokenStreams)
}
