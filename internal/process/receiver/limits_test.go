package receiver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

// limitCase shows that a limit of the configuration is in force.
type limitCase struct {
	limits matcher.Limits
	// sent is written to a connection that was open before the limit was in force, and
	// status that of the answer, zero if the connection ends without one.
	sent   string
	status int
}

// requestWithHead returns a request whose head has n bytes, and a body.
func requestWithHead(n int) string {
	const before, after = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nX: ", "\r\n\r\n"
	return before + strings.Repeat("x", n-len(before)-len(after)) + after + "body"
}

// The header limit and the timeouts of the configuration were decoded and read by nobody.
func TestEachLimitOfConfigurationIsInForce(t *testing.T) {
	cases := map[string][]limitCase{
		"MaxHeaderBytes": {
			{matcher.Limits{MaxHeaderBytes: 1000}, requestWithHead(1000), http.StatusBadGateway},
			{matcher.Limits{MaxHeaderBytes: 1000}, requestWithHead(1001), http.StatusRequestHeaderFieldsTooLarge},
			{matcher.Limits{MaxHeaderBytes: 1000}, requestWithHead(100_000), http.StatusRequestHeaderFieldsTooLarge},
			{matcher.Limits{MaxHeaderBytes: 200_000}, requestWithHead(200_000), http.StatusBadGateway},
		},
		"MaxBodyBytes":  {{matcher.Limits{MaxBodyBytes: 3}, requestWithHead(100), http.StatusRequestEntityTooLarge}},
		"HeaderTimeout": {{matcher.Limits{HeaderTimeout: time.Millisecond, IdleTimeout: time.Hour}, "POST /x", http.StatusRequestTimeout}},
		"IdleTimeout":   {{matcher.Limits{IdleTimeout: time.Millisecond, HeaderTimeout: time.Hour}, "", 0}},
	}
	limits := reflect.TypeFor[matcher.Limits]()
	for i := range limits.NumField() {
		name := limits.Field(i).Name
		t.Run(name, func(t *testing.T) {
			is.New(t).True(len(cases[name]) > 0) // nothing shows that the field is read
			for _, c := range cases[name] {
				assertLimit(t, c)
			}
		})
	}
}

func assertLimit(t *testing.T, c limitCase) {
	t.Helper()
	r, address := startReceiver(t, faultyCodec{}, "127.0.0.1:1")
	is := is.New(t)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetDeadline(time.Now().Add(20 * time.Second)))
	for r.callerServer.Connections().Open == 0 {
		time.Sleep(time.Millisecond)
	}
	configure(r, c.limits)
	_, err = io.WriteString(conn, c.sent)
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if c.status == 0 {
		is.True(err != nil)
		is.True(!strings.Contains(fmt.Sprint(err), "timeout"))
		return
	}
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, c.status)
}

// configure puts a configuration with other limits in force.
func configure(r *Receiver, l matcher.Limits) {
	f := r.options.Forwarder
	next := f.State().Table.Configuration
	next.Version++
	next.Limits = l
	f.Configure(matcher.New(next))
	for f.State().Table.Configuration.Version != next.Version {
		time.Sleep(time.Millisecond)
	}
	r.RefreshLimits()
	for r.callerServer.Limits() != r.connLimits() {
		time.Sleep(time.Millisecond)
	}
}
