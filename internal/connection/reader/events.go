package reader

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/go-faster/errors"
)

// doneLine ends an answer.
const doneLine = "data: [DONE]"

// chunk holds the fields of a chat completion chunk that the reader uses.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	// Error is set if the engine failed after the head of its response.
	Error any `json:"error"`
}

// answer is the part of an engine's answer that has been read.
type answer struct {
	// next is the index of the next token to emit in the whole answer, and tokens are
	// those read since.
	next         int
	tokens       []string
	finishReason string
	done         bool
}

// readEvents reads server-sent events until the terminating [DONE]. Each chunk
// with content counts as one token. Tokens that have arrived together are emitted in one
// event: an engine or a process that was silent for a second leaves more of them than the
// rings for single ones hold.
func (r *Reader) readEvents(body io.Reader, progress chan<- struct{}) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 4096), maxLineBytes)
	lineWaits := false
	lines.Split(func(data []byte, atEOF bool) (int, []byte, error) {
		n, line, err := bufio.ScanLines(data, atEOF)
		lineWaits = bytes.IndexByte(data[n:], '\n') >= 0
		if isCutLine(data, n) && string(line) != doneLine {
			// The engine has ended within it, which is not an invalid event.
			return n, nil, nil
		}
		return n, line, err
	})
	a := answer{next: r.job.ResumeFrom}
	for lines.Scan() {
		select {
		case progress <- struct{}{}:
		default:
		}
		err := a.readLine(lines.Text())
		if err != nil || a.done || !lineWaits {
			r.emitTokens(&a)
		}
		if err != nil {
			return err
		}
		if a.done {
			r.emitEvent(Event{Kind: EventFinished, FinishReason: a.finishReason})
			return nil
		}
	}
	if err := lines.Err(); err != nil {
		return &Error{Op: "read", Kind: ErrorBroken, Err: err}
	}
	return &Error{Op: "read", Kind: ErrorBroken, Err: io.ErrUnexpectedEOF}
}

// isCutLine reports whether the first n bytes of data are a line without its end.
func isCutLine(data []byte, n int) bool { return n > 0 && data[n-1] != '\n' }

// emitTokens emits the tokens that have been read and not emitted.
func (r *Reader) emitTokens(a *answer) {
	if len(a.tokens) == 0 {
		return
	}
	r.emitEvent(Event{Kind: EventTokens, First: a.next, Tokens: a.tokens})
	a.next, a.tokens = a.next+len(a.tokens), nil
}

// readLine reads a line of the event stream.
func (a *answer) readLine(line string) error {
	if line == doneLine {
		a.done = true
		return nil
	}
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok {
		return nil
	}
	var c chunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return &Error{Op: "read", Kind: ErrorMalformed, Err: err}
	}
	if c.Error != nil {
		return &Error{Op: "read", Kind: ErrorMalformed, Err: errors.Errorf("the engine failed: %.*s", maxReasonBytes, data)}
	}
	for _, choice := range c.Choices {
		if choice.FinishReason != nil {
			a.finishReason = *choice.FinishReason
		}
		if choice.Delta.Content != "" {
			a.tokens = append(a.tokens, choice.Delta.Content)
		}
	}
	return nil
}
