package collector

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/reserver"
	"magnoliafront.dev/magnoliafront/internal/process/shedder"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// budgetBytes is the budget of the tests. Half of it is for large bodies.
	budgetBytes = 1 << 20
	maxBytes    = 512 << 10
	// waitTimeout is the maximum wait for other goroutines. A test fails when it is reached.
	waitTimeout = 30 * time.Second
)

// patient are limits that no test reaches.
var patient = shedder.Limits{Idle: time.Hour, MaxWait: time.Hour, Stall: time.Hour, Grace: time.Hour}

func newCollector(t *testing.T, l shedder.Limits) (*Collector, *reserver.Budget) {
	t.Helper()
	b := reserver.NewBudget(budgetBytes)
	c := New(Options{Clock: timer.System{}, Budget: b, Limits: l})
	t.Cleanup(c.Stop)
	return c, b
}

// source returns a body that arrives in reads of the given reader.
func source(r io.Reader, length int64) Source {
	return Source{Reader: r, Length: length, MaxBytes: maxBytes, SetReadDeadline: func(time.Time) error { return nil }}
}

// result is the result of a read.
type result struct {
	body *Body
	err  error
}

// startRead reads a body of which its caller writes the given part and no more. The
// connection is returned.
func startRead(t *testing.T, c *Collector, part int, length int64) (net.Conn, <-chan result) {
	t.Helper()
	caller, server := net.Pipe()
	t.Cleanup(func() { _ = caller.Close() })
	s := source(server, length)
	s.SetReadDeadline = server.SetReadDeadline
	done := make(chan result, 1)
	go func() {
		body, err := c.Read(s)
		done <- result{body, err}
	}()
	go func() { _, _ = caller.Write(make([]byte, part)) }()
	return caller, done
}

func awaitResult(t *testing.T, done <-chan result) result {
	t.Helper()
	select {
	case r := <-done:
		return r
	case <-time.After(waitTimeout):
		t.Fatalf("the read has not ended after %v", waitTimeout)
	}
	return result{}
}

// awaitHeld waits until the given number of bytes is reserved.
func awaitHeld(t *testing.T, b *reserver.Budget, held int64) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); b.Stats().Held != held; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are reserved, not %d", b.Stats().Held, held)
		}
	}
}

func assertKind(t *testing.T, err error, want ErrorKind) {
	t.Helper()
	kind, ok := KindOf(err)
	is := is.New(t)
	is.True(ok) // no error of this package
	is.Equal(kind, want)
}

// A body must be the one that was sent, hold no more than is reserved for it, and give that
// back.
func TestBodyIsReadWhole(t *testing.T) {
	c, b := newCollector(t, patient)
	for _, size := range []int{1, 100, 4096, 4097, 5000, 65536, 65537, 200_000, maxBytes} {
		text := bytes.Repeat([]byte("0123456789abcde"), size/15+1)[:size]
		for name, s := range map[string]Source{
			"length": source(bytes.NewReader(text), int64(size)),
			"chunks": source(bytes.NewReader(text), -1),
			"pieces": source(iotest.HalfReader(bytes.NewReader(text)), -1),
			"end":    source(iotest.DataErrReader(bytes.NewReader(text)), int64(size)),
		} {
			t.Run(name, func(t *testing.T) {
				body, err := c.Read(s)
				is := is.New(t)
				is.NoErr(err)
				is.Equal(bytes.Join(body.Parts(), nil), text)
				is.True(b.Stats().Held >= int64(size)-reserver.ShareBytes)
				is.True(b.Stats().Held <= int64(2*size))
				body.Release()
				body.Release()
				is.Equal(b.Stats().Held, int64(0))
			})
		}
	}
}

// larger returns a body of n bytes that is allowed.
func larger(n int) Source {
	s := source(strings.NewReader(strings.Repeat("x", n)), int64(n))
	s.MaxBytes = int64(n)
	return s
}

// unreadable is a body that must not be read.
type unreadable struct{ t *testing.T }

func (u unreadable) Read([]byte) (int, error) {
	u.t.Error("the body was read")
	return 0, io.EOF
}

