// Package logger sets up klog to write one line of key=value pairs for each
// event.
//
// Code logs through klog alone. Its records pass through the text handler of
// log/slog, which writes the pairs.
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

// Setup sends the records of klog to w. A program calls it once, at its start.
func Setup(w io.Writer) {
	klog.SetSlogLogger(slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{ReplaceAttr: plain})))
}

// plain writes errors without the stack trace that their detailed format has.
func plain(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}
