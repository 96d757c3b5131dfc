package logger

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// assertLineBounded checks that a line with value has its beginning, and a length that
// lets a full buffer of lines fit into the memory of a process.
func assertLineBounded(t *testing.T, value any) {
	t.Helper()
	is := is.New(t)
	var out bytes.Buffer
	slog.New(newHandler(&out)).Info("object ignored", "key", "servers/odd", "value", value)
	is.True(strings.Contains(out.String(), "begin"))
	is.True(out.Len() < 2*maxValueBytes)
	is.True(strings.HasSuffix(out.String(), "\n"))
}

// The error about an object of another writer quotes its contents, which may be a
// megabyte. The buffer holds thousands of lines.
func TestLongValueIsCut(t *testing.T) {
	long := "begin" + strings.Repeat("9", 1<<20)
	t.Run("text", func(t *testing.T) { assertLineBounded(t, long) })
	t.Run("error", func(t *testing.T) { assertLineBounded(t, errors.New(long)) })
	t.Run("text of several bytes a character", func(t *testing.T) { assertLineBounded(t, "begin"+strings.Repeat("é", 1<<20)) })
}
