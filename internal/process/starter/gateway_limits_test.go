package starter

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The idle timeout of the configuration was not used, and a changed one must be in force on
// connections that are open already.
func TestGatewayIdleTimeoutFollowsConfiguration(t *testing.T) {
	r := newGatewayFixture(t, 1)
	g := r.startReadyEntry()
	conn, err := net.Dial("tcp", g.callerAddress)
	is := is.New(t)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetDeadline(time.Now().Add(waitTimeout)))
	r.configure(func(c map[string]any) {
		c["limits"] = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 1}
	})
	_, err = conn.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}
