package starter

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// An entry that started did not know which content had crashed upstreams, and sent it to
// the next ones.
func TestStartedGatewayKnowsContentThatCrashesUpstreams(t *testing.T) {
	const path, protocol = "/check/poison", "HTTP/1.1"
	r := newGatewayFixture(t, 0)
	var upstreams []*mortalUpstream
	for i := range 3 {
		upstreams = append(upstreams, r.startMortalUpstream(fmt.Sprint("i-", i)))
	}
	first := r.startReadyEntry()
	done := first.beginCall(path, protocol)
	for range 2 {
		endAfterBegin(upstreams)
	}
	is := is.New(t)
	is.True((<-done).status != http.StatusOK)
	second := r.startEntry("entry-2", r.storeURL, first.peerAddress)
	assertEventually(t, "the second entry is ready", second.isReady)
	for _, g := range []*gateway{first, second} {
		a := g.callRaw(path, protocol)
		is.Equal(a.status, http.StatusServiceUnavailable)
		is.True(strings.Contains(a.body, "quarantined"))
		is.True(a.header.Get("Retry-After") != "")
	}
}

// endAfterBegin ends the first of three upstreams that begins an answer.
func endAfterBegin(u []*mortalUpstream) {
	select {
	case <-u[0].begun:
		u[0].end()
	case <-u[1].begun:
		u[1].end()
	case <-u[2].begun:
		u[2].end()
	}
}
