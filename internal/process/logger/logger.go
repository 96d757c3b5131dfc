// Package logger configures klog to write each record as one line of key=value
// pairs.
//
// All code logs through klog. The text handler of log/slog formats the records.
//
// # Usage
//
//	logger.Setup(os.Stderr)
//	klog.InfoS("entry started", "identity", id)
package logger

import (
	"io"
	"log/slog"
	"strings"

	"k8s.io/klog/v2"
)

// maxValueBytes is the maximum length of a value in a line. Longer ones, such as
// contents that another process wrote, are cut.
const maxValueBytes = 8 << 10

// Setup makes klog write its records to w. A program calls it once at startup.
func Setup(w io.Writer) { klog.SetSlogLogger(slog.New(newHandler(w))) }

func newHandler(w io.Writer) slog.Handler {
	return slog.NewTextHandler(w, &slog.HandlerOptions{ReplaceAttr: boundedText})
}

// boundedText replaces an error by its message, since the detailed format of an error
// includes a stack trace, and cuts long text.
func boundedText(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	if a.Value.Kind() == slog.KindString && len(a.Value.String()) > maxValueBytes {
		a.Value = slog.StringValue(strings.ToValidUTF8(a.Value.String()[:maxValueBytes], "") + "...")
	}
	return a
}
