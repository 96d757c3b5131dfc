package receiver

import (
	"io"
	"net/http"
	"time"

	"magnoliafront.dev/magnoliafront/internal/process/collector"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
)

const (
	// bodyRetryAfter is the time after which a caller whose body found no room may try
	// again, and bodyRetrySpread the time over which such callers are spread.
	bodyRetryAfter  = time.Second
	bodyRetrySpread = time.Second
)

// readBody reads the body of a request and returns a failure if it cannot be read to its
// end.
func (r *Receiver) readBody(w http.ResponseWriter, req *http.Request, now time.Time) (*collector.Body, *admitter.Failure) {
	if req.Body == nil || req.Body == http.NoBody {
		return nil, nil
	}
	limit := int64(defaultMaxBodyBytes)
	if t := r.options.Forwarder.State().Table; t != nil && t.Configuration.Limits.MaxBodyBytes > 0 {
		limit = int64(t.Configuration.Limits.MaxBodyBytes)
	}
	body, err := r.bodies.Read(collector.Source{
		Reader: req.Body, Length: req.ContentLength, MaxBytes: limit, Caller: req.RemoteAddr,
		SetReadDeadline: http.NewResponseController(w).SetReadDeadline,
	})
	if err != nil {
		return nil, bodyFailure(err, now)
	}
	return body, nil
}

// bodyFailure returns the failure for a body that was not read to its end.
func bodyFailure(err error, now time.Time) *admitter.Failure {
	kind, _ := collector.KindOf(err)
	f := &admitter.Failure{Outcome: admitter.OutcomeNotRun}
	switch kind {
	case collector.ErrorTooLarge:
		f.Status, f.Code, f.Message = http.StatusRequestEntityTooLarge, "body_too_large", "the body is larger than the configuration allows"
	case collector.ErrorSlow:
		f.Status, f.Code, f.Message = http.StatusRequestTimeout, "body_too_slow", "the body did not arrive in time"
	case collector.ErrorNoRoom:
		f.Status, f.Code, f.Message = http.StatusServiceUnavailable, "no_memory", "there is no room for the body at the moment"
		f.RetryAfter = bodyRetryAfter + time.Duration(now.UnixNano()%int64(bodyRetrySpread))
	default:
		f.Status, f.Code, f.Message = http.StatusBadRequest, "body_incomplete", "the body could not be read to its end"
	}
	return f
}

// refuseBody writes a failure for a request whose body is unread in part, and has net/http
// close the connection without reading the rest. It closes the sending side first and the
// rest somewhat later, so that the caller can read the answer while it still sends.
func (r *Receiver) refuseBody(w http.ResponseWriter, f *admitter.Failure) {
	// net/http would read up to 256 KB of the rest. A deadline in the past ends that.
	_ = http.NewResponseController(w).SetReadDeadline(time.Unix(1, 0))
	markTooLarge(w)
	r.options.Codec.WriteFailure(w, f)
}

// markTooLarge has net/http treat the body of a request as one that has exceeded a limit:
// only then does it close the connection in two steps.
func markTooLarge(w http.ResponseWriter) {
	var b [1]byte
	_, _ = http.MaxBytesReader(w, io.NopCloser(oneByte{}), 0).Read(b[:])
}

// oneByte is a body that exceeds a limit of zero bytes.
type oneByte struct{}

// Read implements io.Reader.
func (oneByte) Read(p []byte) (int, error) { return min(1, len(p)), nil }
