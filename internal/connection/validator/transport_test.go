package validator

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"testing"

	"github.com/matryer/is"
)

// startServer starts a server that answers each request with the response that its path
// names, and leaves the connections open. It returns its URL.
func startServer(t *testing.T, responses map[string]string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		in := bufio.NewReader(conn)
		for q, err := http.ReadRequest(in); err == nil; q, err = http.ReadRequest(in) {
			_, _ = io.WriteString(conn, responses[q.URL.Path])
		}
	}
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			go serve(conn)
		}
	}()
	return "http://" + l.Addr().String()
}

// get returns the body of the response at url, and whether it came over a kept connection.
func get(t *testing.T, client *http.Client, url string) (body string, kept bool, err error) {
	t.Helper()
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }}
	q, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodGet, url, nil)
	is.New(t).NoErr(err)
	resp, err := client.Do(q)
	if err != nil {
		return "", kept, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), kept, err
}

// The transport of net/http returned invalid responses. They must be found on a kept
// connection too, which must not carry another request, since bytes may follow that would be
// taken for its response.
func TestTransportRejectsInvalidResponse(t *testing.T) {
	const rest = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"
	url := startServer(t, map[string]string{
		"/sound":               "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"/status":              "HTTP/1.1 000 Failed\r\nContent-Length: 40\r\n\r\n" + rest,
		"/status-without-body": "HTTP/1.1 000 Failed\r\nContent-Length: 0\r\n\r\n",
		"/name":                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX Odd: 1\r\n\r\n",
		"/informational":       "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + rest,
	})
	client := &http.Client{Transport: &Transport{Base: &http.Transport{}}}
	t.Cleanup(client.CloseIdleConnections)
	for _, c := range []struct {
		path string
		kind ErrorKind
	}{{"/status", ErrorStatus}, {"/status-without-body", ErrorStatus}, {"/name", ErrorFieldName}, {"/informational", ErrorFieldName}} {
		t.Run(c.path, func(t *testing.T) {
			for range 2 {
				got, kept, err := get(t, client, url+"/sound")
				is := is.New(t)
				is.NoErr(err)
				is.Equal(got, "ok")
				is.True(!kept)
				_, kept, err = get(t, client, url+c.path)
				assertInvalid(t, err, c.kind)
				is.True(kept)
			}
		})
	}
}
