package carrier

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"

	"magnoliafront.dev/magnoliafront/internal/connection/validator"
	"magnoliafront.dev/magnoliafront/internal/request/relayer"
)

// maxMismatchedResponses is the maximum number of responses to other requests that are
// skipped in one call.
const maxMismatchedResponses = 2

// readHead reads and classifies the head of the response to the call. It skips
// responses to other requests.
func (c *Conn) readHead(a *attempt) (*http.Response, Verdict, error) {
	for skipped := 0; ; {
		resp, err := c.readFinalHead(a)
		if err != nil {
			return nil, VerdictInvalid, err
		}
		if verdict := a.call.Classify(resp); verdict != VerdictMismatched {
			a.framing = framingOf(resp)
			// The receiver of the reply owns the header, so the Keep-Alive timeout is
			// read before the header is relayed.
			a.keepAliveTimeout = parseKeepAliveTimeout(resp.Header.Get("Keep-Alive"))
			relayer.RemoveHopByHopHeaders(resp.Header, nil)
			return resp, verdict, nil
		}
		if skipped++; skipped > maxMismatchedResponses {
			return nil, VerdictInvalid, errors.Errorf("more than %d responses to other requests on the connection", maxMismatchedResponses)
		}
		// A connection with mismatched responses must not be reused.
		a.skipped = true
		if err := skipBody(resp); err != nil {
			return nil, VerdictInvalid, errors.Wrap(err, "skip a response to another request")
		}
		if err := c.writeUnsent(a); err != nil {
			return nil, VerdictInvalid, err
		}
	}
}

// readFinalHead reads a head and the informational responses before it, within
// maxHeadBytes and one idle timeout.
func (c *Conn) readFinalHead(a *attempt) (*http.Response, error) {
	if err := c.setReadDeadline(a); err != nil {
		return nil, err
	}
	c.received.limitHead(a.holdHead)
	defer c.received.unlimit()
	for {
		resp, err := http.ReadResponse(c.reader, a.call.Head)
		if err != nil && c.received.headErr != nil {
			err = c.received.headErr
		}
		if err == nil {
			err = validator.Check(resp)
		}
		if err != nil {
			return nil, errors.Wrap(err, "read the answer")
		}
		if resp.StatusCode >= http.StatusOK {
			c.reportNotice(a, resp)
			return resp, a.checkHead(resp)
		}
	}
}

// checkHead returns an error if a parsed head is too large to be held.
func (a *attempt) checkHead(resp *http.Response) error {
	n := headSize(resp.Header)
	switch {
	case n > maxHeadBytes:
		return errHeadTooLarge
	case !a.holdHead(n):
		return errNoMemory
	}
	return nil
}

// skipBody reads the body of a response to another request. It returns an error if the
// next byte may not be the first of another response.
func skipBody(resp *http.Response) error {
	if resp.Request.Method == http.MethodHead {
		// Whether a body follows depends on the method of the other request.
		return errors.New("the length of the body is unknown")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedBytes+1))
	if err == nil && n > maxBufferedBytes {
		err = errors.Errorf("the body exceeds %d bytes", maxBufferedBytes)
	}
	return err
}
