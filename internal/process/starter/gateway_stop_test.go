package starter

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
)

// At the exit of an entry the connections of all callers were closed, also of those that
// had got no byte of an answer and must not send their requests again.
func TestGatewayAnswersRequestsBeforeExit(t *testing.T) {
	for _, c := range []struct {
		name      string
		path      string
		behaviour emulator.RunnerBehaviour
		status    int
		complete  bool
	}{
		{"call without an answer", "/hold/1", emulator.RunnerSilent, http.StatusGatewayTimeout, true},
		{"stream before its first event", "/stream/brief/1", emulator.RunnerSilent, http.StatusGatewayTimeout, true},
		{"stream that has begun", "/stream/brief/1", emulator.RunnerPauses, http.StatusOK, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newGatewayFixture(t, 1)
			r.clock, r.gracePeriod = newPacedClock(t), "2s"
			g := r.startReadyEntry()
			r.setBehaviour(c.behaviour)
			answers := make(chan answer, 1)
			go func() { answers <- g.call(http.MethodPost, c.path, "x1", "", nil) }()
			assertEventually(t, "in flight", func() bool { return len(r.allRequests()) == 1 })
			is := is.New(t)
			is.NoErr(g.app.Stop(context.Background()))
			a := <-answers
			is.Equal(a.status, c.status)
			is.Equal(a.err == nil, c.complete)
			assertExecuted(t, r, "x1", 1)
			<-r.allRequests()[0].Cancelled
		})
	}
}
