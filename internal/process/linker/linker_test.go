package linker

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
	"magnoliafront.dev/magnoliafront/internal/process/acceptor"
	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// reserveAddress returns a loopback address on which nothing listens.
func reserveAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func newLinker(t *testing.T, address string) *Linker {
	t.Helper()
	l := New(Options{
		Clock:   timer.System{},
		Members: func() map[string]string { return map[string]string{"entry-2": address} },
	})
	t.Cleanup(l.Stop)
	return l
}

// droppedMessages returns the number of dropped messages once l has processed all
// that were sent.
func droppedMessages(l *Linker) uint64 {
	for l.messages.Stats().Depth > 0 {
		time.Sleep(time.Millisecond)
	}
	stats := l.Stats()
	return stats[len(stats)-1].Dropped
}

// serve accepts connections at address and returns the messages that arrive.
func serve(t *testing.T, address string) <-chan messenger.Message {
	t.Helper()
	arrived := make(chan messenger.Message, 2*maxPendingMessages)
	handle := func(_ *messenger.Conn, m messenger.Message) (any, error) {
		arrived <- m
		return nil, nil
	}
	a, err := acceptor.New(address, messenger.Options{}, acceptor.Routes{messenger.MethodStrike: handle, messenger.MethodLoad: handle})
	is.New(t).NoErr(err)
	t.Cleanup(a.Stop)
	return arrived
}

// Load reports to an entry that is out of reach for a while must not displace other
// messages: strikes were dropped after 32 reports, and the newest reports too.
func TestLoadReportsLeaveRoomForStrikes(t *testing.T) {
	is := is.New(t)
	address := reserveAddress(t)
	l := newLinker(t, address)
	for i := range 2 * maxPendingMessages {
		is.True(l.Send("entry-2", messenger.MethodLoad, i))
	}
	is.True(l.Send("entry-2", messenger.MethodStrike, "poison"))
	is.Equal(droppedMessages(l), uint64(0))
	arrived := serve(t, address)
	var last int
	is.NoErr((<-arrived).Decode(&last))
	is.Equal(last, 2*maxPendingMessages-1)
	var strike string
	is.NoErr((<-arrived).Decode(&strike))
	is.Equal(strike, "poison")
}

// Messages beyond the bound must be counted, since nothing else tells of their loss.
func TestDroppedMessagesAreCounted(t *testing.T) {
	is := is.New(t)
	l := newLinker(t, reserveAddress(t))
	for i := range maxPendingMessages + 3 {
		is.True(l.Send("entry-2", messenger.MethodStrike, fmt.Sprint(i)))
	}
	waitForDrops := time.Now().Add(10 * time.Second)
	for droppedMessages(l) < 3 && time.Now().Before(waitForDrops) {
		time.Sleep(time.Millisecond)
	}
	is.Equal(droppedMessages(l), uint64(3))
	is.Equal(l.Stats()[2], buffer.Stats{Name: "linker_pending", Capacity: maxPendingMessages, Dropped: 3})
}
