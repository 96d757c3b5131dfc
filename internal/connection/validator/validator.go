// Package validator rejects responses whose heads are not valid in HTTP.
//
// The parser of net/http accepts more than HTTP does. It takes any number of three
// characters for a status, also 000 and 999. One below 200 passes for that of an
// informational response, so that what follows is taken for the answer. One that HTTP does
// not have says nothing about whether the request has run. The parser also keeps blanks in
// the name of a field. Such a field may have been meant to state the length or the encoding
// of the body, so that it is unknown where the body ends.
//
// A line that begins with a blank goes on with the value of the field before it, as in older
// versions of HTTP, and is no name.
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

// Check returns an error of the type [*Error] unless the head of a response, which may be an
// informational one, is valid. The connection of an invalid one must not be used any more.
func Check(resp *http.Response) error {
	if err := checkStatus(resp.StatusCode); err != nil {
		return err
	}
	return checkNames(resp.Header)
}

// checkStatus returns an error unless status may be that of a response. No request asks to
// switch protocols.
func checkStatus(status int) error {
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return &Error{Op: "check the status", Kind: ErrorStatus, Err: errors.Errorf("%03d is none of a response", status)}
	}
	return nil
}

// checkNames returns an error unless the names of all fields are valid.
func checkNames(h http.Header) error {
	for name := range h {
		if name == "" || strings.ContainsFunc(name, isNoToken) {
			return &Error{Op: "check the fields", Kind: ErrorFieldName, Err: errors.Errorf("%q is no name of a field", name)}
		}
	}
	return nil
}

// isNoToken reports whether r must not stand in the name of a field (RFC 9110, section
// 5.6.2).
func isNoToken(r rune) bool {
	isAlphanumeric := '0' <= r && r <= '9' || 'A' <= r && r <= 'Z' || 'a' <= r && r <= 'z'
	return !isAlphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", r)
}
