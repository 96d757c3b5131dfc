package logger

import (
	"context"
	"fmt"
	"io"
	"time"

	"magnoliafront.dev/magnoliafront/pkg/buffer"
	"magnoliafront.dev/magnoliafront/pkg/timer"
)

const (
	// linesCapacity is the number of lines that are buffered while the destination
	// is slow.
	linesCapacity = 2048
	// maxLinesPerSecond is the maximum rate of written lines. An entry with 100
	// requests a second writes about 150 lines a second.
	maxLinesPerSecond = 1000
	// flushThresholdBytes is the size at which a batch of buffered lines is written,
	// even if more lines are buffered.
	flushThresholdBytes = 16 << 10
)

// Writer is an asynchronous writer of log lines. Callers of [Writer.Write] never
// block: a goroutine writes the buffered lines to the destination. Lines that
// arrive while the buffer is full, and lines beyond 1,000 a second, are dropped,
// and a log line reports their number. The goroutine ends with [Writer.Stop].
type Writer struct {
	destination io.Writer
	clock       timer.Clock
	lines       *buffer.Ring[[]byte, buffer.Reject]
	done        chan struct{}

	// The fields below are owned by the goroutine. The rate is limited in windows
	// of one second.
	windowStart   time.Time
	linesInWindow int
	// rateLimited is the number of lines dropped because of the rate, and
	// reportedDrops the number of all dropped lines that were reported.
	rateLimited   uint64
	reportedDrops uint64
}

// NewWriter starts a writer that writes to destination.
func NewWriter(destination io.Writer, c timer.Clock) *Writer {
	w := &Writer{destination: destination, clock: c, lines: buffer.New[[]byte, buffer.Reject]("log_lines", linesCapacity), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for w.step() {
		}
		_, _ = w.destination.Write(w.appendDropNotice(nil))
	}()
	return w
}

// Write queues one line, or drops it if the buffer is full. It never blocks and
// never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.lines.Put(context.Background(), append([]byte(nil), line...))
	return len(line), nil
}

// Stop writes the buffered lines and ends the goroutine.
func (w *Writer) Stop() {
	w.lines.Close()
	<-w.done
}

// Stats returns the state of the buffer of lines.
func (w *Writer) Stats() buffer.Stats { return w.lines.Stats() }

// step waits for a line and writes it together with other buffered lines in one
// batch. It returns false after Stop once no line is left.
func (w *Writer) step() bool {
	line, ok := w.lines.Take(context.Background())
	if !ok {
		return false
	}
	var batch []byte
	for ; ok; line, ok = w.lines.TryTake() {
		if !w.allow() {
			w.rateLimited++
			continue
		}
		if batch = append(batch, line...); len(batch) >= flushThresholdBytes {
			break
		}
	}
	if w.linesInWindow < maxLinesPerSecond {
		batch = w.appendDropNotice(batch)
	}
	// The error is ignored, since a failure to write the log can't be logged.
	_, _ = w.destination.Write(batch)
	return true
}

// appendDropNotice appends a log line with the number of lines dropped since the
// last notice. It appends nothing if there are none.
func (w *Writer) appendDropNotice(batch []byte) []byte {
	drops := w.rateLimited + w.lines.Stats().Refused
	if drops == w.reportedDrops {
		return batch
	}
	batch = fmt.Appendf(batch, "level=WARN msg=\"log lines dropped\" count=%d\n", drops-w.reportedDrops)
	w.reportedDrops = drops
	return batch
}

// allow counts a line and reports whether the rate permits it.
func (w *Writer) allow() bool {
	now := w.clock.Now()
	if now.Sub(w.windowStart) >= time.Second || now.Before(w.windowStart) {
		w.windowStart, w.linesInWindow = now, 0
	}
	w.linesInWindow++
	return w.linesInWindow <= maxLinesPerSecond
}
