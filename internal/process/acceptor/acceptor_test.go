package acceptor

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/messenger"
)

const secret = "secret of the test"

func newAcceptor(t *testing.T, l Limits) *Acceptor {
	t.Helper()
	a, err := NewLimited("127.0.0.1:0", messenger.Options{Secret: []byte(secret)}, Routes{}, l)
	is.New(t).NoErr(err)
	t.Cleanup(a.Stop)
	return a
}

// dialPeer opens an authenticated connection.
func dialPeer(t *testing.T, a *Acceptor) error {
	t.Helper()
	c, err := messenger.Dial(t.Context(), a.Address(), messenger.Options{
		Secret: []byte(secret), HandshakeTimeout: 20 * time.Second,
		Handle: func(*messenger.Conn, messenger.Message) (any, error) { return struct{}{}, nil },
	})
	if err == nil {
		t.Cleanup(func() { c.Close() })
	}
	return err
}

// dialSilent opens a connection on which nothing is sent.
func dialSilent(t *testing.T, a *Acceptor) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", a.Address())
	is := is.New(t)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	is.NoErr(conn.SetDeadline(time.Now().Add(20 * time.Second)))
	return conn
}

// Connections that never prove to know the secret could take all descriptors, and keep
// other entries out.
func TestPeersGetInBesideSilentConnections(t *testing.T) {
	a := newAcceptor(t, Limits{MaxConns: 8, MaxUnauthenticated: 2})
	first := dialSilent(t, a)
	for range 20 {
		dialSilent(t, a)
	}
	is := is.New(t)
	for range 6 {
		is.NoErr(dialPeer(t, a))
		is.True(a.Connections().Open <= 8)
	}
	_, err := first.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}

// An authenticated connection must not be closed for the sake of another.
func TestAuthenticatedPeersAreKept(t *testing.T) {
	a := newAcceptor(t, Limits{MaxConns: 2, MaxUnauthenticated: 1})
	is := is.New(t)
	is.NoErr(dialPeer(t, a))
	is.NoErr(dialPeer(t, a))
	is.True(dialPeer(t, a) != nil)
	c := a.Connections()
	is.Equal(c.Refused, uint64(1))
	is.Equal(c.Evicted, uint64(0))
	is.Equal(c.Open, int64(2))
}
