package starter

import (
	"bufio"
	"io"
	"net"
	"net/http"
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
	is.NoErr(g.newRequest(t.Context(), http.MethodPost, "/hold/1", "r1", "x").Write(conn))
	answers := bufio.NewReader(conn)
	resp, err := http.ReadResponse(answers, nil)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	r.configure(func(c map[string]any) {
		c["limits"] = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout_ms": 3000, "idle_timeout_ms": 1}
	})
	_, err = answers.ReadByte()
	is.Equal(err, io.EOF)
}
