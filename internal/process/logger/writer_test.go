package logger

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"magnoliafront.dev/magnoliafront/pkg/timer"
)

// blockingWriter is a log destination whose Write blocks until release is closed.
type blockingWriter struct {
	release chan struct{}
	written bytes.Buffer
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	return b.written.Write(p)
}

// Logging must not block requests, and the log must report how many lines were
// dropped.
func TestWriterDropsAndCountsExcessLines(t *testing.T) {
	t.Run("lines are dropped while the destination blocks", func(t *testing.T) {
		destination := &blockingWriter{release: make(chan struct{})}
		clock := timer.NewManual(time.Unix(0, 0))
		w := NewWriter(destination, clock)
		for i := range 2 * linesCapacity {
			_, _ = fmt.Fprintln(w, i)
		}
		close(destination.release)
		w.Stop()
		assertDropped(t, destination.written.String(), 2*linesCapacity)
	})
	t.Run("lines over the rate limit are dropped", func(t *testing.T) {
		var text bytes.Buffer
		clock := timer.NewManual(time.Unix(0, 0))
		w := NewWriter(&text, clock)
		for i := range 2 * maxLinesPerSecond {
			_, _ = fmt.Fprintln(w, i)
			for w.Stats().Depth > linesCapacity/2 {
				time.Sleep(time.Millisecond)
			}
		}
		for w.Stats().Depth > 0 {
			time.Sleep(time.Millisecond)
		}
		clock.Advance(time.Second)
		_, _ = fmt.Fprintln(w, "last")
		w.Stop()
		assertDropped(t, text.String(), 2*maxLinesPerSecond+1)
	})
}

// assertDropped checks that lines were dropped, that no more lines were written
// than the rate limit permits, and that the notices account for all other lines.
func assertDropped(t *testing.T, text string, sent int) {
	t.Helper()
	is := is.New(t)
	written, dropped := 0, 0
	for line := range strings.Lines(text) {
		var n int
		if _, err := fmt.Sscanf(line, "level=WARN msg=\"log lines dropped\" count=%d", &n); err == nil {
			dropped += n
			continue
		}
		written++
	}
	is.True(written <= maxLinesPerSecond+1)
	is.True(dropped > 0)
	is.Equal(written+dropped, sent)
}
