package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/internal/process/emulator"
	"magnoliafront.dev/magnoliafront/internal/process/starter"
)

// longStreamTokens is the length of a stream that lasts for seconds.
const longStreamTokens = 100

// The kernel closes the connections of a killed process in an orderly way, so that a part of
// an answer without a length or chunks ended like the whole.
func TestStreamOfKilledEntryDoesNotLookWhole(t *testing.T) {
	f := newFleet(t)
	engine := f.start("emulate", "engine", "--prefill", "5ms", "--gap", "50ms")
	agent := f.startAgent("desk-1", engine.readyFields[2], "127.0.0.1:0")
	f.applyRecords([]upstreamRecord{{"desk-1", agent.readyFields[2], engine.readyFields[2]}})
	entry := f.startEntry("entry-1")
	f.awaitReady(entry)
	address := strings.TrimPrefix(entry.readyFields[2], "http://")

	var callers []streamCaller
	for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0", "HTTP/1.0 keep-alive"} {
		callers = append(callers, startStreamCaller(t, address, protocol))
	}
	is.New(t).NoErr(entry.command.Process.Kill())
	is.New(t).True(<-entry.exit != nil)
	for _, c := range callers {
		t.Run(c.protocol, func(t *testing.T) { assertCutOff(t, c) })
	}
}

// longStreamRequest returns the body of a request whose stream has longStreamTokens tokens.
func longStreamRequest() string {
	for salt := 0; ; salt++ {
		messages := fmt.Sprintf(`[{"role":"user","content":"tour %d"}]`, salt)
		if emulator.AnswerLength(emulator.AnswerSeed([]byte(messages)), longStreamTokens) == longStreamTokens {
			return fmt.Sprintf(`{"model":"desk","stream":true,"max_tokens":%d,"messages":%s}`, longStreamTokens, messages)
		}
	}
}

// streamCaller is a caller that has read the beginning of a stream.
type streamCaller struct {
	protocol string
	body     io.Reader
}

// startStreamCaller asks for a long stream and reads its beginning. A protocol of
// "HTTP/1.0 keep-alive" asks for a connection that stays open.
func startStreamCaller(t *testing.T, address, protocol string) streamCaller {
	t.Helper()
	is := is.New(t)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	version, connection, _ := strings.Cut(protocol, " ")
	if connection != "" {
		connection = "Connection: " + connection + "\r\n"
	}
	body := longStreamRequest()
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions %s\r\nHost: desk\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		version, starter.DemoKey, connection, len(body), body)
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	lines := bufio.NewReader(resp.Body)
	_, err = lines.ReadString('\n')
	is.NoErr(err)
	return streamCaller{protocol: protocol, body: lines}
}

// assertCutOff checks that a stream that has no [DONE] ends with an error.
func assertCutOff(t *testing.T, c streamCaller) {
	t.Helper()
	data, err := io.ReadAll(c.body)
	if err == nil && !strings.HasSuffix(string(data), "data: [DONE]\n\n") {
		t.Errorf("the stream ended without an error after %d further events", strings.Count(string(data), "\n\n"))
	}
}
