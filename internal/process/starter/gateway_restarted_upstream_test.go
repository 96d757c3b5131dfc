package starter

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// restartTime is the time between the end of an upstream and its restart.
const restartTime = 100 * time.Millisecond

// restart lets an upstream that has ended listen at its address again.
func (u *mortalUpstream) restart(t *testing.T) {
	t.Helper()
	l, err := net.Listen("tcp", u.listener.Addr().String())
	is.New(t).NoErr(err)
	u.listener, u.conns = l, nil
	go u.serve(l)
}

// An upstream that had refused a connection once, and had made progress since, counted as one
// that finishes its answers in a planned stop for as long as it was registered. When it ended
// within its only answer, that answer looked whole.
func TestGatewayAnswerOfUpstreamThatEndsAgainDoesNotLookWhole(t *testing.T) {
	forEachProtocol(t, 1, func(t *testing.T, g *gateway, u []*mortalUpstream, protocol string) {
		done := g.beginCall("/stream/brief/1", protocol)
		<-u[0].begun
		u[0].end()
		is.New(t).True((<-done).err != nil)
		// Progress within 50 ms of a refusal may have been made before it.
		time.Sleep(restartTime)
		u[0].restart(t)
		for n := 2; ; n++ {
			// The entry sends nothing there for a while.
			done = g.beginCall(fmt.Sprint("/stream/brief/", n), protocol)
			select {
			case <-done:
				time.Sleep(20 * time.Millisecond)
				continue
			case <-u[0].begun:
			}
			break
		}
		u[0].end()
		a := <-done
		is.New(t).True(a.err != nil) // the answer of the upstream that ended again
	})
}
