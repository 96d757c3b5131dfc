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

// Requests with one poison prompt part, no two alike, crashed one upstream after the
// other at any entry (BUDGET, issue 24). Requests with the other parts must go on.
func TestGatewayRefusesPoisonPart(t *testing.T) {
	r := newGatewayFixture(t, 6)
	first := r.startReadyEntry()
	second := r.startEntry("entry-2", r.storeURL, first.peerAddress)
	assertEventually(t, "the second entry is ready", second.isReady)
	crashRunners(t, r, first)
	r.setBehaviour(emulator.RunnerRefuses)
	for i, g := range []*gateway{first, second} {
		id := fmt.Sprint("refused-", i)
		assertEventually(t, "the poison part is refused", func() bool {
			return strings.Contains(callWithParts(g, id, "aa:800,dead:9,"+id+":1").body, "quarantined")
		})
		assertExecuted(t, r, id, 0)
	}
	r.setBehaviour(emulator.RunnerAnswers)
	for i, g := range []*gateway{first, second} {
		id := fmt.Sprint("sound-", i)
		assertEventually(t, "sound requests are answered", func() bool {
			return callWithParts(g, id, "aa:800,bb:10,cc:2").status == http.StatusOK
		})
	}
	is.New(t).Equal(crashes(r), neededCrashes)
}

// neededCrashes is the number of crashes that lead to a quarantine.
const neededCrashes = 3

// crashRunners has an entry answer a sound request and then send as many requests with
// a poison part as lead to a quarantine, each of which crashes a runner.
func crashRunners(t *testing.T, r *gatewayFixture, g *gateway) {
	t.Helper()
	for _, run := range r.runners {
		run.PoisonPart = "dead"
	}
	assertStream(t, callWithParts(g, "before", "aa:800,bb:10,cc:1"), "before", 8)
	for i := range neededCrashes {
		// Losses at the same moment count as one.
		time.Sleep(50 * time.Millisecond)
		assertStatus(t, callWithParts(g, fmt.Sprint("poison-", i), fmt.Sprint("aa:800,bb:10,dead:9,", i, ":1")), http.StatusBadGateway)
	}
}

// callWithParts sends a request with a list of prompt parts.
func callWithParts(g *gateway, id, parts string) answer {
	return g.call(http.MethodPost, "/stream/brief/"+id, id, id, func(req *http.Request) {
		req.Header.Set("Magnoliafront-Prompt-Prefix", parts)
	})
}

// crashes returns the number of requests with the poison part that runners executed.
func crashes(r *gatewayFixture) int {
	n := 0
	for _, run := range r.allRequests() {
		if run.Executed && strings.Contains(run.Header.Get("Magnoliafront-Prompt-Prefix"), "dead:") {
			n++
		}
	}
	return n
}