// Bodies over the limit were read up to the limit, and bodies that ended early took part of
// the memory for ever.
func TestBadBodyHoldsNothing(t *testing.T) {
	for _, x := range []struct {
		name   string
		source Source
		kind   ErrorKind
	}{
		{"announced as too large", source(unreadable{t}, maxBytes+1), ErrorTooLarge},
		{"too large", source(strings.NewReader(strings.Repeat("x", maxBytes+1)), -1), ErrorTooLarge},
		{"larger than the budget for large ones", larger(budgetBytes/2 + 200_000), ErrorNoRoom},
		{"shorter than announced", source(strings.NewReader(strings.Repeat("x", 100_000)), 100_001), ErrorIncomplete},
		{"broken off", source(io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF)), -1), ErrorIncomplete},
	} {
		t.Run(x.name, func(t *testing.T) {
			c, b := newCollector(t, patient)
			_, err := c.Read(x.source)
			assertKind(t, err, x.kind)
			is := is.New(t)
			is.Equal(b.Stats().Held, int64(0))
			is.Equal(c.Stats().Refused[x.kind.String()], uint64(1))
		})
	}
}

// A body that was announced and not sent took as much memory as one that was sent.
func TestAnnouncedBodyHoldsLittle(t *testing.T) {
	c, b := newCollector(t, patient)
	_, _ = startRead(t, c, 10_000, maxBytes)
	awaitHeld(t, b, 3*4096)
}

// A body for which there was no room must wait for it, and be read whole then.
func TestBodyWaitsForRoom(t *testing.T) {
	c, b := newCollector(t, patient)
	first, err := c.Read(source(bytes.NewReader(make([]byte, 400_000)), 400_000))
	is := is.New(t)
	is.NoErr(err)
	_, done := startRead(t, c, 300_000, 300_000)
	select {
	case <-done:
		t.Fatal("there was no room for the second body")
	case <-time.After(50 * time.Millisecond):
	}
	t.Run("a small one does not", func(t *testing.T) {
		small, err := c.Read(source(bytes.NewReader(make([]byte, 60_000)), 60_000))
		is := is.New(t)
		is.NoErr(err)
		small.Release()
	})
	first.Release()
	r := awaitResult(t, done)
	is.NoErr(r.err)
	r.body.Release()
	awaitHeld(t, b, 0)
}

// Bodies that stopped short of their end kept the memory that others waited for.
func TestIdleBodyIsGivenUpForOthers(t *testing.T) {
	l := patient
	l.Idle = 20 * time.Millisecond
	c, b := newCollector(t, l)
	_, idle := startRead(t, c, 399_999, 400_000)
	for b.Stats().Held < 350_000 {
		time.Sleep(time.Millisecond)
	}
	_, done := startRead(t, c, 300_000, 300_000)
	assertKind(t, awaitResult(t, idle).err, ErrorNoRoom)
	r := awaitResult(t, done)
	is.New(t).NoErr(r.err)
	r.body.Release()
	awaitHeld(t, b, 0)
}

// A process that was frozen took the callers whose bytes it had not read for idle ones.
func TestUnreadBodyIsNotIdle(t *testing.T) {
	l := patient
	l.Idle = time.Millisecond
	c, b := newCollector(t, l)
	caller, server := net.Pipe()
	t.Cleanup(func() { _ = caller.Close() })
	s := source(server, 400_000)
	looked := make(chan struct{}, 1)
	s.SetReadDeadline = server.SetReadDeadline
	s.HasUnread = func() bool {
		select {
		case looked <- struct{}{}:
		default:
		}
		return true
	}
	done := make(chan result, 1)
	go func() {
		body, err := c.Read(s)
		done <- result{body, err}
	}()
	_, err := caller.Write(make([]byte, 399_999))
	is := is.New(t)
	is.NoErr(err)
	_, waiting := startRead(t, c, 300_000, 300_000)
	<-looked
	_, err = caller.Write(make([]byte, 1))
	is.NoErr(err)
	r := awaitResult(t, done)
	is.NoErr(r.err)
	r.body.Release()
	r = awaitResult(t, waiting)
	is.NoErr(r.err)
	r.body.Release()
	awaitHeld(t, b, 0)
}

// A body that never came to its end kept its connection and memory.
func TestStalledBodyEnds(t *testing.T) {
	l := patient
	l.Stall = 20 * time.Millisecond
	c, b := newCollector(t, l)
	_, done := startRead(t, c, 10_000, 20_000)
	assertKind(t, awaitResult(t, done).err, ErrorSlow)
	awaitHeld(t, b, 0)
}

// A body that waits for room while the process stops must not wait for ever.
func TestStopGivesWaitingBodiesUp(t *testing.T) {
	b := reserver.NewBudget(budgetBytes)
	c := New(Options{Clock: timer.System{}, Budget: b, Limits: patient})
	first, err := c.Read(source(bytes.NewReader(make([]byte, 400_000)), 400_000))
	is.New(t).NoErr(err)
	defer first.Release()
	_, done := startRead(t, c, 300_000, 300_000)
	c.Stop()
	assertKind(t, awaitResult(t, done).err, ErrorNoRoom)
}
