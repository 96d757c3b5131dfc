package carrier

import (
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Framing is how the end of a response is marked.
type Framing int

// The framings.
const (
	// FramingNone means that no response has been received.
	FramingNone Framing = iota
	// FramingLength means that the length is known from the head, as by Content-Length.
	FramingLength
	// FramingChunks means chunked encoding.
	FramingChunks
	// FramingClose means that only the end of the connection marks that of the response.
	FramingClose
	framingCount
)

// String returns the name of the framing in log lines and metrics.
func (f Framing) String() string {
	names := [framingCount]string{"none", "length", "chunks", "close"}
	return names[f]
}

// MarksEnd reports whether the end of a response is marked apart from that of its
// connection.
func (f Framing) MarksEnd() bool { return f == FramingLength || f == FramingChunks }

// framingOf returns the framing of a response by its head.
func framingOf(resp *http.Response) Framing {
	switch {
	case isCloseDelimited(resp):
		return FramingClose
	case len(resp.TransferEncoding) > 0:
		return FramingChunks
	}
	return FramingLength
}

// isCloseDelimited reports whether the end of a response is marked only by the
// end of the connection, without a Content-Length or chunked encoding.
func isCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// isEventStream reports whether a response is a stream of server-sent events.
func isEventStream(resp *http.Response) bool {
	kind, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// parseKeepAliveTimeout returns the timeout parameter of a Keep-Alive header, zero
// if it is missing or invalid.
func parseKeepAliveTimeout(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n > 0 {
			return time.Duration(n) * time.Second
		}
	}
	return 0
}
