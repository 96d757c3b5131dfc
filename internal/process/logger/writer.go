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
	// linesCapacity is the number of lines that may wait for a slow reader.
	linesCapacity = 2048
	// maxRate is the number of lines a second that are written at most. An entry
	// at 100 requests a second writes about 150.
	maxRate = 1000
	// batchBytes is the size at which waiting lines are written together.
	batchBytes = 16 << 10
)

// Writer passes lines on to another writer without making its callers wait.
// Lines for which there is no room, and those beyond 1,000 a second, are dropped
// and counted, and a line tells how many. Its duty ends with [Writer.Stop].
type Writer struct {
	to    io.Writer
	clock timer.Clock
	lines *buffer.Ring[[]byte, buffer.Reject]
	done  chan struct{}

	// The fields below are owned by the duty.
	second  time.Time
	written int
	dropped uint64
	told    uint64
}

// NewWriter starts a writer.
func NewWriter(to io.Writer, c timer.Clock) *Writer {
	w := &Writer{to: to, clock: c, lines: buffer.New[[]byte, buffer.Reject]("log_lines", linesCapacity), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for w.step() {
		}
		_, _ = w.to.Write(w.notice(nil))
	}()
	return w
}

// Write takes in one line. It never fails and never waits.
func (w *Writer) Write(line []byte) (int, error) {
	w.lines.Put(context.Background(), append([]byte(nil), line...))
	return len(line), nil
}

// Stop writes what waits and ends the duty.
func (w *Writer) Stop() {
	w.lines.Close()
	<-w.done
}

// Stats returns the state of the ring.
func (w *Writer) Stats() buffer.Stats { return w.lines.Stats() }

// step writes the lines that wait.
func (w *Writer) step() bool {
	line, ok := w.lines.Take(context.Background())
	if !ok {
		return false
	}
	var batch []byte
	for ; ok; line, ok = w.lines.TryTake() {
		if !w.allow() {
			w.dropped++
			continue
		}
		if batch = append(batch, line...); len(batch) >= batchBytes {
			break
		}
	}
	if w.written < maxRate {
		batch = w.notice(batch)
	}
	// Nobody can be told that the log cannot be written.
	_, _ = w.to.Write(batch)
	return true
}

// notice adds a line about what was dropped since the last one.
func (w *Writer) notice(batch []byte) []byte {
	lost := w.dropped + w.lines.Stats().Refused
	if lost == w.told {
		return batch
	}
	batch = fmt.Appendf(batch, "level=WARN msg=\"log lines dropped\" count=%d\n", lost-w.told)
	w.told = lost
	return batch
}

// allow counts a line against the rate.
func (w *Writer) allow() bool {
	now := w.clock.Now()
	if now.Sub(w.second) >= time.Second || now.Before(w.second) {
		w.second, w.written = now, 0
	}
	w.written++
	return w.written <= maxRate
}
