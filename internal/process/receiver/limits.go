package receiver

import (
	"net/http"
	"time"

	"magnoliafront.dev/magnoliafront/internal/connection/closer"
	"magnoliafront.dev/magnoliafront/internal/request/admitter"
	"magnoliafront.dev/magnoliafront/internal/version/matcher"
)

const (
	// defaultHeadTimeout, defaultIdleTimeout and defaultMaxHeadBytes are the limits of
	// connections if the configuration sets none, or before there is one.
	defaultHeadTimeout  = 5 * time.Second
	defaultIdleTimeout  = time.Minute
	defaultMaxHeadBytes = 64 << 10
	// maxConfiguredHeadBytes bounds the size of a head, whatever the configuration says.
	maxConfiguredHeadBytes = 1 << 20
)

// RefreshLimits puts the limits of the configuration in force, on open connections too.
func (r *Receiver) RefreshLimits() { r.callerServer.RefreshLimits() }

// configured returns the limits of the configuration. They are zero before there is one.
func (r *Receiver) configured() matcher.Limits {
	if t := r.options.Forwarder.State().Table; t != nil {
		return t.Configuration.Limits
	}
	return matcher.Limits{}
}

// connLimits returns the limits of the connections of callers.
func (r *Receiver) connLimits() closer.Limits {
	c := r.configured()
	l := closer.Limits{HeadTimeout: defaultHeadTimeout, IdleTimeout: defaultIdleTimeout, MaxHeadBytes: defaultMaxHeadBytes}
	if c.HeaderTimeout > 0 {
		l.HeadTimeout = c.HeaderTimeout
	}
	if c.IdleTimeout > 0 {
		l.IdleTimeout = c.IdleTimeout
	}
	if c.MaxHeaderBytes > 0 {
		l.MaxHeadBytes = min(c.MaxHeaderBytes, maxConfiguredHeadBytes)
	}
	return l
}

// checkHead returns a failure if the head of a request is larger than the configuration
// allows. The connection ends heads that go on beyond the limit. It cannot tell the end of a
// head from what was read with it, so that those are measured here.
func (r *Receiver) checkHead(req *http.Request) *admitter.Failure {
	limit := r.connLimits().MaxHeadBytes
	if closer.HeadBytes(req.Context()) <= limit || headBytes(req) <= limit {
		return nil
	}
	return &admitter.Failure{
		Status: http.StatusRequestHeaderFieldsTooLarge, Code: "head_too_large",
		Message: "the head of the request is larger than the configuration allows", Outcome: admitter.OutcomeNotRun,
	}
}

// headBytes returns the size of the head of a request, as most clients write it.
func headBytes(req *http.Request) int {
	const separators = len(": \r\n")
	n := len(req.Method) + len(" ") + len(req.RequestURI) + len(" ") + len(req.Proto) + len("\r\n") + len("\r\n")
	if req.Host != "" {
		n += len("Host") + len(req.Host) + separators
	}
	for name, values := range req.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	for _, e := range req.TransferEncoding {
		n += len("Transfer-Encoding") + len(e) + separators
	}
	return n
}
