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

// blocked is a reader of logs that does not read until it is released.
type blocked struct {
	release chan struct{}
	text    bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	return b.text.Write(p)
}

// Logs must not hold up requests, and must say what is missing.
func TestWriter(t *testing.T) {
	t.Run("reader that does not read", func(t *testing.T) {
		to := &blocked{release: make(chan struct{})}
		clock := timer.NewManual(time.Unix(0, 0))
		w := NewWriter(to, clock)
		for i := range 2 * linesCapacity {
			_, _ = fmt.Fprintln(w, i)
		}
		close(to.release)
		w.Stop()
		assertDropped(t, to.text.String(), 2*linesCapacity)
	})
	t.Run("more lines than the rate", func(t *testing.T) {
		var text bytes.Buffer
		clock := timer.NewManual(time.Unix(0, 0))
		w := NewWriter(&text, clock)
		for i := range 2 * maxRate {
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
		assertDropped(t, text.String(), 2*maxRate+1)
	})
}

// assertDropped checks that lines were dropped, at most as many as the rate
// allows were written, and the rest is told.
func assertDropped(t *testing.T, text string, sent int) {
	t.Helper()
	is := is.New(t)
	written, told := 0, 0
	for line := range strings.Lines(text) {
		var n int
		if _, err := fmt.Sscanf(line, "level=WARN msg=\"log lines dropped\" count=%d", &n); err == nil {
			told += n
			continue
		}
		written++
	}
	is.True(written <= maxRate+1)
	is.True(told > 0)
	is.Equal(written+told, sent)
}
