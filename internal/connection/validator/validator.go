// Package validator rejects responses whose heads are not valid HTTP.
//
// The parser of net/http accepts more than HTTP allows. It takes any number of three
// characters as a status, including 000 and 999. One below 100 would pass for that of an
// informational response, so that the bytes after it are taken for the answer. One above 599
// says nothing about whether the request has run. The parser also keeps blanks in field
// names. Such a field may have been meant as a Content-Length or Transfer-Encoding, so that
// the end of the body is unknown.
//
// A line that begins with a blank continues the value of the field before it (obs-fold in
// RFC 9112, section 5.2). It is accepted, since a gateway may replace the fold by a blank.
//
// # Usage
//
//	resp, err := http.ReadResponse(r, q)
//	if err == nil {
//		err = validator.Check(resp)
//	}
//
// A [Transport] does so for a client of net/http:
//
//	client := &http.Client{Transport: &validator.Transport{}}
package validator

import (
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// maxStatus is the largest status of HTTP (RFC 9110, section 15).
const maxStatus = 599

// Check returns an error of the type [*Error] unless the head of a response is valid. The
// response may be informational. The connection of an invalid one must be closed.
func Check(resp *http.Response) error {
	if err := checkStatus(resp.StatusCode); err != nil {
		return err
	}
	return checkFieldNames(resp.Header)
}

// checkStatus returns an error unless a response may have the status. 101 is invalid, since
// no request of this system asks for another protocol.
func checkStatus(status int) error {
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return &Error{Op: "check the status", Kind: ErrorStatus, Err: errors.Errorf("%03d is not allowed", status)}
	}
	return nil
}

// checkFieldNames returns an error unless all field names are valid.
func checkFieldNames(h http.Header) error {
	for name := range h {
		if name == "" || strings.ContainsFunc(name, isInvalidInToken) {
			return &Error{Op: "check the header", Kind: ErrorFieldName, Err: errors.Errorf("invalid field name %q", name)}
		}
	}
	return nil
}

// isInvalidInToken reports whether a token, such as a field name, must not contain r (RFC
// 9110, section 5.6.2).
func isInvalidInToken(r rune) bool {
	isAlphanumeric := '0' <= r && r <= '9' || 'A' <= r && r <= 'Z' || 'a' <= r && r <= 'z'
	return !isAlphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}
