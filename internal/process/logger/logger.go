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

	"k8s.io/klog/v2"
)

// Setup makes klog write its records to w. A program calls it once at startup.
func Setup(w io.Writer) {
	klog.SetSlogLogger(slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{ReplaceAttr: errorsAsText})))
}

// errorsAsText replaces an error by its message, since the detailed format of an
// error includes a stack trace.
func errorsAsText(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}
