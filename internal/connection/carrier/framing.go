package carrier

import (
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"
)

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
