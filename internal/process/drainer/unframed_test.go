package drainer

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/connection/closer"
)

// serveEnv makes the test binary serve streams until it is killed.
const serveEnv = "MAGNOLIAFRONT_DRAINER_SERVE"

const firstEvent = "id: 1\n\n"

// streamHandler writes an event and then does what the path says.
func streamHandler(w http.ResponseWriter, req *http.Request) {
	if strings.HasPrefix(req.URL.Path, "/identity") {
		closer.EndWithConnection(req.Context(), w.Header())
	}
	_, _ = io.WriteString(w, firstEvent)
	_ = http.NewResponseController(w).Flush()
	switch {
	case strings.HasSuffix(req.URL.Path, "/whole"):
	case strings.HasSuffix(req.URL.Path, "/panic"):
		panic(http.ErrAbortHandler)
	default:
		<-req.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// TestMain serves streams on a free port if the environment says so.
func TestMain(m *testing.M) {
	if os.Getenv(serveEnv) == "" {
		os.Exit(m.Run())
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(1)
	}
	fmt.Println(l.Addr())
	Serve(&http.Server{Handler: http.HandlerFunc(streamHandler)}, l, Options{})
	select {}
}

// unframedKinds are the requests whose answers end with their connection.
var unframedKinds = []struct{ name, path, protocol string }{
	{"HTTP/1.1 identity", "/identity", "HTTP/1.1"},
	{"HTTP/1.0", "/plain", "HTTP/1.0"},
}

// openStream sends a request and reads the first event. It returns the rest of the stream.
func openStream(t *testing.T, address, path, protocol string) io.Reader {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "GET %s %s\r\nHost: desk.example\r\n\r\n", path, protocol)
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	is.Equal(resp.ContentLength, int64(-1))
	event := make([]byte, len(firstEvent))
	_, err = io.ReadFull(resp.Body, event)
	is.NoErr(err)
	return resp.Body
}

func assertLooksCut(t *testing.T, stream io.Reader) {
	t.Helper()
	_, err := io.ReadAll(stream)
	is.New(t).True(err != nil) // the read must not end in an orderly way
}

// The connection of a stream that ends with it was closed in an orderly way when the server
// closed it or the process was killed, so that the part looked like the whole.
func TestCutUnframedAnswerLooksCut(t *testing.T) {
	for _, kind := range unframedKinds {
		start := func(t *testing.T) (*Drainer, string) {
			t.Helper()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.New(t).NoErr(err)
			return Serve(&http.Server{Handler: http.HandlerFunc(streamHandler)}, l, Options{}), l.Addr().String()
		}
		stop := func(d *Drainer) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_ = d.Stop(ctx)
		}
		t.Run(kind.name+", stop", func(t *testing.T) {
			d, address := start(t)
			stream := openStream(t, address, kind.path, kind.protocol)
			stop(d)
			assertLooksCut(t, stream)
		})
		t.Run(kind.name+", panic", func(t *testing.T) {
			d, address := start(t)
			defer stop(d)
			assertLooksCut(t, openStream(t, address, kind.path+"/panic", kind.protocol))
		})
		t.Run(kind.name+", kill", func(t *testing.T) {
			server, address := startProcess(t)
			stream := openStream(t, address, kind.path, kind.protocol)
			is.New(t).NoErr(server.Kill())
			assertLooksCut(t, stream)
		})
		t.Run(kind.name+", whole", func(t *testing.T) {
			d, address := start(t)
			defer stop(d)
			data, err := io.ReadAll(openStream(t, address, kind.path+"/whole", kind.protocol))
			is := is.New(t)
			is.NoErr(err)
			is.Equal(len(data), 0)
		})
	}
}

// startProcess runs this test binary as a server and returns its address.
func startProcess(t *testing.T) (*os.Process, string) {
	t.Helper()
	is := is.New(t)
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), serveEnv+"=1")
	out, err := cmd.StdoutPipe()
	is.NoErr(err)
	is.NoErr(cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	address, err := bufio.NewReader(out).ReadString('\n')
	is.NoErr(err)
	return cmd.Process, strings.TrimSpace(address)
}
