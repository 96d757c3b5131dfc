package validator

import (
	"net/http"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// assertInvalid checks that err is an [*Error] of a kind.
func assertInvalid(t *testing.T, err error, kind ErrorKind) {
	t.Helper()
	is := is.New(t)
	var invalid *Error
	is.True(errors.As(err, &invalid))
	is.Equal(invalid.Kind, kind)
}

// Each status that HTTP allows must be accepted, also one without a meaning yet, and no other.
func TestCheckAcceptsOnlyValidStatus(t *testing.T) {
	for _, status := range []int{100, 103, 199, 200, 299, 304, 418, 499, 503, 599} {
		is.New(t).NoErr(Check(&http.Response{StatusCode: status}))
	}
	for _, status := range []int{0, 20, 99, http.StatusSwitchingProtocols, 600, 999} {
		assertInvalid(t, Check(&http.Response{StatusCode: status}), ErrorStatus)
	}
}

// Each field name that HTTP allows must be accepted, and no other.
func TestCheckAcceptsOnlyValidFieldName(t *testing.T) {
	check := func(name string) error {
		return Check(&http.Response{StatusCode: http.StatusOK, Header: http.Header{"X": {"1"}, name: {"1"}}})
	}
	for _, name := range []string{"Content-Length", "x", "9", "X_1.2", "!#$%&'*+-.^_`|~"} {
		is.New(t).NoErr(check(name))
	}
	for _, name := range []string{"", "X Odd", "X-Odd ", " X-Odd", "X\tOdd", "X\x00", "X\x1f", "X\x7f", "X\r", "X\xe9", "Xé", "X:", "X(Odd)", "X\"Odd", "X/Odd", "X@Odd", "X[Odd", "X{Odd"} {
		assertInvalid(t, check(name), ErrorFieldName)
	}
}
