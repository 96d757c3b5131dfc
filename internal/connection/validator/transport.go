package validator

import (
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// Transport sends requests by Base and checks the responses.
type Transport struct {
	// Base is the underlying transport. Nil means http.DefaultTransport.
	Base http.RoundTripper
}

// RoundTrip implements [http.RoundTripper]. For an invalid response, the error is or wraps an
// [*Error], and the connection is closed. After a response without a body, net/http would use
// it for the next request.
func (t *Transport) RoundTrip(q *http.Request) (*http.Response, error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn },
		// An error ends the request, and net/http closes the connection.
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error { return checkFieldNames(http.Header(h)) },
	}
	resp, err := t.base().RoundTrip(q.WithContext(httptrace.WithClientTrace(q.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Check(resp); err != nil {
		if conn != nil {
			_ = conn.Close()
		}
		_ = resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the connections that carry no request.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.base().(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

func (t *Transport) base() http.RoundTripper {
	if t.Base == nil {
		return http.DefaultTransport
	}
	return t.Base
}
