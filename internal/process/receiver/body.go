package receiver

import (
	"net/http"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/closer"
	"magnoliafront.dev/magnoliafront/internal/connection/peeker"
	"magnoliafront.dev/magnoliafront/internal/process/collector"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
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
		HasUnread:       func() bool { return peeker.Peek(closer.Accepted(req.Context())) == peeker.DataAvailable },
		SetReadDeadline: http.NewResponseController(w).SetReadDeadline,
	})
	if err != nil {
		return nil, collector.FailureOf(err, now)
	}
	return body, nil
}
