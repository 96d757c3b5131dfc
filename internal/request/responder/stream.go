package responder

import (
	"context"
	"encoding/json"
	"net/http"
)

// StreamCompletion writes a chat completion as server-sent events, one for each
// token.
func StreamCompletion(ctx context.Context, w http.ResponseWriter, meta CompletionMetadata, replies *Ring) error {
	first, ok, err := firstReply(ctx, w, replies)
	if !ok {
		return err
	}
	setReplayedOutcome(w, first)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-cache")
	s := eventWriter{w: w, controller: http.NewResponseController(w), metadata: meta}
	for r := first; ; {
		if err := s.writeReply(r); err != nil {
			return err
		}
		if r.Kind != KindTokens {
			return nil
		}
		if r, err = nextReply(ctx, replies); err != nil {
			return err
		}
	}
}

// eventWriter writes the replies of a chat completion as server-sent events.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	metadata   CompletionMetadata
	// roleSent is true once a chunk with the role was written. Only the first
	// chunk has it.
	roleSent bool
}

func (s *eventWriter) writeReply(r Reply) error {
	switch r.Kind {
	case KindTokens:
		for _, t := range r.Tokens {
			m := &message{Content: t}
			if !s.roleSent {
				m.Role = "assistant"
				s.roleSent = true
			}
			if err := s.writeEvent(s.chunk(choice{Delta: m})); err != nil {
				return err
			}
		}
		return s.flush()
	case KindFailed:
		// The status code has already been sent, so the failure is written as an
		// event. The missing [DONE] event tells clients that the answer is
		// incomplete.
		if err := s.writeEvent(errorObject(r.Failure)); err != nil {
			return err
		}
		return s.flush()
	}
	reason := finishReason(r)
	if err := s.writeEvent(s.chunk(choice{Delta: &message{}, FinishReason: &reason})); err != nil {
		return err
	}
	if _, err := s.w.Write([]byte("data: [DONE]\n\n")); err != nil {
		return &Error{Op: "write", Kind: ErrorDisconnected, Err: err}
	}
	return s.flush()
}

func (s *eventWriter) chunk(c choice) completion {
	return completion{ID: s.metadata.ID, Object: "chat.completion.chunk", Created: s.metadata.Created, Model: s.metadata.Model, Choices: []choice{c}}
}

func (s *eventWriter) writeEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return &Error{Op: "encode", Kind: ErrorEncoding, Err: err}
	}
	if _, err := s.w.Write([]byte("data: " + string(data) + "\n\n")); err != nil {
		return &Error{Op: "write", Kind: ErrorDisconnected, Err: err}
	}
	return nil
}

func (s *eventWriter) flush() error {
	if err := s.controller.Flush(); err != nil {
		return &Error{Op: "write", Kind: ErrorDisconnected, Err: err}
	}
	return nil
}
