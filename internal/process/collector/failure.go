package collector

import (
	"io"
	"net/http"
	"time"

	"magnoliafront.dev/magnoliafront/internal/request/admitter"
)

const (
	// retryAfter is the time after which a caller whose body found no room may try again,
	// and retrySpread the time over which such callers are spread.
	retryAfter  = time.Second
	retrySpread = time.Second
)

// FailureOf returns the failure for the caller of a body that was not read to its end. The
// request has not run.
func FailureOf(err error, now time.Time) *admitter.Failure {
	kind, _ := KindOf(err)
	f := &admitter.Failure{Outcome: admitter.OutcomeNotRun}
	switch kind {
	case ErrorTooLarge:
		f.Status, f.Code, f.Message = http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than allowed"
	case ErrorSlow:
		f.Status, f.Code, f.Message = http.StatusRequestTimeout, "body_too_slow", "the body did not arrive in time"
	case ErrorNoRoom:
		f.Status, f.Code, f.Message = http.StatusServiceUnavailable, "no_memory", "there is no room for the body at the moment"
		f.RetryAfter = retryAfter + time.Duration(now.UnixNano()%int64(retrySpread))
	default:
		f.Status, f.Code, f.Message = http.StatusBadRequest, "body_incomplete", "the body could not be read to its end"
	}
	return f
}

// CloseUnread has net/http close the connection of a request whose body is unread in part,
// without reading the rest. The sending side is closed first and the rest somewhat later,
// so that the caller can read the answer while it still sends. It must be called before the
// answer is written.
func CloseUnread(w http.ResponseWriter) {
	// net/http would read up to 256 KB of the rest. A deadline in the past ends that.
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	// Only for a body that has exceeded a limit does net/http close in two steps.
	var b [1]byte
	_, _ = http.MaxBytesReader(w, io.NopCloser(oneByte{}), 0).Read(b[:])
}

// oneByte is a body that exceeds a limit of zero bytes.
type oneByte struct{}

// Read implements io.Reader.
func (oneByte) Read(p []byte) (int, error) { return min(1, len(p)), nil }
