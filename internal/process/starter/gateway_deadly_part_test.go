package starter

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
)

// Requests with one deadly prompt part, no two alike, crashed one upstream after the
// other at any entry (BUDGET, issue 24). Requests with the other parts must go on.
func TestGatewayRefusesDeadlyPart(t *testing.T) {
	const runners, neededCrashes = 6, 3
	r := newGatewayFixture(t, runners)
	for _, run := range r.runners {
		run.DeadlyPart = "dead"
	}
	first := r.startReadyEntry()
	second := r.startEntry("entry-2", r.storeURL, first.peerAddress)
	assertEventually(t, "the second entry is ready", second.isReady)
	call := func(g *gateway, id, parts string) answer {
		return g.call(http.MethodPost, "/stream/brief/"+id, id, id, func(req *http.Request) {
			req.Header.Set("Magnoliafront-Prompt-Prefix", parts)
		})
	}
	assertStream(t, call(first, "before", "aa:800,bb:10,cc:1"), "before", 8)
	for i := range neededCrashes {
		// Losses at the same moment count as one.
		time.Sleep(50 * time.Millisecond)
		assertStatus(t, call(first, fmt.Sprint("deadly-", i), fmt.Sprint("aa:800,bb:10,dead:9,", i, ":1")), http.StatusBadGateway)
	}
	r.setBehaviour(emulator.RunnerRefuses)
	for i, g := range []*gateway{first, second} {
		id := fmt.Sprint("refused-", i)
		assertEventually(t, "the deadly part is refused", func() bool {
			return strings.Contains(call(g, id, "aa:800,dead:9,"+id+":1").body, "quarantined")
		})
		assertExecuted(t, r, id, 0)
	}
	r.setBehaviour(emulator.RunnerAnswers)
	for i, g := range []*gateway{first, second} {
		id := fmt.Sprint("sound-", i)
		assertEventually(t, "sound requests are answered", func() bool {
			return call(g, id, "aa:800,bb:10,cc:2").status == http.StatusOK
		})
	}
	is.New(t).Equal(crashes(r), neededCrashes)
}

// crashes returns the number of requests with the deadly part that runners executed.
func crashes(r *gatewayFixture) int {
	n := 0
	for _, run := range r.allRequests() {
		if run.Executed && strings.Contains(run.Header.Get("Magnoliafront-Prompt-Prefix"), "dead:") {
			n++
		}
	}
	return n
}
